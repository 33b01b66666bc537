//! Planned stops: nothing in flight is cut.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::StatusCode;
use fescue_bench::caller::{AttemptEnd, BrokenBy, Caller, CallerOptions, Patience, attempt};
use fescue_bench::fleet::ProcessName;
use fescueshore::exit_codes::Exit;
use fescueshore::ids::InstanceId;
use fescueshore::outcome::{Outcome, RefusalCode};
use fescueshore::wire::locate::LocateResponse;
use uuid::Uuid;

use crate::env::{Env, LIMIT, Task, all_answered, ask_answered, eventually, read, spawn, stream};

/// Tokens of the streams: they last a few seconds.
const TOKENS: u32 = 120;
const STREAMS: u64 = 4;

/// Streams that run at one entry.
async fn streams_at(env: &Env, index: usize) -> Vec<Task> {
    let streams = (0..STREAMS)
        .map(|number| {
            let options = CallerOptions::new(number, LIMIT);
            let mut caller = Caller::new(env.fleet.entry_addresses(), options, env.book.clone());
            caller.prefer(env.entry(index));
            let request = stream(&format!("stream at {index}, {number}"), TOKENS);
            spawn(async move { ask_answered(&mut caller, request).await })
        })
        .collect();
    eventually("streams run", async || env.book.borrow().tokens_seen() > 20).await;
    streams
}

fn instance(env: &Env, index: usize) -> InstanceId {
    env.fleet.topology().entries[index].name.clone()
}

/// Fails unless no stream was cut.
fn assert_uncut(env: &Env) {
    let counts = env.book.borrow().counts();
    assert_eq!(counts.broken, 0, "{counts:?}");
    assert_eq!(counts.attempts, counts.asked, "{counts:?}");
}

/// Fails if an entry told to stop closed an attempt that it had begun to answer, or that was on
/// its way before.
fn assert_none_cut(env: &Env, entry: SocketAddr, told: Instant) {
    let book = env.book.borrow();
    let cut = book.broken().iter().find(|attempt| {
        let cut = match attempt.by {
            BrokenBy::Closed { after_head } => after_head || attempt.began < told,
            BrokenBy::Silent => true,
            BrokenBy::NotConnected => false,
        };
        attempt.entry == entry && cut
    });
    assert!(cut.is_none(), "{cut:?}");
}

#[actix_rt::test]
async fn a_stopped_entry_ends_its_streams_and_then_itself() {
    let mut env = Env::start().await;
    let streams = streams_at(&env, 0).await;
    let entry = ProcessName::Entry(instance(&env, 0));
    env.fleet.process(&entry).expect("entry").terminate();
    all_answered(streams).await;
    assert_uncut(&env);
    let ended = env
        .fleet
        .process(&entry)
        .expect("entry")
        .wait_end(LIMIT)
        .await;
    assert!(ended.expect("end").success());
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_stopping_entry_moves_callers_on() {
    let mut env = Env::start().await;
    let streams = streams_at(&env, 0).await;
    let entry = ProcessName::Entry(instance(&env, 0));
    env.fleet.process(&entry).expect("entry").terminate();
    let http = awc::Client::default();
    let stopping = env.entry(0);
    eventually("readyz says that the entry stops", async || {
        let sent = http.get(format!("http://{stopping}/readyz")).send().await;
        sent.is_ok_and(|response| response.status() == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let refused = attempt(&http, stopping, &read(), Patience::default(), || ()).await;
    let AttemptEnd::Refused(refused) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(refused.code, RefusalCode::Stopping);
    assert_eq!(refused.outcome, Outcome::NotRun);
    for index in [1, 2] {
        let other = env.entry(index);
        eventually("locate no longer names the entry", async || {
            let located = locate(&http, other).await;
            located.is_some_and(|answer| answer.entries.iter().all(|e| e.address != stopping))
        })
        .await;
    }
    all_answered(streams).await;
    assert_uncut(&env);
}

async fn locate(http: &awc::Client, entry: std::net::SocketAddr) -> Option<LocateResponse> {
    let url = format!("http://{entry}/v1/locate?service=ledger-api");
    http.get(url).send().await.ok()?.json().await.ok()
}

#[actix_rt::test]
async fn a_stopped_control_cuts_nothing() {
    let mut env = Env::start().await;
    let streams = streams_at(&env, 0).await;
    let control = ProcessName::Control(instance(&env, 0));
    env.fleet.process(&control).expect("control").terminate();
    let ended = env
        .fleet
        .process(&control)
        .expect("control")
        .wait_end(LIMIT)
        .await;
    assert!(ended.expect("end").success());
    all_answered(streams).await;
    assert_uncut(&env);
    let mut caller = env.caller();
    caller.prefer(env.entry(0));
    ask_answered(&mut caller, stream("without control", 16)).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_instance_whose_processes_are_both_stopped_cuts_nothing() {
    let mut env = Env::start().await;
    let streams = streams_at(&env, 0).await;
    let name = instance(&env, 0);
    let names = [ProcessName::Control(name.clone()), ProcessName::Entry(name)];
    for name in &names {
        env.fleet.process(name).expect("process").terminate();
    }
    all_answered(streams).await;
    for name in &names {
        let ended = env
            .fleet
            .process(name)
            .expect("process")
            .wait_end(LIMIT)
            .await;
        assert!(ended.expect("end").success());
    }
    assert_uncut(&env);
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_second_signal_forces_the_stop_and_says_what_it_cut() {
    let mut env = Env::start().await;
    let streams = streams_at(&env, 0).await;
    let name = ProcessName::Entry(instance(&env, 0));
    let stopping = env.entry(0);
    let standins = env.fleet.standins().clone();
    let entry = env.fleet.process(&name).expect("entry");
    entry.terminate();
    eventually("the first signal is taken", async || {
        !standins.is_ok(stopping, "/readyz").await
    })
    .await;
    entry.terminate();
    let ended = entry.wait_end(Duration::from_secs(10)).await.expect("end");
    assert_eq!(ended.code(), Some(i32::from(Exit::Forced.code())));
    let log = entry.log();
    assert!(log.contains("cut"), "{log}");
    // The callers come back elsewhere and get whole answers.
    all_answered(streams).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_stated_limit_forces_the_stop_and_says_what_it_cut() {
    let mut env = Env::start().await;
    env.fleet.limit_stops(1);
    let name = instance(&env, 0);
    let entry = ProcessName::Entry(name.clone());
    env.fleet.process(&entry).expect("entry").kill();
    env.fleet.start_entry(&name).await.expect("entry");
    let streams = streams_at(&env, 0).await;
    let told = Instant::now();
    let process = env.fleet.process(&entry).expect("entry");
    process.terminate();
    let ended = process.wait_end(Duration::from_secs(10)).await;
    let forced = i32::from(Exit::Forced.code());
    assert_eq!(ended.expect("end").code(), Some(forced));
    assert!(told.elapsed() >= Duration::from_secs(1));
    assert!(process.log().contains("cut"), "{}", process.log());
    all_answered(streams).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn callers_that_go_on_asking_a_stopping_entry_are_cut_in_no_answer() {
    let mut env = Env::start().await;
    let streams = streams_at(&env, 0).await;
    let stopping = env.entry(0);
    let asking: Vec<_> = (0..4).map(|_| spawn(ask_until_gone(stopping))).collect();
    let name = ProcessName::Entry(instance(&env, 0));
    env.fleet.process(&name).expect("entry").terminate();
    all_answered(streams).await;
    assert_uncut(&env);
    let process = env.fleet.process(&name).expect("entry");
    assert!(process.wait_end(LIMIT).await.expect("end").success());
    let mut refused = 0;
    for caller in asking {
        refused += caller.await.expect("caller");
    }
    assert!(refused > 0, "nobody was told that the entry stops");
    env.assert_clean().await;
}

/// Asks one entry over kept connections until it is gone; returns how often it said that it stops.
async fn ask_until_gone(entry: SocketAddr) -> u32 {
    let http = awc::Client::default();
    let mut stopping = 0;
    loop {
        match attempt(&http, entry, &read(), Patience::default(), || ()).await {
            AttemptEnd::Answered(_) => {}
            AttemptEnd::Refused(refused) => {
                assert_eq!(refused.code, RefusalCode::Stopping);
                assert_eq!(refused.outcome, Outcome::NotRun);
                stopping += 1;
            }
            AttemptEnd::Broken(BrokenBy::NotConnected) => return stopping,
            // The connection was closed before it brought any answer: nothing was begun.
            AttemptEnd::Broken(BrokenBy::Closed { after_head: false }) => {}
            other => panic!("{other:?}"),
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn every_instance_is_replaced_in_turn_under_load() {
    let mut env = Env::start().await;
    let stop = std::rc::Rc::new(std::cell::Cell::new(false));
    let load: Vec<Task> = (0..4)
        .map(|number| {
            let mut caller = env.caller();
            let stop = stop.clone();
            spawn(async move {
                let mut count = 0;
                while !stop.get() {
                    count += 1;
                    let prompt = format!("caller {number}, request {count}");
                    ask_answered(&mut caller, stream(&prompt, 24)).await;
                    ask_answered(&mut caller, crate::env::write(Uuid::now_v7())).await;
                }
            })
        })
        .collect();
    let mut stops = Vec::new();
    for index in 0..env.fleet.topology().entries.len() {
        let name = instance(&env, index);
        stops.push((env.entry(index), Instant::now()));
        for process in [
            ProcessName::Control(name.clone()),
            ProcessName::Entry(name.clone()),
        ] {
            env.fleet.process(&process).expect("process").terminate();
        }
        for process in [
            ProcessName::Control(name.clone()),
            ProcessName::Entry(name.clone()),
        ] {
            let process = env.fleet.process(&process).expect("process");
            assert!(process.wait_end(LIMIT).await.expect("end").success());
        }
        env.fleet.start_control(&name).await.expect("control");
        env.fleet.start_entry(&name).await.expect("entry");
    }
    stop.set(true);
    all_answered(load).await;
    let counts = env.book.borrow().counts();
    assert!(counts.answered > 10, "{counts:?}");
    for (entry, told) in stops {
        assert_none_cut(&env, entry, told);
    }
    env.assert_clean().await;
}
