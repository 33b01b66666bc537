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
use crate::control::{Control, ControlConfig};
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::instance::{
    CONTROL_TICK_MS, CallId, ControlEffect, ControlMessage, OperatorAnswer, OperatorCall, PeerCall,
    PeerFailure, PresentedKey, TableCall,
};
use crate::keys::Secret;
use crate::platform::{EngineCallFailure, InstanceListFailure, TableFailure};
use crate::wire::WIRE_VERSION;
use crate::wire::engine::{EngineOrder, LayerRange};
use crate::wire::local::{AccountDemand, DecisionRecord, EntryReport, ServiceCapacity, Snapshot};
use crate::wire::operator::{AuditEntry, OperatorFault};
use crate::wire::platform::{InstanceList, InstancePhase, InstanceRecord, InstanceRole};

const UNIX_MS: u64 = 1_800_000_000_000;
const REPORT_MS: u64 = 250;

/// One instance.
pub(super) struct Node {
    pub(super) instance: InstanceId,
    pub(super) control_address: SocketAddr,
    address: SocketAddr,
    pub(super) control: Option<Control>,
    /// Grows with each process.
    pub(super) life: u64,
    pub(super) started_ms: u64,
    pub(super) frozen: bool,
    inbox: Vec<ControlMessage>,
    pub(super) snapshot: Option<Snapshot>,
    /// The highest revision that the entry ever had, over all lives of the instance.
    pub(super) highest: IndexMap<ServiceName, u64>,
    pub(super) entry_stopping: bool,
    pub(super) draining: Vec<EndpointId>,
    pub(super) decisions: Vec<DecisionRecord>,
    pub(super) demands: Vec<AccountDemand>,
    pub(super) capacities: Vec<ServiceCapacity>,
    pub(super) stopped: bool,
    pub(super) recorded: Vec<AuditEntry>,
}

/// Faults in force.
#[derive(Default)]
pub(super) struct Faults {
    pub(super) store_down: bool,
    pub(super) store_cut: IndexSet<usize>,
    pub(super) peers_cut: IndexSet<usize>,
    /// Of a hundred table calls, how many lose their reply.
    pub(super) lost_percent: u32,
    pub(super) list_lag_ms: IndexMap<usize, u64>,
}

enum Event {
    Tick(usize, u64),
    Report(usize, u64),
    Deliver(usize, u64, ControlMessage),
    TableAt(usize, u64, CallId, TableCall, Fate),
    OrderAt(usize, u64, CallId, SocketAddr, Box<EngineOrder>),
}

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Whole,
    ReplyLost,
}

enum Outside {
    Entry,
    Peer(usize, u64, CallId),
    Operator,
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
    /// Fencing numbers and the processes that sent orders under them.
    pub(super) fences: IndexMap<u64, (usize, u64)>,
    list: Vec<(u64, InstanceList)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: IndexMap<u64, Event>,
    outside: IndexMap<CallId, Outside>,
    last: u64,
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
        let incarnation = Incarnation::draw(&mut self.rng);
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
        let incarnation = Incarnation::draw(&mut self.rng);
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

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(index, life) if self.lives(index, life) => {
                self.at(CONTROL_TICK_MS, Event::Tick(index, life));
                if !self.nodes[index].frozen {
                    self.deliver(index, ControlMessage::Tick);
                }
            }
            Event::Report(index, life) if self.lives(index, life) => {
                self.at(REPORT_MS, Event::Report(index, life));
                self.report(index);
            }
            Event::Deliver(index, life, message) if self.lives(index, life) => {
                self.deliver(index, message);
            }
            Event::TableAt(index, life, call, table, fate) => {
                let reply = self.table.call(&table);
                let result = match fate {
                    Fate::Whole => Ok(reply),
                    Fate::ReplyLost => Err(TableFailure::ReplyLost),
                };
                let delay_ms = self.delay();
                let message = ControlMessage::TableAnswered { call, result };
                self.at(delay_ms, Event::Deliver(index, life, message));
            }
            Event::OrderAt(index, life, call, address, order) => {
                let now_ms = self.now_ms;
                let result = match self.engines.get_mut(&address) {
                    Some(engine) => engine.order(&order, now_ms),
                    None => Err(EngineCallFailure::NotSent),
                };
                let message = ControlMessage::EngineAnswered { call, result };
                let delay_ms = self.delay();
                self.at(delay_ms, Event::Deliver(index, life, message));
            }
            _ => {}
        }
    }

    fn lives(&self, index: usize, life: u64) -> bool {
        self.nodes[index].life == life && self.nodes[index].control.is_some()
    }

    fn report(&mut self, index: usize) {
        if self.nodes[index].frozen {
            return;
        }
        let call = self.outside(Outside::Entry);
        let decisions = std::mem::take(&mut self.nodes[index].decisions);
        let node = &self.nodes[index];
        let snapshot = node.snapshot.as_ref();
        let report = EntryReport {
            wire_version: WIRE_VERSION,
            incarnation: Incarnation::draw(&mut StdRng::seed_from_u64(node.life)),
            known_snapshot: snapshot.map_or(0, |snapshot| snapshot.version),
            stopping: node.entry_stopping,
            in_flight: 0,
            demands: node.demands.clone(),
            draining_endpoints: node.draining.clone(),
            decisions,
            revisions: snapshot.map_or_else(IndexMap::new, |snapshot| {
                let documents = snapshot.documents.iter();
                let pairs = documents.map(|it| (it.service.clone(), it.revision));
                pairs.collect()
            }),
            capacities: node.capacities.clone(),
        };
        self.deliver(index, ControlMessage::EntryReported { call, report });
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

    fn carry_out(&mut self, index: usize, effect: ControlEffect) {
        let life = self.nodes[index].life;
        match effect {
            ControlEffect::AnswerEntry { reply, .. } => {
                if let Some(snapshot) = reply.snapshot {
                    self.nodes[index].take(snapshot);
                }
            }
            ControlEffect::AnswerPeer { call, answer } => {
                if let Some(Outside::Peer(to, to_life, inner)) = self.outside.swap_remove(&call) {
                    if self.is_cut(index, to) {
                        return;
                    }
                    let message = ControlMessage::PeerAnswered {
                        call: inner,
                        result: Ok(answer),
                    };
                    let delay_ms = self.delay();
                    self.at(delay_ms, Event::Deliver(to, to_life, message));
                }
            }
            ControlEffect::AnswerOperator { call, result } => {
                self.answers.insert(call, result);
            }
            ControlEffect::CallPeer {
                call,
                address,
                ask,
                timeout_ms,
                ..
            } => self.call_peer(index, call, address, ask, timeout_ms),
            ControlEffect::ReadInstances { call, .. } => {
                let lag_ms = self.faults.list_lag_ms.get(&index).copied().unwrap_or(0);
                let as_of_ms = self.now_ms.saturating_sub(lag_ms);
                let list = self.list.iter().rfind(|(at_ms, _)| *at_ms <= as_of_ms);
                let result = list.map(|(_, list)| Some(list.clone()));
                let message = ControlMessage::InstancesRead {
                    call,
                    result: result.ok_or(InstanceListFailure::NoReply),
                };
                let delay_ms = self.delay();
                self.at(delay_ms, Event::Deliver(index, life, message));
            }
            ControlEffect::CallTable { call, table, .. } => self.call_table(index, call, table),
            ControlEffect::ReadEngine { call, address, .. } => {
                let now_ms = self.now_ms;
                let engine = self.engines.get_mut(&address);
                let state = engine.map(|engine| engine.read(now_ms));
                let message = ControlMessage::EngineAnswered {
                    call,
                    result: state.ok_or(EngineCallFailure::NotSent),
                };
                let delay_ms = self.delay();
                self.at(delay_ms, Event::Deliver(index, life, message));
            }
            ControlEffect::SendOrder {
                call,
                address,
                order,
                valid_until_ms,
                ..
            } => {
                assert!(self.now_ms < valid_until_ms, "an order after its lease");
                let sender = self.fences.entry(order.fence).or_insert((index, life));
                assert_eq!(*sender, (index, life), "two holders under one fence");
                let delay_ms = self.delay();
                let order = Box::new(order);
                self.at(delay_ms, Event::OrderAt(index, life, call, address, order));
            }
            ControlEffect::Recorded { entry } => self.nodes[index].recorded.push(entry),
            ControlEffect::Stopped => self.nodes[index].stopped = true,
        }
    }

    fn call_table(&mut self, index: usize, call: CallId, table: TableCall) {
        let life = self.nodes[index].life;
        let delay_ms = self.delay();
        if self.is_store_cut(index) {
            let message = ControlMessage::TableAnswered {
                call,
                result: Err(TableFailure::NotSent),
            };
            self.at(delay_ms, Event::Deliver(index, life, message));
            return;
        }
        let lost = self.rng.random_range(0..100) < self.faults.lost_percent;
        let (fate, delay_ms) = match lost {
            // A call whose reply is lost may take effect much later.
            true => (Fate::ReplyLost, delay_ms * self.rng.random_range(1..200)),
            false => (Fate::Whole, delay_ms),
        };
        if lost && self.rng.random() {
            let message = ControlMessage::TableAnswered {
                call,
                result: Err(TableFailure::ReplyLost),
            };
            self.at(delay_ms, Event::Deliver(index, life, message));
            return;
        }
        self.at(delay_ms, Event::TableAt(index, life, call, table, fate));
    }

    fn call_peer(
        &mut self,
        index: usize,
        call: CallId,
        address: SocketAddr,
        ask: PeerCall,
        timeout_ms: u64,
    ) {
        self.peer_calls += 1;
        let life = self.nodes[index].life;
        let failure = ControlMessage::PeerAnswered {
            call,
            result: Err(PeerFailure::NoReply),
        };
        let mut nodes = self.nodes.iter();
        let to = nodes.position(|node| node.control_address == address);
        let to = to.filter(|to| self.nodes[*to].control.is_some());
        let Some(to) = to else {
            self.at(1, Event::Deliver(index, life, failure));
            return;
        };
        self.at(timeout_ms, Event::Deliver(index, life, failure));
        if !self.is_cut(index, to) {
            let outer = self.outside(Outside::Peer(index, life, call));
            let message = ControlMessage::PeerAsked { call: outer, ask };
            let delay_ms = self.delay();
            let to_life = self.nodes[to].life;
            self.at(delay_ms, Event::Deliver(to, to_life, message));
        }
    }

    /// Whether no byte passes between two instances.
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.faults.peers_cut.contains(&a) != self.faults.peers_cut.contains(&b)
    }

    fn outside(&mut self, outside: Outside) -> CallId {
        self.last += 1;
        let call = CallId(self.last);
        self.outside.insert(call, outside);
        call
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(1..15)
    }

    fn at(&mut self, in_ms: u64, event: Event) {
        self.last += 1;
        self.events.push(Reverse((self.now_ms + in_ms, self.last)));
        self.bodies.insert(self.last, event);
    }
}

impl Node {
    fn new(index: usize) -> Self {
        let host = [10, 0, 0, index as u8];
        Self {
            instance: InstanceId::from(format!("entry-{index}")),
            control_address: SocketAddr::from((host, 2)),
            address: SocketAddr::from((host, 1)),
            control: None,
            life: 0,
            started_ms: 0,
            frozen: false,
            inbox: Vec::new(),
            snapshot: None,
            highest: IndexMap::new(),
            entry_stopping: false,
            draining: Vec::new(),
            decisions: Vec::new(),
            demands: Vec::new(),
            capacities: Vec::new(),
            stopped: false,
            recorded: Vec::new(),
        }
    }

    fn record(&self) -> InstanceRecord {
        InstanceRecord {
            name: self.instance.to_string(),
            role: InstanceRole::Entry,
            service: None,
            zone: ZoneName::from("z"),
            address: self.address,
            control_address: Some(self.control_address),
            phase: InstancePhase::Live,
        }
    }

    /// The entry takes a snapshot; no revision may fall below any that this instance ever had.
    fn take(&mut self, snapshot: Snapshot) {
        for document in &snapshot.documents {
            let highest = self.highest.entry(document.service.clone()).or_insert(0);
            assert!(
                *highest <= document.revision,
                "{} goes back from revision {highest} to {}",
                self.instance,
                document.revision
            );
            *highest = document.revision;
        }
        self.snapshot = Some(snapshot);
    }
}
