use indexmap::IndexMap;

use super::peer::InstanceRecord;
use super::peer_book_tests::{NON_READER, READY, address, book, heartbeat, record};

#[test]
fn a_peer_list_makes_unknown_instances_known_with_the_time_since_they_were_heard() {
    let mut source = book("a", "lac", 1_000);
    let mut other = book("b", "marsa", 2_000);
    let beat = heartbeat(&mut other, READY, 0);
    source.apply_heartbeat(&beat, address(2_001), 0);
    let mut new = book("c", "lac", 3_000);
    new.add_listed(source.listed(0, 400), 50_000);
    assert_eq!(new.own_known_instances(), 2);
    let listed = new.listed(0, 50_000);
    assert_eq!(listed[0].record.front, address(2_000));
    assert_eq!(listed[0].record.peers, address(2_001));
    assert_eq!(listed[0].unseen_ms, 400);
}

// Guards against instances that have been removed and that peers' lists keep alive for ever.
#[test]
fn an_instance_that_nobody_has_heard_for_long_is_not_added_again() {
    let mut source = book("a", "lac", 1_000);
    source.add_record(record("b", "lac", 2_000), 0);
    let mut new = book("c", "lac", 3_000);
    new.add_listed(source.listed(0, 60_000), 60_000);
    assert_eq!(new.own_known_instances(), 1);
    new.add_listed(source.listed(0, 59_999), 60_000);
    assert_eq!(new.own_known_instances(), 2);
    new.remove_expired(60_001);
    assert_eq!(new.own_known_instances(), 1);
}

#[test]
fn a_list_continues_at_any_index() {
    let mut source = book("a", "lac", 1_000);
    for name in ["d", "b", "c"] {
        source.add_record(record(name, "lac", 2_000), 0);
    }
    let names = |from| -> Vec<String> {
        let listed = source.listed(from, 0).into_iter();
        listed.map(|it| it.record.instance.to_string()).collect()
    };
    assert_eq!(names(0), ["b", "c", "d"]);
    assert_eq!(names(2), ["d"]);
    assert!(names(3).is_empty());
}

#[test]
fn only_a_heard_peer_of_the_zone_that_knows_more_is_asked_for_its_list() {
    let mut own = book("a", "lac", 1_000);
    let mut knowing = book("b", "lac", 2_000);
    for name in ["x", "y"] {
        knowing.add_record(record(name, "marsa", 3_000), 0);
    }
    own.add_record(record("b", "lac", 2_000), 0);
    assert_eq!(own.peer_list_source(false, 0, 0), None, "not heard yet");
    let beat = heartbeat(&mut knowing, NON_READER, 0);
    own.apply_heartbeat(&beat, address(2_001), 0);
    assert_eq!(own.peer_list_source(false, 0, 0), Some(address(2_001)));
    assert_eq!(own.peer_list_source(false, 0, 900), None, "silent");
    own.add_record(record("x", "marsa", 3_000), 0);
    assert_eq!(own.peer_list_source(false, 0, 0), None, "knows as many");
    assert_eq!(
        own.peer_list_source(true, 0, 0),
        None,
        "does not read the store"
    );
    let beat = heartbeat(&mut knowing, READY, 250);
    own.apply_heartbeat(&beat, address(2_001), 250);
    assert_eq!(own.peer_list_source(true, 0, 250), Some(address(2_001)));
    let mut elsewhere = book("c", "marsa", 4_000);
    elsewhere.apply_heartbeat(&beat, address(2_001), 250);
    assert_eq!(elsewhere.peer_list_source(true, 0, 250), None, "other zone");
}

#[test]
fn heard_peers_of_the_zone_without_a_record_at_their_addresses_are_unrecorded() {
    let mut own = book("a", "lac", 1_000);
    for (name, zone, port) in [
        ("b", "lac", 2_000),
        ("c", "lac", 3_000),
        ("d", "marsa", 4_000),
    ] {
        let mut peer = book(name, zone, port);
        let beat = heartbeat(&mut peer, READY, 0);
        own.apply_heartbeat(&beat, address(port + 1), 0);
    }
    own.add_record(record("e", "lac", 5_000), 0);
    let recorded = |records: Vec<InstanceRecord>| -> IndexMap<_, _> {
        let records = records.into_iter();
        records.map(|it| (it.instance.clone(), it)).collect()
    };
    let same = InstanceRecord {
        peers: address(2_001),
        ..record("b", "lac", 2_000)
    };
    let moved = InstanceRecord {
        peers: address(6_001),
        ..record("c", "lac", 6_000)
    };
    let missing = own.unrecorded(&recorded(vec![same, moved]), 0);
    let names: Vec<&str> = missing.iter().map(|it| it.instance.as_str()).collect();
    assert_eq!(names, ["c"]);
    assert!(
        own.unrecorded(&recorded(Vec::new()), 900).is_empty(),
        "silent"
    );
}

// Guards against instances that forget one another between two heartbeats: with more than 1,920 instances in other
// zones, the interval of most heartbeats exceeds a minute.
#[test]
fn an_instance_is_not_forgotten_before_its_next_heartbeat_however_many_there_are() {
    let mut own = book("a", "lac", 1_000);
    let mut distant = book("b", "marsa", 2_000);
    let mut beat = heartbeat(&mut distant, NON_READER, 0);
    beat.cross_zone_interval_ms = 100_000;
    own.apply_heartbeat(&beat, address(2_001), 0);
    own.remove_expired(200_000);
    assert_eq!(own.own_known_instances(), 2);
    let mut new = book("c", "lac", 3_000);
    new.add_listed(own.listed(0, 200_000), 200_000);
    assert_eq!(new.own_known_instances(), 2);
    own.remove_expired(201_000);
    assert_eq!(own.own_known_instances(), 1);
}

// Guards against a process that never learns from its zone whether it knows all instances.
#[test]
fn an_instance_that_may_not_know_all_asks_one_that_reads_the_store() {
    let mut own = book("a", "lac", 1_000);
    let mut reader = book("b", "lac", 2_000);
    let (early_ms, settled_ms) = (2_900, 3_000);
    let beat = heartbeat(&mut reader, READY, settled_ms);
    own.apply_heartbeat(&beat, address(2_001), early_ms);
    assert_eq!(own.peer_list_source(false, 0, early_ms), None, "too early");
    let from = own.peer_list_source(false, 0, settled_ms);
    assert_eq!(from, Some(address(2_001)));
    own.note_all_known();
    assert_eq!(own.peer_list_source(false, 0, settled_ms), None);
}
