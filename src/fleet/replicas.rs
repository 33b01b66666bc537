//! Selection of a replica for a request to a service whose endpoints hold no layers.

use indexmap::IndexSet;

use super::{Fleet, KnownEndpoint};
use crate::ids::{EndpointId, ServiceName, ZoneName};

/// Cost of another availability zone, in waiting requests. A link between zones takes less than a
/// millisecond and a request some tens, so half a request evens out small differences without
/// crossing zones needlessly.
const OTHER_ZONE_COST: f64 = 0.5;

/// Additional cost of a paused replica, in waiting requests. More than ever wait at one replica, so
/// that it is used only if no other is left.
const PAUSED_COST: f64 = 1e6;
/// Additional cost of a replica whose entry is missing and only retained, in waiting requests.
/// Higher than that of a paused one: it may be leaving, in which case it must not get requests, and
/// without the cost it would be selected until its entry is dropped.
const UNLISTED_COST: f64 = 1e9;

/// Selects the replica with the least work, preferring this instance's availability zone. A paused
/// replica is selected only if no other is left, since a pause is a guess, and one whose entry is
/// only retained after those. A replica whose rate limit or back-off forbids a request is left out.
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
    let other_zone = if known.listed.zone == *own_zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    let paused = if known.health.is_paused(now_ms) {
        PAUSED_COST
    } else {
        0.0
    };
    // Time to work off the waiting requests, relative to a response time of 30 ms, which is assumed
    // for replicas without a measurement.
    let relative_latency = known.health.latency_ms().unwrap_or(30.0).max(1.0) / 30.0;
    let unlisted = if known.is_retained() {
        UNLISTED_COST
    } else {
        0.0
    };
    (waiting + 1.0 + other_zone) * relative_latency + paused + unlisted
}
