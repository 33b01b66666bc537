//! Processes that die or freeze while streams run.

use std::time::Duration;

use fescue_bench::caller::{Caller, CallerOptions};
use fescue_bench::fleet::{Fleet, ProcessName};
use fescue_bench::standin::faults::Fault;
use fescueshore::ids::EndpointId;
use serde::Deserialize;

use crate::env::{
    Env, LIMIT, Task, all_answered, ask_answered, assert_recovery, eventually, spawn, stream,
};

/// Tokens of the streams: they last a few seconds.
const TOKENS: u32 = 200;
/// Streams that run side by side: two for each engine at the first stage.
const STREAMS: usize = 8;

#[derive(Deserialize)]
struct Progress {
    stages_begun: u64,
    runs: u64,
}

/// Streams from one caller each, all at once, to the given entries.
fn start_streams(env: &Env, count: usize) -> Vec<Task> {
    (0..count)
        .map(|number| {
            let mut caller = env.caller();
            let request = stream(&format!("stream number {number}"), TOKENS);
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect()
}

async fn progress(fleet: &Fleet, endpoint: &EndpointId) -> Progress {
    let engine = fleet.engine(endpoint).expect("engine");
    let page = fleet.standins().get(engine.address, "/standin/counters");
    page.await.expect("counters")
}

/// Waits until an engine has run some steps of a stream. While none of the streams has come to it and
/// all have ended, as many more are started: which engines a chain runs over is the router's choice.
async fn until_engine_works(env: &Env, endpoint: &EndpointId, streams: &mut Vec<Task>) {
    eventually("the engine works", async || {
        if streams.iter().all(Task::is_finished) {
            streams.extend(start_streams(env, STREAMS));
        }
        let progress = progress(&env.fleet, endpoint).await;
        progress.stages_begun > 0 && progress.runs > 5
    })
    .await;
}

/// Kills engines of processes of their own. They run nothing between the reading of their counters
/// and the kill, so that no fault is left out of the tally.
async fn kill_engines(env: &mut Env, engines: &[EndpointId]) {
    for endpoint in engines {
        let address = env.fleet.engine(endpoint).expect("engine").address;
        env.fault(address, Fault::Freeze { for_ms: None }).await;
    }
    for endpoint in engines {
        let kept = env.tally.keep_engine(&env.fleet, endpoint).await;
        kept.expect("counters");
    }
    for endpoint in engines {
        let name = ProcessName::Engine(endpoint.clone());
        env.fleet.process(&name).expect("engine").kill();
    }
}

#[actix_rt::test]
async fn an_engine_killed_in_mid_stream_costs_no_token() {
    let mut env = Env::start_apart(&[0]).await;
    let victim = env.fleet.topology().engines[0].name.clone();
    let mut streams = start_streams(&env, STREAMS);
    until_engine_works(&env, &victim, &mut streams).await;
    kill_engines(&mut env, std::slice::from_ref(&victim)).await;
    env.gone.push(victim);
    all_answered(streams).await;
    assert_recovery(&env, "engine killed");
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_engine_frozen_in_mid_stream_costs_no_token() {
    let mut env = Env::start_apart(&[0]).await;
    let victim = env.fleet.topology().engines[0].name.clone();
    let name = ProcessName::Engine(victim.clone());
    let mut streams = start_streams(&env, STREAMS);
    until_engine_works(&env, &victim, &mut streams).await;
    env.fleet.process(&name).expect("engine").freeze();
    all_answered(streams).await;
    assert_recovery(&env, "engine frozen");
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    env.fleet.process(&name).expect("engine").wake();
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_engine_gone_silent_in_mid_stream_costs_no_token() {
    let mut env = Env::start().await;
    let victim = env.fleet.topology().engines[0].clone();
    let mut streams = start_streams(&env, STREAMS);
    until_engine_works(&env, &victim.name, &mut streams).await;
    env.fault(victim.address, Fault::Freeze { for_ms: None })
        .await;
    all_answered(streams).await;
    assert_recovery(&env, "engine answers nothing");
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    env.fault(victim.address, Fault::Clear).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_entry_killed_in_mid_stream_costs_its_callers_a_retry_only() {
    let mut env = Env::start().await;
    let victim = env.fleet.topology().entries[0].clone();
    // These callers know only the victim at first, so their streams run there.
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let options = CallerOptions::new(number, LIMIT);
            let mut caller = Caller::new(env.fleet.entry_addresses(), options, env.book.clone());
            caller.prefer(victim.address);
            let request = stream(&format!("stream at the victim {number}"), TOKENS);
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect();
    eventually("streams run", async || env.book.borrow().tokens_seen() > 20).await;
    env.fleet
        .process(&ProcessName::Entry(victim.name.clone()))
        .expect("entry")
        .kill();
    let killed_at = std::time::Instant::now();
    all_answered(streams).await;
    assert_recovery(&env, "entry killed");
    assert!(env.book.borrow().counts().broken >= 4, "no stream was cut");
    assert!(killed_at.elapsed() < Duration::from_secs(30));
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_entry_frozen_in_mid_stream_costs_its_callers_a_retry_only() {
    let mut env = Env::start().await;
    let victim = env.fleet.topology().entries[0].clone();
    let name = ProcessName::Entry(victim.name.clone());
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let mut options = CallerOptions::new(number, LIMIT);
            options.patience.silence = Duration::from_secs(2);
            let mut caller = Caller::new(env.fleet.entry_addresses(), options, env.book.clone());
            caller.prefer(victim.address);
            let request = stream(&format!("stream at the victim {number}"), TOKENS);
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect();
    eventually("streams run", async || env.book.borrow().tokens_seen() > 20).await;
    env.fleet.process(&name).expect("entry").freeze();
    all_answered(streams).await;
    assert_recovery(&env, "entry frozen, callers wait 2 s");
    env.fleet.process(&name).expect("entry").wake();
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_engine_replaced_under_its_address_in_mid_stream_costs_no_token() {
    let mut env = Env::start_apart(&[0]).await;
    let victim = env.fleet.topology().engines[0].name.clone();
    let name = ProcessName::Engine(victim.clone());
    let mut streams = start_streams(&env, STREAMS);
    until_engine_works(&env, &victim, &mut streams).await;
    kill_engines(&mut env, std::slice::from_ref(&victim)).await;
    env.fleet.start_standin(&name).await.expect("engine");
    all_answered(streams).await;
    assert_recovery(&env, "engine replaced under its address");
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    // The new process gets work like any other.
    let mut more = start_streams(&env, STREAMS);
    until_engine_works(&env, &victim, &mut more).await;
    all_answered(more).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_engine_that_joins_while_streams_run_gets_work_and_disturbs_none() {
    let mut env = Env::start_apart(&[0]).await;
    let joining = env.fleet.topology().engines[0].name.clone();
    let name = ProcessName::Engine(joining.clone());
    env.fleet.process(&name).expect("engine").kill();
    let streams = start_streams(&env, STREAMS);
    eventually("streams run", async || env.book.borrow().tokens_seen() > 20).await;
    env.fleet.start_standin(&name).await.expect("engine");
    all_answered(streams).await;
    let mut more = start_streams(&env, STREAMS);
    until_engine_works(&env, &joining, &mut more).await;
    all_answered(more).await;
    assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
    env.assert_clean().await;
}

#[actix_rt::test]
async fn engines_that_grow_slow_and_links_that_degrade_cost_no_token() {
    let faults = [
        ("engine 50 times slower", Fault::SlowSteps { factor: 50.0 }),
        (
            "links of an engine 100 times worse",
            Fault::DegradeLinks {
                factor: 100.0,
                peer: None,
            },
        ),
    ];
    for (what, fault) in faults {
        let mut env = Env::start().await;
        let victim = env.fleet.topology().engines[0].clone();
        let mut streams = start_streams(&env, STREAMS);
        until_engine_works(&env, &victim.name, &mut streams).await;
        env.fault(victim.address, fault).await;
        all_answered(streams).await;
        assert_recovery(&env, what);
        assert_eq!(env.book.borrow().counts().broken, 0, "a stream was cut");
        env.assert_clean().await;
    }
}

#[actix_rt::test]
async fn an_availability_zone_lost_at_once_costs_a_retry_at_its_entry_only() {
    let mut env = Env::start_apart(&[4, 5, 6, 7]).await;
    let lost = env.fleet.topology().entries[2].clone();
    let streams = start_streams(&env, STREAMS);
    eventually("streams run", async || env.book.borrow().tokens_seen() > 40).await;
    let engines: Vec<_> = env.fleet.topology().engines[4..].to_vec();
    assert!(engines.iter().all(|engine| engine.zone == lost.zone));
    let engines: Vec<_> = engines.into_iter().map(|engine| engine.name).collect();
    kill_engines(&mut env, &engines).await;
    env.gone.extend(engines);
    for name in [
        ProcessName::Entry(lost.name.clone()),
        ProcessName::Control(lost.name),
    ] {
        env.fleet.process(&name).expect("process").kill();
    }
    all_answered(streams).await;
    assert_recovery(&env, "availability zone lost");
    env.assert_clean().await;
}
