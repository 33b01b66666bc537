//! Selects the instances that a caller is told to connect to.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::heartbeat::Availability;
use crate::ids::{InstanceId, ZoneName};

/// Number of instances that a caller is told to connect to.
pub(super) const MAX_ADDRESSES: usize = 8;
/// With fewer suitable instances in the caller's zone, those of all zones are returned.
const MIN_IN_ZONE: usize = 2;

/// An instance that a caller may be sent to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) zone: &'a ZoneName,
    /// Address for callers.
    pub(super) front: SocketAddr,
    pub(super) availability: Availability,
    /// Rank among the candidates; `None` for the instance that answers, which comes first.
    pub(super) rank: Option<CandidateRank<'a>>,
}

/// Sort key of a candidate: whether its end would be noticed late, the speed of its link, and its name. It is the
/// same at all instances, so that callers use few of them, and these few connections to engines.
pub(super) type CandidateRank<'a> = (bool, Reverse<u32>, &'a InstanceId);

/// Addresses for a caller in `zone`, of the first of these levels that any instance meets:
///
/// 1. ready, reaches the endpoints of every service, and receives changes of the store promptly,
/// 2. ready and reaches the endpoints,
/// 3. ready and receives changes promptly; no instance reaches the endpoints of a service that is down,
/// 4. ready,
/// 5. open.
///
/// An instance that receives changes neither from the store nor from a reader in its zone is a second late.
pub(super) fn addresses_for(zone: &ZoneName, candidates: &[Candidate<'_>]) -> Vec<SocketAddr> {
    let levels: [fn(Availability) -> bool; 5] = [
        |it| it.is_current() && it.reaches_endpoints,
        |it| it.is_ready && it.reaches_endpoints,
        Availability::is_current,
        |it| it.is_ready,
        |it| it.is_open,
    ];
    let mut selections = levels.into_iter().map(|is_suitable| {
        let suitable = candidates.iter().filter(|it| is_suitable(it.availability));
        nearest(zone, &suitable.collect::<Vec<_>>())
    });
    selections.find(|it| !it.is_empty()).unwrap_or_default()
}

/// The first few instances of the zone, or of all zones if the zone has too few. When few instances
/// use an engine, they need few connections to it and know more of its load.
fn nearest(zone: &ZoneName, suitable: &[&Candidate<'_>]) -> Vec<SocketAddr> {
    let in_zone = suitable.iter().copied().filter(|it| it.zone == zone);
    let in_zone: Vec<&Candidate<'_>> = in_zone.collect();
    let mut candidates = if in_zone.len() >= MIN_IN_ZONE {
        in_zone
    } else {
        suitable.to_vec()
    };
    candidates.sort_unstable_by_key(|it| it.rank);
    let nearest = candidates.iter().take(MAX_ADDRESSES);
    nearest.map(|it| it.front).collect()
}
