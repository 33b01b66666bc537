use std::time::Duration;

use fescueshore::ids::AccountId;
use fescueshore::outcome::{Outcome, RefusalCode};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::attempt::Refused;
use super::retry::{NextStep, after_broken, after_refusal};
use super::{AnswerFault, Ask, ModelTarget, Request, Shape, check_echo, check_text};
use crate::application::Echo;

fn words(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

fn call(body: &str) -> Request {
    let ask = Ask::Call {
        service: "ledger-api".into(),
        method: "POST",
        path: "/stock-counts".to_owned(),
        body: body.to_owned(),
        key: Some("key".to_owned()),
    };
    Request::new(&AccountId::from("lac-bistro"), ask)
}

#[test]
fn text_is_whole_only_with_every_token_once_and_in_order() {
    let expected = words("a b c");
    assert_eq!(check_text(&expected, "a b c"), Ok(()));
    assert_eq!(check_text(&expected, "a b"), Err(AnswerFault::Incomplete));
    assert_eq!(check_text(&expected, "a c"), Err(AnswerFault::Incomplete));
    assert_eq!(check_text(&expected, "a b b c"), Err(AnswerFault::Doubled));
    assert_eq!(check_text(&expected, "a x c"), Err(AnswerFault::Crossed));
    assert_eq!(check_text(&expected, "a b c d"), Err(AnswerFault::Crossed));
}

#[test]
fn an_echo_must_be_of_this_request_and_body() {
    let request = call("{}");
    let mut echo = Echo {
        request: request.id.clone(),
        body_digest: hex::encode(<sha2::Sha256 as sha2::Digest>::digest(b"{}")),
        call: String::new(),
        run: 1,
        endpoint: String::new(),
    };
    let body = serde_json::to_vec(&echo).expect("json");
    assert_eq!(check_echo(&request, &body), Ok(()));
    echo.request = "another".to_owned();
    let body = serde_json::to_vec(&echo).expect("json");
    assert_eq!(check_echo(&request, &body), Err(AnswerFault::Crossed));
}

#[test]
fn a_renewed_request_has_another_id_and_key() {
    let request = call("{}");
    let renewed = request.renewed();
    assert_ne!(renewed.id, request.id);
    assert_ne!(renewed.idempotency_key(), request.idempotency_key());
    assert_eq!(renewed.body(), request.body());
}

#[test]
fn the_shape_of_a_completion_decides_its_prompt() {
    let target = ModelTarget {
        service: "menu-mind".into(),
        model: "menu-mind-24b".to_owned(),
        version: "1".to_owned(),
        adapter: None,
    };
    let text = target.answer("how much", Shape::Text);
    let chat = target.answer("how much", Shape::Chat);
    assert_ne!(text.answer(8), chat.answer(8));
    assert_eq!(chat, target.answer("user: how much", Shape::Text));
}

#[test]
fn waits_are_at_least_what_retry_after_says() {
    let mut rng = StdRng::seed_from_u64(1);
    let refused = Refused {
        status: 503,
        code: RefusalCode::Overloaded,
        outcome: Outcome::NotRun,
        retry_after_ms: Some(200),
    };
    for _ in 0..100 {
        let NextStep::Wait(wait) = after_refusal(&refused, true, &mut rng) else {
            panic!("the caller gave up");
        };
        assert!(wait >= Duration::from_millis(200) && wait <= Duration::from_millis(300));
    }
}

#[test]
fn waits_after_broken_attempts_grow_and_are_bounded() {
    let mut rng = StdRng::seed_from_u64(1);
    assert!(after_broken(1, &mut rng) < Duration::from_millis(50));
    assert!(after_broken(50, &mut rng) <= Duration::from_millis(1_500));
}
