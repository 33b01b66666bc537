//! What passes between the simulated instances and what stands around them.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::sim::Sim;
use crate::clients::{EngineCallFailure, InstanceListFailure, TableFailure};
use crate::ids::Incarnation;
use crate::instance::{
    CONTROL_TICK_MS, CallId, ControlEffect, ControlMessage, PeerCall, PeerFailure, TableCall,
};
use crate::wire::WIRE_VERSION;
use crate::wire::engine::EngineOrder;
use crate::wire::local::EntryReport;

/// Pause between two reports of an entry.
const REPORT_MS: u64 = 250;

/// What a call takes beside its message: method, id, key and frame.
const CALL_BYTES: u64 = 120;
/// What an answer takes beside its message.
const ANSWER_BYTES: u64 = 40;

fn json_bytes<T>(message: &T) -> u64
where
    T: serde::Serialize,
{
    serde_json::to_string(message).unwrap().len() as u64
}

/// What happens at a stated time.
pub(super) enum Event {
    Tick(usize, u64),
    Report(usize, u64),
    Deliver(usize, u64, ControlMessage),
    TableAt(usize, u64, CallId, TableCall),
    TableLate(TableCall),
    OrderAt(usize, u64, CallId, SocketAddr, Box<EngineOrder>),
}

/// Who waits for an answer of a control.
pub(super) enum Outside {
    Entry,
    Peer(usize, u64, CallId),
    Operator,
}

impl Sim {
    pub(super) fn happen(&mut self, event: Event) {
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
            Event::TableAt(index, life, call, table) => {
                let result = Ok(self.table.call(&table));
                let delay_ms = self.delay();
                let message = ControlMessage::TableAnswered { call, result };
                self.at(delay_ms, Event::Deliver(index, life, message));
            }
            Event::TableLate(table) => {
                self.table.call(&table);
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

    pub(super) fn carry_out(&mut self, index: usize, effect: ControlEffect) {
        let life = self.nodes[index].life;
        match effect {
            ControlEffect::AnswerEntry { reply, .. } => {
                if let Some(snapshot) = reply.snapshot {
                    self.nodes[index].take(snapshot);
                }
            }
            ControlEffect::AnswerPeer { call, answer } => {
                if let Some(Outside::Peer(to, to_life, inner)) = self.outside.swap_remove(&call) {
                    self.peer_bytes += ANSWER_BYTES + json_bytes(&answer);
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
            ControlEffect::CallTable {
                call,
                table,
                timeout_ms,
            } => self.call_table(index, call, table, timeout_ms),
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

    fn call_table(&mut self, index: usize, call: CallId, table: TableCall, timeout_ms: u64) {
        let life = self.nodes[index].life;
        let delay_ms = self.delay();
        let failed = |failure| ControlMessage::TableAnswered {
            call,
            result: Err(failure),
        };
        if self.is_store_cut(index) {
            let message = failed(TableFailure::NotSent);
            self.at(delay_ms, Event::Deliver(index, life, message));
        } else if self.rng.random_range(0..100) < self.faults.lost_percent {
            let message = failed(TableFailure::ReplyLost);
            let lost_ms = self.rng.random_range(1..=timeout_ms);
            self.at(lost_ms, Event::Deliver(index, life, message));
            // It takes effect all the same, half of the time, and maybe much later.
            if self.rng.random() {
                let late_ms = self.rng.random_range(1..3_000);
                self.at(late_ms, Event::TableLate(table));
            }
        } else {
            self.at(delay_ms, Event::TableAt(index, life, call, table));
        }
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
        self.peer_bytes += CALL_BYTES + json_bytes(&ask);
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
            incarnation: Incarnation::generate(&mut StdRng::seed_from_u64(node.life)),
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
}
