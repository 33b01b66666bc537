//! Entries that are missing from the list and may only have expired.

use indexmap::IndexSet;

use super::tests::{fleet, listed, plan, range, reporting_peer};
use super::*;
use crate::ids::{EndpointId, ServiceName, ZoneName};

#[test]
fn an_entry_missing_after_an_outage_is_retained_for_a_while() {
    let mut fleet = fleet(vec![listed("a", "lac", None), listed("b", "lac", None)]);
    let a = EndpointId::from("a");
    let missing = || ListingRead::full(vec![listed("b", "lac", None)]);
    assert_eq!(fleet.apply_read(missing(), true, 10_000), vec![]);
    assert!(fleet.get(&a).is_some());
    assert_eq!(fleet.apply_read(missing(), false, 11_000), vec![]);
    assert_eq!(
        fleet.apply_read(missing(), false, 12_300),
        vec![FleetChange::Expired(a.clone())]
    );
}

/// Guards against selecting a removed endpoint for up to 3.8 s instead of 2.2 s. If the entry was
/// removed while the store counted as unavailable, it was retained and dropped only by the next
/// read of the list; a watch waits for 1.7 s, and no read succeeds while the store rejects the
/// instance.
#[test]
fn a_retained_entry_is_dropped_in_time_without_a_read() {
    let mut fleet = fleet(vec![listed("a", "lac", None), listed("b", "lac", None)]);
    let a = EndpointId::from("a");
    fleet.apply_read(ListingRead::changes(vec![], vec![a.name()]), true, 10_000);
    fleet.expire(12_100);
    assert!(fleet.get(&a).is_some());
    fleet.expire(12_200);
    assert!(fleet.get(&a).is_none());
}

/// Guards against selecting an endpoint for 3.4 s after its entry was removed, as simulated
/// deployments did. The store had rejected all readers for a second, so they retained the entry and
/// kept using it although other endpoints were in service.
#[test]
fn a_replica_whose_entry_is_only_retained_is_chosen_if_no_other_is_left() {
    let mut fleet = fleet(vec![listed("a", "lac", None), listed("b", "marsa", None)]);
    let a = EndpointId::from("a");
    fleet.apply_read(ListingRead::changes(vec![], vec![a.name()]), true, 0);
    let b = EndpointId::from("b");
    fleet.get_mut(&b).expect("listed").in_flight = 100;
    let pick = |fleet: &Fleet, tried: &[&EndpointId]| {
        let tried: IndexSet<EndpointId> = tried.iter().map(|id| (*id).clone()).collect();
        let service = ServiceName::from("menu-mind");
        pick_replica(fleet, &service, &ZoneName::from("lac"), &tried, 0)
    };
    assert_eq!(pick(&fleet, &[]), Some(b.clone()));
    assert_eq!(pick(&fleet, &[&b]), Some(a.clone()), "it may be alive");
}

/// The same for engines.
#[test]
fn an_engine_whose_entry_is_only_retained_is_in_a_chain_if_no_other_holds_its_layers() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 14))),
        listed("b", "lac", Some(range(14, 20))),
        listed("c", "marsa", Some(range(0, 14))),
        listed("d", "marsa", Some(range(14, 20))),
    ]);
    let a = EndpointId::from("a");
    fleet.apply_read(ListingRead::changes(vec![], vec![a.name()]), true, 0);
    let through = |fleet: &Fleet, excluded: &[&str]| plan(fleet, excluded).map(|it| it[0].clone());
    assert_eq!(through(&fleet, &[]).as_deref(), Some("c 0-14"));
    assert_eq!(
        through(&fleet, &["c"]).as_deref(),
        Some("a 0-14"),
        "it may be alive"
    );
}

#[test]
fn an_entry_removed_without_an_outage_is_dropped_at_once() {
    let mut fleet = fleet(vec![listed("a", "lac", None)]);
    let a = EndpointId::from("a");
    let removed = ListingRead::changes(vec![], vec![a.name()]);
    assert_eq!(
        fleet.apply_read(removed, false, 5),
        vec![FleetChange::Removed(a)]
    );
}

#[test]
fn a_retained_entry_is_not_listed_for_peers() {
    let mut holder = fleet(vec![listed("a", "lac", None), listed("b", "lac", None)]);
    let removed = || ListingRead::changes(vec![], vec![EndpointId::from("a").name()]);
    // The list was unavailable to this instance, so the entry may only have expired.
    holder.apply_read(removed(), true, 100);
    assert!(holder.get(&EndpointId::from("a")).is_some());
    // The peer has read that the entry was removed and must not use it again.
    let mut peer = fleet(vec![listed("a", "lac", None), listed("b", "lac", None)]);
    peer.apply_read(removed(), false, 100);
    assert_eq!(
        peer.apply_peer_list(&reporting_peer(), holder.listed_endpoints(), 1_500),
        vec![]
    );
    assert!(peer.get(&EndpointId::from("a")).is_none());
}
