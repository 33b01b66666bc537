//! Tests the selection of the peer to fetch from.

use std::net::SocketAddr;

use super::list_log::ListWatermark;
use super::peer::SyncSource;
use super::peer_selection::{FetchDecision, FetchRequest, PartialFetches, PeerSelector, SyncState};
use super::snapshot::KnownVersions;
use crate::ids::InstanceId;

const KNOWN: KnownVersions = KnownVersions { table: 5, list: 7 };
const NOW_MS: u64 = 10_000;

pub(super) fn sync_source(
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

pub(super) fn with_newer_list(mut sync_source: SyncSource) -> SyncSource {
    sync_source.list = ListWatermark {
        position: 9,
        last_change: 9,
    };
    sync_source
}

fn sync_state(behind_since_ms: Option<u64>) -> SyncState {
    SyncState {
        behind_since_ms,
        reads_store: false,
        receives_store_updates: true,
        list_age_ms: 0,
    }
}

fn next(
    selector: &mut PeerSelector,
    sync_sources: &[SyncSource],
    partial_version: Option<u64>,
    random: u64,
    now_ms: u64,
) -> FetchDecision {
    let behind_since_ms = selector.update_lag(sync_sources, KNOWN, now_ms);
    let sync_state = sync_state(behind_since_ms);
    let partial = PartialFetches {
        document: partial_version,
        list_provider: None,
    };
    selector.next(sync_sources, sync_state, KNOWN, partial, random, now_ms)
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

fn all_peers() -> [SyncSource; 5] {
    [
        sync_source(1, 5, true, true),
        sync_source(2, 6, false, true),
        sync_source(3, 6, true, true),
        sync_source(4, 6, true, false),
        sync_source(5, 7, true, true),
    ]
}

#[test]
fn peers_of_the_own_zone_with_newer_data_are_selected_in_turn() {
    let first = |random| {
        let next = next(
            &mut PeerSelector::default(),
            &all_peers(),
            None,
            random,
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
fn peers_with_fast_links_are_selected_more_often() {
    let mut fast = sync_source(1, 6, true, true);
    fast.link_mbps = 200;
    let all = [fast, sync_source(2, 6, true, true)];
    let asked =
        (0..220).map(|random| next(&mut PeerSelector::default(), &all, None, random, NOW_MS));
    let fast = asked.filter(|it| port(it) == Some((1, true))).count();
    assert_eq!(fast, 200);
}

#[test]
fn partial_document_is_continued_from_a_peer_that_has_it() {
    for random in 0..60 {
        let next = next(
            &mut PeerSelector::default(),
            &all_peers(),
            Some(7),
            random,
            NOW_MS,
        );
        assert_eq!(port(&next), Some((5, true)));
    }
}

#[test]
fn document_is_fetched_from_another_zone_only_after_a_delay() {
    let mut selector = PeerSelector::default();
    let far = [sync_source(2, 6, false, true)];
    assert_eq!(
        next(&mut selector, &far, None, 0, NOW_MS),
        FetchDecision::Idle
    );
    assert_eq!(
        next(&mut selector, &far, None, 0, NOW_MS + 499),
        FetchDecision::Idle
    );
    let later = next(&mut selector, &far, None, 0, NOW_MS + 500);
    assert_eq!(port(&later), Some((2, true)));
}

#[test]
fn list_is_fetched_from_another_zone_immediately() {
    let mut selector = PeerSelector::default();
    let far = [with_newer_list(sync_source(2, 6, false, true))];
    let next = next(&mut selector, &far, None, 0, NOW_MS);
    assert_eq!(port(&next), Some((2, false)));
}

#[test]
fn busy_peer_is_selected_again_when_it_has_capacity() {
    let mut selector = PeerSelector::default();
    let all = [sync_source(3, 6, true, true)];
    selector.mark_document_busy(&all[0].instance, 40, NOW_MS);
    let waits = next(&mut selector, &all, None, 0, NOW_MS + 10);
    assert_eq!(waits, FetchDecision::Wait { wait_ms: 30 });
    let again = next(&mut selector, &all, None, 0, NOW_MS + 40);
    assert_eq!(port(&again), Some((3, true)));
}

#[test]
fn peer_busy_with_documents_is_selected_for_the_list() {
    let mut selector = PeerSelector::default();
    let all = [with_newer_list(sync_source(3, 6, true, true))];
    selector.mark_document_busy(&all[0].instance, 40, NOW_MS);
    let next = next(&mut selector, &all, None, 0, NOW_MS);
    assert_eq!(port(&next), Some((3, false)));
}

#[test]
fn failed_peer_is_skipped_for_a_while() {
    let mut selector = PeerSelector::default();
    let all = [sync_source(3, 6, true, true), sync_source(4, 6, true, true)];
    selector.mark_failed(&all[0].instance, NOW_MS);
    for random in 0..40 {
        let next = next(&mut selector, &all, None, random, NOW_MS + 799);
        assert_eq!(port(&next), Some((4, true)));
    }
    let again = next(&mut selector, &all, None, 0, NOW_MS + 800);
    assert_eq!(port(&again), Some((3, true)));
}
