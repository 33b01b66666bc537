//! Choice of a replica for a request of a service whose endpoints hold no layers.

use indexmap::IndexSet;

use super::{Fleet, KnownEndpoint};
use crate::ids::{EndpointId, ServiceName, ZoneName};

/// What a request in another availability zone counts, in requests waiting before it. The links
/// between zones take under a millisecond, a request some tens: half a request evens out small
/// differences without crossing zones for nothing.
const OTHER_ZONE_COST: f64 = 0.5;

/// What a replica on pause counts more, in requests waiting before it: more than ever wait at one, so
/// that callers get it only where no other is left.
const PAUSED_COST: f64 = 1e6;
/// What a replica whose entry is only held counts more, in requests waiting before it: more than one on
/// pause, since it may be leaving, and then it may not be sent requests any more. Otherwise it
/// would be chosen until its entry is dropped.
const UNLISTED_COST: f64 = 1e9;

/// The replica with the least work for its slots, the own availability zone first. One that is on
/// pause is taken only if no other is left, since a pause is a guess; one whose entry is only held after
/// these. One that wants no request now is left out.
pub fn pick_replica(
    fleet: &Fleet,
    service: &ServiceName,
    own_zone: &ZoneName,
    tried: &IndexSet<EndpointId>,
    now_ms: u64,
) -> Option<EndpointId> {
    let mut best: Option<(f64, &KnownEndpoint)> = None;
    for known in fleet.of_service(service) {
        let is_open =
            known.listed.phase == super::Phase::Live && fleet.may_send(known.id(), now_ms);
        if !is_open || tried.contains(&known.listed.id) {
            continue;
        }
        let cost = cost(known, own_zone, now_ms);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, known));
        }
    }
    best.map(|(_, known)| known.listed.id.clone())
}

fn cost(known: &KnownEndpoint, own_zone: &ZoneName, now_ms: u64) -> f64 {
    let waiting = f64::from(known.in_flight);
    let away = if known.listed.zone == *own_zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    let paused = if known.health.is_paused(now_ms) {
        PAUSED_COST
    } else {
        0.0
    };
    // Time to get through what waits there; the mean of those never measured is taken as usual.
    let pace = known.health.latency_ms().unwrap_or(30.0).max(1.0) / 30.0;
    let held = if known.is_retained() {
        UNLISTED_COST
    } else {
        0.0
    };
    (waiting + 1.0 + away) * pace + paused + held
}
