//! Non-idempotent calls run at most once, whatever happens to who holds them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescue_bench::caller::{
    Ask, AttemptEnd, Caller, CallerOptions, FinalWord, Patience, Refused, Request, attempt,
};
use fescue_bench::fleet::ProcessName;
use fescue_bench::standin::faults::Fault;
use fescueshore::ids::AccountId;
use fescueshore::outcome::{Outcome, RefusalCode};
use uuid::{Timestamp, Uuid};

use crate::env::{Env, LIMIT, ask_answered, eventually, spawn, write};

/// Callers with a write each.
const WRITES: u64 = 6;
/// How long a replica takes to answer a call that ran.
const REPLY_MS: u64 = 3_000;
/// Past every timeout that the claim and its call have: the call's 10 s at the holder, the second
/// that the holder waits for the table, the half second that others wait for the holder, the 5 s
/// after which its peers take it for gone. Records of answers are repeated for longer than that.
const PAST_EVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Runs of a key over all replicas.
async fn runs(env: &Env, key: &str) -> u32 {
    let replicas = env.replicas().await;
    let runs = replicas.iter().filter_map(|one| one.runs_by_key.get(key));
    runs.sum()
}

/// Callers' attempts that the holder gave no answer to.
fn attempts_lost(env: &Env, holder: SocketAddr) -> u64 {
    let book = env.book.borrow();
    let lost = book.broken().iter().filter(|one| one.entry == holder);
    lost.count() as u64
}

/// Writes of callers that use the first entry first and give up on it soon.
fn start_writes(env: &Env) -> Vec<actix_rt::task::JoinHandle<FinalWord>> {
    (0..WRITES)
        .map(|number| {
            let mut options = CallerOptions::new(number, LIMIT);
            options.patience.head = Duration::from_secs(2);
            let mut caller = Caller::new(env.fleet.entry_addresses(), options, env.book.clone());
            caller.prefer(env.entry(0));
            spawn(async move { caller.ask(write(Uuid::now_v7())).await })
        })
        .collect()
}

async fn refusal(env: &Env, entry: usize, request: &Request) -> Refused {
    let http = awc::Client::default();
    match attempt(&http, env.entry(entry), request, Patience::default(), || ()).await {
        AttemptEnd::Refused(refused) => refused,
        other => panic!("{other:?}"),
    }
}

#[actix_rt::test]
async fn a_holder_frozen_past_every_timeout_and_woken_runs_nothing_twice() {
    let mut env = Env::start().await;
    env.slow_replies(REPLY_MS).await;
    let holder = ProcessName::Entry(env.fleet.topology().entries[0].name.clone());
    let writes = start_writes(&env);
    env.until_a_call_ran().await;
    env.fleet.process(&holder).expect("holder").freeze();
    let frozen_at = Instant::now();
    env.assert_no_reply_yet().await;
    let address = env.entry(0);
    eventually(
        "every caller went elsewhere, past the timeouts",
        async || {
            attempts_lost(&env, address) >= WRITES && frozen_at.elapsed() >= PAST_EVERY_TIMEOUT
        },
    )
    .await;
    env.fleet.process(&holder).expect("holder").wake();
    for write in writes {
        let word = write.await.expect("caller");
        assert!(
            matches!(word, FinalWord::Answered | FinalWord::Unknown),
            "{word:?}"
        );
    }
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_entry_killed_after_dispatch_leaves_unknown_and_no_second_run() {
    kill_after_dispatch(true).await;
}

#[actix_rt::test]
async fn an_entry_killed_after_dispatch_and_never_replaced_leaves_unknown_too() {
    kill_after_dispatch(false).await;
}

async fn kill_after_dispatch(replaced: bool) {
    let mut env = Env::start().await;
    env.slow_replies(REPLY_MS).await;
    let holder = ProcessName::Entry(env.fleet.topology().entries[0].name.clone());
    let writes = start_writes(&env);
    env.until_a_call_ran().await;
    env.fleet.process(&holder).expect("holder").kill();
    env.assert_no_reply_yet().await;
    if replaced {
        let instance = env.fleet.topology().entries[0].name.clone();
        env.fleet.start_entry(&instance).await.expect("entry");
    }
    let mut unknown = 0;
    for write in writes {
        match write.await.expect("caller") {
            FinalWord::Answered => {}
            FinalWord::Unknown => unknown += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(unknown > 0, "no write was out when its holder died");
    env.assert_clean().await;
}

#[actix_rt::test]
async fn entries_that_race_for_a_key_run_it_once() {
    let mut env = Env::start().await;
    let request = write(Uuid::now_v7());
    let racing: Vec<_> = (0..6)
        .map(|number| {
            let options = CallerOptions::new(number, LIMIT);
            let mut caller = Caller::new(env.fleet.entry_addresses(), options, env.book.clone());
            caller.prefer(env.entry(number as usize % 3));
            let request = request.clone();
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect();
    for caller in racing {
        caller.await.expect("caller");
    }
    let key = request.idempotency_key().expect("key");
    assert_eq!(runs(&env, key).await, 1);
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_key_with_another_body_is_refused_at_every_entry() {
    let mut env = Env::start().await;
    let first = write(Uuid::now_v7());
    ask_answered(&mut env.caller(), first.clone()).await;
    let mut second = first.clone();
    second.id = Uuid::now_v7().to_string();
    if let Ask::Call { body, .. } = &mut second.ask {
        body.push(' ');
    }
    for entry in 0..3 {
        let refused = refusal(&env, entry, &second).await;
        assert_eq!(refused.status, 422);
        assert_eq!(refused.code, RefusalCode::KeyReused);
        assert_eq!(refused.outcome, Outcome::NotRun);
    }
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_key_of_another_account_is_another_key() {
    let env = Env::start().await;
    let first = write(Uuid::now_v7());
    let mut second = first.clone();
    second.id = Uuid::now_v7().to_string();
    second.account = AccountId::from("grill-chain");
    // Each answer carries its own request id, so neither account sees the other's.
    ask_answered(&mut env.caller(), first.clone()).await;
    ask_answered(&mut env.caller(), second).await;
    let key = first.idempotency_key().expect("key");
    assert_eq!(runs(&env, key).await, 2);
}

#[actix_rt::test]
async fn a_key_older_than_what_is_remembered_is_refused() {
    let env = Env::start().await;
    let long_ago = Timestamp::from_unix(uuid::NoContext, 1_500_000_000, 0);
    let old = write(Uuid::new_v7(long_ago));
    let refused = refusal(&env, 0, &old).await;
    assert_eq!(refused.status, 409);
    assert_eq!(refused.code, RefusalCode::KeyTooOld);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert_eq!(env.calls().await, 0);
}

#[actix_rt::test]
async fn a_repeat_gets_the_recorded_answer_at_another_entry() {
    let mut env = Env::start().await;
    let request = write(Uuid::now_v7());
    for entry in 0..3 {
        let mut caller = env.caller();
        caller.prefer(env.entry(entry));
        ask_answered(&mut caller, request.clone()).await;
    }
    let key = request.idempotency_key().expect("key");
    assert_eq!(runs(&env, key).await, 1);
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_reply_lost_by_the_endpoint_is_unknown_and_not_sent_again() {
    let mut env = Env::start().await;
    for replica in &env.fleet.topology().applications {
        env.fault(replica.address, Fault::lose_replies(1)).await;
    }
    let request = write(Uuid::now_v7());
    let word = env.caller().ask(request.clone()).await;
    assert_eq!(word, FinalWord::Unknown);
    let key = request.idempotency_key().expect("key");
    assert_eq!(runs(&env, key).await, 1);
    env.assert_clean().await;
}
