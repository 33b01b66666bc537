//! What follows for the endpoints of a service from how they want to be sent requests.

use super::{Fleet, KnownEndpoint, Pacing, PacingChange, Phase};
use crate::ids::{EndpointId, ServiceName, ZoneName};

/// When a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NextSend {
    /// `None` if other instances have all permits.
    pub(crate) at_ms: Option<u64>,
}

impl Fleet {
    /// Takes what an answer of an endpoint says of how it wants to be sent requests; returns what is new.
    pub fn apply_pacing(
        &mut self,
        id: &EndpointId,
        said: Pacing,
        now_ms: u64,
    ) -> Vec<PacingChange> {
        let changes = self.pacing.apply(id, said, now_ms);
        if said.is_leaving {
            self.mark_leaving(id);
        }
        changes
    }

    /// Takes a peer's word that an endpoint has itself said that it leaves. Returns whether that is news.
    pub fn record_announced_leaving(&mut self, id: &EndpointId, now_ms: u64) -> bool {
        self.pacing.record_leaving(id, now_ms);
        self.mark_leaving(id)
    }

    /// Takes no new work there in this lifetime; the list may show it in service for long.
    fn mark_leaving(&mut self, id: &EndpointId) -> bool {
        let known = self.endpoints.get_mut(id);
        let known = known.filter(|it| it.listed.phase == Phase::Live);
        known.map(|it| it.listed.phase = Phase::Leaving).is_some()
    }

    /// Whether a request may be sent to an endpoint now, as far as its own word goes.
    pub fn may_send(&self, id: &EndpointId, now_ms: u64) -> bool {
        self.pacing.may_send(id, now_ms)
    }

    /// Decides anew how much of each limit is this instance's. `share_per_s` gets an endpoint, its
    /// availability zone and its limit, in requests a second.
    pub fn share_limits<F>(&mut self, share_per_s: F, now_ms: u64)
    where
        F: Fn(&EndpointId, &ZoneName, f64) -> f64,
    {
        let endpoints = &self.endpoints;
        self.pacing.share_limits(
            |id, limit_per_s| {
                // Nothing is sent to one that is not listed.
                let known = endpoints.get(id);
                known.map_or(0.0, |it| share_per_s(id, &it.listed.zone, limit_per_s))
            },
            now_ms,
        );
    }

    /// Whether there are endpoints of a service on which a request could begin if they wanted one now, and
    /// when the first of them may be sent one.
    pub(crate) fn earliest_paced_send(
        &self,
        service: &ServiceName,
        now_ms: u64,
    ) -> Option<NextSend> {
        let held_off = self.of_service(service).filter(|known| {
            known.accepts_work() && known.can_start_requests() && !self.may_send(known.id(), now_ms)
        });
        let at_ms = |known: &KnownEndpoint| self.pacing.next_send_ms(known.id());
        let first = held_off.map(at_ms).reduce(|a, b| match (a, b) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (at_ms, None) | (None, at_ms) => at_ms,
        });
        first.map(|at_ms| NextSend { at_ms })
    }
}
