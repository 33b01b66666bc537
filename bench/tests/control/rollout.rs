//! A version change under load: the engines are brought to it and no request is lost.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescue_bench::answer::AnswerKey;
use fescue_bench::deployment;
use fescue_bench::fleet::{Fleet, accept_text, repository_root, wait_until};
use fescueshore::wire::caller::{ErrorResponse, TextCompletion};
use fescueshore::wire::engine::EngineState;
use fescueshore::wire::operator::AcceptReply;

use crate::env::{LIMIT, MAX_TOKENS, MODEL, complete, start};

const SERVICE: &str = "menu-mind";
const OLD: &str = "2026-11";
const NEW: &str = "2026-12";
const CALLERS: usize = 6;

/// What the callers saw.
#[derive(Default)]
struct Seen {
    old: Cell<u64>,
    new: Cell<u64>,
    refused: RefCell<Vec<String>>,
    wrong: RefCell<Vec<String>>,
    stop: Cell<bool>,
}

/// Asks one after the other until told to stop.
async fn call(entries: Vec<SocketAddr>, caller: usize, seen: Rc<Seen>) {
    let http = awc::Client::builder().timeout(LIMIT).finish();
    let mut asked = 0;
    while !seen.stop.get() {
        asked += 1;
        let entry = entries[(caller + asked) % entries.len()];
        let prompt = format!("prompt {asked} of caller {caller}");
        let body = complete(&http, entry, "grill-chain", &prompt).await;
        match serde_json::from_slice::<TextCompletion>(&body) {
            Ok(answer) => judge(&answer, &prompt, &seen),
            Err(_) => {
                let error: ErrorResponse = serde_json::from_slice(&body).expect("an error");
                let code = format!("{:?}", error.error.code);
                seen.refused.borrow_mut().push(code);
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn judge(answer: &TextCompletion, prompt: &str, seen: &Seen) {
    let tokens: Vec<&str> = answer.choices[0].text.split_whitespace().collect();
    let is_of = |version| {
        let key = AnswerKey {
            model: MODEL,
            version,
            adapter: None,
            prompt,
        };
        key.seed().answer(MAX_TOKENS) == tokens
    };
    if is_of(OLD) {
        seen.old.set(seen.old.get() + 1);
    } else if is_of(NEW) {
        seen.new.set(seen.new.get() + 1);
    } else {
        seen.wrong.borrow_mut().push(tokens.join(" "));
    }
}

async fn all_hold_new(fleet: &Fleet) -> bool {
    for engine in &fleet.topology().engines {
        let state = fleet.standins().get(engine.address, "/v1/state").await;
        let state: EngineState = state.expect("state");
        if state.version != NEW {
            return false;
        }
    }
    true
}

#[actix_rt::test]
async fn a_version_change_under_load_loses_no_request() {
    let (fleet, _permit) = start(deployment::read("small").expect("deployment")).await;
    let seen = Rc::new(Seen::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| actix_rt::spawn(call(fleet.entry_addresses(), caller, seen.clone())))
        .collect();
    let some_old = wait_until(LIMIT, async || seen.old.get() > 20).await;
    assert!(some_old, "refused: {:?}", seen.refused.borrow());

    let path = repository_root().join("examples/kammoun/menu-mind.toml");
    let text = std::fs::read_to_string(path).expect("document");
    let text = text.replace(OLD, NEW);
    let control = fleet.topology().entries[0].control_address;
    let reply = accept_text(control, "amira", &SERVICE.into(), 1, &text).await;
    assert!(
        matches!(reply, Ok(AcceptReply::Accepted { revision: 2, .. })),
        "{reply:?}"
    );

    let changed = wait_until(LIMIT, async || all_hold_new(&fleet).await).await;
    assert!(changed, "not every engine holds the new version");
    let before = seen.new.get();
    let some_new = wait_until(LIMIT, async || seen.new.get() > before + 20).await;
    assert!(some_new, "refused: {:?}", seen.refused.borrow());
    seen.stop.set(true);
    for caller in callers {
        caller.await.expect("a caller that ended well");
    }
    println!("old {} new {}", seen.old.get(), seen.new.get());
    assert_eq!(*seen.refused.borrow(), Vec::<String>::new());
    assert_eq!(*seen.wrong.borrow(), Vec::<String>::new());
}
