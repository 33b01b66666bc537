//! Selection of a replica for a request to a service whose endpoints hold no layers.

use std::cmp::Ordering;

use indexmap::IndexSet;

use super::{Fleet, KnownEndpoint, Phase};
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

/// The choice of a replica for a request that endpoints have received before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RepeatChoice {
    /// A replica from which data has arrived lately enough.
    Alive(EndpointId),
    /// None of the replicas that could serve the request has shown that it is alive: these, in the order of
    /// preference.
    Silent(Vec<EndpointId>),
    /// There is no replica left.
    None,
}

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
    let by_cost = by_cost(own_zone, now_ms);
    let best = usable(fleet, service, tried, now_ms).min_by(by_cost);
    best.map(|known| known.id().clone())
}

/// Selects a replica like [`pick_replica`], among those from which data has arrived at `heard_since_ms` or later. What
/// was known before does not show that a replica is alive now: replicas may have stopped together.
pub fn pick_living_replica(
    fleet: &Fleet,
    service: &ServiceName,
    own_zone: &ZoneName,
    tried: &IndexSet<EndpointId>,
    heard_since_ms: u64,
    now_ms: u64,
) -> RepeatChoice {
    let mut usable: Vec<&KnownEndpoint> = usable(fleet, service, tried, now_ms).collect();
    usable.sort_by(by_cost(own_zone, now_ms));
    let alive = usable
        .iter()
        .find(|known| known.last_heard.at_ms() >= heard_since_ms);
    match alive {
        Some(known) => RepeatChoice::Alive(known.id().clone()),
        None if usable.is_empty() => RepeatChoice::None,
        None => RepeatChoice::Silent(usable.iter().map(|known| known.id().clone()).collect()),
    }
}

/// Replicas that may get a request that was sent to `tried` before.
fn usable<'a>(
    fleet: &'a Fleet,
    service: &'a ServiceName,
    tried: &'a IndexSet<EndpointId>,
    now_ms: u64,
) -> impl Iterator<Item = &'a KnownEndpoint> {
    fleet.of_service(service).filter(move |known| {
        known.listed.phase == Phase::Live
            && fleet.may_send(known.id(), now_ms)
            && !tried.contains(known.id())
    })
}

/// Compares replicas by their cost.
fn by_cost(
    own_zone: &ZoneName,
    now_ms: u64,
) -> impl Fn(&&KnownEndpoint, &&KnownEndpoint) -> Ordering {
    move |one, other| cost(one, own_zone, now_ms).total_cmp(&cost(other, own_zone, now_ms))
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
