//! Handling of rate limits, back-offs and drain notices that endpoints announce.

use std::net::SocketAddr;

use super::adapter::Adapter;
use super::node::Node;
use super::peer_book::PeerBook;
use super::senders::{LimitedEndpoint, share_per_s};
use super::traffic::TrafficKind;
use super::upstream::{Exchange, OutgoingRequest, UpstreamFailure};
use crate::clock::boot_ms;
use crate::fleet::{Fleet, LimitReport, Pacing, PacingChange, Permit};
use crate::ids::{EndpointId, InstanceId, ServiceName};
use crate::relay::RefusalCause;

impl<A> Node<A>
where
    A: Adapter,
{
    /// Applies the pacing in a response of an endpoint, and logs changes. Limits are announced to peers.
    pub(super) fn apply_pacing(&self, endpoint: &EndpointId, announced: Pacing) {
        let now_ms = boot_ms();
        let mut fleet = self.fleet.borrow_mut();
        let changes = fleet.apply_pacing(endpoint, announced, now_ms);
        let has_updates = fleet.pacing.has_unsent_updates();
        drop(fleet);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.log_pacing(endpoint, *change);
        }
        if changes.contains(&PacingChange::Leaving) {
            self.peers
                .borrow_mut()
                .announce_self_reported_leaving(endpoint);
            self.heartbeat_due.notify_one();
        }
        self.update_limit_shares(now_ms);
        if has_updates {
            self.request_heartbeat();
        }
    }

    /// Applies rate limits that a peer has reported.
    pub(super) fn apply_limit_reports(
        &self,
        peer: &InstanceId,
        limits: &[LimitReport],
        now_ms: u64,
    ) {
        let mut has_changed = false;
        for report in limits {
            let mut fleet = self.fleet.borrow_mut();
            if fleet.pacing.apply_reports(report, now_ms) {
                has_changed = true;
                log::info!(
                    endpoint = report.endpoint.as_str(),
                    now_per_s = report.limit_per_s,
                    age_ms = report.age_ms,
                    peer = peer.as_str();
                    "peer reports an endpoint's rate limit"
                );
                self.counters.count("relay.pacing.limits_told");
            }
        }
        if has_changed {
            self.update_limit_shares(now_ms);
        }
    }

    /// Recomputes this instance's share of each endpoint's rate limit.
    pub(super) fn update_limit_shares(&self, now_ms: u64) {
        update_limit_shares(&mut self.fleet.borrow_mut(), &self.peers.borrow(), now_ms);
    }

    /// The cause to refuse a request with if all endpoints of a service are held off by their pacing.
    pub(super) fn rate_limit_refusal(&self, service: &ServiceName) -> Option<RefusalCause> {
        let now_ms = boot_ms();
        let next_send = self.fleet.borrow().earliest_paced_send(service, now_ms)?;
        let wait_ms = next_send.at_ms.map(|at_ms| at_ms.saturating_sub(now_ms));
        Some(RefusalCause::RateLimited { wait_ms })
    }

    /// Sends a request under a permit of its endpoint, where one is needed, if `may_send` returns true
    /// once the connection is established. Fails as
    /// [`UpstreamPool::send`](super::upstream::UpstreamPool::send) does.
    pub(super) async fn send_with_permit<F>(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        request: OutgoingRequest<'_>,
        may_send: F,
    ) -> Result<Exchange, UpstreamFailure>
    where
        F: FnOnce() -> bool,
    {
        let permit = self.take_permit(endpoint);
        if permit == Permit::Missing {
            return Err(UpstreamFailure::Withdrawn);
        }
        let started_ms = boot_ms();
        let body_bytes = request.body.len();
        let may_send = || may_send() && self.renew_permit(endpoint, permit);
        let sent = self
            .upstreams
            .send(address, request, started_ms, may_send)
            .await;
        match &sent {
            Err(UpstreamFailure::NoConnection | UpstreamFailure::NoListener) => {
                self.note_unreachable(endpoint);
            }
            Ok(exchange) if exchange.is_new => self.note_connected(endpoint, started_ms),
            _ => {}
        }
        let sent_nothing = sent.as_ref().is_err_and(|failure| failure.sent_nothing());
        if sent_nothing {
            let mut fleet = self.fleet.borrow_mut();
            fleet.pacing.return_permit(endpoint, permit);
        } else {
            let scope = self.scope_of_endpoint(endpoint);
            self.count_traffic(TrafficKind::EndpointRequests, scope, body_bytes);
        }
        sent
    }

    fn take_permit(&self, endpoint: &EndpointId) -> Permit {
        let mut fleet = self.fleet.borrow_mut();
        self.count_missing_permit(fleet.pacing.acquire_permit(endpoint, boot_ms()))
    }

    fn renew_permit(&self, endpoint: &EndpointId, permit: Permit) -> bool {
        let mut fleet = self.fleet.borrow_mut();
        let renewed = fleet.pacing.recheck_permit(endpoint, permit, boot_ms());
        self.count_missing_permit(renewed) != Permit::Missing
    }

    fn count_missing_permit(&self, permit: Permit) -> Permit {
        if permit == Permit::Missing {
            self.counters.count("relay.pacing.no_permit");
        }
        permit
    }

    fn log_pacing(&self, endpoint: &EndpointId, change: PacingChange) {
        let endpoint = endpoint.as_str();
        match change {
            PacingChange::Limit {
                before_per_s,
                now_per_s,
            } => {
                log::info!(endpoint, before_per_s, now_per_s; "endpoint announced a rate limit");
                self.counters.count("relay.pacing.limits");
            }
            PacingChange::BackOff { for_ms } => {
                log::info!(endpoint, for_ms; "endpoint requested a back-off");
                self.counters.count("relay.pacing.back_offs");
            }
            PacingChange::Leaving => {
                log::info!(endpoint; "endpoint announced that it is leaving");
                self.counters.count("relay.pacing.leaving");
            }
        }
    }
}

/// Recomputes the share of each endpoint's rate limit for the instance that `peers` belongs to.
pub(super) fn update_limit_shares(fleet: &mut Fleet, peers: &PeerBook, now_ms: u64) {
    if !fleet.pacing.has_limits() {
        return;
    }
    let own = peers.own_sender();
    let others = peers.other_senders(now_ms);
    fleet.share_limits(
        |endpoint, zone, limit_per_s| {
            let limited = LimitedEndpoint {
                endpoint,
                zone,
                limit_per_s,
            };
            share_per_s(limited, own, &others)
        },
        now_ms,
    );
}
