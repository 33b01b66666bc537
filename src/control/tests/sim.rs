//! The fake: nodes with a control and an entry each, a table, an instance list, engines, and the
//! network between them, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fake_engine::FakeEngine;
use super::fake_table::FakeTable;
use super::network::{Event, Outside};
use super::node::Node;
use crate::control::{Control, ControlConfig};
use crate::ids::{Incarnation, ServiceName, ZoneName};
use crate::instance::{CallId, ControlMessage, OperatorAnswer, OperatorCall, PresentedKey};
use crate::keys::Secret;
use crate::wire::engine::LayerRange;
use crate::wire::operator::OperatorFault;
use crate::wire::platform::{InstanceList, InstancePhase, InstanceRecord, InstanceRole};

const UNIX_MS: u64 = 1_800_000_000_000;

/// Faults in force.
#[derive(Default)]
pub(super) struct Faults {
    pub(super) store_down: bool,
    pub(super) store_cut: IndexSet<usize>,
    pub(super) peers_cut: IndexSet<usize>,
    /// Of a hundred table calls, how many lose their reply.
    pub(super) lost_percent: u32,
    /// Of a hundred messages, how many take half a second.
    pub(super) slow_percent: u32,
    pub(super) list_lag_ms: IndexMap<usize, u64>,
}

pub(super) struct Sim {
    pub(super) now_ms: u64,
    pub(super) nodes: Vec<Node>,
    pub(super) table: FakeTable,
    pub(super) faults: Faults,
    pub(super) engines: IndexMap<SocketAddr, FakeEngine>,
    pub(super) answers: IndexMap<CallId, Result<OperatorAnswer, OperatorFault>>,
    pub(super) rng: StdRng,
    /// Peers' calls made.
    pub(super) peer_calls: u64,
    /// Bytes of their messages and answers, with what JSON-RPC and WebSocket add.
    pub(super) peer_bytes: u64,
    /// Fencing tokens and the processes that sent orders under them.
    pub(super) fences: IndexMap<u64, (usize, u64)>,
    pub(super) list: Vec<(u64, InstanceList)>,
    pub(super) events: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) bodies: IndexMap<u64, Event>,
    pub(super) outside: IndexMap<CallId, Outside>,
    pub(super) last: u64,
}

impl Sim {
    /// `count` instances, all started at once.
    pub(super) fn new(count: usize, seed: u64) -> Self {
        let mut sim = Self {
            now_ms: 0,
            nodes: Vec::new(),
            table: FakeTable::default(),
            faults: Faults::default(),
            engines: IndexMap::new(),
            answers: IndexMap::new(),
            rng: StdRng::seed_from_u64(seed),
            peer_calls: 0,
            peer_bytes: 0,
            fences: IndexMap::new(),
            list: Vec::new(),
            events: BinaryHeap::new(),
            bodies: IndexMap::new(),
            outside: IndexMap::new(),
            last: 0,
        };
        let mut list = InstanceList::default();
        for index in 0..count {
            let node = Node::new(index);
            list.instances.push(node.record());
            sim.nodes.push(node);
        }
        sim.list.push((0, list));
        for index in 0..count {
            sim.start(index);
        }
        sim
    }

    /// Starts a new process pair at an instance.
    pub(super) fn start(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let incarnation = Incarnation::generate(&mut self.rng);
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.life += 1;
        node.started_ms = now_ms;
        node.frozen = false;
        node.stopped = false;
        node.inbox.clear();
        node.snapshot = None;
        let config = ControlConfig {
            instance: node.instance.clone(),
            zone: ZoneName::from("z"),
            address: node.address,
            control_address: node.control_address,
            incarnation,
            unix_offset_ms: UNIX_MS,
            seed,
            peers_key: Secret::from("key-of-the-processes".to_owned()),
        };
        node.control = Some(Control::new(config, now_ms));
        let life = node.life;
        self.at(1, Event::Tick(index, life));
        self.at(5, Event::Report(index, life));
    }

    /// Kills the processes of an instance.
    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].control = None;
    }

    /// Ends the entry's memory alone: a control that is replaced while its entry lives on keeps
    /// the entry's snapshot.
    pub(super) fn restart_control(&mut self, index: usize) {
        let snapshot = self.nodes[index].snapshot.clone();
        self.kill(index);
        self.start(index);
        self.nodes[index].snapshot = snapshot;
    }

    /// Lets a frozen node work again; what came in meanwhile comes first.
    pub(super) fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for message in std::mem::take(&mut self.nodes[index].inbox) {
            self.deliver(index, message);
        }
    }

    /// Changes the instance list.
    pub(super) fn change_list<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Vec<InstanceRecord>),
    {
        let mut list = self.list[self.list.len() - 1].1.clone();
        change(&mut list.instances);
        self.list.push((self.now_ms, list));
    }

    /// Adds an engine that holds layers `first..end`.
    pub(super) fn add_engine(&mut self, name: &str, first: u16, end: u16) -> SocketAddr {
        let address = SocketAddr::from(([10, 0, 1, 0], 1_000 + self.engines.len() as u16));
        let layers = LayerRange { first, end };
        let incarnation = Incarnation::generate(&mut self.rng);
        let engine = FakeEngine::new(name, layers, incarnation);
        self.engines.insert(address, engine);
        let record = InstanceRecord {
            name: name.to_owned(),
            role: InstanceRole::Engine,
            service: Some(ServiceName::from(super::texts::SERVICE)),
            zone: ZoneName::from("z"),
            address,
            control_address: None,
            phase: InstancePhase::Live,
        };
        self.change_list(|list| list.push(record));
        address
    }

    /// Sends an operator's call; its answer appears in `answers`.
    pub(super) fn ask(&mut self, index: usize, key: &str, ask: OperatorCall) -> CallId {
        let call = self.outside(Outside::Operator);
        let key = PresentedKey::from(key.to_owned());
        let message = ControlMessage::OperatorAsked { call, key, ask };
        self.deliver(index, message);
        call
    }

    /// Lets time pass.
    pub(super) fn run(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while let Some(Reverse((at_ms, number))) = self.events.peek().copied() {
            if at_ms > end_ms {
                break;
            }
            self.events.pop();
            self.now_ms = at_ms;
            if let Some(event) = self.bodies.swap_remove(&number) {
                self.happen(event);
            }
        }
        self.now_ms = end_ms;
    }

    /// Lets time pass until a condition holds; fails the test after `limit_ms`.
    pub(super) fn run_until<F>(&mut self, limit_ms: u64, what: &str, holds: F) -> u64
    where
        F: Fn(&Self) -> bool,
    {
        let start_ms = self.now_ms;
        while !holds(self) {
            assert!(
                self.now_ms < start_ms + limit_ms,
                "{what}: not within {limit_ms} ms"
            );
            self.run(10);
        }
        self.now_ms - start_ms
    }

    /// The revision that an instance's entry goes by.
    pub(super) fn in_force(&self, index: usize) -> u64 {
        let snapshot = self.nodes[index].snapshot.as_ref();
        snapshot.map_or(0, |snapshot| {
            let documents = snapshot.documents.iter();
            let own = documents.filter(|it| it.service.as_str() == super::texts::SERVICE);
            own.map(|it| it.revision).max().unwrap_or(0)
        })
    }

    /// Whether a running process can do something now.
    pub(super) fn works(&self, index: usize) -> bool {
        self.nodes[index].control.is_some() && !self.nodes[index].frozen
    }

    pub(super) fn is_store_cut(&self, index: usize) -> bool {
        self.faults.store_down || self.faults.store_cut.contains(&index)
    }

    pub(super) fn lives(&self, index: usize, life: u64) -> bool {
        self.nodes[index].life == life && self.nodes[index].control.is_some()
    }

    pub(super) fn deliver(&mut self, index: usize, message: ControlMessage) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[index];
        if node.frozen {
            node.inbox.push(message);
            return;
        }
        let Some(control) = node.control.as_mut() else {
            return;
        };
        for effect in control.handle(message, now_ms) {
            self.carry_out(index, effect);
        }
    }

    pub(super) fn outside(&mut self, outside: Outside) -> CallId {
        self.last += 1;
        let call = CallId(self.last);
        self.outside.insert(call, outside);
        call
    }

    pub(super) fn delay(&mut self) -> u64 {
        match self.rng.random_range(0..100) < self.faults.slow_percent {
            true => self.rng.random_range(400..600),
            false => self.rng.random_range(1..15),
        }
    }

    pub(super) fn at(&mut self, in_ms: u64, event: Event) {
        self.last += 1;
        self.events.push(Reverse((self.now_ms + in_ms, self.last)));
        self.bodies.insert(self.last, event);
    }
}
