//! The table service fails; work that does not need it goes on.

use std::time::{Duration, Instant};

use fescue_bench::caller::{AttemptEnd, Caller, FinalWord, Patience, Request, attempt};
use fescue_bench::fleet::wait_until;
use fescue_bench::standin::faults::Fault;
use fescueshore::outcome::{Outcome, RefusalCode};
use uuid::Uuid;

use crate::env::{
    Env, LIMIT, all_answered, ask_answered, eventually, print_time, read, spawn, stream, write,
};

/// An outage of more than a minute.
const OUTAGE: Duration = Duration::from_secs(75);

/// How long the table stays frozen once a claim is known to be under way in it.
const FROZEN: Duration = Duration::from_secs(6);

/// Key of the row that holds the claim of a write.
fn claim_row(request: &Request) -> String {
    let key = request.idempotency_key().expect("key");
    format!("claim/ledger-api/{}/{key}", request.account)
}

#[actix_rt::test]
async fn in_a_table_outage_idempotent_work_goes_on_and_the_rest_is_refused_not_run() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    env.fault(table, Fault::Outage).await;
    let mut caller = env.caller();
    ask_answered(&mut caller, stream("during the outage", 16)).await;
    ask_answered(&mut caller, read()).await;
    let count = write(Uuid::now_v7());
    let http = awc::Client::default();
    let refused = attempt(&http, env.entry(0), &count, Patience::default(), || ()).await;
    let AttemptEnd::Refused(refused) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refused.code, RefusalCode::StoreUnavailable);
    assert_eq!(refused.outcome, Outcome::NotRun);
    assert!(refused.retry_after_ms.is_some());
    env.fault(table, Fault::Clear).await;
    ask_answered(&mut caller, count).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_claim_whose_reply_was_lost_runs_once() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    let mut caller = env.caller();
    for round in 1..=5 {
        let request = write(Uuid::now_v7());
        // The first write to this row is the claim.
        let row = claim_row(&request);
        env.fault(table, Fault::lose_replies_of(&row, 1)).await;
        ask_answered(&mut caller, request).await;
        assert_eq!(env.table().await.lost_replies, round);
    }
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_answer_that_cannot_be_recorded_reaches_its_caller_and_runs_once() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    env.slow_replies(2_000).await;
    let request = write(Uuid::now_v7());
    let mut caller = env.caller();
    let asked = request.clone();
    let asking = spawn(async move { ask_answered(&mut caller, asked).await });
    // The claim is written and the call has run; then the store goes down.
    env.until_a_call_ran().await;
    env.fault(table, Fault::Outage).await;
    env.assert_no_reply_yet().await;
    all_answered(vec![asking]).await;
    env.fault(table, Fault::Clear).await;
    let word = env.caller().ask(request).await;
    assert!(
        matches!(word, FinalWord::Answered | FinalWord::Unknown),
        "{word:?}"
    );
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_store_that_answers_late_delays_a_write_and_doubles_none() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    env.fault(table, Fault::Slow { extra_ms: 800 }).await;
    let writes = (0..6)
        .map(|_| {
            let mut caller = env.caller();
            spawn(async move { ask_answered(&mut caller, write(Uuid::now_v7())).await })
        })
        .collect();
    all_answered(writes).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_store_that_freezes_under_claims_doubles_none() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    // The callers begin one after another, all within one call of the table: when the first claim is
    // written, those of the others have been sent and wait.
    env.fault(table, Fault::Slow { extra_ms: 700 }).await;
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let caller = env.caller();
            spawn(async move {
                actix_rt::time::sleep(number * Duration::from_millis(100)).await;
                write_thrice(caller).await;
            })
        })
        .collect();
    eventually("a claim is written", async || {
        env.claims_written().await > 0
    })
    .await;
    env.fault(table, Fault::Freeze { for_ms: None }).await;
    let before = env.claims_written().await;
    // Whatever is written now was sent before the freeze, and its reply waits for the end of it.
    let under_way = wait_until(Duration::from_secs(3), async || {
        env.claims_written().await > before
    });
    assert!(under_way.await, "no claim was under way");
    actix_rt::time::sleep(FROZEN).await;
    env.fault(table, Fault::Clear).await;
    for caller in callers {
        caller.await.expect("caller");
    }
    env.assert_clean().await;
}

/// Asks for three writes; each is answered or its result not known.
async fn write_thrice(mut caller: Caller) {
    for _ in 0..3 {
        let word = caller.ask(write(Uuid::now_v7())).await;
        assert!(
            matches!(word, FinalWord::Answered | FinalWord::Unknown),
            "{word:?}"
        );
    }
}

#[actix_rt::test]
async fn a_table_outage_of_more_than_a_minute_stops_no_idempotent_work() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    env.fault(table, Fault::Outage).await;
    let end = Instant::now() + OUTAGE;
    let mut caller = env.caller_for(OUTAGE + LIMIT);
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        ask_answered(&mut caller, stream(&format!("stream {count}"), 24)).await;
        ask_answered(&mut caller, read()).await;
    }
    let worst = worst_time(&env);
    assert!(
        worst < Duration::from_secs(10),
        "one request took {worst:?}"
    );
    env.fault(table, Fault::Clear).await;
    let back = Instant::now();
    ask_answered(&mut caller, write(Uuid::now_v7())).await;
    print_time("first write after a table outage of 75 s", back.elapsed());
    env.assert_clean().await;
}

fn worst_time(env: &Env) -> Duration {
    let book = env.book.borrow();
    let times = book.reports().iter().map(|report| report.took);
    times.max().unwrap_or_default()
}
