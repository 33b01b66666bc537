//! Whom an instance asks.

use std::net::SocketAddr;

use super::list_log::ListWatermark;
use super::peer::SyncSource;
use super::peer_selection::{FetchDecision, FetchRequest, PartialFetches, PeerSelector, SyncState};
use super::snapshot::KnownVersions;
use crate::ids::InstanceId;

const KNOWN: KnownVersions = KnownVersions { table: 5, list: 7 };
const NOW_MS: u64 = 10_000;

pub(super) fn informant(
    port: u16,
    table: u64,
    is_same_zone: bool,
    reaches_store: bool,
) -> SyncSource {
    SyncSource {
        instance: InstanceId::from(format!("peer-{port}")),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        table,
        list: ListWatermark::default(),
        link_mbps: 20,
        reaches_store,
        is_same_zone,
    }
}

pub(super) fn with_newer_list(mut informant: SyncSource) -> SyncSource {
    informant.list = ListWatermark {
        position: 9,
        last_change: 9,
    };
    informant
}

fn knowledge(behind_since_ms: Option<u64>) -> SyncState {
    SyncState {
        behind_since_ms,
        reads_store: false,
        is_fed: true,
        list_age_ms: 0,
    }
}

fn next(
    asking: &mut PeerSelector,
    sync_sources: &[SyncSource],
    part_of: Option<u64>,
    draw: u64,
    now_ms: u64,
) -> FetchDecision {
    let behind_since_ms = asking.update_lag(sync_sources, KNOWN, now_ms);
    let knowledge = knowledge(behind_since_ms);
    let begun = PartialFetches {
        document: part_of,
        list_provider: None,
    };
    asking.next(sync_sources, knowledge, KNOWN, begun, draw, now_ms)
}

fn port(next: &FetchDecision) -> Option<(u16, bool)> {
    match next {
        FetchDecision::Fetch(FetchRequest {
            peer,
            wants_document,
        }) => Some((peer.address.port(), *wants_document)),
        _ => None,
    }
}

fn everybody() -> [SyncSource; 5] {
    [
        informant(1, 5, true, true),
        informant(2, 6, false, true),
        informant(3, 6, true, true),
        informant(4, 6, true, false),
        informant(5, 7, true, true),
    ]
}

#[test]
fn the_nearest_of_those_that_know_more_are_asked_and_not_always_the_same() {
    let first = |draw| {
        let next = next(
            &mut PeerSelector::default(),
            &everybody(),
            None,
            draw,
            NOW_MS,
        );
        port(&next).map(|it| it.0)
    };
    assert_eq!(
        [first(0), first(20), first(40), first(60)],
        [Some(3), Some(4), Some(5), Some(3)]
    );
    let nobody = next(&mut PeerSelector::default(), &[], None, 1, NOW_MS);
    assert_eq!(nobody, FetchDecision::Idle);
}

#[test]
fn those_with_fast_links_are_asked_more_often() {
    let mut fast = informant(1, 6, true, true);
    fast.link_mbps = 200;
    let all = [fast, informant(2, 6, true, true)];
    let asked = (0..220).map(|draw| next(&mut PeerSelector::default(), &all, None, draw, NOW_MS));
    let fast = asked.filter(|it| port(it) == Some((1, true))).count();
    assert_eq!(fast, 200);
}

#[test]
fn a_document_is_gone_on_with_where_it_was_begun() {
    for draw in 0..60 {
        let next = next(
            &mut PeerSelector::default(),
            &everybody(),
            Some(7),
            draw,
            NOW_MS,
        );
        assert_eq!(port(&next), Some((5, true)));
    }
}

#[test]
fn another_zone_is_asked_for_a_document_only_after_a_while() {
    let mut asking = PeerSelector::default();
    let far = [informant(2, 6, false, true)];
    assert_eq!(
        next(&mut asking, &far, None, 0, NOW_MS),
        FetchDecision::Idle
    );
    assert_eq!(
        next(&mut asking, &far, None, 0, NOW_MS + 499),
        FetchDecision::Idle
    );
    let later = next(&mut asking, &far, None, 0, NOW_MS + 500);
    assert_eq!(port(&later), Some((2, true)));
}

#[test]
fn another_zone_is_asked_for_the_list_at_once() {
    let mut asking = PeerSelector::default();
    let far = [with_newer_list(informant(2, 6, false, true))];
    let next = next(&mut asking, &far, None, 0, NOW_MS);
    assert_eq!(port(&next), Some((2, false)));
}

#[test]
fn one_without_room_is_asked_again_when_it_has_some() {
    let mut asking = PeerSelector::default();
    let all = [informant(3, 6, true, true)];
    asking.mark_document_busy(&all[0].instance, 40, NOW_MS);
    let waits = next(&mut asking, &all, None, 0, NOW_MS + 10);
    assert_eq!(waits, FetchDecision::Wait { wait_ms: 30 });
    let again = next(&mut asking, &all, None, 0, NOW_MS + 40);
    assert_eq!(port(&again), Some((3, true)));
}

#[test]
fn one_without_room_for_a_document_is_asked_for_the_list() {
    let mut asking = PeerSelector::default();
    let all = [with_newer_list(informant(3, 6, true, true))];
    asking.mark_document_busy(&all[0].instance, 40, NOW_MS);
    let next = next(&mut asking, &all, None, 0, NOW_MS);
    assert_eq!(port(&next), Some((3, false)));
}

#[test]
fn one_that_gave_nothing_is_left_alone_for_a_while() {
    let mut asking = PeerSelector::default();
    let all = [informant(3, 6, true, true), informant(4, 6, true, true)];
    asking.mark_failed(&all[0].instance, NOW_MS);
    for draw in 0..40 {
        let next = next(&mut asking, &all, None, draw, NOW_MS + 799);
        assert_eq!(port(&next), Some((4, true)));
    }
    let again = next(&mut asking, &all, None, 0, NOW_MS + 800);
    assert_eq!(port(&again), Some((3, true)));
}
