//! Which instances a caller is told to connect to.

use std::net::SocketAddr;

use super::heartbeat::Availability;
use crate::ids::ZoneName;

/// Most addresses named to a caller.
const MOST_ADDRESSES: usize = 8;
/// Instances of the caller's zone that are enough for it; with fewer, all are named.
const ENOUGH_NEAR: usize = 2;

/// An instance that may be named.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) zone: &'a ZoneName,
    /// Where callers connect.
    pub(super) front: SocketAddr,
    pub(super) availability: Availability,
}

/// Addresses for a caller of a zone: instances that serve everybody and learn of changes soon; if
/// there are none, those that serve everybody; if there are none, those that are open at all.
/// One that neither the store nor a reader in its zone tells learns of changes a second later.
pub(super) fn addresses_for(zone: &ZoneName, candidates: &[Candidate<'_>]) -> Vec<SocketAddr> {
    let fit: [fn(Availability) -> bool; 3] =
        [Availability::is_current, |it| it.is_ready, |it| it.is_open];
    let mut named = fit.into_iter().map(|is_fit| {
        let fit = candidates.iter().filter(|it| is_fit(it.availability));
        nearest(zone, &fit.collect::<Vec<_>>())
    });
    named.find(|it| !it.is_empty()).unwrap_or_default()
}

/// Instances of the zone, if they are enough for its callers, or else all; of many, the first. Few
/// instances before an engine need few connections to it, and know more of its load.
fn nearest(zone: &ZoneName, fit: &[&Candidate<'_>]) -> Vec<SocketAddr> {
    let near: Vec<SocketAddr> = fit
        .iter()
        .filter(|it| it.zone == zone)
        .map(|it| it.front)
        .collect();
    let mut named = if near.len() >= ENOUGH_NEAR {
        near
    } else {
        fit.iter().map(|it| it.front).collect()
    };
    named.truncate(MOST_ADDRESSES);
    named
}
