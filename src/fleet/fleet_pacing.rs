//! Applies rate limits, back-offs and departures to the endpoints of the fleet.

use super::{Fleet, KnownEndpoint, Pacing, PacingChange, Phase};
use crate::ids::{EndpointId, ServiceName, ZoneName};

/// When a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextSend {
    /// `None` if other instances hold all permits.
    pub(crate) at_ms: Option<u64>,
}

impl Fleet {
    /// Applies the announcements in a response of an endpoint. Returns what changed.
    pub fn apply_pacing(
        &mut self,
        id: &EndpointId,
        announced: Pacing,
        now_ms: u64,
    ) -> Vec<PacingChange> {
        let changes = self.pacing.apply(id, announced, now_ms);
        if announced.is_leaving {
            self.mark_leaving(id);
        }
        changes
    }

    /// Records a peer's report that an endpoint has announced its own departure. Returns whether
    /// this changed the endpoint's phase.
    pub fn apply_self_reported_leaving(&mut self, id: &EndpointId, now_ms: u64) -> bool {
        self.pacing.record_leaving(id, now_ms);
        self.mark_leaving(id)
    }

    /// Sends the endpoint no new work in this lifetime, although the list may show it in service
    /// for long.
    fn mark_leaving(&mut self, id: &EndpointId) -> bool {
        let known = self.endpoints.get_mut(id);
        let known = known.filter(|it| it.listed.phase == Phase::Live);
        known.map(|it| it.listed.phase = Phase::Leaving).is_some()
    }

    /// Whether the endpoint's rate limit and back-off allow a request now.
    pub fn may_send(&self, id: &EndpointId, now_ms: u64) -> bool {
        self.pacing.may_send(id, now_ms)
    }

    /// Recomputes this instance's share of each limit. `share_per_s` maps an endpoint, its
    /// availability zone and its limit, in requests per second, to the share.
    pub fn share_limits<F>(&mut self, share_per_s: F, now_ms: u64)
    where
        F: Fn(&EndpointId, &ZoneName, f64) -> f64,
    {
        let endpoints = &self.endpoints;
        self.pacing.share_limits(
            |id, limit_per_s| {
                // Unlisted endpoints get no requests.
                let known = endpoints.get(id);
                known.map_or(0.0, |it| share_per_s(id, &it.listed.zone, limit_per_s))
            },
            now_ms,
        );
    }

    /// The earliest time at which an endpoint of the service may get a request, over endpoints at
    /// which one could start but for their rate limit or back-off. `None` if there is no such
    /// endpoint.
    pub(crate) fn earliest_paced_send(
        &self,
        service: &ServiceName,
        now_ms: u64,
    ) -> Option<NextSend> {
        let paced = self.of_service(service).filter(|known| {
            known.accepts_work() && known.can_start_requests() && !self.may_send(known.id(), now_ms)
        });
        let at_ms = |known: &KnownEndpoint| self.pacing.next_send_ms(known.id());
        let first = paced.map(at_ms).reduce(|a, b| match (a, b) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (at_ms, None) | (None, at_ms) => at_ms,
        });
        first.map(|at_ms| NextSend { at_ms })
    }
}
