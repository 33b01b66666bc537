//! Open connections that go silent for good while new ones work.

use std::time::Duration;

use fescue_bench::caller::{
    AttemptEnd, BrokenBy, Caller, CallerOptions, FinalWord, Patience, attempt, check_answer,
};
use fescue_bench::proxy::Proxy;
use fescue_bench::standin::faults::Fault;
use uuid::Uuid;

use crate::env::{
    Env, LIMIT, all_answered, ask_answered, assert_recovery, eventually, print_time, read, spawn,
    stream, worst_pause, write,
};

const TOKENS: u32 = 120;

#[actix_rt::test]
async fn silence_towards_engines_costs_no_token() {
    let mut env = Env::start().await;
    let relays = env.relay_engines().await;
    let streams = (0..6)
        .map(|number| {
            let mut caller = env.caller();
            let request = stream(&format!("stream number {number}"), TOKENS);
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect();
    eventually("streams run", async || env.book.borrow().tokens_seen() > 30).await;
    assert!(relays.iter().any(|relay| relay.opened() > 0));
    relays.iter().for_each(Proxy::silence);
    all_answered(streams).await;
    print_time(
        "connections of all entries to all engines silent",
        worst_pause(&env),
    );
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    env.assert_clean().await;
}

#[actix_rt::test]
async fn silence_towards_replicas_delays_reads_only() {
    let mut env = Env::start().await;
    let relays = env.relay_replicas().await;
    let mut caller = env.caller();
    eventually("the relays are used", async || {
        ask_answered(&mut caller, read()).await;
        ask_answered(&mut caller, write(Uuid::now_v7())).await;
        relays.iter().all(|relay| relay.opened() > 0)
    })
    .await;
    relays.iter().for_each(Proxy::silence);
    ask_answered(&mut caller, read()).await;
    // A write on a connection that is silent already may have run for all anyone knows.
    for _ in 0..4 {
        let word = caller.ask(write(Uuid::now_v7())).await;
        assert!(
            matches!(word, FinalWord::Answered | FinalWord::Unknown),
            "{word:?}"
        );
    }
    ask_answered(&mut caller, write(Uuid::now_v7())).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_caller_whose_connection_went_silent_joins_its_stream_again() {
    let mut env = Env::start().await;
    let address = env.fleet.spare_address();
    let relay = Proxy::start(address, env.entry(0)).await.expect("proxy");
    let mut options = CallerOptions::new(1, LIMIT);
    options.patience.silence = Duration::from_secs(3);
    let mut caller = Caller::new(env.fleet.entry_addresses(), options, env.book.clone());
    caller.prefer(address);
    let request = stream("a stream that goes silent", TOKENS);
    let asking = spawn(async move { ask_answered(&mut caller, request).await });
    eventually("the stream runs", async || {
        env.book.borrow().tokens_seen() > 5
    })
    .await;
    relay.silence();
    all_answered(vec![asking]).await;
    assert!(env.book.borrow().counts().broken > 0, "nothing went silent");
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_caller_that_comes_back_under_its_request_id_joins_the_running_answer() {
    let mut env = Env::start().await;
    let address = env.fleet.spare_address();
    let relay = Proxy::start(address, env.entry(0)).await.expect("proxy");
    let http = awc::Client::default();
    let request = stream("a stream to come back to", TOKENS);
    let mut tokens = 0;
    let patience = Patience {
        silence: Duration::from_secs(1),
        ..Patience::default()
    };
    let first = attempt(&http, address, &request, patience, || {
        tokens += 1;
        if tokens == 5 {
            relay.silence();
        }
    });
    assert_eq!(first.await, AttemptEnd::Broken(BrokenBy::Silent));
    let second = attempt(&http, env.entry(0), &request, Patience::default(), || ());
    let AttemptEnd::Answered(answer) = second.await else {
        panic!("no whole answer");
    };
    assert_eq!(check_answer(&request, &answer), Ok(()));
    assert_eq!(
        env.streams_opened().await,
        1,
        "the answer was generated twice"
    );
    env.assert_clean().await;
}

#[actix_rt::test]
async fn silent_links_between_engines_cost_no_token() {
    let mut env = Env::start().await;
    let engines = env.fleet.topology().engines.clone();
    let streams = (0..6)
        .map(|number| {
            let mut caller = env.caller();
            let request = stream(&format!("stream number {number}"), TOKENS);
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect();
    eventually("streams run", async || env.book.borrow().tokens_seen() > 30).await;
    for engine in &engines[..4] {
        env.fault(engine.address, Fault::SilenceLinks { peer: None })
            .await;
    }
    all_answered(streams).await;
    assert_recovery(&env, "links of four engines silent");
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    env.assert_clean().await;
}
