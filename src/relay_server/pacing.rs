//! What an instance does with the word of endpoints on how they want to be sent requests.

use super::adapter::Adapter;
use super::node::Node;
use super::peer_book::PeerBook;
use super::senders::{LimitedEndpoint, share_per_s};
use crate::clock::boot_ms;
use crate::fleet::{Fleet, Pacing, PacingChange, ToldLimit};
use crate::ids::{EndpointId, InstanceId, ServiceName};
use crate::relay::RefusalCause;

/// Whether this instance holds a permit at the endpoint that it is about to send a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// None is needed, as far as is known.
    NotNeeded,
    /// It holds one.
    Held,
    /// It needs one, and none is due.
    Missing,
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Takes what an answer of an endpoint says, with a line on what is new. Others are told of a limit.
    pub(super) fn heard_pacing(&self, endpoint: &EndpointId, said: Pacing) {
        let now_ms = boot_ms();
        let (changes, has_news) = {
            let mut fleet = self.fleet.borrow_mut();
            let changes = fleet.hear_pacing(endpoint, said, now_ms);
            (changes, fleet.pacing.has_untold_news())
        };
        for change in &changes {
            self.log_pacing(endpoint, *change);
        }
        if changes.contains(&PacingChange::Leaving) {
            self.peers.borrow_mut().tell_said_leaving(endpoint);
            self.heartbeat_due.notify_one();
        }
        if !changes.is_empty() {
            self.share_limits(now_ms);
        }
        if has_news {
            self.tell_knowledge();
        }
    }

    /// Takes limits that a peer has heard.
    pub(super) fn hear_limits(&self, peer: &InstanceId, limits: &[ToldLimit], now_ms: u64) {
        let mut has_changed = false;
        for told in limits {
            let mut fleet = self.fleet.borrow_mut();
            if fleet.pacing.hear_told(told, now_ms) {
                has_changed = true;
                log::info!(
                    endpoint = told.endpoint.as_str(),
                    now_per_s = told.limit_per_s,
                    age_ms = told.age_ms,
                    peer = peer.as_str();
                    "endpoint names a rate limit, a peer says"
                );
                self.counters.count("relay.pacing.limits_told");
            }
        }
        if has_changed {
            self.share_limits(now_ms);
        }
    }

    /// Decides anew how much of each endpoint's limit is this instance's.
    pub(super) fn share_limits(&self, now_ms: u64) {
        share_limits(&mut self.fleet.borrow_mut(), &self.peers.borrow(), now_ms);
    }

    /// Why nobody can be sent a request for a service now, if it is that endpoints want none.
    pub(super) fn rate_limited(&self, service: &ServiceName) -> Option<RefusalCause> {
        let now_ms = boot_ms();
        let fleet = self.fleet.borrow();
        let wait_ms = fleet
            .next_send_ms(service, now_ms)
            .map(|at_ms| at_ms.saturating_sub(now_ms));
        fleet
            .is_held_off(service, now_ms)
            .then_some(RefusalCause::RateLimited { wait_ms })
    }

    /// Takes a permit at an endpoint for a request, where one is needed.
    pub(super) fn take_permit(&self, endpoint: &EndpointId) -> Permit {
        let now_ms = boot_ms();
        let mut fleet = self.fleet.borrow_mut();
        let pacing = &mut fleet.pacing;
        let permit = if pacing.is_backing_off(endpoint, now_ms) {
            Permit::Missing
        } else if !pacing.is_limited(endpoint) {
            Permit::NotNeeded
        } else if pacing.take_permit(endpoint, now_ms) {
            Permit::Held
        } else {
            Permit::Missing
        };
        if permit == Permit::Missing {
            self.counters.count("relay.pacing.no_permit");
        }
        permit
    }

    /// Whether a request may be sent with a permit that was taken before there was a connection: the endpoint
    /// may have said more since.
    pub(super) fn keeps_permit(&self, endpoint: &EndpointId, permit: Permit) -> bool {
        match permit {
            Permit::Held => !self.is_backing_off(endpoint),
            Permit::NotNeeded => self.take_permit(endpoint) != Permit::Missing,
            Permit::Missing => false,
        }
    }

    fn is_backing_off(&self, endpoint: &EndpointId) -> bool {
        let fleet = self.fleet.borrow();
        fleet.pacing.is_backing_off(endpoint, boot_ms())
    }

    /// Puts a permit back with which nothing was sent.
    pub(super) fn give_permit_back(&self, endpoint: &EndpointId, permit: Permit) {
        if permit == Permit::Held {
            self.fleet.borrow_mut().pacing.give_permit_back(endpoint);
        }
    }

    fn log_pacing(&self, endpoint: &EndpointId, change: PacingChange) {
        let endpoint = endpoint.as_str();
        match change {
            PacingChange::Limit {
                before_per_s,
                now_per_s,
            } => {
                log::info!(endpoint, before_per_s, now_per_s; "endpoint names a rate limit");
                self.counters.count("relay.pacing.limits");
            }
            PacingChange::BackOff { for_ms } => {
                log::info!(endpoint, for_ms; "endpoint asks this instance to back off");
                self.counters.count("relay.pacing.back_offs");
            }
            PacingChange::Leaving => {
                log::info!(endpoint; "endpoint says that it is leaving");
                self.counters.count("relay.pacing.leaving");
            }
        }
    }
}

/// Decides how much of each endpoint's limit is the instance's that has this book of peers.
pub(super) fn share_limits(fleet: &mut Fleet, peers: &PeerBook, now_ms: u64) {
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
