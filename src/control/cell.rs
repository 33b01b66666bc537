//! Peers, the instance list, and endpoints that leave.

use indexmap::IndexSet;

use super::Control;
use super::calls::Purpose;
use crate::clients::InstanceListFailure;
use crate::ids::{EndpointId, InstanceId};
use crate::instance::{CallId, ControlEffect, PeerAnswer, PeerCall, PeerFailure};
use crate::membership::{Merged, SignSources, highest};
use crate::wire::WIRE_VERSION;
use crate::wire::operator::{AuditEvent, InstanceState};
use crate::wire::peer::{PeerMessage, PeerPhase, PeerReply};
use crate::wire::platform::InstanceList;

/// How long a read of the instance list may take.
const LIST_TIMEOUT_MS: u64 = 2_000;

impl Control {
    pub(super) fn peer_asked(&mut self, call: CallId, ask: PeerCall, now_ms: u64) {
        let answer = match ask {
            PeerCall::Gossip(message) => PeerAnswer::Gossip(self.gossiped(message, now_ms)),
            PeerCall::Fetch(fetch) => PeerAnswer::Fetch(self.fetched(&fetch)),
            PeerCall::Explain(subject) => PeerAnswer::Explain(self.explain_here(&subject, now_ms)),
        };
        self.emit(ControlEffect::AnswerPeer { call, answer });
    }

    fn gossiped(&mut self, message: PeerMessage, now_ms: u64) -> PeerReply {
        let from = message.from.clone();
        let beats = message.beats.as_ref();
        let told = beats.map(|beats| self.gossip.read_beats(&from, beats));
        let read = told.as_ref().and_then(Option::as_ref);
        let merged = self.gossip.merge(message, read, now_ms);
        self.merged(merged, now_ms);
        match &told {
            Some(told) => self.gossip.reply(&from, told.as_ref(), now_ms),
            None => PeerReply {
                wire_version: WIRE_VERSION,
                ..PeerReply::default()
            },
        }
    }

    pub(super) fn peer_answered(
        &mut self,
        call: CallId,
        result: Result<PeerAnswer, PeerFailure>,
        now_ms: u64,
    ) {
        match (self.calls.finish(call), result.ok()) {
            (Some(Purpose::Gossip(peer)), answer) => {
                let reply = match answer {
                    Some(PeerAnswer::Gossip(reply)) => Some(reply),
                    _ => None,
                };
                let (merged, follow_up) = self.gossip.answered(&peer, reply, now_ms);
                self.merged(merged, now_ms);
                if let Some(message) = follow_up {
                    self.call_gossip(message);
                }
            }
            (Some(Purpose::Fetch(peer)), answer) => {
                let fetched = match answer {
                    Some(PeerAnswer::Fetch(fetched)) => Some(fetched),
                    _ => None,
                };
                self.fetch_answered(peer, fetched, now_ms);
            }
            (Some(Purpose::Explain(operator, peer)), answer) => {
                let reply = match answer {
                    Some(PeerAnswer::Explain(reply)) => Some(reply),
                    _ => None,
                };
                self.explained(operator, peer, reply);
            }
            _ => {}
        }
    }

    fn merged(&mut self, merged: Merged, now_ms: u64) {
        self.offer_all(&merged.documents);
        if merged.changed {
            self.settle_leaving(now_ms);
            self.fetch_documents(now_ms);
            self.settle_snapshot(now_ms);
        }
    }

    pub(super) fn send_gossip(&mut self, now_ms: u64) {
        for message in self.gossip.due(now_ms) {
            self.call_gossip(message);
        }
    }

    pub(super) fn read_instances(&mut self, now_ms: u64) {
        if self.listing.due(now_ms) {
            let call = self.calls.start(Purpose::Instances);
            self.emit(ControlEffect::ReadInstances {
                call,
                timeout_ms: LIST_TIMEOUT_MS,
            });
        }
    }

    pub(super) fn instances_read(
        &mut self,
        call: CallId,
        result: Result<Option<InstanceList>, InstanceListFailure>,
        now_ms: u64,
    ) {
        self.calls.finish(call);
        let Ok(list) = result else {
            self.listing.failed();
            return;
        };
        if self.listing.take(list, now_ms) {
            self.gossip.set_listing(&self.listing, now_ms);
            self.settle_leaving(now_ms);
            self.settle_snapshot(now_ms);
        }
    }

    /// Works out which endpoints must get no new work, and tells the peers.
    pub(super) fn settle_leaving(&mut self, now_ms: u64) {
        let list: IndexSet<EndpointId> = self.listing.leaving().collect();
        self.gossip.set_leaving(&list, self.entry.draining());
        let documents = self.documents.iter();
        let documents = documents.flat_map(|(_, held)| held.document.leaving.iter().cloned());
        let mut draining = self.gossip.named_by_peers(|state| &state.draining);
        draining.extend(self.entry.draining().iter().cloned());
        let sources = SignSources {
            list,
            documents: documents.collect(),
            peers: self.gossip.named_by_peers(|state| &state.leaving),
            draining,
        };
        let new = self.signs.update(sources, &self.listing, now_ms);
        for sign in new {
            let event = AuditEvent::EndpointLeaving {
                endpoint: sign.endpoint,
                source: sign.source,
            };
            self.note(event, now_ms);
        }
    }

    /// Notes which peers came and went.
    pub(super) fn note_members(&mut self, now_ms: u64) {
        let mut changes = Vec::new();
        for (instance, member) in self.gossip.members_mut() {
            let live = member.is_live(now_ms);
            if live == member.counted_on {
                continue;
            }
            member.counted_on = live;
            let instance = instance.clone();
            changes.push(if live {
                AuditEvent::InstanceJoined { instance }
            } else {
                let state = match member.phase() {
                    PeerPhase::Stopping => InstanceState::Stopping,
                    _ => InstanceState::Suspected,
                };
                AuditEvent::InstanceLost { instance, state }
            });
        }
        for event in changes {
            self.note(event, now_ms);
        }
    }

    /// Notes what every instance of the cell sees: one of them writes it to the trail.
    fn note(&mut self, event: AuditEvent, now_ms: u64) {
        if self.writes_down(&event, now_ms) {
            self.record(event, now_ms);
        } else {
            self.log_only(event, now_ms);
        }
    }

    fn writes_down(&self, event: &AuditEvent, now_ms: u64) -> bool {
        let subject = match event {
            AuditEvent::InstanceJoined { instance } => instance.as_str(),
            AuditEvent::InstanceLost { instance, .. } => instance.as_str(),
            AuditEvent::EndpointLeaving { endpoint, .. } => endpoint.as_str(),
            _ => return true,
        };
        let witnesses = self.gossip.live(now_ms).filter(|it| it.as_str() != subject);
        highest(subject, witnesses) == Some(&self.config.instance)
    }

    /// What this instance does now, as far as peers and callers are concerned.
    pub(super) fn settle_phase(&mut self, now_ms: u64) {
        let phase = if self.stopping.has_begun() || self.entry.is_stopping() {
            PeerPhase::Stopping
        } else if self.readiness.is_ready() && self.entry.is_there(now_ms) {
            PeerPhase::Serving
        } else {
            PeerPhase::NotReady
        };
        self.gossip.set_phase(phase);
    }

    /// The peers that an operator's question can be passed to.
    pub(super) fn live_peers(&self, now_ms: u64) -> Vec<(InstanceId, std::net::SocketAddr)> {
        let members = self.gossip.members().iter();
        members
            .filter(|(_, member)| member.is_live(now_ms))
            .filter_map(|(peer, member)| Some((peer.clone(), member.control_address()?)))
            .collect()
    }
}
