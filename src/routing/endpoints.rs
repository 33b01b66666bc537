//! What is known of each endpoint.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::engine::EngineState;
use crate::wire::local::EndpointRecord;
use crate::wire::platform::{InstancePhase, InstanceRole};

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
/// How long an engine that refused for lack of room is avoided.
pub(crate) const REFUSED_MS: u64 = 100;

/// An endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) role: InstanceRole,
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    pub(crate) leaving: bool,
    /// What the engine last said; `None` until it has said anything in this incarnation.
    pub(crate) state: Option<EngineState>,
    pub(crate) state_at_ms: u64,
    /// Streams or calls of this entry.
    pub(crate) outstanding: u32,
    /// Limit of `outstanding`; at least 1.
    pub(crate) limit: u32,
    pub(crate) last_turn: u64,
    /// Avoided before this time.
    pub(crate) avoid_until_ms: u64,
    /// Faults in a row; 0 when it is trusted.
    pub(crate) faults: u32,
    /// Whether the last fault was that it drains.
    pub(crate) draining: bool,
    pub(crate) poll_state_at_ms: u64,
    pub(crate) poll_cache_at_ms: u64,
    /// Last cache event seen.
    pub(crate) cache_after: u64,
}

impl Endpoint {
    fn new(record: &EndpointRecord) -> Self {
        Self {
            id: record.endpoint.clone(),
            role: record.role,
            service: record.service.clone(),
            zone: record.zone.clone(),
            address: record.address,
            leaving: record.phase == InstancePhase::Leaving,
            state: None,
            state_at_ms: 0,
            outstanding: 0,
            limit: 64,
            last_turn: 0,
            avoid_until_ms: 0,
            faults: 0,
            draining: false,
            poll_state_at_ms: 0,
            poll_cache_at_ms: 0,
            cache_after: 0,
        }
    }

    /// Whether new work may go to it.
    pub(crate) fn takes_work(&self, now_ms: u64) -> bool {
        !self.leaving && !self.draining && now_ms >= self.avoid_until_ms
    }

    /// Whether it has room for one more stream or call of this entry.
    pub(crate) fn has_room(&self) -> bool {
        self.outstanding < self.limit
    }
}

/// Every endpoint, in the order of the list; indices hold until the list changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointTable {
    pub(crate) all: IndexMap<EndpointId, Endpoint>,
}

impl EndpointTable {
    /// Takes the whole list; what was learnt of an endpoint stays while its address does.
    pub(crate) fn replace(&mut self, records: &[EndpointRecord]) {
        let mut all = IndexMap::with_capacity(records.len());
        for record in records {
            let mut endpoint = Endpoint::new(record);
            if let Some(old) = self.all.swap_remove(&record.endpoint)
                && old.address == record.address
                && old.role == record.role
            {
                endpoint = Endpoint {
                    service: record.service.clone(),
                    zone: record.zone.clone(),
                    leaving: endpoint.leaving,
                    ..old
                };
            }
            all.insert(record.endpoint.clone(), endpoint);
        }
        self.all = all;
    }

    /// Notes a fault and how long the endpoint is avoided for it.
    pub(crate) fn fault(&mut self, id: &EndpointId, fault: EndpointFault, now_ms: u64) {
        let Some(endpoint) = self.all.get_mut(id) else {
            return;
        };
        match fault {
            EndpointFault::Draining => endpoint.draining = true,
            EndpointFault::Refused => endpoint.avoid_until_ms = now_ms + REFUSED_MS,
            EndpointFault::Unreachable | EndpointFault::Silent | EndpointFault::Slow => {
                endpoint.faults += 1;
                let backoff_ms = BACKOFF_FIRST_MS << (endpoint.faults - 1).min(8);
                endpoint.avoid_until_ms = now_ms + backoff_ms.min(BACKOFF_LAST_MS);
            }
        }
    }

    /// Takes what an engine says of itself; `None` if it did not answer.
    pub(crate) fn set_state(&mut self, id: &EndpointId, state: Option<&EngineState>, now_ms: u64) {
        let Some(state) = state else {
            self.fault(id, EndpointFault::Unreachable, now_ms);
            return;
        };
        let Some(endpoint) = self.all.get_mut(id) else {
            return;
        };
        endpoint.state = Some(state.clone());
        endpoint.state_at_ms = now_ms;
        endpoint.draining = state.draining;
    }

    /// Endpoints that said they drain.
    pub(crate) fn drained(&self) -> Vec<EndpointId> {
        let draining: IndexSet<&EndpointId> = self
            .all
            .values()
            .filter(|endpoint| endpoint.draining)
            .map(|endpoint| &endpoint.id)
            .collect();
        draining.into_iter().cloned().collect()
    }
}
