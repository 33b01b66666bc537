use std::net::SocketAddr;

use super::*;
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};

fn listed(id: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId::from(id),
        service: ServiceName::from("ledger-api"),
        address: SocketAddr::from(([10, 0, 0, 1], 8_080)),
        zone: ZoneName::from("lac"),
        phase: Phase::Live,
        slots: 6,
        kind: None,
        layers: None,
    }
}

/// A fleet whose endpoints were read by this instance at time 0.
fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    let entries = ids.iter().map(|id| listed(id)).collect();
    fleet.apply_read(ListingRead::full(entries), false, 0);
    fleet
}

fn peer() -> InstanceId {
    InstanceId::from("front-3")
}

fn known(fleet: &Fleet, ids: &[&str], now_ms: u64) -> String {
    let ids: Vec<EndpointId> = ids.iter().map(|id| EndpointId::from(*id)).collect();
    describe_known(fleet, &ids, now_ms)
}

#[test]
fn the_source_of_an_own_read_is_the_store() {
    let fleet = fleet(&["a"]);
    assert_eq!(known(&fleet, &["a"], 250), "a=store:250ms");
}

#[test]
fn a_read_without_an_endpoint_does_not_refresh_it() {
    let mut fleet = fleet(&["a", "b"]);
    let read = ListingRead::changes(vec![listed("b")], vec![]);
    fleet.apply_read(read, false, 300);
    assert_eq!(
        known(&fleet, &["a", "b"], 400),
        "a=store:400ms,b=store:100ms"
    );
}

#[test]
fn the_source_of_a_peers_list_names_the_peer() {
    let mut fleet = fleet(&["a", "b"]);
    fleet.apply_peer_list(&peer(), vec![listed("a")], 100);
    let source = InfoSource::PeerList(peer());
    let read = ListingRead::changes(vec![listed("b")], vec![]);
    fleet.apply_read_from(&source, read, false, 150);
    let expected = "a=list@front-3:100ms,b=list@front-3:50ms";
    assert_eq!(known(&fleet, &["a", "b"], 200), expected);
}

#[test]
fn the_source_of_a_departure_is_the_first_heartbeat() {
    let mut fleet = fleet(&["a"]);
    let a = EndpointId::from("a");
    fleet.apply_leaving_report(&peer(), &a, 100);
    fleet.apply_leaving_report(&InstanceId::from("front-4"), &a, 180);
    assert_eq!(known(&fleet, &["a"], 200), "a=heartbeat@front-3:100ms");
}

#[test]
fn an_unlisted_endpoint_is_described_as_not_listed() {
    let fleet = fleet(&["a"]);
    let described = known(&fleet, &["b", "a"], 10);
    assert_eq!(described, "b=not_listed,a=store:10ms");
}

#[test]
fn the_description_of_a_long_chain_is_truncated() {
    let ids: Vec<String> = (0..20).map(|number| format!("e{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let described = known(&fleet(&ids), &ids, 0);
    assert_eq!(described.split(',').count(), 17);
    assert!(described.ends_with(",e15=store:0ms,+4"), "{described}");
}

#[test]
fn the_list_has_the_source_by_which_it_was_last_known_to_be_current() {
    let mut fleet = fleet(&["a"]);
    fleet.confirm(100);
    assert_eq!(describe_list(&fleet, 300), "store:200ms");
    fleet.confirm_from(InfoSource::Heartbeat(peer()), 250);
    assert_eq!(describe_list(&fleet, 300), "heartbeat@front-3:50ms");
    // Older information changes neither.
    fleet.confirm_from(InfoSource::PeerList(InstanceId::from("front-4")), 240);
    assert_eq!(describe_list(&fleet, 300), "heartbeat@front-3:50ms");
}

fn live_again(reported_ms: u64, reason: LiveReason) -> FleetChange {
    FleetChange::LiveAgain(LiveAgain {
        endpoint: EndpointId::from("a"),
        reported_by: Some(peer()),
        reported_ms,
        reason,
    })
}

#[test]
fn an_endpoint_that_the_list_has_shown_since_is_live_again_for_that_reason() {
    let mut fleet = fleet(&["a"]);
    fleet.apply_leaving_report(&peer(), &EndpointId::from("a"), 100);
    let read = ListingRead::changes(vec![listed("a")], vec![]);
    assert_eq!(fleet.apply_read(read, false, 800), vec![]);
    fleet.confirm(790);
    let expected = live_again(100, LiveReason::ListedSince);
    assert_eq!(fleet.expire(1_700), vec![expected]);
    assert_eq!(fleet.expire(1_900), vec![], "it is reported once");
}

#[test]
fn an_endpoint_that_was_never_missing_is_live_again_for_that_reason() {
    let mut fleet = fleet(&["a"]);
    fleet.apply_leaving_report(&peer(), &EndpointId::from("a"), 100);
    fleet.confirm(1_800);
    let expected = live_again(100, LiveReason::NeverMissing);
    let nothing = ListingRead::changes(vec![], vec![]);
    assert_eq!(fleet.apply_read(nothing, false, 1_900), vec![expected]);
}

#[test]
fn an_endpoint_that_the_list_shows_leaving_is_not_live_again() {
    let mut fleet = fleet(&["a"]);
    fleet.apply_leaving_report(&peer(), &EndpointId::from("a"), 100);
    let leaving = ListedEndpoint {
        phase: Phase::Leaving,
        ..listed("a")
    };
    let read = ListingRead::changes(vec![leaving], vec![]);
    fleet.apply_read(read, false, 800);
    fleet.confirm(9_000);
    assert_eq!(fleet.expire(9_000), vec![]);
}
