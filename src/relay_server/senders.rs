//! Which instances send requests to an endpoint that takes only so many a second from all together.
//!
//! A limit of a few a second cannot be dealt out to hundreds of instances: each would come after minutes, and
//! their first requests together would be too many. So the permits are those of a few instances, which all find
//! by themselves: those of the endpoint's availability zone first, in the order of rendezvous hashing.

use crate::ids::{EndpointId, InstanceId, ZoneName};
use crate::membership::rank;

/// An instance that may be one of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sender<'a> {
    pub(super) instance: &'a InstanceId,
    pub(super) zone: &'a ZoneName,
}

/// An endpoint with a limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitedEndpoint<'a> {
    pub(super) endpoint: &'a EndpointId,
    pub(super) zone: &'a ZoneName,
    /// Requests a second that it takes from all instances together.
    pub(super) limit_per_s: f64,
}

/// Requests a second that the instance `own` may send. Each of those that send has at least one permit a
/// second, or there is only one.
pub(super) fn share_per_s(
    limited: LimitedEndpoint<'_>,
    own: Sender<'_>,
    others: &[Sender<'_>],
) -> f64 {
    let most = limited.limit_per_s.floor().max(1.0) as usize;
    let is_near = |it: &Sender<'_>| it.zone == limited.zone;
    let (near, far): (Vec<Sender<'_>>, Vec<Sender<'_>>) = others.iter().copied().partition(is_near);
    let (before, same) = if is_near(&own) {
        (0, near)
    } else {
        (near.len(), far)
    };
    // Hashing is the costly part.
    if before >= most {
        return 0.0;
    }
    let same = same.iter().map(|it| it.instance);
    let place = before + rank(limited.endpoint.as_str(), own.instance, same);
    if place < most {
        limited.limit_per_s / most.min(others.len() + 1) as f64
    } else {
        0.0
    }
}
