//! Reads of the endpoint list after the store was restored from a backup.

use super::adapter::FeedRead;
use super::list_log::ListLog;
use super::list_sync::{apply_read, apply_update, observe_peer_watermark, update_since};
use super::store_position::StorePosition;
use crate::fleet::{Fleet, FleetChange, ListedEndpoint, ListingRead, Phase};
use crate::ids::{EndpointId, EndpointName, InstanceId, ServiceName, ZoneName};

const BEFORE: u64 = 0;
const AFTER: u64 = 1;

fn position(epoch: u64, version: u64) -> u64 {
    StorePosition { epoch, version }.into()
}

fn entry(name: &str, phase: Phase) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId::from(name),
        service: ServiceName::from("desk"),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: ZoneName::from("lac"),
        phase,
        slots: 6,
        kind: None,
        layers: None,
    }
}

/// What one instance knows of the list.
#[derive(Default)]
struct Reader {
    log: ListLog,
    fleet: Fleet,
}

impl Reader {
    fn read(&mut self, position: u64, content: ListingRead, now_ms: u64) {
        let read = FeedRead { position, content };
        apply_read(&mut self.log, &mut self.fleet, read, false, now_ms, now_ms);
    }

    fn read_changes(&mut self, position: u64, entries: Vec<ListedEndpoint>, now_ms: u64) {
        self.read(position, ListingRead::changes(entries, vec![]), now_ms);
    }

    fn read_removal(&mut self, position: u64, name: &str, now_ms: u64) {
        let removed = vec![EndpointName::from(name)];
        self.read(position, ListingRead::changes(vec![], removed), now_ms);
    }

    fn phase(&self, name: &str) -> Option<Phase> {
        let known = self.fleet.get(&EndpointId::from(name));
        known.map(|known| known.listed.phase)
    }
}

/// A reader that knows two endpoints at version 99.
fn reader() -> Reader {
    let mut reader = Reader::default();
    let entries = vec![entry("a", Phase::Live), entry("b", Phase::Live)];
    reader.read(position(BEFORE, 99), ListingRead::full(entries), 0);
    reader
}

/// The list of the backup, in which both are in service.
fn backup() -> ListingRead {
    ListingRead::full(vec![entry("a", Phase::Live), entry("b", Phase::Live)])
}

#[test]
fn positions_increase_when_versions_go_back() {
    assert!(position(AFTER, 3) > position(BEFORE, 99));
    let there_and_back = StorePosition::from(position(7, 1_234_567));
    assert_eq!(
        (there_and_back.epoch, there_and_back.version),
        (7, 1_234_567)
    );
    assert_eq!(position(BEFORE, 99), 99);
}

#[test]
fn changes_at_lower_versions_are_applied_after_the_store_has_gone_back() {
    let mut reader = reader();
    reader.read(position(AFTER, 40), backup(), 100);
    reader.read_changes(position(AFTER, 41), vec![entry("a", Phase::Leaving)], 200);
    assert_eq!(reader.phase("a"), Some(Phase::Leaving));
    assert_eq!(reader.phase("b"), Some(Phase::Live));
}

#[test]
fn an_instance_in_the_earlier_epoch_is_behind_one_in_the_later() {
    let (mut ahead, mut behind) = (reader(), reader());
    ahead.read(position(AFTER, 40), backup(), 100);
    ahead.read_changes(position(AFTER, 41), vec![entry("a", Phase::Leaving)], 200);
    let peer = InstanceId::from("ahead");
    let known = behind.log.watermark().position;
    let watermark = ahead.log.watermark();
    let knows_all = observe_peer_watermark(
        &mut behind.log,
        &mut behind.fleet,
        &peer,
        watermark,
        Some(250),
    );
    assert!(!knows_all);
    let update = update_since(&ahead.log, &ahead.fleet, known).expect("the list is known");
    apply_update(
        &mut behind.log,
        &mut behind.fleet,
        &peer,
        update,
        known,
        250,
        260,
    );
    assert_eq!(behind.phase("a"), Some(Phase::Leaving));
    assert_eq!(behind.log.watermark(), watermark);
    // And does not take the other back.
    let own = behind.log.watermark();
    let earlier = reader().log.watermark();
    observe_peer_watermark(
        &mut behind.log,
        &mut behind.fleet,
        &peer,
        earlier,
        Some(300),
    );
    assert_eq!(behind.log.watermark(), own);
}

#[test]
fn an_endpoint_that_was_leaving_is_not_in_service_in_a_backup() {
    let mut reader = reader();
    reader.read_changes(position(BEFORE, 100), vec![entry("a", Phase::Leaving)], 10);
    reader.read(position(AFTER, 40), backup(), 100);
    assert_eq!(reader.phase("a"), Some(Phase::Leaving));
    reader.fleet.expire(60_000);
    assert_eq!(reader.phase("a"), Some(Phase::Leaving));
}

#[test]
fn an_endpoint_that_was_removed_is_not_in_service_in_a_backup_unless_it_stays_listed() {
    let mut reader = reader();
    reader.read_removal(position(BEFORE, 100), "a", 10);
    reader.read(position(AFTER, 40), backup(), 100);
    assert_eq!(reader.phase("a"), Some(Phase::Leaving));
    reader.fleet.expire(4_000);
    assert_eq!(reader.phase("a"), Some(Phase::Leaving));
    reader.fleet.confirm(6_000);
    reader.fleet.expire(6_000);
    assert_eq!(reader.phase("a"), Some(Phase::Live));
}

#[test]
fn an_endpoint_that_a_backup_lacks_is_kept_for_a_while() {
    let mut reader = reader();
    let backup = ListingRead::full(vec![entry("a", Phase::Live)]);
    reader.read(position(AFTER, 40), backup, 100);
    assert_eq!(reader.phase("b"), Some(Phase::Live));
    reader.fleet.expire(2_400);
    assert_eq!(reader.phase("b"), None);
}

#[test]
fn an_endpoint_that_was_listed_again_before_is_in_service_in_a_backup() {
    let mut reader = reader();
    reader.read_removal(position(BEFORE, 100), "a", 10);
    reader.read_changes(position(BEFORE, 101), vec![entry("a", Phase::Live)], 20);
    reader.read(position(AFTER, 40), backup(), 100);
    assert_eq!(reader.phase("a"), Some(Phase::Live));
}

#[test]
fn an_endpoint_that_a_peer_reported_leaving_is_not_in_service_in_a_backup() {
    let mut reader = reader();
    let (peer, a) = (InstanceId::from("peer"), EndpointId::from("a"));
    reader.fleet.apply_leaving_report(&peer, &a, 10);
    reader.read(position(AFTER, 40), backup(), 2_000);
    reader.fleet.expire(2_000);
    assert_eq!(reader.phase("a"), Some(Phase::Leaving));
}

// An instance that starts after an endpoint was removed, and that fetches its list from peers, has never seen the
// endpoint when a restored list shows it in service.
#[test]
fn an_instance_that_never_saw_a_removed_endpoint_keeps_it_out_after_a_restore() {
    let mut reader = reader();
    reader.read_removal(position(BEFORE, 100), "a", 10);
    let read = FeedRead {
        position: position(AFTER, 40),
        content: backup(),
    };
    let applied = apply_read(&mut reader.log, &mut reader.fleet, read, false, 100, 100);
    let told: Vec<&EndpointId> = applied
        .changes
        .iter()
        .filter_map(FleetChange::departed)
        .collect();
    assert_eq!(told, [&EndpointId::from("a")]);

    let mut started = Reader::default();
    let only_b = ListingRead::full(vec![entry("b", Phase::Live)]);
    started.read(position(BEFORE, 100), only_b, 20);
    started.read(position(AFTER, 40), backup(), 110);
    let peer = InstanceId::from("peer");
    for id in told {
        started.fleet.apply_leaving_report(&peer, id, 120);
    }
    started.fleet.confirm(4_900);
    started.fleet.expire(5_000);
    assert_eq!(started.phase("a"), Some(Phase::Leaving));
    started.fleet.confirm(6_000);
    started.fleet.expire(6_000);
    assert_eq!(started.phase("a"), Some(Phase::Live));
}

#[test]
fn an_endpoint_that_the_list_and_a_peer_showed_leaving_is_kept_out_once() {
    let mut reader = reader();
    let a = EndpointId::from("a");
    reader
        .fleet
        .apply_leaving_report(&InstanceId::from("peer"), &a, 10);
    reader.read_changes(position(BEFORE, 100), vec![entry("a", Phase::Leaving)], 20);
    let mut entries = backup().entries;
    let kept_out = reader.fleet.prepare_for_restored_list(&mut entries, 100);
    assert_eq!(kept_out, [FleetChange::KeptOut(a)]);
}
