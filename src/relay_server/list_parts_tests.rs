//! The whole list of endpoints in parts.

use std::net::SocketAddr;

use super::list_log::{ListNews, ListWatermark};
use super::list_parts::{ListParts, ListQuery, ListRest};
use super::peer_selection_tests::{informant, with_newer_list};
use super::snapshot::KnownVersions;
use crate::fleet::{ListedEndpoint, Phase};
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};

const MARK: ListWatermark = ListWatermark {
    position: 9,
    last_change: 7,
};
/// Bytes of a part that holds some of the entries below.
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

fn giver() -> InstanceId {
    InstanceId::from("a")
}

/// What one that lacks the whole list of `listed` gets in one call, and how many calls that took.
fn taken_from(
    mut listed: Vec<ListedEndpoint>,
    parts: &mut ListParts,
) -> (Vec<ListedEndpoint>, u32) {
    for calls in 1.. {
        // Whoever has read the list has its entries in an order of its own.
        listed.reverse();
        let rest = ListRest::new(MARK, listed.clone(), parts.query(&giver()));
        let part = rest.part(PART_BYTES);
        let update = parts.take(part, &giver()).expect("it fits");
        if let Some(update) = update {
            assert_eq!(update.mark, MARK);
            let ListNews::Whole(entries) = update.news else {
                panic!("the whole list was asked for");
            };
            return (entries, calls);
        }
    }
    unreachable!("each call brings an entry")
}

// 300 instances were killed at once before 2,999 engines. Each fetched the whole list, 180 kB, in one call
// of at most 400 ms; dozens at a time filled the links of those that had it, and hundreds of
// calls a second ended without a whole reply.
#[test]
fn a_long_list_comes_whole_in_parts_that_a_small_link_carries() {
    let listed = entries(2_999);
    let (taken, calls) = taken_from(listed.clone(), &mut ListParts::default());
    assert_eq!(taken, listed);
    assert!((2..=60).contains(&calls), "{calls}");
    let part = ListRest::new(MARK, listed, ListQuery::default()).part(PART_BYTES);
    let bytes = postcard::to_stdvec(&part).expect("it can be written").len();
    assert!(bytes <= PART_BYTES, "{bytes}");
}

#[test]
fn a_short_list_comes_in_one_part() {
    let (taken, calls) = taken_from(entries(99), &mut ListParts::default());
    assert_eq!((taken.len(), calls), (99, 1));
    let (taken, calls) = taken_from(Vec::new(), &mut ListParts::default());
    assert_eq!((taken.len(), calls), (0, 1));
}

#[test]
fn a_list_that_changes_while_its_parts_come_is_begun_anew() {
    let mut parts = ListParts::default();
    let first = ListRest::new(MARK, entries(300), ListQuery::default()).part(PART_BYTES);
    assert!(parts.take(first, &giver()).expect("it fits").is_none());
    let later = ListWatermark {
        position: 12,
        last_change: 12,
    };
    let part = ListRest::new(later, entries(301), parts.query(&giver())).part(PART_BYTES);
    assert_eq!(part.from, 0);
    assert!(parts.take(part, &giver()).expect("it fits").is_none());
    assert_eq!(parts.query(&giver()).changed, 12);
}

#[test]
fn a_part_of_another_peers_list_is_not_joined_to_what_is_here() {
    let mut parts = ListParts::default();
    let first = ListRest::new(MARK, entries(300), ListQuery::default()).part(PART_BYTES);
    parts.take(first, &giver()).expect("it fits");
    let other = InstanceId::from("b");
    assert!(!parts.query(&other).wants_whole);
    let query = parts.query(&giver());
    let second = ListRest::new(MARK, entries(300), query).part(PART_BYTES);
    assert!(parts.take(second, &other).is_err());
}

// Found by reading: a giver that had no room, and ended before it was asked again, kept all others from
// being asked for the list for ever.
#[test]
fn the_list_is_asked_for_elsewhere_once_its_giver_is_not_heard_any_more() {
    let both = [1, 2].map(|port| with_newer_list(informant(port, 1, true, true)));
    let [giver, other] = &both;
    let mut parts = ListParts::default();
    let first = ListRest::new(MARK, entries(300), ListQuery::default()).part(PART_BYTES);
    parts.take(first, &giver.instance).expect("it fits");
    let known = KnownVersions { table: 1, list: 0 };
    parts.drop_without_giver(&both, known);
    assert!(!parts.query(&other.instance).wants_whole);
    parts.drop_without_giver(&both[1..], known);
    assert!(parts.query(&other.instance).wants_whole);
}

#[test]
fn a_query_is_read_as_it_was_written() {
    let query = ListQuery {
        wants_whole: true,
        changed: 7,
        entries: 781,
    };
    assert_eq!(ListQuery::from_query(&query.text()), query);
    assert_eq!(ListQuery::from_query("table=3"), ListQuery::default());
}
