//! The test environment: a small fleet, its callers, and what they saw.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fescue_bench::application::ApplicationCounters;
use fescue_bench::caller::{
    Ask, Book, Caller, CallerOptions, FinalWord, ModelTarget, Request, Shape, SharedBook,
};
use fescue_bench::deployment::{self, Deployment};
use fescue_bench::engine::EngineCounters;
use fescue_bench::fleet::{Fleet, wait_until};
use fescue_bench::mix::{Lengths, Mix, Parts};
use fescue_bench::proxy::Proxy;
use fescue_bench::standin::faults::{Fault, FaultRequest};
use fescue_bench::tally::{Findings, Tally};
use fescueshore::ids::{AccountId, EndpointId, ServiceName, ZoneName};
use fescueshore::wire::platform::{InstancePhase, InstanceRecord, InstanceRole};
use indexmap::IndexMap;
use serde::Deserialize;
use tokio::sync::{Semaphore, SemaphorePermit};
use uuid::Uuid;

/// Fleets that run at once, so that a busy machine gives the same verdict.
const FLEETS_AT_ONCE: usize = 3;
/// How long anything that must happen may take on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Longest time between two tokens at a caller, whatever failed, on a busy machine.
const PAUSE_LIMIT: Duration = Duration::from_secs(5);

static FLEETS: Semaphore = Semaphore::const_new(FLEETS_AT_ONCE);

/// What the table service counted.
#[derive(Deserialize)]
pub struct TableCounters {
    /// Replies cut off after their transaction took effect.
    pub lost_replies: u64,
    /// Rows written, by the first part of their key.
    writes_by_kind: IndexMap<String, u64>,
}

/// A running small fleet.
pub struct Env {
    pub fleet: Fleet,
    pub book: SharedBook,
    pub tally: Tally,
    /// Engines whose process was killed.
    pub gone: Vec<EndpointId>,
    _permit: SemaphorePermit<'static>,
}

pub fn small() -> Deployment {
    deployment::read("small").expect("deployment")
}

impl Env {
    /// Starts the small fleet.
    pub async fn start() -> Self {
        Self::start_with(small(), &[]).await
    }

    /// Starts the small fleet with some engines in processes of their own, by index.
    pub async fn start_apart(engines: &[usize]) -> Self {
        Self::start_with(small(), engines).await
    }

    /// Starts a fleet with some engines in processes of their own, by index.
    pub async fn start_with(deployment: Deployment, engines: &[usize]) -> Self {
        let permit = FLEETS.acquire().await.expect("never closed");
        let mut fleet = Fleet::prepare(deployment).expect("fleet");
        let nodes = &fleet.topology().engines;
        let apart = engines
            .iter()
            .map(|index| nodes[*index].name.clone())
            .collect();
        fleet.run_apart(apart);
        Self::start_fleet(fleet, permit).await
    }

    async fn start_fleet(mut fleet: Fleet, permit: SemaphorePermit<'static>) -> Self {
        if let Err(error) = fleet.start().await {
            panic!("{error}");
        }
        Self {
            fleet,
            book: Rc::new(RefCell::new(Book::default())),
            tally: Tally::default(),
            gone: Vec::new(),
            _permit: permit,
        }
    }

    /// Starts the small fleet with a relay before every control process.
    pub async fn start_with_peer_relays() -> (Self, Vec<Proxy>) {
        let permit = FLEETS.acquire().await.expect("never closed");
        let mut fleet = Fleet::prepare(small()).expect("fleet");
        let mut relays = Vec::new();
        for index in 0..fleet.topology().entries.len() {
            let (relay, listen) = fleet.place_control(index);
            relays.push(Proxy::start(relay, listen).await.expect("relay"));
        }
        let env = Self::start_fleet(fleet, permit).await;
        eventually("the peers use the relays", async || {
            relays.iter().all(|relay| relay.opened() > 0)
        })
        .await;
        (env, relays)
    }

    /// A caller that asks any entry.
    pub fn caller(&self) -> Caller {
        self.caller_at(self.fleet.entry_addresses())
    }

    /// A caller that asks any entry for longer than usual.
    pub fn caller_for(&self, limit: Duration) -> Caller {
        let options = CallerOptions::new(1, limit);
        Caller::new(self.fleet.entry_addresses(), options, self.book.clone())
    }

    /// A caller that asks only these entries for addresses.
    pub fn caller_at(&self, seeds: Vec<SocketAddr>) -> Caller {
        Caller::new(seeds, CallerOptions::new(1, LIMIT), self.book.clone())
    }

    /// Draws requests of the fleet's accounts.
    pub fn mix(&self, parts: Parts) -> Mix {
        Mix::new(self.fleet.deployment(), parts, Lengths::default(), 7)
    }

    /// Address of an entry, by index.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.fleet.topology().entries[index].address
    }

    /// Puts a relay before every engine and waits until the entries use one.
    pub async fn relay_engines(&mut self) -> Vec<Proxy> {
        let nodes = self.fleet.topology().engines.clone();
        let mut relays = Vec::new();
        for node in nodes {
            let name = node.name.as_str();
            let record = record(InstanceRole::Engine, name, Some(&node.service), &node.zone);
            relays.push(self.relay(node.address, record).await);
        }
        eventually("the entries use the relays", async || {
            relays.iter().all(|relay| relay.opened() > 0)
        })
        .await;
        relays
    }

    /// Puts a relay before every replica of the application.
    pub async fn relay_replicas(&mut self) -> Vec<Proxy> {
        let nodes = self.fleet.topology().applications.clone();
        let mut relays = Vec::new();
        for node in nodes {
            let name = node.name.as_str();
            let record = record(
                InstanceRole::Application,
                name,
                Some(&node.service),
                &node.zone,
            );
            relays.push(self.relay(node.address, record).await);
        }
        relays
    }

    /// Puts a relay before an endpoint.
    async fn relay(&mut self, target: SocketAddr, mut record: InstanceRecord) -> Proxy {
        let address = self.fleet.spare_address();
        let proxy = Proxy::start(address, target).await.expect("proxy");
        record.address = address;
        self.list(&record).await;
        proxy
    }

    /// Adds an instance to the platform's list, or replaces it there.
    pub async fn list(&self, record: &InstanceRecord) {
        let list = self.fleet.topology().platform.instances;
        let added = self.fleet.standins().post(list, "/standin/add", record);
        added.await.expect("list");
    }

    /// Counters of the application's replicas.
    pub async fn replicas(&self) -> Vec<ApplicationCounters> {
        let mut all = Vec::new();
        for replica in &self.fleet.topology().applications {
            let page = self
                .fleet
                .standins()
                .get(replica.address, "/standin/counters");
            all.push(page.await.expect("counters"));
        }
        all
    }

    /// Calls that reached the application's replicas.
    pub async fn calls(&self) -> u64 {
        self.replicas().await.iter().map(|one| one.calls).sum()
    }

    /// Makes every replica answer this long after a call ran.
    pub async fn slow_replies(&self, extra_ms: u64) {
        for replica in &self.fleet.topology().applications {
            self.fault(replica.address, Fault::SlowReply { extra_ms })
                .await;
        }
    }

    /// Waits until a call has run. Only with [`Env::slow_replies`] its answer is not out then.
    pub async fn until_a_call_ran(&self) {
        eventually("a call has run", async || {
            self.replicas().await.iter().any(|one| one.runs > 0)
        })
        .await;
    }

    /// Fails if a replica has answered any call: the ones that ran before were then under way.
    pub async fn assert_no_reply_yet(&self) {
        let replies: u64 = self.replicas().await.iter().map(|one| one.replies).sum();
        assert_eq!(replies, 0, "the fault came after an answer");
    }

    /// Counters of the table service.
    pub async fn table(&self) -> TableCounters {
        let table = self.fleet.topology().platform.table;
        let page = self.fleet.standins().get(table, "/standin/counters");
        page.await.expect("counters")
    }

    /// Writes of claims' rows that took effect: claims, releases and records.
    pub async fn claims_written(&self) -> u64 {
        let counters = self.table().await;
        counters
            .writes_by_kind
            .get("claim")
            .copied()
            .unwrap_or_default()
    }

    /// Streams opened at the engines, rebuilt ones included.
    pub async fn streams_opened(&self) -> u64 {
        let mut sum = 0;
        for engine in &self.fleet.topology().engines {
            let page = self
                .fleet
                .standins()
                .get(engine.address, "/standin/counters");
            let counters: EngineCounters = page.await.expect("counters");
            sum += counters.streams_opened;
        }
        sum
    }

    /// Sets a fault at a stand-in.
    pub async fn fault(&self, address: SocketAddr, fault: Fault) {
        let request = FaultRequest::here(fault);
        let set = self
            .fleet
            .standins()
            .post(address, "/standin/faults", &request);
        set.await.expect("fault");
    }

    /// What the stand-ins counted, beside what the callers saw.
    pub async fn findings(&mut self) -> Findings {
        let read = self.tally.read_all(&self.fleet, &self.gone).await;
        if let Err(error) = read {
            panic!("{error}");
        }
        self.tally.judge(&self.book.borrow())
    }

    /// Fails unless nothing was crossed, doubled, run twice or falsely called not-run.
    pub async fn assert_clean(&mut self) {
        let findings = self.findings().await;
        let counts = self.book.borrow().counts();
        assert_eq!(findings.crossed, 0, "{counts:?}");
        assert_eq!(findings.layer_faults, 0);
        assert_eq!(findings.double_runs, 0);
        assert_eq!(findings.false_not_run, 0);
        assert_eq!(counts.doubled + counts.incomplete, 0, "{counts:?}");
        assert_eq!(counts.malformed, 0, "{counts:?}");
    }
}

/// Longest pause of any stream, over all attempts.
pub fn worst_pause(env: &Env) -> Duration {
    let book = env.book.borrow();
    let pauses = book.reports().iter().map(|report| report.longest_pause);
    pauses.max().unwrap_or_default()
}

/// Prints how long the worst stream paused, and fails if that was longer than [`PAUSE_LIMIT`];
/// `cargo test -- --nocapture` shows it.
pub fn assert_recovery(env: &Env, fault: &str) {
    let worst = worst_pause(env);
    let worst_ms = worst.as_millis();
    println!("recovery: {fault}: longest pause of a stream {worst_ms} ms");
    assert!(worst <= PAUSE_LIMIT, "{fault}: {worst_ms} ms");
}

/// Prints how long something took; `cargo test -- --nocapture` shows it.
pub fn print_time(what: &str, took: Duration) {
    println!("recovery: {what}: {} ms", took.as_millis());
}

/// Waits until a condition holds; fails the test if it does not in time.
pub async fn eventually<F>(what: &str, holds: F)
where
    F: AsyncFnMut() -> bool,
{
    assert!(wait_until(LIMIT, holds).await, "never happened: {what}");
}

/// A caller's task that fails the test unless every answer is whole.
pub type Task = actix_rt::task::JoinHandle<()>;

/// Waits for callers and fails with them.
pub async fn all_answered(tasks: Vec<Task>) {
    for task in tasks {
        task.await.expect("caller");
    }
}

/// Runs a task of the test beside it.
pub fn spawn<F>(task: F) -> actix_rt::task::JoinHandle<F::Output>
where
    F: Future + 'static,
{
    actix_rt::spawn(task)
}

fn record(
    role: InstanceRole,
    name: &str,
    service: Option<&ServiceName>,
    zone: &ZoneName,
) -> InstanceRecord {
    InstanceRecord {
        name: name.to_owned(),
        role,
        service: service.cloned(),
        zone: zone.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        control_address: None,
        phase: InstancePhase::Live,
    }
}

pub fn account() -> AccountId {
    AccountId::from("lac-bistro")
}

/// A streamed completion of the small fleet's model.
pub fn stream(prompt: &str, max_tokens: u32) -> Request {
    let ask = Ask::Completion {
        target: ModelTarget {
            service: "menu-mind".into(),
            model: "menu-mind-24b".to_owned(),
            version: "2026-11".to_owned(),
            adapter: None,
        },
        prompt: prompt.to_owned(),
        max_tokens,
        shape: Shape::Text,
        streamed: true,
    };
    Request::new(&account(), ask)
}

/// A non-idempotent call under a key.
pub fn write(key: Uuid) -> Request {
    call("POST", "/stock-counts", Some(key))
}

/// An idempotent call.
pub fn read() -> Request {
    call("GET", "/prices", None)
}

fn call(method: &'static str, path: &str, key: Option<Uuid>) -> Request {
    let ask = Ask::Call {
        service: "ledger-api".into(),
        method,
        path: path.to_owned(),
        body: key
            .map(|key| format!("{{\"count\":\"{key}\"}}"))
            .unwrap_or_default(),
        key: key.map(|key| key.to_string()),
    };
    Request::new(&account(), ask)
}

/// Asks and fails the test unless the whole answer comes.
pub async fn ask_answered(caller: &mut Caller, request: Request) {
    assert_eq!(caller.ask(request).await, FinalWord::Answered);
}
