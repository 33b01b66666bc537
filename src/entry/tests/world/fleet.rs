//! Simulated engines and replicas that crash, freeze, refuse, stop sending and lose replies.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use super::requests::{expected_end, expected_token};
use super::{Event, Lifetime, Sent, Simulation};
use crate::entry::tests::fixture::*;
use crate::ids::{EndpointId, StreamId};
use crate::instance::{
    ApplicationFailure, ApplicationReply, EntryEffect, EntryMessage, StreamFailure,
};
use crate::wire::engine::{
    EngineError, EngineErrorCode, EngineState, OpenStream, StreamEvent, StreamProgress,
};

/// Interval between two tokens.
const GAP_MS: u64 = 25;

/// An engine or a replica.
#[derive(Debug, Default)]
struct Endpoint {
    dead_until_ms: u64,
    frozen_until_ms: u64,
    /// Epoch and number of finished positions of each stream held.
    held: IndexMap<StreamId, (u32, u32)>,
}

/// A running stream.
#[derive(Debug)]
struct Running {
    sent: Sent,
    open: OpenStream,
    position: u32,
    /// Whether events still reach the entry.
    connected: bool,
    /// Whether the stream has ended.
    ended: bool,
    /// When its last event arrives: events of one stream keep their order.
    last_event_ms: u64,
}

pub(super) struct Fleet {
    /// By port: first the engines, then the replicas.
    endpoints: IndexMap<u16, Endpoint>,
    running: Vec<Running>,
    /// Every step that ran: stream, epoch, position, stage.
    steps: IndexSet<(StreamId, u32, u32, EndpointId)>,
    /// Runs of each non-idempotent call.
    runs_by_key: IndexMap<String, u32>,
}

impl Fleet {
    pub(super) fn new() -> Self {
        let engines = ENGINES.iter().map(|(_, port, ..)| *port);
        let replicas = REPLICAS.iter().map(|(_, port)| *port);
        let ports = engines.chain(replicas);
        Self {
            endpoints: ports.map(|port| (port, Endpoint::default())).collect(),
            running: Vec::new(),
            steps: IndexSet::new(),
            runs_by_key: IndexMap::new(),
        }
    }

    pub(super) fn inject_fault(&mut self, victim: usize, kill: bool, until_ms: u64) {
        let endpoint = &mut self.endpoints[victim];
        if kill {
            endpoint.dead_until_ms = until_ms;
            endpoint.held.clear();
        } else {
            endpoint.frozen_until_ms = until_ms;
        }
    }

    pub(super) fn recover(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.dead_until_ms = 0;
            endpoint.frozen_until_ms = 0;
        }
    }

    pub(super) fn state(&self, address: SocketAddr, now_ms: u64) -> Option<EngineState> {
        let endpoint = &self.endpoints[&address.port()];
        if now_ms < endpoint.dead_until_ms.max(endpoint.frozen_until_ms) {
            return None;
        }
        let (name, _, first, end) = ENGINES
            .iter()
            .find(|(_, port, ..)| *port == address.port())?;
        Some(engine_state(name, *first, *end))
    }

    fn is_dead(&self, address: SocketAddr, now_ms: u64) -> bool {
        now_ms < self.endpoints[&address.port()].dead_until_ms
    }

    /// Remaining time for which an endpoint is frozen.
    fn frozen_ms(&self, address: SocketAddr, now_ms: u64) -> u64 {
        let until_ms = self.endpoints[&address.port()].frozen_until_ms;
        until_ms.saturating_sub(now_ms)
    }
}

impl Simulation {
    /// Executes an effect at its engine or replica.
    pub(super) fn deliver_effect(&mut self, by: Lifetime, effect: EntryEffect) {
        let address = match &effect {
            EntryEffect::OpenStream { address, .. }
            | EntryEffect::CancelStream { address, .. }
            | EntryEffect::ProbeStream { address, .. }
            | EntryEffect::CallApplication { address, .. } => *address,
            other => panic!("effect without a destination: {other:?}"),
        };
        let frozen_ms = self.fleet.frozen_ms(address, self.now_ms);
        match effect {
            EntryEffect::ProbeStream {
                call,
                stream,
                timeout_ms,
                ..
            } => {
                let dead = self.fleet.is_dead(address, self.now_ms);
                let reachable = !dead && frozen_ms == 0;
                let held = &self.fleet.endpoints[&address.port()].held;
                let progress = held.get(&stream).filter(|_| reachable);
                let progress = progress.map(|(epoch, position)| StreamProgress {
                    epoch: *epoch,
                    position: *position,
                });
                let message = EntryMessage::StreamProbed {
                    call,
                    progress,
                    reachable,
                };
                let wait_ms = if frozen_ms > 0 { timeout_ms } else { 1 };
                self.send(wait_ms, by, message);
            }
            EntryEffect::CallApplication { .. } => self.reach_replica(by, effect, frozen_ms),
            effect if frozen_ms > 0 => {
                self.schedule(frozen_ms, Event::Arrive(by, Box::new(effect)));
            }
            EntryEffect::CancelStream { stream, epoch, .. } => {
                let held = &mut self.fleet.endpoints[&address.port()].held;
                if held.get(&stream).is_some_and(|(known, _)| *known <= epoch) {
                    held.swap_remove(&stream);
                }
            }
            EntryEffect::OpenStream { call, open, .. } => {
                self.open_at(Sent { by, call }, address, open);
            }
            _ => {}
        }
    }

    fn open_at(&mut self, sent: Sent, address: SocketAddr, open: OpenStream) {
        let held = &self.fleet.endpoints[&address.port()].held;
        let known = held.get(&open.stream).map_or(0, |(epoch, _)| *epoch);
        let failure = if self.fleet.is_dead(address, self.now_ms) {
            Some(StreamFailure::NotSent)
        } else if known >= open.epoch {
            let code = EngineErrorCode::StaleEpoch;
            let error = EngineError { code, stage: None };
            Some(StreamFailure::Refused { error })
        } else if self.draw_fault(25) {
            let code = EngineErrorCode::Overloaded;
            let error = EngineError { code, stage: None };
            Some(StreamFailure::Refused { error })
        } else {
            None
        };
        if let Some(failure) = failure {
            let call = sent.call;
            return self.send(1, sent.by, EntryMessage::StreamFailed { call, failure });
        }
        let position = open.generated.len() as u32;
        self.fleet.running.push(Running {
            sent,
            open,
            position,
            connected: true,
            ended: false,
            last_event_ms: 0,
        });
        self.schedule(GAP_MS, Event::Step(self.fleet.running.len() - 1));
    }

    /// Ends a stream that the entry dropped; events under way may still arrive.
    pub(super) fn drop_stream(&mut self, sent: Sent) {
        let late = self.draw_fault(3);
        for running in &mut self.fleet.running {
            if running.sent == sent {
                running.connected = late;
                running.ended = !late;
            }
        }
    }

    /// Runs one position through every stage.
    pub(super) fn step_stream(&mut self, index: usize) {
        let running = &self.fleet.running[index];
        if running.ended {
            return;
        }
        let (sent, open, position) = (running.sent, running.open.clone(), running.position);
        let first_step = position == open.generated.len() as u32;
        for (at, stage) in open.chain.iter().enumerate() {
            if self.fleet.is_dead(stage.address, self.now_ms) {
                return self.stage_died(index, at, &stage.endpoint);
            }
            let frozen_ms = self.fleet.frozen_ms(stage.address, self.now_ms);
            if frozen_ms > 0 {
                return self.schedule(frozen_ms, Event::Step(index));
            }
            let port = stage.address.port();
            let held = self.fleet.endpoints[&port].held.get(&open.stream).copied();
            let (epoch, finished) = held.unwrap_or((0, 0));
            if epoch > open.epoch {
                return self.end_with(
                    index,
                    StreamEvent::Failed {
                        epoch: open.epoch,
                        position,
                        stage: Some(stage.endpoint.clone()),
                        cause: EngineErrorCode::StaleEpoch,
                    },
                );
            }
            let has_state = held.is_some() && finished >= position;
            if !(has_state || first_step && stage.recompute) {
                return self.end_with(
                    index,
                    StreamEvent::Failed {
                        epoch: open.epoch,
                        position,
                        stage: Some(stage.endpoint.clone()),
                        cause: EngineErrorCode::KvMissing,
                    },
                );
            }
            let step = (open.stream, open.epoch, position, stage.endpoint.clone());
            if self.fleet.steps.insert(step) {
                let state = (open.epoch, position + 1);
                self.fleet.endpoints[&port].held.insert(open.stream, state);
            }
            self.record_run(sent);
        }
        self.report_token(index, &open, position);
    }

    fn report_token(&mut self, index: usize, open: &OpenStream, position: u32) {
        let token = StreamEvent::Token {
            epoch: open.epoch,
            position,
            text: expected_token(&open.prompt, position),
        };
        if self.draw_fault(10) {
            self.emit(index, token.clone());
        }
        self.emit(index, token);
        self.fleet.running[index].position += 1;
        let (length, reason) = expected_end(&open.prompt, open.max_tokens);
        if position + 1 == length {
            return self.end_with(
                index,
                StreamEvent::End {
                    epoch: open.epoch,
                    positions: length,
                    reason,
                },
            );
        }
        if self.draw_fault(60) {
            // The connection delivers nothing from here on.
            self.fleet.running[index].connected = false;
        }
        self.schedule(GAP_MS, Event::Step(index));
    }

    fn stage_died(&mut self, index: usize, at: usize, stage: &EndpointId) {
        let sent = self.fleet.running[index].sent;
        if at == 0 {
            self.fleet.running[index].ended = true;
            if self.draw(0, 4) > 0 {
                let (call, failure) = (sent.call, StreamFailure::Broken);
                self.send(2, sent.by, EntryMessage::StreamFailed { call, failure });
            }
            return;
        }
        let (epoch, position) = {
            let running = &self.fleet.running[index];
            (running.open.epoch, running.position)
        };
        self.end_with(
            index,
            StreamEvent::Failed {
                epoch,
                position,
                stage: Some(stage.clone()),
                cause: EngineErrorCode::StageUnreachable,
            },
        );
    }

    fn end_with(&mut self, index: usize, event: StreamEvent) {
        self.emit(index, event);
        self.fleet.running[index].ended = true;
    }

    fn emit(&mut self, index: usize, event: StreamEvent) {
        let wait_ms = self.draw(1, 6);
        let now_ms = self.now_ms;
        let running = &mut self.fleet.running[index];
        if running.connected {
            running.last_event_ms = running.last_event_ms.max(now_ms + wait_ms);
            let (sent, wait_ms) = (running.sent, running.last_event_ms - now_ms);
            let call = sent.call;
            self.send(wait_ms, sent.by, EntryMessage::StreamEvent { call, event });
        }
    }

    fn reach_replica(&mut self, by: Lifetime, effect: EntryEffect, frozen_ms: u64) {
        let EntryEffect::CallApplication {
            call,
            address,
            body,
            idempotency_key,
            timeout_ms,
            ..
        } = &effect
        else {
            return;
        };
        let (call, timeout_ms) = (*call, *timeout_ms);
        if self.fleet.is_dead(*address, self.now_ms) {
            let result = Err(ApplicationFailure::NotSent);
            return self.send(1, by, EntryMessage::ApplicationAnswered { call, result });
        }
        if frozen_ms > 0 {
            // The caller times out, and the replica runs the call once it is no longer frozen.
            let result = Err(ApplicationFailure::ReplyLost);
            self.send(
                timeout_ms,
                by,
                EntryMessage::ApplicationAnswered { call, result },
            );
            return self.schedule(frozen_ms, Event::Arrive(by, Box::new(effect)));
        }
        if let Some(key) = idempotency_key {
            let runs = self.fleet.runs_by_key.entry(key.to_string()).or_default();
            *runs += 1;
            assert_eq!(*runs, 1, "{key} ran twice");
        }
        self.record_run(Sent { by, call });
        let reply = ApplicationReply {
            status: 200,
            content_type: None,
            body: body.clone(),
        };
        let lost = self.draw_fault(15);
        let result = match lost {
            true => Err(ApplicationFailure::ReplyLost),
            false => Ok(reply),
        };
        let wait_ms = if lost { timeout_ms } else { self.draw(2, 30) };
        self.send(
            wait_ms,
            by,
            EntryMessage::ApplicationAnswered { call, result },
        );
    }
}
