//! Endpoints that leave get no new work within 3 s of the first sign, wherever it shows.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescue_bench::application::ApplicationCounters;
use fescue_bench::engine::EngineCounters;
use fescue_bench::fleet::{connect_control, operator_key};
use fescue_bench::instances::SetPhase;
use fescue_bench::standin::faults::{Fault, FaultRequest};
use fescueshore::ids::EndpointId;
use fescueshore::rpc::OperatorApiClient;
use fescueshore::wire::platform::InstancePhase;

use crate::documents::{accept_change, document_text};
use crate::env::{Env, Task, all_answered, ask_answered, eventually, read, spawn, stream};

/// How long after the first sign an endpoint may get new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// How long it is watched then.
const WATCH: Duration = Duration::from_secs(4);

/// Callers, as many at each entry. During the watch there must be a new stream for each.
const CALLERS: u64 = 6;

/// Callers at every entry that ask until told to stop.
struct Load {
    stop: Rc<Cell<bool>>,
    tasks: Vec<Task>,
}

impl Load {
    fn start(env: &Env) -> Self {
        let stop = Rc::new(Cell::new(false));
        let tasks = (0..CALLERS)
            .map(|number| {
                let mut caller = env.caller();
                caller.prefer(env.entry(number as usize % 3));
                let stop = stop.clone();
                spawn(async move {
                    let mut count = 0;
                    while !stop.get() {
                        count += 1;
                        let prompt = format!("caller {number}, request {count}");
                        ask_answered(&mut caller, stream(&prompt, 24)).await;
                        ask_answered(&mut caller, read()).await;
                    }
                })
            })
            .collect();
        Self { stop, tasks }
    }

    async fn end(self) {
        self.stop.set(true);
        all_answered(self.tasks).await;
    }
}

async fn stages_begun(env: &Env, address: SocketAddr) -> u64 {
    let page = env.fleet.standins().get(address, "/standin/counters");
    let counters: EngineCounters = page.await.expect("counters");
    counters.stages_begun
}

async fn until_used(env: &Env, address: SocketAddr) {
    eventually("the engine is used", async || {
        stages_begun(env, address).await > 3
    })
    .await;
}

/// Waits until an instance knows that an endpoint leaves.
async fn until_known(env: &Env, index: usize, endpoint: &EndpointId) {
    let control = env.fleet.control_address(index);
    let client = connect_control(control).await.expect("control");
    eventually("the instance knows", async || {
        let status = client.status(operator_key("amira")).await.expect("status");
        status
            .endpoints
            .iter()
            .any(|e| e.endpoint == *endpoint && e.phase == InstancePhase::Leaving)
    })
    .await;
}

/// Fails if an engine begins a stage once the limit has passed.
async fn assert_no_new_work(env: &Env, address: SocketAddr) {
    actix_rt::time::sleep(LEAVING_LIMIT).await;
    let begun = stages_begun(env, address).await;
    let (opened, ended) = (env.streams_opened().await, env.book.borrow().ended());
    actix_rt::time::sleep(WATCH).await;
    // There was work all the time, which other engines got.
    assert!(env.streams_opened().await >= opened + CALLERS);
    assert!(env.book.borrow().ended() >= ended + CALLERS);
    assert_eq!(
        stages_begun(env, address).await,
        begun,
        "the engine got new work"
    );
}

#[actix_rt::test]
async fn an_endpoint_leaving_by_a_list_that_lags_at_most_readers_gets_no_new_work() {
    let mut env = Env::start().await;
    let engine = env.fleet.topology().engines[0].clone();
    let list = env.fleet.topology().platform.instances;
    for (index, entry) in env.fleet.topology().entries.iter().enumerate() {
        let lag_ms = if index == 0 { 0 } else { 10_000 };
        let reader = Some(entry.name.to_string());
        env.fault(list, Fault::Lag { lag_ms, reader }).await;
    }
    let load = Load::start(&env);
    until_used(&env, engine.address).await;
    let phase = SetPhase {
        name: engine.name.to_string(),
        phase: InstancePhase::Leaving,
    };
    let set = env.fleet.standins().post(list, "/standin/phase", &phase);
    set.await.expect("phase");
    until_known(&env, 0, &engine.name).await;
    assert_no_new_work(&env, engine.address).await;
    load.end().await;
    assert_eq!(env.book.borrow().counts().broken, 0);
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_engine_that_says_it_drains_gets_no_new_work() {
    let mut env = Env::start().await;
    let engine = env.fleet.topology().engines[0].clone();
    let load = Load::start(&env);
    until_used(&env, engine.address).await;
    let drain = FaultRequest::here(Fault::Drain);
    let set = env
        .fleet
        .standins()
        .post(engine.address, "/standin/faults", &drain);
    set.await.expect("fault");
    assert_no_new_work(&env, engine.address).await;
    load.end().await;
    assert_eq!(env.book.borrow().counts().broken, 0);
    env.assert_clean().await;
}

#[actix_rt::test]
async fn an_engine_that_the_document_names_as_leaving_gets_no_new_work() {
    let mut env = Env::start().await;
    let engine = env.fleet.topology().engines[0].clone();
    let load = Load::start(&env);
    until_used(&env, engine.address).await;
    let leaving = format!("leaving = [\"{}\"]", engine.name);
    let text = document_text("menu-mind").replace("leaving = []", &leaving);
    accept_change(&env, 1, "menu-mind", 1, &text).await;
    assert_no_new_work(&env, engine.address).await;
    load.end().await;
    assert_eq!(env.book.borrow().counts().broken, 0);
    env.assert_clean().await;
}

#[actix_rt::test]
async fn a_leaving_replica_of_an_application_gets_no_new_work() {
    let mut env = Env::start().await;
    let replica = env.fleet.topology().applications[0].clone();
    let list = env.fleet.topology().platform.instances;
    let load = Load::start(&env);
    eventually("the replica is used", async || {
        calls_at(&env, replica.address).await > 3
    })
    .await;
    let phase = SetPhase {
        name: replica.name.to_string(),
        phase: InstancePhase::Leaving,
    };
    let set = env.fleet.standins().post(list, "/standin/phase", &phase);
    set.await.expect("phase");
    until_known(&env, 0, &replica.name).await;
    actix_rt::time::sleep(LEAVING_LIMIT).await;
    let calls = calls_at(&env, replica.address).await;
    actix_rt::time::sleep(WATCH).await;
    assert_eq!(
        calls_at(&env, replica.address).await,
        calls,
        "it got new work"
    );
    load.end().await;
    env.assert_clean().await;
}

async fn calls_at(env: &Env, address: SocketAddr) -> u64 {
    let page = env.fleet.standins().get(address, "/standin/counters");
    let counters: ApplicationCounters = page.await.expect("counters");
    counters.calls
}
