use indexmap::IndexSet;

use super::traffic::{TrafficKind, TrafficScope, bytes_between_zones};
use crate::telemetry::Counters;

// Guards against two kinds that add to one counter, so that neither sum is right.
#[test]
fn each_kind_has_counters_of_its_own() {
    let scopes = [TrafficScope::InZone, TrafficScope::BetweenZones];
    let names = TrafficKind::ALL
        .into_iter()
        .flat_map(|kind| scopes.map(|scope| kind.metric_name(scope)));
    let names: IndexSet<&str> = names.collect();
    assert_eq!(names.len(), 2 * TrafficKind::ALL.len());
}

// Guards against renaming counters that operators' dashboards read.
#[test]
fn counters_of_heartbeats_keep_their_names() {
    let kind = TrafficKind::Heartbeats;
    let in_zone = kind.metric_name(TrafficScope::InZone);
    let between_zones = kind.metric_name(TrafficScope::BetweenZones);
    assert_eq!(in_zone, "relay.heartbeats.bytes_in_zone");
    assert_eq!(between_zones, "relay.heartbeats.bytes_between_zones");
}

#[test]
fn the_sums_name_the_kinds_that_crossed_zones() {
    let counters = Counters::new();
    assert_eq!(bytes_between_zones(&counters), "");
    let between_zones = |kind: TrafficKind| kind.metric_name(TrafficScope::BetweenZones);
    counters.add(between_zones(TrafficKind::EndpointRequests), 90);
    counters.add(between_zones(TrafficKind::Heartbeats), 1_200);
    counters.add(TrafficKind::Documents.metric_name(TrafficScope::InZone), 7);
    assert_eq!(
        bytes_between_zones(&counters),
        "heartbeats:1200,requests:90"
    );
}

// Guards against bytes for an unknown recipient that count as free ones.
#[test]
fn an_unknown_scope_counts_as_between_zones() {
    assert_eq!(TrafficScope::from_value("in_zone"), TrafficScope::InZone);
    assert_eq!(TrafficScope::from_value(""), TrafficScope::BetweenZones);
    let own = "lac".into();
    assert_eq!(
        TrafficScope::between(&own, None),
        TrafficScope::BetweenZones
    );
}
