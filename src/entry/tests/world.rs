//! Simulation of two entries in virtual time, with engines, replicas and a table service that fail
//! at random by seed, and callers that retry until they are answered.

mod fleet;
mod requests;
mod table;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use self::fleet::Fleet;
use self::requests::SimulatedRequests;
use self::table::Table;
use super::fixture::*;
use crate::entry::Entry;
use crate::instance::{CallId, EntryEffect, EntryMessage, TICK_MS};
use crate::routing::FlowWeighted;

/// How long faults are injected.
const FAULT_PERIOD_MS: u64 = 12_000;
/// Time limit for answering all callers after the last fault.
const RECOVERY_TIMEOUT_MS: u64 = 180_000;

/// One process lifetime of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lifetime {
    entry: usize,
    number: u32,
}

/// A call made during a process lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    by: Lifetime,
    call: CallId,
}

#[derive(Debug)]
enum Event {
    /// A message is delivered to an entry.
    Deliver(Lifetime, Box<EntryMessage>),
    /// An effect arrives at an engine or a replica.
    Arrive(Lifetime, Box<EntryEffect>),
    /// The next position of a stream is due.
    Step(usize),
    /// A request is sent or retried.
    Submit(usize),
    /// The caller of a request closes its connection.
    Disconnect(usize),
}

struct Node {
    entry: Entry<FlowWeighted>,
    lifetime: Lifetime,
    frozen_until_ms: u64,
    stopped: bool,
}

struct Simulation {
    rng: SmallRng,
    now_ms: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: IndexMap<u64, Event>,
    scheduled: u64,
    nodes: Vec<Node>,
    table: Table,
    fleet: Fleet,
    requests: SimulatedRequests,
    faults_enabled: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let requests = SimulatedRequests::new(&mut rng);
        let mut simulation = Self {
            rng,
            now_ms: 0,
            due: BinaryHeap::new(),
            events: IndexMap::new(),
            scheduled: 0,
            nodes: Vec::new(),
            table: Table::default(),
            fleet: Fleet::new(),
            requests,
            faults_enabled: true,
        };
        for entry in 0..2 {
            let node = simulation.start(Lifetime { entry, number: 0 });
            simulation.nodes.push(node);
        }
        simulation.schedule_requests();
        simulation
    }

    fn start(&mut self, lifetime: Lifetime) -> Node {
        let mut config = config(self.rng.random());
        config.instance = format!("entry-{}", lifetime.entry).as_str().into();
        config.advertise = address(7001 + lifetime.entry as u16);
        let mut entry = Entry::new(config, FlowWeighted);
        let snapshot = snapshot(1);
        entry.handle(EntryMessage::SnapshotChanged { snapshot }, self.now_ms);
        Node {
            entry,
            lifetime,
            frozen_until_ms: 0,
            stopped: false,
        }
    }

    fn schedule(&mut self, wait_ms: u64, event: Event) {
        self.scheduled += 1;
        self.due
            .push(Reverse((self.now_ms + wait_ms, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn draw(&mut self, from: u64, to: u64) -> u64 {
        self.rng.random_range(from..to)
    }

    /// True with probability 1 in `of` while faults are injected.
    fn draw_fault(&mut self, of: u32) -> bool {
        self.faults_enabled && self.rng.random_range(0..of) == 0
    }

    /// Schedules the delivery of a message to an entry.
    fn send(&mut self, wait_ms: u64, to: Lifetime, message: EntryMessage) {
        self.schedule(wait_ms, Event::Deliver(to, Box::new(message)));
    }

    fn run(&mut self) {
        while self.now_ms < FAULT_PERIOD_MS {
            self.step();
            self.inject_faults();
        }
        self.faults_enabled = false;
        self.fleet.recover();
        self.table.outage_until_ms = 0;
        while !self.is_idle() {
            assert!(
                self.now_ms < FAULT_PERIOD_MS + RECOVERY_TIMEOUT_MS,
                "requests not answered: {:?}",
                self.requests.open()
            );
            self.step();
        }
        self.check_stop();
    }

    /// Advances the time by one tick.
    fn step(&mut self) {
        let until_ms = self.now_ms + TICK_MS;
        while let Some(Reverse((at_ms, number))) = self.due.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.due.pop();
            self.now_ms = self.now_ms.max(at_ms);
            if let Some(event) = self.events.swap_remove(&number) {
                self.handle_event(event);
            }
        }
        self.now_ms = until_ms;
        for entry in 0..self.nodes.len() {
            if self.nodes[entry].frozen_until_ms <= self.now_ms {
                self.deliver(self.nodes[entry].lifetime, EntryMessage::Tick);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Deliver(to, message) => self.deliver(to, *message),
            Event::Arrive(by, effect) => self.deliver_effect(by, *effect),
            Event::Step(stream) => self.step_stream(stream),
            Event::Submit(index) => self.submit(index),
            Event::Disconnect(index) => self.disconnect(index),
        }
    }

    /// Delivers a message to an entry, unless that lifetime has ended.
    fn deliver(&mut self, to: Lifetime, message: EntryMessage) {
        let node = &mut self.nodes[to.entry];
        if node.lifetime != to {
            return;
        }
        if node.frozen_until_ms > self.now_ms {
            let wait_ms = node.frozen_until_ms - self.now_ms;
            return self.send(wait_ms, to, message);
        }
        let effects = node.entry.handle(message, self.now_ms);
        for effect in effects {
            self.apply_effect(to, effect);
        }
    }

    fn apply_effect(&mut self, by: Lifetime, effect: EntryEffect) {
        match effect {
            EntryEffect::SendToken { .. }
            | EntryEffect::SendEnd { .. }
            | EntryEffect::SendReply { .. }
            | EntryEffect::SendRefusal { .. } => self.check_response(by, effect),
            EntryEffect::CallTable { call, table, .. } => self.call_table(by, call, table),
            EntryEffect::AskHolder {
                call,
                address,
                incarnation,
                claim,
                ..
            } => {
                let to = usize::from(address.port() - 7001);
                let (lifetime, entry) = (self.nodes[to].lifetime, &self.nodes[to].entry);
                let frozen = self.nodes[to].frozen_until_ms > self.now_ms;
                let working = match frozen {
                    true => None,
                    false => Some(entry.holds_claim(incarnation, &claim)),
                };
                let lost = self.draw_fault(10) || lifetime == by;
                let working = working.filter(|_| !lost);
                self.send(5, by, EntryMessage::HolderAnswered { call, working });
            }
            EntryEffect::OpenStream { .. }
            | EntryEffect::CancelStream { .. }
            | EntryEffect::ProbeStream { .. }
            | EntryEffect::CallApplication { .. } => {
                self.record_sent(by, &effect);
                let wait_ms = self.draw(1, 4);
                self.schedule(wait_ms, Event::Arrive(by, Box::new(effect)));
            }
            EntryEffect::DropStream { call } => self.drop_stream(Sent { by, call }),
            EntryEffect::ReadEngineState { endpoint, address } => {
                let state = self.fleet.state(address, self.now_ms);
                self.send(2, by, EntryMessage::EngineStateRead { endpoint, state });
            }
            EntryEffect::Stopped => self.nodes[by.entry].stopped = true,
            EntryEffect::ReadCacheEvents { .. }
            | EntryEffect::AnswerHolder { .. }
            | EntryEffect::Report { .. } => {}
        }
    }

    fn inject_faults(&mut self) {
        if self.draw_fault(40) {
            let (down_ms, kill) = (self.draw(100, 3_000), self.rng.random());
            let victim = self.rng.random_range(0..ENGINES.len() + REPLICAS.len());
            self.fleet.inject_fault(victim, kill, self.now_ms + down_ms);
        }
        if self.draw_fault(150) {
            self.table.outage_until_ms = self.now_ms + self.draw(100, 2_000);
        }
        if self.draw_fault(200) {
            let entry = self.rng.random_range(0..self.nodes.len());
            let until_ms = self.now_ms + self.draw(50, 4_000);
            self.nodes[entry].frozen_until_ms = until_ms;
        }
        if self.draw_fault(300) {
            let entry = self.rng.random_range(0..self.nodes.len());
            let number = self.nodes[entry].lifetime.number + 1;
            self.nodes[entry] = self.start(Lifetime { entry, number });
            self.disconnect_callers(entry);
        }
    }

    fn is_idle(&self) -> bool {
        let idle = |node: &Node| node.entry.in_flight() == 0 && node.entry.claims.is_empty();
        self.requests.open().is_empty() && self.nodes.iter().all(idle)
    }

    /// Checks that no state is left over and that a stop completes at once.
    fn check_stop(&mut self) {
        for _ in 0..1_000 {
            self.step();
        }
        for node in &self.nodes {
            assert!(
                node.entry.callers.is_empty(),
                "callers left after all requests ended"
            );
            assert!(
                node.entry.calls.is_empty(),
                "calls left: {:?}",
                node.entry.calls
            );
            assert!(node.entry.admission.backlogged_services().is_empty());
        }
        for entry in 0..self.nodes.len() {
            self.deliver(self.nodes[entry].lifetime, EntryMessage::Stop);
            assert!(self.nodes[entry].stopped);
        }
    }
}

/// Prints the seed if the run panics.
struct ReportSeedOnPanic(u64);

impl Drop for ReportSeedOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failed with FESCUE_SEED={}", self.0);
        }
    }
}

fn number_from(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// `FESCUE_SEED` runs one seed, `FESCUE_SEEDS` sets how many are run.
#[test]
fn whatever_fails_every_caller_is_answered_whole_and_nothing_runs_twice() {
    let seeds = match number_from("FESCUE_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number_from("FESCUE_SEEDS").unwrap_or(12),
    };
    for seed in seeds {
        let _report = ReportSeedOnPanic(seed);
        Simulation::new(seed).run();
    }
}
