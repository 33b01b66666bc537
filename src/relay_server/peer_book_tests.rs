use std::net::SocketAddr;

use indexmap::IndexMap;
use proptest::prelude::*;

use super::heartbeat::{
    Availability, Heartbeat, HeldLoad, OwnState, PeerPart, datagram, heartbeat_bytes, read_datagram,
};
use super::list_log::ListWatermark;
use super::peer::{InstanceRecord, Recipient};
use super::peer_book::{HolderStatus, PeerBook};
use super::test_settings::settings;
use crate::fleet::EngineLoad;
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::lease::LeaseHolder;
use crate::quarantine::EvidenceReport;

pub(super) const READY: Availability = Availability {
    is_ready: true,
    is_open: true,
    reaches_store: true,
    receives_store_updates: true,
    reaches_endpoints: true,
};
const OPEN: Availability = Availability {
    is_ready: false,
    is_open: true,
    reaches_store: true,
    receives_store_updates: true,
    reaches_endpoints: true,
};
/// Ready, but the store does not answer it.
const CUT_OFF: Availability = Availability {
    is_ready: true,
    is_open: true,
    reaches_store: false,
    receives_store_updates: false,
    reaches_endpoints: true,
};
/// Ready, and another instance of its zone forwards the store's contents to it.
pub(super) const NON_READER: Availability = Availability {
    is_ready: true,
    is_open: true,
    reaches_store: false,
    receives_store_updates: true,
    reaches_endpoints: true,
};

pub(super) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub(super) fn book(name: &str, zone: &str, port: u16) -> PeerBook {
    let (front, peers) = (address(port), address(port + 1));
    let settings = settings(name.into(), zone.into(), front, peers, 200);
    PeerBook::new(&settings, Incarnation::generate(&mut rand::rng()), 0)
}

pub(super) fn heartbeat(book: &mut PeerBook, availability: Availability, now_ms: u64) -> Heartbeat {
    book.heartbeat(&own_state(availability), now_ms)
}

pub(super) fn own_state(availability: Availability) -> OwnState {
    OwnState {
        availability,
        table: 3,
        table_age_ms: 100,
        list: ListWatermark::default(),
        list_age_ms: 100,
        store_age_ms: availability.reaches_store.then_some(100),
        unreached: Vec::new(),
        held: Vec::new(),
        retry_needs: Vec::new(),
        evidence: EvidenceReport::default(),
        limits: Vec::new(),
        demand: Vec::new(),
        zone_demand: None,
    }
}

pub(super) fn tokens(token_layers: u64) -> EngineLoad {
    EngineLoad {
        token_layers,
        requests: (token_layers % 7) as u32,
        unread_token_layers: token_layers % 11,
    }
}

pub(super) fn record(name: &str, zone: &str, port: u16) -> InstanceRecord {
    InstanceRecord {
        instance: InstanceId::from(name),
        incarnation: Incarnation::generate(&mut rand::rng()),
        zone: ZoneName::from(zone),
        front: address(port),
        peers: address(port + 1),
        link_mbps: 200,
    }
}

/// The peer book of `a`, which has heard `b` and `c` at these times.
fn book_of_a(b: (Availability, u64), c: (Availability, u64)) -> PeerBook {
    let mut a = book("a", "lac", 1_000);
    let others = [("b", "lac", 2_000, b), ("c", "marsa", 3_000, c)];
    for (name, zone, port, (availability, at_ms)) in others {
        let beat = heartbeat(&mut book(name, zone, port), availability, at_ms);
        a.apply_heartbeat(&beat, address(port + 1), at_ms);
    }
    a
}

fn ports(book: &PeerBook, own: Availability, now_ms: u64) -> Vec<u16> {
    let addresses = book.addresses_for(&ZoneName::from("lac"), own, now_ms);
    addresses.iter().map(SocketAddr::port).collect()
}

#[test]
fn callers_get_addresses_in_their_zone_if_there_are_enough() {
    let a = book_of_a((READY, 500), (READY, 500));
    assert_eq!(ports(&a, READY, 600), [1_000, 2_000]);
    assert_eq!(
        ports(&a, OPEN, 600),
        [2_000, 3_000],
        "one in the zone is too few"
    );
}

#[test]
fn callers_are_not_sent_to_silent_instances() {
    let a = book_of_a((READY, 100), (READY, 900));
    assert_eq!(ports(&a, READY, 1_000), [1_000, 3_000]);
}

#[test]
fn callers_are_sent_to_open_instances_if_none_is_ready() {
    let a = book_of_a((OPEN, 500), (OPEN, 500));
    assert_eq!(ports(&a, OPEN, 600), [1_000, 2_000]);
    assert_eq!(ports(&a, READY, 600), [1_000]);
}

#[test]
fn the_first_ready_instance_by_name_is_the_preferred_leader() {
    let a = book_of_a((READY, 500), (READY, 500));
    assert!(a.is_preferred_leader(600));
    let mut b = book("b", "lac", 2_000);
    b.apply_heartbeat(
        &heartbeat(&mut book("a", "lac", 1_000), READY, 500),
        address(1_001),
        500,
    );
    assert!(!b.is_preferred_leader(600));
    assert!(b.is_preferred_leader(2_000), "the other has timed out");
}

#[test]
fn an_echo_is_only_accepted_by_the_process_that_sent_the_heartbeat() {
    let mut a = book("a", "lac", 1_000);
    let mut b = book("b", "lac", 2_000);
    b.apply_heartbeat(&heartbeat(&mut a, READY, 400), address(1_001), 450);
    let recipients = b.recipients(READY, 500);
    let echo = recipients[0].echo;
    assert_eq!(a.acknowledged_sent_ms(echo), Some(400));
    let restarted = book("a", "lac", 1_000);
    assert_eq!(restarted.acknowledged_sent_ms(echo), None);
    let late = b.recipients(READY, 1_300);
    assert_eq!(late[0].echo, None, "the other has timed out");
}

#[test]
fn an_update_is_sent_four_times() {
    let mut a = book("a", "lac", 1_000);
    a.announce_leaving(&EndpointId::from("e"));
    assert!(a.take_heartbeat_request());
    assert!(!a.take_heartbeat_request());
    let sent = (0..10).filter(|_| !heartbeat(&mut a, READY, 0).leaving.is_empty());
    assert_eq!(sent.count(), 4);
}

#[test]
fn every_instance_with_a_record_shares_the_budget() {
    let mut a = book("a", "lac", 1_000);
    a.note_all_known();
    assert_eq!(a.known_instances(), Some(1));
    a.add_record(record("d", "marsa", 4_000), 0);
    assert_eq!(a.known_instances(), Some(2));
}

// Guards against both sides of a long partition dividing the budget among their own instances.
#[test]
fn an_instance_that_was_silent_for_long_goes_on_sharing_the_budget() {
    let mut a = book("a", "lac", 1_000);
    a.note_all_known();
    a.add_record(record("d", "marsa", 4_000), 0);
    a.remove_expired(1_000);
    a.remove_expired(70_000);
    assert_eq!(a.own_known_instances(), 1);
    assert_eq!(a.known_instances(), Some(2));
}

// Guards against a process that has just started taking the whole budget for its own, or half of it.
#[test]
fn a_process_that_may_not_know_all_instances_knows_no_number_of_them() {
    let mut new = book("a", "lac", 1_000);
    assert_eq!(new.known_instances(), None);
    let beat = heartbeat(&mut book("b", "lac", 2_000), READY, 0);
    new.apply_heartbeat(&beat, address(2_001), 0);
    assert_eq!(new.known_instances(), None);
    new.note_all_known();
    assert_eq!(new.known_instances(), Some(2));
}

#[test]
fn a_heartbeat_is_small() {
    let mut a = book("front-lac-1", "lac", 1_000);
    for number in 0..6 {
        let mut other = book(&format!("front-lac-{number}"), "lac", 2_000 + 2 * number);
        a.apply_heartbeat(
            &heartbeat(&mut other, READY, 500_000),
            address(2_001 + 2 * number),
            500_000,
        );
    }
    let engines = (0..13).map(|number| HeldLoad {
        endpoint: EndpointId::from(format!("i-7f3a91c2{number:02}")),
        zone: ZoneName::from("lac"),
        load: tokens(500_000),
    });
    let own = OwnState {
        availability: READY,
        table: 12,
        table_age_ms: 1_200,
        list: ListWatermark {
            position: 123_456,
            last_change: 120_000,
        },
        list_age_ms: 1_300,
        store_age_ms: Some(700),
        unreached: Vec::new(),
        held: engines.collect(),
        retry_needs: Vec::new(),
        evidence: EvidenceReport::default(),
        limits: Vec::new(),
        demand: Vec::new(),
        zone_demand: None,
    };
    let beat = a.heartbeat(&own, 500_100);
    let json = serde_json::to_vec(&beat).expect("it can be encoded").len();
    let shared = heartbeat_bytes(&beat).expect("it can be encoded");
    let echo = a.recipients(READY, 500_100)[0].echo;
    assert!(echo.is_some());
    let peer_part = PeerPart {
        echo,
        ..PeerPart::default()
    };
    let binary = datagram(&shared, &peer_part).expect("it can be encoded");
    assert!(binary.len() * 2 < json, "{} of {json} bytes", binary.len());
    // An absolute bound as well, since the JSON grows with the length of field names.
    assert!(binary.len() <= 614, "{} bytes", binary.len());
    let (read, read_peer_part) = read_datagram(&binary).expect("it can be decoded");
    assert_eq!(read.held, beat.held);
    assert_eq!(read_peer_part, peer_part);
    println!("heartbeat: {} bytes, {json} as JSON", binary.len());
}

#[test]
fn an_instance_that_the_store_does_not_answer_is_not_preferred_as_leader() {
    let with_b = |availability| book_of_a((availability, 500), (READY, 500));
    let mut b = book("b", "lac", 2_000);
    let own = heartbeat(&mut book("a", "lac", 1_000), CUT_OFF, 500);
    b.apply_heartbeat(&own, address(1_001), 500);
    assert!(
        b.is_preferred_leader(600),
        "`a` ranks ahead, but cannot take the lease"
    );
    assert!(with_b(READY).is_preferred_leader(600));
}

#[test]
fn callers_are_sent_to_instances_that_the_store_answers() {
    let a = book_of_a((READY, 500), (CUT_OFF, 500));
    let zone = ZoneName::from("marsa");
    assert_eq!(a.addresses_for(&zone, CUT_OFF, 600), [address(2_000)]);
    let a = book_of_a((CUT_OFF, 500), (OPEN, 500));
    let all = [address(1_000), address(2_000)];
    assert_eq!(a.addresses_for(&zone, CUT_OFF, 600), all);
}

#[test]
fn a_lease_holder_ends_by_release_restart_or_silence() {
    let service = ServiceName::from("menu-mind");
    let mut b = book("b", "lac", 2_000);
    let beat = heartbeat(&mut b, READY, 500);
    let holder = LeaseHolder {
        instance: InstanceId::from("b"),
        incarnation: beat.incarnation,
        fence: 4,
        has_renewed: false,
    };
    let mut a = book("a", "lac", 1_000);
    a.apply_heartbeat(&beat, address(2_001), 500);
    assert_eq!(
        a.lease_holder_status(&service, &holder, 1_400),
        HolderStatus::Active
    );
    assert_eq!(
        a.lease_holder_status(&service, &holder, 1_500),
        HolderStatus::PresumedEnded
    );
    let renewed = LeaseHolder {
        has_renewed: true,
        ..holder.clone()
    };
    assert_eq!(
        a.lease_holder_status(&service, &renewed, 1_500),
        HolderStatus::Active
    );
    b.announce_lease_release(&service, 4);
    a.apply_heartbeat(&heartbeat(&mut b, READY, 600), address(2_001), 600);
    assert_eq!(
        a.lease_holder_status(&service, &holder, 700),
        HolderStatus::Ended
    );
    let next = LeaseHolder { fence: 5, ..holder };
    assert_eq!(
        a.lease_holder_status(&service, &next, 700),
        HolderStatus::Active
    );
    let again = heartbeat(&mut book("b", "lac", 2_000), READY, 800);
    a.apply_heartbeat(&again, address(2_001), 800);
    assert_eq!(
        a.lease_holder_status(&service, &next, 900),
        HolderStatus::Ended
    );
}

#[test]
fn an_old_record_does_not_end_the_lease_holder() {
    let mut a = book("a", "lac", 1_000);
    a.add_record(record("b", "lac", 2_000), 0);
    a.remove_expired(250);
    let holder = LeaseHolder {
        instance: InstanceId::from("b"),
        incarnation: Incarnation::generate(&mut rand::rng()),
        fence: 4,
        has_renewed: false,
    };
    let service = ServiceName::from("menu-mind");
    assert_eq!(
        a.lease_holder_status(&service, &holder, 500),
        HolderStatus::Active
    );
}

#[test]
fn peers_that_the_store_answers_are_preferred_as_sync_sources() {
    let a = book_of_a((CUT_OFF, 500), (OPEN, 500));
    let order: Vec<SocketAddr> = a.sync_sources(600).iter().map(|it| it.address).collect();
    assert_eq!(order, [address(3_001), address(2_001)]);
    assert!(a.sync_sources(5_000).is_empty(), "they have timed out");
}

/// The peer book of `front-0-0` in a fleet of this many instances in five zones, all of which were heard.
fn large_fleet(instances: u16, now_ms: u64) -> PeerBook {
    let name = |number: u16| format!("front-{}-{}", number % 5, number / 5);
    let zone = |number: u16| format!("zone-{}", number % 5);
    let mut own = book(&name(0), &zone(0), 1_000);
    for number in 1..instances {
        let port = 2_000 + 2 * number;
        let mut other = book(&name(number), &zone(number), port);
        let mut beat = heartbeat(&mut other, READY, now_ms);
        // The top-ranked instances of each zone reach all others within two heartbeats.
        beat.cross_zone_interval_ms = if number < 15 { 500 } else { 5_000 };
        own.apply_heartbeat(&beat, address(port + 1), now_ms);
    }
    own
}

#[test]
fn a_heartbeat_reaches_the_whole_zone_and_other_zones_in_rotation() {
    let mut book = large_fleet(195, 500);
    // Three instances with faster links rank ahead.
    for number in 0..3 {
        let mut other = self::book(&format!("fast-{number}"), "zone-0", 900 + 2 * number);
        let mut beat = heartbeat(&mut other, READY, 500);
        beat.link_mbps = 1_000;
        book.apply_heartbeat(&beat, address(901 + 2 * number), 500);
    }
    assert!(!book.is_top_ranked_in_zone(600));
    let beat = heartbeat(&mut book, NON_READER, 600);
    assert_eq!(beat.cross_zone_interval_ms, 5_000);
    let beat = heartbeat(&mut book, READY, 600);
    assert_eq!(beat.cross_zone_interval_ms, 500, "the store answers it");
    let mut times_reached = IndexMap::new();
    for _ in 0..20 {
        let recipients = book.recipients(NON_READER, 600);
        let in_zone = |it: &&Recipient| it.zone == ZoneName::from("zone-0");
        assert_eq!(recipients.iter().filter(in_zone).count(), 41);
        assert_eq!(recipients.len(), 41 + 8);
        for recipient in recipients.iter().filter(|it| !in_zone(it)) {
            *times_reached.entry(recipient.address).or_insert(0) += 1;
        }
    }
    assert_eq!(times_reached.len(), 156, "all within five seconds");
    assert!(times_reached.values().all(|times| *times <= 2));
}

#[test]
fn each_heartbeat_of_the_preferred_leader_reaches_every_instance() {
    let mut book = large_fleet(195, 500);
    assert!(
        book.is_preferred_leader(600),
        "its link is not slower than others and its name sorts first"
    );
    assert_eq!(book.recipients(READY, 600).len(), 194);
    let beat = heartbeat(&mut book, READY, 600);
    assert_eq!(beat.cross_zone_interval_ms, 250);
    assert_eq!(
        book.recipients(NON_READER, 600).len(),
        38 + 78,
        "top-ranked in its zone"
    );
    let mut small = large_fleet(9, 500);
    let beat = heartbeat(&mut self::book("a", "zone-0", 100), READY, 500);
    small.apply_heartbeat(&beat, address(101), 500);
    assert_eq!(
        small.recipients(NON_READER, 600).len(),
        9,
        "a small fleet gets every heartbeat"
    );
}

#[test]
fn the_timeout_of_a_peer_in_another_zone_follows_its_heartbeat_interval() {
    let mut book = large_fleet(195, 500);
    let mut rare = self::book("rare", "zone-1", 900);
    let mut beat = heartbeat(&mut rare, READY, 500);
    beat.cross_zone_interval_ms = 5_000;
    book.apply_heartbeat(&beat, address(901), 500);
    let returned = |book: &PeerBook, now_ms| {
        let zone = ZoneName::from("zone-1");
        let addresses = book.addresses_for(&zone, READY, now_ms);
        addresses.iter().filter(|it| **it != address(1_000)).count()
    };
    assert_eq!(
        returned(&book, 1_900),
        8,
        "only peers with a short interval have timed out"
    );
    assert_eq!(returned(&book, 10_900), 0);
}

/// Guards against heartbeats filling the links between zones: when each carried everything to everyone, 195
/// instances sent 400 MB per second. Counts the bytes per second from one zone to the others.
#[test]
fn heartbeats_between_zones_use_little_bandwidth() {
    for (instances, max_bytes) in [(20_u16, 110_000), (195, 1_600_000)] {
        let mut leader = large_fleet(instances, 500);
        let bytes_of = |book: &mut PeerBook| -> usize {
            let beat = heartbeat(book, READY, 600);
            let shared = heartbeat_bytes(&beat).expect("it can be encoded");
            let own_zone = beat.zone;
            let recipients = book.recipients(READY, 600);
            let elsewhere = recipients.iter().filter(|it| it.zone != own_zone);
            let peer_part = |it: &Recipient| PeerPart {
                echo: it.echo,
                ..PeerPart::default()
            };
            elsewhere
                .map(|it| {
                    datagram(&shared, &peer_part(it))
                        .expect("it can be encoded")
                        .len()
                })
                .sum()
        };
        let by_leader = bytes_of(&mut leader);
        let elsewhere = usize::from(instances) * 4 / 5;
        let by_top_ranked = by_leader / 2;
        let by_other = by_leader * elsewhere.min(8) / elsewhere;
        let total = 4 * (by_leader + 14 * by_top_ranked + (usize::from(instances) - 15) * by_other);
        println!("{instances} instances: {total} bytes per second between zones");
        assert!(total < max_bytes, "{total} bytes");
    }
}

#[test]
fn callers_are_sent_to_instances_that_receive_store_updates() {
    let a = book_of_a((NON_READER, 500), (READY, 500));
    assert_eq!(ports(&a, NON_READER, 600), [1_000, 2_000]);
    let a = book_of_a((CUT_OFF, 500), (NON_READER, 500));
    assert_eq!(ports(&a, CUT_OFF, 600), [3_000]);
    assert!(!NON_READER.may_lead());
}

#[test]
fn the_top_ranked_instances_of_a_zone_read_the_store() {
    let book = large_fleet(195, 500);
    let view = book.store_reader_view(false, None, 600);
    assert_eq!((view.rank, view.answered_ahead), (0, 0));
    assert!(view.should_read(600));
    let mut last = self::book("z", "zone-0", 900);
    for number in 0..38 {
        let port = 2_000 + 2 * number;
        let mut other = self::book(&format!("f{number:02}"), "zone-0", port);
        let availability = if number < 3 { READY } else { NON_READER };
        last.apply_heartbeat(
            &heartbeat(&mut other, availability, 500),
            address(port + 1),
            500,
        );
    }
    let view = last.store_reader_view(false, None, 600);
    assert_eq!((view.rank, view.answered_ahead), (38, 3));
    assert_eq!(view.answered_ms, Some(400));
    assert!(!view.should_read(600));
    assert!(last.zone_has_store_reader(600));
    assert!(!last.zone_has_store_reader(5_000));
}

#[test]
fn an_unheard_instance_with_a_record_is_ranked_while_it_may_be_starting() {
    let mut b = book("b", "lac", 1_000);
    b.add_record(record("a", "lac", 2_000), 0);
    b.add_record(record("c", "lac", 3_000), 0);
    b.remove_expired(250);
    assert_eq!(b.store_reader_view(false, None, 900).rank, 1);
    assert_eq!(b.store_reader_view(false, None, 1_100).rank, 0);
}

proptest! {
    /// Applying the load changes of each heartbeat gives the same loads as summing over all peers.
    #[test]
    fn load_changes_add_up_to_the_sums(
        heartbeats in prop::collection::vec((0..3_u8, prop::collection::vec((0..4_u8, 0..1_000_u64), 0..4)), 1..12),
    ) {
        let mut book = book("a", "lac", 10);
        let mut kept: IndexMap<EndpointId, EngineLoad> = IndexMap::new();
        for (sender, held) in heartbeats {
            let port = 100 + 2 * u16::from(sender);
            let mut beat = heartbeat(&mut self::book(&format!("b{sender}"), "lac", port), READY, 100);
            let held: IndexMap<EndpointId, EngineLoad> = held
                .into_iter()
                .map(|(engine, amount)| (EndpointId::from(format!("e{engine}")), tokens(amount)))
                .collect();
            beat.held = held.into_iter().collect();
            for change in book.apply_heartbeat(&beat, address(port + 1), 100) {
                let sum = kept.entry(change.endpoint).or_default();
                *sum = sum.minus(change.before).plus(change.now);
            }
        }
        kept.retain(|_, load| *load != EngineLoad::default());
        let mut sums = book.peer_loads(200);
        sums.retain(|_, load| *load != EngineLoad::default());
        kept.sort_unstable_keys();
        sums.sort_unstable_keys();
        prop_assert_eq!(kept, sums);
        prop_assert!(book.peer_loads(2_000).is_empty(), "they have timed out");
    }

    /// Any datagram is either rejected as malformed or applied, however large its numbers are.
    #[test]
    fn no_datagram_crashes_its_reader(
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        length in any::<prop::sample::Index>(),
    ) {
        let mut sender = book("b", "lac", 10);
        sender.announce_leaving(&EndpointId::from("e"));
        sender.announce_lease_release(&ServiceName::from("model"), 7);
        let mut sent = heartbeat(&mut sender, READY, 100);
        sent.held = vec![(EndpointId::from("e"), tokens(u64::MAX)), (EndpointId::from("f"), tokens(3))];
        let shared = heartbeat_bytes(&sent).expect("it can be encoded");
        let mut bytes = datagram(&shared, &PeerPart::default()).expect("it can be encoded");
        for (index, byte) in changes {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        bytes.truncate(length.index(bytes.len() + 1).max(1));
        let Ok((read, peer_part)) = read_datagram(&bytes) else {
            return Ok(());
        };
        let mut reader = book("a", "lac", 20);
        reader.apply_heartbeat(&read, address(11), 200);
        reader.apply_heartbeat(&read, address(12), 300);
        let holder = LeaseHolder {
            instance: InstanceId::from("b"),
            incarnation: read.incarnation,
            fence: 3,
            has_renewed: false,
        };
        reader.lease_holder_status(&ServiceName::from("model"), &holder, 2_000);
        reader.peer_loads(400);
        reader.sync_sources(400);
        reader.acknowledged_sent_ms(peer_part.echo);
        reader.recipients(READY, 400);
        reader.addresses_for(&ZoneName::from("lac"), READY, 400);
        reader.remove_expired(500);
    }
}
