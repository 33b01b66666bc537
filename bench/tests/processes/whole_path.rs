//! From callers through entries to engines and applications, and back.

use fescue_bench::demo;
use fescue_bench::mix::Parts;
use uuid::Uuid;

use crate::env::{Env, all_answered, ask_answered, eventually, read, small, spawn, stream, write};

#[actix_rt::test]
async fn every_kind_of_request_is_answered_whole() {
    let mut env = Env::start().await;
    let mut mix = env.mix(Parts::default());
    let tasks: Vec<_> = (0..4)
        .map(|_| {
            let requests: Vec<_> = (0..10).map(|_| mix.draw()).collect();
            let mut caller = env.caller();
            spawn(async move {
                for request in requests {
                    ask_answered(&mut caller, request).await;
                }
            })
        })
        .collect();
    all_answered(tasks).await;
    env.assert_clean().await;
}

#[actix_rt::test]
async fn the_demo_counts_right_while_an_entry_and_an_engine_die() {
    let env = Env::start().await;
    drop(env.fleet);
    let result = demo::run(small()).await.expect("demo");
    assert!(result.is_good(), "{result:?}");
}

#[actix_rt::test]
async fn two_fleets_run_side_by_side() {
    let (mut first, mut second) = futures_util::join!(Env::start(), Env::start());
    for env in [&mut first, &mut second] {
        let mut caller = env.caller();
        ask_answered(&mut caller, stream("two fleets", 16)).await;
        ask_answered(&mut caller, write(Uuid::now_v7())).await;
        ask_answered(&mut caller, read()).await;
        env.assert_clean().await;
    }
}

#[actix_rt::test]
async fn a_fleet_leaves_no_process_and_no_file_behind() {
    let env = Env::start().await;
    let dir = env.fleet.dir().to_owned();
    let ids: Vec<u32> = env
        .fleet
        .processes()
        .map(|(_, process)| process.id())
        .collect();
    assert!(ids.len() > 10);
    drop(env);
    assert!(!dir.exists());
    eventually("every process is gone", async || {
        ids.iter()
            .all(|id| !std::path::Path::new(&format!("/proc/{id}")).exists())
    })
    .await;
}
