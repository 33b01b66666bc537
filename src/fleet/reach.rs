//! Whether this instance reaches the endpoints of a service at all.
//!
//! An endpoint that refuses connections or does not answer may have failed, or this instance may be partitioned
//! from it. A new connection to another endpoint of its service shows that it is not partitioned from all of them.
//! Connections that were open before do not: they may outlast a partition that keeps new ones out.

use indexmap::IndexMap;

use crate::ids::ServiceName;

/// How long the confirmation of another instance that it reaches endpoints is valid: several inquiry intervals.
const REACHED_ELSEWHERE_TTL_MS: u64 = 1_000;

/// A change of whether endpoints are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachChange {
    /// None of several endpoints accepted a connection.
    Lost,
    /// An endpoint has accepted a connection again.
    Regained {
        /// How long none did.
        lost_ms: u64,
        /// When a connection was last attempted with success before that.
        connected_before_ms: u64,
    },
}

/// Whether this instance reaches endpoints, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceReach {
    services: IndexMap<ServiceName, EndpointReach>,
}

impl ServiceReach {
    /// Whether no endpoint of a service accepts connections of this instance.
    pub(crate) fn is_lost(&self, service: &ServiceName) -> bool {
        self.services
            .get(service)
            .is_some_and(EndpointReach::is_lost)
    }

    /// Whether this instance is partitioned from the endpoints of a service: none accepts its connections, while
    /// another instance reaches them. Without such a confirmation the endpoints may have stopped.
    pub(crate) fn is_cut_off(&self, service: &ServiceName, now_ms: u64) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_cut_off(now_ms))
    }

    /// Services of which no endpoint accepts connections of this instance.
    pub(crate) fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.services.iter().filter(|(_, reach)| reach.is_lost());
        lost.map(|(service, _)| service)
    }

    /// Whether to check if endpoints of a service are reached.
    pub(crate) fn needs_check(&self, service: &ServiceName) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(EndpointReach::needs_check)
    }

    /// Forgets a service that has no endpoints.
    pub(crate) fn forget(&mut self, service: &ServiceName) {
        self.services.swap_remove(service);
    }

    /// Services of which to check whether this instance reaches endpoints.
    pub(crate) fn services_to_check(&self) -> impl Iterator<Item = &ServiceName> {
        let due = self
            .services
            .iter()
            .filter(|(_, reach)| reach.needs_check());
        due.map(|(service, _)| service)
    }

    /// Whether an endpoint of a service was reached by a connection that was attempted at `at_ms` or later.
    pub(crate) fn is_shown_since(&self, service: &ServiceName, at_ms: u64) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.is_shown_since(at_ms))
    }

    /// The record of a service.
    pub(crate) fn of(&mut self, service: &ServiceName) -> &mut EndpointReach {
        self.services.entry(service.clone()).or_default()
    }
}

/// New connections to the endpoints of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointReach {
    /// Start of the newest attempt that established a connection; 0 if there was none.
    connected_ms: u64,
    /// When an endpoint was last found unreachable; 0 if none was.
    failed_ms: u64,
    /// Since when no endpoint has accepted a connection, if a check has shown that.
    lost_since_ms: Option<u64>,
    /// When the newest inquiry was sent to which another instance responded that it reaches an endpoint, since
    /// this instance reaches none.
    reached_elsewhere_ms: Option<u64>,
}

impl EndpointReach {
    /// Whether no endpoint accepts connections of this instance.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost_since_ms.is_some()
    }

    /// Whether no endpoint accepts connections of this instance, while another instance reaches them.
    pub(crate) fn is_cut_off(&self, now_ms: u64) -> bool {
        let is_recent = |asked_ms| now_ms < asked_ms + REACHED_ELSEWHERE_TTL_MS;
        self.is_lost() && self.reached_elsewhere_ms.is_some_and(is_recent)
    }

    /// Records that another instance, asked at `asked_ms`, reaches an endpoint.
    pub(crate) fn record_reached_elsewhere(&mut self, asked_ms: u64) {
        if self
            .lost_since_ms
            .is_some_and(|since_ms| since_ms <= asked_ms)
        {
            self.reached_elsewhere_ms = Some(asked_ms);
        }
    }

    /// Whether an endpoint was reached by a connection that was attempted at `at_ms` or later.
    pub(crate) fn is_shown_since(&self, at_ms: u64) -> bool {
        self.connected_ms >= at_ms
    }

    /// Records that an endpoint was found unreachable.
    pub(crate) fn record_unreachable(&mut self, now_ms: u64) {
        self.failed_ms = now_ms;
    }

    /// Whether to check if other endpoints are reached.
    pub(crate) fn needs_check(&self) -> bool {
        self.is_lost() || !self.is_shown_since(self.failed_ms)
    }

    /// Records that an attempt to connect to an endpoint that started at `started_ms` succeeded.
    pub(crate) fn record_connected(&mut self, started_ms: u64, now_ms: u64) -> Option<ReachChange> {
        let connected_before_ms = self.connected_ms;
        self.connected_ms = self.connected_ms.max(started_ms);
        let lost_since_ms = self.lost_since_ms.take_if(|since| *since <= started_ms)?;
        Some(ReachChange::Regained {
            lost_ms: now_ms.saturating_sub(lost_since_ms),
            connected_before_ms,
        })
    }

    /// Records that a check which started at `started_ms` has reached no endpoint.
    pub(crate) fn record_none_reached(&mut self, started_ms: u64) -> Option<ReachChange> {
        if self.is_lost() || self.connected_ms > started_ms {
            return None;
        }
        self.lost_since_ms = Some(started_ms);
        self.reached_elsewhere_ms = None;
        Some(ReachChange::Lost)
    }
}
