//! Tests of the transfer of the full endpoint list in parts.

use std::net::SocketAddr;

use super::list_log::{ListDelta, ListWatermark};
use super::list_parts::{ListQuery, PartialList, RemainingList};
use super::peer_selection_tests::{sync_source, with_newer_list};
use super::snapshot::KnownVersions;
use crate::fleet::{ListedEndpoint, Phase};
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};

const WATERMARK: ListWatermark = ListWatermark {
    position: 9,
    last_change: 7,
};
/// Size of a part that holds some of the entries below.
const PART_BYTES: usize = 8_000;

fn entries(count: usize) -> Vec<ListedEndpoint> {
    let entry = |number: usize| ListedEndpoint {
        id: EndpointId::from(format!("e-{number:04}")),
        service: ServiceName::from("model"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: ZoneName::from("lac"),
        phase: Phase::Live,
        slots: 192,
        kind: Some("l4".to_owned()),
        layers: None,
    };
    (0..count).map(entry).collect()
}

fn provider() -> InstanceId {
    InstanceId::from("a")
}

/// Transfers `listed` part by part. Returns the received list and the number of calls.
fn transfer(
    mut listed: Vec<ListedEndpoint>,
    partial: &mut PartialList,
) -> (Vec<ListedEndpoint>, u32) {
    for calls in 1.. {
        // The order of entries on the provider may differ from call to call.
        listed.reverse();
        let remaining = RemainingList::new(WATERMARK, listed.clone(), partial.query(&provider()));
        let part = remaining.into_part(PART_BYTES);
        let update = partial.add(part, &provider()).expect("part is accepted");
        if let Some(update) = update {
            assert_eq!(update.watermark, WATERMARK);
            let ListDelta::Full(entries) = update.delta else {
                panic!("the full list was requested");
            };
            return (entries, calls);
        }
    }
    unreachable!("each call transfers at least one entry")
}

// Regression: after all 300 instances in front of 2,999 engines had been killed at once, each
// fetched the full list, 180 kB, in one call of at most 400 ms. Dozens of concurrent calls filled
// the links of the instances that had the list, and hundreds of calls a second ended without a
// complete reply.
#[test]
fn a_long_list_is_transferred_in_parts_that_fit_a_slow_link() {
    let listed = entries(2_999);
    let (received, calls) = transfer(listed.clone(), &mut PartialList::default());
    assert_eq!(received, listed);
    assert!((2..=60).contains(&calls), "{calls}");
    let part = RemainingList::new(WATERMARK, listed, ListQuery::default()).into_part(PART_BYTES);
    let bytes = postcard::to_stdvec(&part)
        .expect("part can be serialized")
        .len();
    assert!(bytes <= PART_BYTES, "{bytes}");
}

#[test]
fn a_short_list_is_transferred_in_one_part() {
    let (received, calls) = transfer(entries(99), &mut PartialList::default());
    assert_eq!((received.len(), calls), (99, 1));
    let (received, calls) = transfer(Vec::new(), &mut PartialList::default());
    assert_eq!((received.len(), calls), (0, 1));
}

#[test]
fn the_transfer_restarts_when_the_list_changes() {
    let mut partial = PartialList::default();
    let first =
        RemainingList::new(WATERMARK, entries(300), ListQuery::default()).into_part(PART_BYTES);
    let update = partial.add(first, &provider()).expect("part is accepted");
    assert!(update.is_none());
    let later = ListWatermark {
        position: 12,
        last_change: 12,
    };
    let part =
        RemainingList::new(later, entries(301), partial.query(&provider())).into_part(PART_BYTES);
    assert_eq!(part.offset, 0);
    let update = partial.add(part, &provider()).expect("part is accepted");
    assert!(update.is_none());
    assert_eq!(partial.query(&provider()).last_change, 12);
}

#[test]
fn parts_of_different_peers_are_not_combined() {
    let mut partial = PartialList::default();
    let first =
        RemainingList::new(WATERMARK, entries(300), ListQuery::default()).into_part(PART_BYTES);
    partial.add(first, &provider()).expect("part is accepted");
    let other = InstanceId::from("b");
    assert!(!partial.query(&other).wants_full);
    let query = partial.query(&provider());
    let second = RemainingList::new(WATERMARK, entries(300), query).into_part(PART_BYTES);
    assert!(partial.add(second, &other).is_err());
}

// Found in review: a provider that was busy and then terminated before the next request kept the
// instance from ever requesting the list from another peer.
#[test]
fn another_peer_is_asked_for_the_list_after_the_provider_is_lost() {
    let both = [1, 2].map(|port| with_newer_list(sync_source(port, 1, true, true)));
    let [provider, other] = &both;
    let mut partial = PartialList::default();
    let first =
        RemainingList::new(WATERMARK, entries(300), ListQuery::default()).into_part(PART_BYTES);
    partial
        .add(first, &provider.instance)
        .expect("part is accepted");
    let known = KnownVersions { table: 1, list: 0 };
    partial.clear_if_provider_lost(&both, known);
    assert!(!partial.query(&other.instance).wants_full);
    partial.clear_if_provider_lost(&both[1..], known);
    assert!(partial.query(&other.instance).wants_full);
}

#[test]
fn query_round_trip() {
    let query = ListQuery {
        wants_full: true,
        last_change: 7,
        entries: 781,
    };
    assert_eq!(ListQuery::from_query(&query.to_query_string()), query);
    assert_eq!(ListQuery::from_query("table=3"), ListQuery::default());
}
