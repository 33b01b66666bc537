//! The table service fails; work that does not need it goes on.

use fescue_bench::caller::{AttemptEnd, FinalWord, Patience, attempt};
use fescue_bench::standin::faults::Fault;
use fescueshore::outcome::{Outcome, RefusalCode};
use uuid::Uuid;

use crate::env::{Env, all_answered, ask_answered, eventually, read, spawn, stream, write};

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
    for _ in 0..5 {
        env.fault(table, Fault::LoseReplies { count: 1 }).await;
        ask_answered(&mut caller, write(Uuid::now_v7())).await;
    }
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_answer_that_cannot_be_recorded_reaches_its_caller_and_runs_once() {
    let mut env = Env::start().await;
    let table = env.fleet.topology().platform.table;
    for replica in &env.fleet.topology().applications {
        env.fault(replica.address, Fault::Slow { extra_ms: 1_500 })
            .await;
    }
    let request = write(Uuid::now_v7());
    let mut caller = env.caller();
    let asked = request.clone();
    let asking = spawn(async move { ask_answered(&mut caller, asked).await });
    // The claim is written and the call is out; then the store goes down.
    eventually("the call is out", async || env.calls().await > 0).await;
    env.fault(table, Fault::Outage).await;
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
    let writes: Vec<_> = (0..6)
        .map(|_| {
            let mut caller = env.caller();
            spawn(async move { caller.ask(write(Uuid::now_v7())).await })
        })
        .collect();
    env.fault(
        table,
        Fault::Freeze {
            for_ms: Some(6_000),
        },
    )
    .await;
    for write in writes {
        let word = write.await.expect("caller");
        assert!(
            matches!(word, FinalWord::Answered | FinalWord::Unknown),
            "{word:?}"
        );
    }
    env.assert_clean().await;
}
