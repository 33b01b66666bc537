//! The table service fails; work that does not need it goes on.

use fescue_bench::caller::{AttemptEnd, Patience, attempt};
use fescue_bench::standin::faults::Fault;
use fescueshore::outcome::{Outcome, RefusalCode};
use uuid::Uuid;

use crate::env::{Env, ask_answered, read, stream, write};

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
