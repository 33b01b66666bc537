//! What is known of each endpoint, and whether it takes new work.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::engine::{EngineState, LinkState};
use crate::wire::local::EndpointRecord;
use crate::wire::platform::{InstancePhase, InstanceRole};

use super::affinity::HintWorth;
use super::calls::CallLimit;
use super::gaps::GapHistory;
use super::limits::SlotLimit;

/// How an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointFault {
    /// No connection could be made, or a stage said that it could not reach it.
    Unreachable,
    /// It was reached, but its answers stopped.
    Silent,
    /// It answers, but far slower than its own history.
    Slow,
    /// It refused work: its queue is full or it does not hold what was asked.
    Refused,
    /// It said that it takes no new work.
    Draining,
}

/// First time an endpoint is avoided after a fault.
pub(crate) const BACKOFF_FIRST_MS: u64 = 500;
/// Longest time an endpoint is avoided after a fault.
pub(crate) const BACKOFF_LAST_MS: u64 = 16_000;
/// How long an endpoint that refused work gets nothing more.
pub(crate) const REFUSED_MS: u64 = 100;
/// Longest time between two questions for the state of an engine under suspicion: a new
/// incarnation in its place is trusted at once.
const SUSPECT_POLL_MS: u64 = 250;
/// How long a word that it drains outweighs a state that says otherwise, which may be older.
const DRAINING_HOLDS_MS: u64 = 2_000;
/// Unanswered polls in a row that make a fault.
const MISSES_OF_FAULT: u32 = 2;
/// Tokens in a row after which old faults are forgotten.
const TOKENS_OF_TRUST: u32 = 16;
/// Relative change of a rate below which nothing is worked out again.
const SAME_RATE_WITHIN: f64 = 0.1;
/// Relative change of a link below which nothing is worked out again.
const SAME_LINK_WITHIN: f64 = 0.3;

/// Whether an endpoint is trusted, and if not, until when it is avoided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Trust {
    /// Faults in a row; 0 when it is trusted.
    pub(crate) faults: u32,
    /// Avoided before this time.
    pub(crate) avoid_until_ms: u64,
    /// Whether it must answer a poll before it gets work again.
    pub(crate) must_answer: bool,
    /// Whether its last fault leaves it able to hand over KV state.
    pub(crate) answers: bool,
    misses: u32,
    tokens: u32,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    /// Number of this endpoint; never used for another one.
    pub(crate) number: u32,
    pub(crate) role: InstanceRole,
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    /// What the engine last said; `None` until it has said anything in this incarnation.
    pub(crate) state: Option<EngineState>,
    /// Streams or calls of this entry.
    pub(crate) outstanding: u32,
    /// Limit of streams, for engines.
    pub(crate) limit: SlotLimit,
    /// Limit of calls, for replicas of applications.
    pub(crate) calls: CallLimit,
    pub(crate) gaps: GapHistory,
    pub(crate) trust: Trust,
    pub(crate) hints: HintWorth,
    /// Gets nothing more before this time, since it refused work.
    pub(crate) refused_until_ms: u64,
    pub(crate) last_turn: u64,
    /// When it said that it drains, by a refusal or in its state.
    pub(crate) draining_since_ms: Option<u64>,
    pub(crate) poll_state_at_ms: u64,
    pub(crate) poll_cache_at_ms: u64,
    /// Last cache event seen.
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
            limit: SlotLimit::default(),
            calls: CallLimit::default(),
            gaps: GapHistory::default(),
            trust: Trust::default(),
            hints: HintWorth::default(),
            refused_until_ms: 0,
            last_turn: 0,
            draining_since_ms: None,
            poll_state_at_ms: 0,
            poll_cache_at_ms: 0,
            cache_after: 0,
        }
    }

    /// Whether new work may go to it.
    pub(crate) fn takes_work(&self, now_ms: u64) -> bool {
        !self.leaving
            && self.draining_since_ms.is_none()
            && !self.trust.must_answer
            && now_ms >= self.trust.avoid_until_ms
    }

    /// Whether it has room for one more stream or call of this entry.
    pub(crate) fn has_room(&self, now_ms: u64) -> bool {
        now_ms >= self.refused_until_ms && self.outstanding < self.slots()
    }

    /// Streams or calls of this entry that may be there.
    pub(crate) fn slots(&self) -> u32 {
        match self.role {
            InstanceRole::Application => self.calls.calls(),
            InstanceRole::Engine | InstanceRole::Entry => self.limit.slots(),
        }
    }

    /// Whether it can still hand over the KV state of streams that ran on it.
    pub(crate) fn can_export(&self) -> bool {
        let stays_reachable = self.leaving || self.draining_since_ms.is_some();
        stays_reachable && (self.trust.faults == 0 || self.trust.answers)
    }

    /// Forgets what was learnt of an earlier process at this address.
    fn forget_incarnation(&mut self) {
        self.state = None;
        self.gaps = GapHistory::default();
        self.limit = SlotLimit::default();
        self.trust = Trust::default();
        self.hints = HintWorth::default();
        self.refused_until_ms = 0;
        self.draining_since_ms = None;
        self.cache_after = 0;
    }

    fn fault(&mut self, fault: EndpointFault, now_ms: u64) {
        match fault {
            EndpointFault::Draining => self.draining_since_ms = Some(now_ms),
            EndpointFault::Refused => {
                self.limit.refused();
                self.calls.refused();
                self.refused_until_ms = now_ms + REFUSED_MS;
            }
            EndpointFault::Unreachable | EndpointFault::Silent | EndpointFault::Slow => {
                // Only engines are polled.
                let is_polled = self.role == InstanceRole::Engine;
                self.trust.suspect(fault, is_polled, now_ms);
                self.poll_state_at_ms = self.trust.avoid_until_ms.min(now_ms + SUSPECT_POLL_MS);
            }
        }
    }
}

impl Trust {
    fn suspect(&mut self, fault: EndpointFault, is_polled: bool, now_ms: u64) {
        // Several streams report the same fault; only the first within its time counts.
        if now_ms >= self.avoid_until_ms || self.faults == 0 {
            self.faults += 1;
            let backoff_ms = BACKOFF_FIRST_MS << (self.faults - 1).min(8);
            self.avoid_until_ms = now_ms + backoff_ms.min(BACKOFF_LAST_MS);
        }
        self.tokens = 0;
        self.answers = fault == EndpointFault::Slow;
        self.must_answer |= is_polled && fault != EndpointFault::Slow;
    }

    /// Notes an answer to a poll.
    fn answered(&mut self, now_ms: u64) {
        self.misses = 0;
        if now_ms >= self.avoid_until_ms {
            self.must_answer = false;
        }
    }

    /// Notes a token that ran through the endpoint; returns whether it is trusted anew.
    pub(crate) fn token(&mut self, now_ms: u64) -> bool {
        if self.faults == 0 || now_ms < self.avoid_until_ms {
            return false;
        }
        self.tokens += 1;
        if self.tokens < TOKENS_OF_TRUST {
            return false;
        }
        *self = Self::default();
        true
    }
}

/// Every endpoint, in the order of the list; indices hold until the list changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) all: IndexMap<EndpointId, Endpoint>,
    next_number: u32,
}

/// Whether anything changed that chains or the flow depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Nothing.
    None,
    /// Whether an endpoint takes work, its rate or its links: routes still hold but are not the
    /// best.
    Trust,
    /// The list, or what an engine holds: routes hold no more.
    Structure,
    /// The process behind the address is another one; structure changed too.
    Incarnation,
}

impl EndpointTable {
    /// Takes the whole list; what was learnt of an endpoint stays while its address does.
    pub(crate) fn replace(&mut self, records: &[EndpointRecord]) -> Change {
        let same = self.all.len() == records.len()
            && self
                .all
                .values()
                .zip(records)
                .all(|(known, record)| describes(record, known));
        if same {
            return Change::None;
        }
        let mut all = IndexMap::with_capacity(records.len());
        for record in records {
            let old = self.all.swap_remove(&record.endpoint);
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
            all.insert(record.endpoint.clone(), endpoint);
        }
        self.all = all;
        Change::Structure
    }

    /// Notes a fault and how long the endpoint is avoided for it.
    pub(crate) fn fault(&mut self, id: &EndpointId, fault: EndpointFault, now_ms: u64) -> Change {
        let Some(endpoint) = self.all.get_mut(id) else {
            return Change::None;
        };
        let before = endpoint.takes_work(now_ms);
        endpoint.fault(fault, now_ms);
        if before != endpoint.takes_work(now_ms) {
            Change::Trust
        } else {
            Change::None
        }
    }

    /// Takes what an engine says of itself; `None` if it did not answer.
    pub(crate) fn set_state(
        &mut self,
        id: &EndpointId,
        state: Option<&EngineState>,
        now_ms: u64,
    ) -> Change {
        let Some(endpoint) = self.all.get_mut(id) else {
            return Change::None;
        };
        let Some(state) = state else {
            endpoint.trust.misses += 1;
            endpoint.poll_state_at_ms = endpoint.poll_state_at_ms.min(now_ms + REFUSED_MS);
            if endpoint.trust.misses < MISSES_OF_FAULT {
                return Change::None;
            }
            return self.fault(id, EndpointFault::Unreachable, now_ms);
        };
        let takes_work = endpoint.takes_work(now_ms);
        let replaced = endpoint
            .state
            .as_ref()
            .is_some_and(|known| known.incarnation != state.incarnation);
        if replaced {
            endpoint.forget_incarnation();
        }
        endpoint.trust.answered(now_ms);
        if now_ms < endpoint.trust.avoid_until_ms {
            let backoff_ends_ms = endpoint.trust.avoid_until_ms;
            endpoint.poll_state_at_ms = endpoint.poll_state_at_ms.min(backoff_ends_ms);
        }
        endpoint.draining_since_ms = match endpoint.draining_since_ms {
            Some(since_ms) if now_ms < since_ms + DRAINING_HOLDS_MS => Some(since_ms),
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
        if !holds_same(&known, state) {
            return Change::Structure;
        }
        let same = serves_alike(&known, state) && takes_work == endpoint.takes_work(now_ms);
        if same { Change::None } else { Change::Trust }
    }

    /// Earliest time at which an endpoint takes work again by itself.
    pub(crate) fn next_return_ms(&self, now_ms: u64) -> Option<u64> {
        let returning = self.all.values().filter(|e| !e.trust.must_answer);
        let ends = returning.map(|endpoint| endpoint.trust.avoid_until_ms);
        ends.filter(|at_ms| *at_ms > now_ms).min()
    }

    /// Endpoints that said they drain.
    pub(crate) fn draining_endpoints(&self) -> Vec<EndpointId> {
        let draining = self.all.values().filter(|e| e.draining_since_ms.is_some());
        draining.map(|endpoint| endpoint.id.clone()).collect()
    }
}

fn describes(record: &EndpointRecord, known: &Endpoint) -> bool {
    record.endpoint == known.id
        && record.role == known.role
        && record.service == known.service
        && record.zone == known.zone
        && record.address == known.address
        && (record.phase == InstancePhase::Leaving) == known.leaving
}

fn holds_same(one: &EngineState, other: &EngineState) -> bool {
    one.model == other.model
        && one.version == other.version
        && one.adapters == other.adapters
        && one.layers == other.layers
}

/// Whether two states lead to almost the same flow.
fn serves_alike(one: &EngineState, other: &EngineState) -> bool {
    let all_alike = one.links.len() == other.links.len()
        && one.links.iter().all(|(to, link)| {
            let new = other.links.get(to);
            new.is_some_and(|new| links_alike(link, new))
        });
    one.draining == other.draining
        && one.batch_limit == other.batch_limit
        && one.slots() == other.slots()
        && near(
            one.layer_tokens_per_s,
            other.layer_tokens_per_s,
            SAME_RATE_WITHIN,
        )
        && all_alike
}

fn links_alike(one: &LinkState, other: &LinkState) -> bool {
    let (bytes, other_bytes) = (one.bandwidth_bytes_per_s, other.bandwidth_bytes_per_s);
    near(bytes as f64, other_bytes as f64, SAME_LINK_WITHIN)
        && near(one.delay_us as f64, other.delay_us as f64, SAME_LINK_WITHIN)
}

fn near(one: f64, other: f64, within: f64) -> bool {
    (one - other).abs() <= within * one.abs().max(other.abs())
}
