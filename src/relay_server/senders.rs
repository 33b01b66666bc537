//! Selects the instances that may send requests to an endpoint with a fleet-wide request rate limit.
//!
//! A limit of a few requests per second cannot be split among hundreds of instances: each would wait
//! minutes for a permit, and their first requests together would exceed the limit. Instead, a few
//! instances share all permits. Every instance computes the same selection without coordination:
//! instances of the endpoint's availability zone come first, ordered by rendezvous hashing.

use crate::ids::{EndpointId, InstanceId, ZoneName};
use crate::membership::rank;

/// An instance that may be selected.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender<'a> {
    pub(super) instance: &'a InstanceId,
    pub(super) zone: &'a ZoneName,
}

/// An endpoint with a rate limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitedEndpoint<'a> {
    pub(super) endpoint: &'a EndpointId,
    pub(super) zone: &'a ZoneName,
    /// Requests per second that it accepts from all instances together.
    pub(super) limit_per_s: f64,
}

/// Requests per second that the instance `own` may send to the endpoint. Either each selected instance
/// has at least one permit per second, or only one instance is selected.
pub(super) fn share_per_s(
    limited: LimitedEndpoint<'_>,
    own: Sender<'_>,
    others: &[Sender<'_>],
) -> f64 {
    let max_senders = limited.limit_per_s.floor().max(1.0) as usize;
    let is_in_zone = |it: &Sender<'_>| it.zone == limited.zone;
    let (in_zone, elsewhere): (Vec<Sender<'_>>, Vec<Sender<'_>>) =
        others.iter().copied().partition(is_in_zone);
    let (ahead, same) = if is_in_zone(&own) {
        (0, in_zone)
    } else {
        (in_zone.len(), elsewhere)
    };
    // Returns before the hashing, which is the expensive step.
    if ahead >= max_senders {
        return 0.0;
    }
    let same = same.iter().map(|it| it.instance);
    let own_rank = ahead + rank(limited.endpoint.as_str(), own.instance, same);
    if own_rank < max_senders {
        limited.limit_per_s / max_senders.min(others.len() + 1) as f64
    } else {
        0.0
    }
}
