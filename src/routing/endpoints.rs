//! State of each endpoint, and whether it accepts new work.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::engine::{EngineState, LinkState};
use crate::wire::local::EndpointRecord;
use crate::wire::platform::{InstancePhase, InstanceRole};

use super::affinity::HintBenefit;
use super::call_limit::CallLimit;
use super::gap_history::GapHistory;
use super::slot_limit::SlotLimit;

/// How an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointFault {
    /// No connection could be established, or a stage reported that it could not reach the
    /// endpoint.
    Unreachable,
    /// The endpoint was reached but stopped responding.
    Silent,
    /// The endpoint responds, but much more slowly than its history suggests.
    Slow,
    /// The endpoint refused work because its queue is full or it does not hold what was requested.
    Refused,
    /// The endpoint reported that it accepts no new work.
    Draining,
}

/// Backoff after the first fault.
pub(crate) const MIN_BACKOFF_MS: u64 = 500;
/// Maximum backoff after repeated faults.
pub(crate) const MAX_BACKOFF_MS: u64 = 16_000;
/// How long an endpoint that refused work receives no more.
pub(crate) const REFUSAL_BACKOFF_MS: u64 = 100;
/// Maximum interval between state polls of a suspected engine. It is short because a new
/// incarnation at the same address is trusted immediately.
const SUSPECT_POLL_INTERVAL_MS: u64 = 250;
/// How long an announcement that the endpoint is draining takes precedence over a state that says
/// otherwise, since that state may be older.
const DRAINING_TTL_MS: u64 = 2_000;
/// Consecutive unanswered polls that count as a fault.
const MISSES_BEFORE_FAULT: u32 = 2;
/// Consecutive tokens after which earlier faults are cleared.
const TOKENS_TO_RECOVER: u32 = 16;
/// Relative change of a rate below which routes are not recomputed.
const RATE_TOLERANCE: f64 = 0.1;
/// Relative change of a link below which routes are not recomputed.
const LINK_TOLERANCE: f64 = 0.3;

/// Recent faults of an endpoint, and until when it is avoided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Health {
    /// Consecutive faults; 0 if the endpoint is healthy.
    pub(crate) faults: u32,
    /// The endpoint is avoided until this time.
    pub(crate) avoid_until_ms: u64,
    /// Whether the endpoint must answer a poll before it receives work again.
    pub(crate) requires_answer: bool,
    /// Whether the endpoint can still export KV state after its last fault.
    pub(crate) still_answers: bool,
    missed_polls: u32,
    tokens: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    /// Unique number of the endpoint; never reused.
    pub(crate) number: u32,
    pub(crate) role: InstanceRole,
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    /// Last reported engine state; `None` until this incarnation has reported one.
    pub(crate) state: Option<EngineState>,
    /// Streams or calls of this entry in progress.
    pub(crate) outstanding: u32,
    /// Limit on streams, for engines.
    pub(crate) slot_limit: SlotLimit,
    /// Limit on calls, for application replicas.
    pub(crate) call_limit: CallLimit,
    pub(crate) gaps: GapHistory,
    pub(crate) health: Health,
    pub(crate) hint_benefit: HintBenefit,
    /// Receives no work until this time because it refused some.
    pub(crate) refused_until_ms: u64,
    pub(crate) last_turn: u64,
    /// When the endpoint reported that it is draining, by a refusal or in its state.
    pub(crate) draining_since_ms: Option<u64>,
    pub(crate) poll_state_at_ms: u64,
    pub(crate) poll_cache_at_ms: u64,
    /// Sequence number of the last cache event received.
    pub(crate) cache_after: u64,
}

impl Endpoint {
    fn new(record: &EndpointRecord, number: u32) -> Self {
        Self {
            id: record.endpoint.clone(),
            number,
            role: record.role,
            service: record.service.clone(),
            zone: record.zone.clone(),
            address: record.address,
            leaving: record.phase == InstancePhase::Leaving,
            state: None,
            outstanding: 0,
            slot_limit: SlotLimit::default(),
            call_limit: CallLimit::default(),
            gaps: GapHistory::default(),
            health: Health::default(),
            hint_benefit: HintBenefit::default(),
            refused_until_ms: 0,
            last_turn: 0,
            draining_since_ms: None,
            poll_state_at_ms: 0,
            poll_cache_at_ms: 0,
            cache_after: 0,
        }
    }

    /// Whether new work may be sent to the endpoint.
    pub(crate) fn accepts_work(&self, now_ms: u64) -> bool {
        !self.leaving
            && self.draining_since_ms.is_none()
            && !self.health.requires_answer
            && now_ms >= self.health.avoid_until_ms
    }

    /// Whether the endpoint has a free slot for one more stream or call of this entry.
    pub(crate) fn has_free_slot(&self, now_ms: u64) -> bool {
        now_ms >= self.refused_until_ms && self.outstanding < self.slots()
    }

    /// Maximum number of concurrent streams or calls of this entry.
    pub(crate) fn slots(&self) -> u32 {
        match self.role {
            InstanceRole::Application => self.call_limit.max_calls(),
            InstanceRole::Engine | InstanceRole::Entry => self.slot_limit.slots(),
        }
    }

    /// Whether the endpoint can still export the KV state of streams that ran on it.
    pub(crate) fn can_export(&self) -> bool {
        let stays_reachable = self.leaving || self.draining_since_ms.is_some();
        stays_reachable && (self.health.faults == 0 || self.health.still_answers)
    }

    /// Discards what was learned about the previous process at this address.
    fn reset_learned_state(&mut self) {
        self.state = None;
        self.gaps = GapHistory::default();
        self.slot_limit = SlotLimit::default();
        self.health = Health::default();
        self.hint_benefit = HintBenefit::default();
        self.refused_until_ms = 0;
        self.draining_since_ms = None;
        self.cache_after = 0;
    }

    fn record_fault(&mut self, fault: EndpointFault, now_ms: u64) {
        match fault {
            EndpointFault::Draining => self.draining_since_ms = Some(now_ms),
            EndpointFault::Refused => {
                self.slot_limit.record_refusal();
                self.call_limit.record_refusal();
                self.refused_until_ms = now_ms + REFUSAL_BACKOFF_MS;
            }
            EndpointFault::Unreachable | EndpointFault::Silent | EndpointFault::Slow => {
                // Only engines are polled.
                let is_polled = self.role == InstanceRole::Engine;
                self.health.record_failure(fault, is_polled, now_ms);
                self.poll_state_at_ms = self
                    .health
                    .avoid_until_ms
                    .min(now_ms + SUSPECT_POLL_INTERVAL_MS);
            }
        }
    }
}

impl Health {
    fn record_failure(&mut self, fault: EndpointFault, is_polled: bool, now_ms: u64) {
        // Several streams may report the same fault; only the first report in each backoff period
        // counts.
        if now_ms >= self.avoid_until_ms || self.faults == 0 {
            self.faults += 1;
            let backoff_ms = MIN_BACKOFF_MS << (self.faults - 1).min(8);
            self.avoid_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        }
        self.tokens = 0;
        self.still_answers = fault == EndpointFault::Slow;
        self.requires_answer |= is_polled && fault != EndpointFault::Slow;
    }

    /// Records an answer to a poll.
    fn record_answer(&mut self, now_ms: u64) {
        self.missed_polls = 0;
        if now_ms >= self.avoid_until_ms {
            self.requires_answer = false;
        }
    }

    /// Records a token that the endpoint helped to generate. Returns whether the endpoint has just
    /// become healthy again.
    pub(crate) fn record_token(&mut self, now_ms: u64) -> bool {
        if self.faults == 0 || now_ms < self.avoid_until_ms {
            return false;
        }
        self.tokens += 1;
        if self.tokens < TOKENS_TO_RECOVER {
            return false;
        }
        *self = Self::default();
        true
    }
}

/// All endpoints, in the order of the list. Indices are valid until the list changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) endpoints: IndexMap<EndpointId, Endpoint>,
    next_number: u32,
}

/// What changed that chains or the flow depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing changed.
    None,
    /// An endpoint's availability, rate or links. Routes remain valid but may no longer be optimal.
    Availability,
    /// The list, or what an engine holds. Routes are no longer valid.
    Structure,
    /// The process at the address was replaced. This implies [`Self::Structure`].
    Incarnation,
}

impl EndpointTable {
    /// Replaces the list. What was learned about an endpoint is kept if its address and role are
    /// unchanged.
    pub(crate) fn replace(&mut self, records: &[EndpointRecord]) -> Change {
        let same = self.endpoints.len() == records.len()
            && self
                .endpoints
                .values()
                .zip(records)
                .all(|(known, record)| matches_record(record, known));
        if same {
            return Change::None;
        }
        let mut endpoints = IndexMap::with_capacity(records.len());
        for record in records {
            let old = self.endpoints.swap_remove(&record.endpoint);
            let endpoint = match old {
                Some(old) if old.address == record.address && old.role == record.role => Endpoint {
                    service: record.service.clone(),
                    zone: record.zone.clone(),
                    leaving: record.phase == InstancePhase::Leaving,
                    ..old
                },
                _ => {
                    self.next_number += 1;
                    Endpoint::new(record, self.next_number)
                }
            };
            endpoints.insert(record.endpoint.clone(), endpoint);
        }
        self.endpoints = endpoints;
        Change::Structure
    }

    /// Records a fault and backs off from the endpoint.
    pub(crate) fn record_fault(
        &mut self,
        id: &EndpointId,
        fault: EndpointFault,
        now_ms: u64,
    ) -> Change {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return Change::None;
        };
        let before = endpoint.accepts_work(now_ms);
        endpoint.record_fault(fault, now_ms);
        if before != endpoint.accepts_work(now_ms) {
            Change::Availability
        } else {
            Change::None
        }
    }

    /// Records the state reported by an engine; `None` if it did not answer.
    pub(crate) fn set_state(
        &mut self,
        id: &EndpointId,
        state: Option<&EngineState>,
        now_ms: u64,
    ) -> Change {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return Change::None;
        };
        let Some(state) = state else {
            endpoint.health.missed_polls += 1;
            endpoint.poll_state_at_ms = endpoint.poll_state_at_ms.min(now_ms + REFUSAL_BACKOFF_MS);
            if endpoint.health.missed_polls < MISSES_BEFORE_FAULT {
                return Change::None;
            }
            return self.record_fault(id, EndpointFault::Unreachable, now_ms);
        };
        let accepts_work = endpoint.accepts_work(now_ms);
        let replaced = endpoint
            .state
            .as_ref()
            .is_some_and(|known| known.incarnation != state.incarnation);
        if replaced {
            endpoint.reset_learned_state();
        }
        endpoint.health.record_answer(now_ms);
        if now_ms < endpoint.health.avoid_until_ms {
            let backoff_ends_ms = endpoint.health.avoid_until_ms;
            endpoint.poll_state_at_ms = endpoint.poll_state_at_ms.min(backoff_ends_ms);
        }
        endpoint.draining_since_ms = match endpoint.draining_since_ms {
            Some(since_ms) if now_ms < since_ms + DRAINING_TTL_MS => Some(since_ms),
            _ => state.draining.then_some(now_ms),
        };
        let known = endpoint.state.replace(state.clone());
        let Some(known) = known else {
            return if replaced {
                Change::Incarnation
            } else {
                Change::Structure
            };
        };
        if !holds_same_layers(&known, state) {
            return Change::Structure;
        }
        let same = is_similar(&known, state) && accepts_work == endpoint.accepts_work(now_ms);
        if same {
            Change::None
        } else {
            Change::Availability
        }
    }

    /// Returns the earliest time at which a backoff ends for an endpoint that need not answer a
    /// poll first.
    pub(crate) fn next_backoff_end_ms(&self, now_ms: u64) -> Option<u64> {
        let returning = self
            .endpoints
            .values()
            .filter(|e| !e.health.requires_answer);
        let ends = returning.map(|endpoint| endpoint.health.avoid_until_ms);
        ends.filter(|at_ms| *at_ms > now_ms).min()
    }

    /// Returns the endpoints that reported that they are draining.
    pub(crate) fn draining_endpoints(&self) -> Vec<EndpointId> {
        let draining = self
            .endpoints
            .values()
            .filter(|e| e.draining_since_ms.is_some());
        draining.map(|endpoint| endpoint.id.clone()).collect()
    }
}

fn matches_record(record: &EndpointRecord, known: &Endpoint) -> bool {
    record.endpoint == known.id
        && record.role == known.role
        && record.service == known.service
        && record.zone == known.zone
        && record.address == known.address
        && (record.phase == InstancePhase::Leaving) == known.leaving
}

fn holds_same_layers(one: &EngineState, other: &EngineState) -> bool {
    one.model == other.model
        && one.version == other.version
        && one.adapters == other.adapters
        && one.layers == other.layers
}

/// Whether two states lead to nearly the same flow.
fn is_similar(one: &EngineState, other: &EngineState) -> bool {
    let are_all_links_similar = one.links.len() == other.links.len()
        && one.links.iter().all(|(to, link)| {
            let new = other.links.get(to);
            new.is_some_and(|new| are_links_similar(link, new))
        });
    one.draining == other.draining
        && one.batch_limit == other.batch_limit
        && one.slots() == other.slots()
        && is_within(
            one.layer_tokens_per_s,
            other.layer_tokens_per_s,
            RATE_TOLERANCE,
        )
        && are_all_links_similar
}

fn are_links_similar(one: &LinkState, other: &LinkState) -> bool {
    let (bytes, other_bytes) = (one.bandwidth_bytes_per_s, other.bandwidth_bytes_per_s);
    is_within(bytes as f64, other_bytes as f64, LINK_TOLERANCE)
        && is_within(one.delay_us as f64, other.delay_us as f64, LINK_TOLERANCE)
}

fn is_within(one: f64, other: f64, within: f64) -> bool {
    (one - other).abs() <= within * one.abs().max(other.abs())
}
