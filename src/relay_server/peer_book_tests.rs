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
};
const OPEN: Availability = Availability {
    is_ready: false,
    is_open: true,
    reaches_store: true,
    receives_store_updates: true,
};
/// Ready, but the store does not answer it.
const CUT_OFF: Availability = Availability {
    is_ready: true,
    is_open: true,
    reaches_store: false,
    receives_store_updates: false,
};
/// Ready, and told by another of its zone what the store has.
const TOLD: Availability = Availability {
    is_ready: true,
    is_open: true,
    reaches_store: false,
    receives_store_updates: true,
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
    let own = OwnState {
        availability,
        table: 3,
        table_age_ms: 100,
        list: ListWatermark::default(),
        list_age_ms: 100,
        store_age_ms: availability.reaches_store.then_some(100),
        held: Vec::new(),
        retry_needs: Vec::new(),
        evidence: EvidenceReport::default(),
        limits: Vec::new(),
    };
    book.heartbeat(&own, now_ms)
}

fn tokens(token_layers: u64) -> EngineLoad {
    EngineLoad {
        token_layers,
        requests: (token_layers % 7) as u32,
    }
}

fn record(name: &str, zone: &str, port: u16) -> InstanceRecord {
    InstanceRecord {
        instance: InstanceId::from(name),
        incarnation: Incarnation::generate(&mut rand::rng()),
        zone: ZoneName::from(zone),
        front: address(port),
        peers: address(port + 1),
        link_mbps: 200,
    }
}

/// The book of `a`, which has heard `b` and `c` at these times.
fn heard(b: (Availability, u64), c: (Availability, u64)) -> PeerBook {
    let mut a = book("a", "lac", 1_000);
    let others = [("b", "lac", 2_000, b), ("c", "marsa", 3_000, c)];
    for (name, zone, port, (availability, at_ms)) in others {
        let beat = heartbeat(&mut book(name, zone, port), availability, at_ms);
        a.apply_heartbeat(&beat, address(port + 1), at_ms);
    }
    a
}

fn ports(book: &PeerBook, own: Availability, now_ms: u64) -> Vec<u16> {
    let named = book.addresses_for(&ZoneName::from("lac"), own, now_ms);
    named.iter().map(SocketAddr::port).collect()
}

#[test]
fn callers_are_sent_to_instances_of_their_zone_if_they_are_enough() {
    let a = heard((READY, 500), (READY, 500));
    assert_eq!(ports(&a, READY, 600), [1_000, 2_000]);
    assert_eq!(
        ports(&a, OPEN, 600),
        [2_000, 3_000],
        "one in the zone is not enough"
    );
}

#[test]
fn silent_instances_are_not_named() {
    let a = heard((READY, 100), (READY, 900));
    assert_eq!(ports(&a, READY, 1_000), [1_000, 3_000]);
}

#[test]
fn instances_that_may_refuse_are_named_if_there_are_no_others() {
    let a = heard((OPEN, 500), (OPEN, 500));
    assert_eq!(ports(&a, OPEN, 600), [1_000, 2_000]);
    assert_eq!(ports(&a, READY, 600), [1_000]);
}

#[test]
fn the_first_ready_instance_by_name_has_the_duty() {
    let a = heard((READY, 500), (READY, 500));
    assert!(a.is_preferred_leader(600));
    let mut b = book("b", "lac", 2_000);
    b.apply_heartbeat(
        &heartbeat(&mut book("a", "lac", 1_000), READY, 500),
        address(1_001),
        500,
    );
    assert!(!b.is_preferred_leader(600));
    assert!(b.is_preferred_leader(2_000), "the other has fallen silent");
}

#[test]
fn a_heartbeat_names_what_was_heard_of_this_process_only() {
    let mut a = book("a", "lac", 1_000);
    let mut b = book("b", "lac", 2_000);
    b.apply_heartbeat(&heartbeat(&mut a, READY, 400), address(1_001), 450);
    let recipients = b.recipients(READY, 500);
    let echo = recipients[0].echo;
    assert_eq!(a.acknowledged_sent_ms(echo), Some(400));
    let restarted = book("a", "lac", 1_000);
    assert_eq!(restarted.acknowledged_sent_ms(echo), None);
    let late = b.recipients(READY, 1_300);
    assert_eq!(late[0].echo, None, "the other has fallen silent");
}

#[test]
fn news_are_told_a_few_times() {
    let mut a = book("a", "lac", 1_000);
    a.announce_leaving(&EndpointId::from("e"));
    assert!(a.take_heartbeat_request());
    assert!(!a.take_heartbeat_request());
    let told = (0..10).filter(|_| !heartbeat(&mut a, READY, 0).leaving.is_empty());
    assert_eq!(told.count(), 4);
}

#[test]
fn every_instance_on_record_shares_the_budget() {
    let mut a = book("a", "lac", 1_000);
    assert_eq!(a.known_instances(), 1);
    a.add_record(record("d", "marsa", 4_000), 0);
    assert_eq!(a.known_instances(), 2);
    a.remove_expired(1_000);
    a.remove_expired(70_000);
    assert_eq!(a.known_instances(), 1);
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
        held: engines.collect(),
        retry_needs: Vec::new(),
        evidence: EvidenceReport::default(),
        limits: Vec::new(),
    };
    let beat = a.heartbeat(&own, 500_100);
    let text = serde_json::to_vec(&beat).expect("it is text").len();
    let shared = heartbeat_bytes(&beat).expect("it is binary");
    let echo = a.recipients(READY, 500_100)[0].echo;
    assert!(echo.is_some());
    let answer = PeerPart {
        echo,
        ..PeerPart::default()
    };
    let binary = datagram(&shared, &answer).expect("it is binary");
    assert!(binary.len() * 2 < text, "{} of {text} bytes", binary.len());
    let (read, read_answer) = read_datagram(&binary).expect("it was written so");
    assert_eq!(read.held, beat.held);
    assert_eq!(read_answer, answer);
    println!("heartbeat: {} bytes, {text} as text", binary.len());
}

#[test]
fn an_instance_that_the_store_does_not_answer_gives_no_orders() {
    let heard_at = |availability| heard((availability, 500), (READY, 500));
    let mut b = book("b", "lac", 2_000);
    let own = heartbeat(&mut book("a", "lac", 1_000), CUT_OFF, 500);
    b.apply_heartbeat(&own, address(1_001), 500);
    assert!(
        b.is_preferred_leader(600),
        "the one before it cannot take the lease"
    );
    assert!(heard_at(READY).is_preferred_leader(600));
}

#[test]
fn callers_are_sent_to_instances_that_the_store_answers() {
    let a = heard((READY, 500), (CUT_OFF, 500));
    let zone = ZoneName::from("marsa");
    assert_eq!(a.addresses_for(&zone, CUT_OFF, 600), [address(2_000)]);
    let a = heard((CUT_OFF, 500), (OPEN, 500));
    let all = [address(1_000), address(2_000)];
    assert_eq!(a.addresses_for(&zone, CUT_OFF, 600), all);
}

#[test]
fn the_end_of_a_leases_holder_is_told_or_seen() {
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
fn an_old_record_of_the_holders_instance_says_nothing_of_its_end() {
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
fn peers_that_the_store_answers_are_asked_first() {
    let a = heard((CUT_OFF, 500), (OPEN, 500));
    let order: Vec<SocketAddr> = a.sync_sources(600).iter().map(|it| it.address).collect();
    assert_eq!(order, [address(3_001), address(2_001)]);
    assert!(a.sync_sources(5_000).is_empty(), "they have fallen silent");
}

/// A book of `front-0-0` in a fleet of this many instances, spread over five zones, all of them heard.
fn large_fleet(instances: u16, now_ms: u64) -> PeerBook {
    let name = |number: u16| format!("front-{}-{}", number % 5, number / 5);
    let zone = |number: u16| format!("zone-{}", number % 5);
    let mut own = book(&name(0), &zone(0), 1_000);
    for number in 1..instances {
        let port = 2_000 + 2 * number;
        let mut other = book(&name(number), &zone(number), port);
        let mut beat = heartbeat(&mut other, READY, now_ms);
        // The first of each zone tell everybody within two periods.
        beat.turn_ms = if number < 15 { 500 } else { 5_000 };
        own.apply_heartbeat(&beat, address(port + 1), now_ms);
    }
    own
}

#[test]
fn the_zone_is_told_each_time_and_others_in_turn() {
    let mut book = large_fleet(195, 500);
    // Three others with faster links come first.
    for number in 0..3 {
        let mut other = self::book(&format!("fast-{number}"), "zone-0", 900 + 2 * number);
        let mut beat = heartbeat(&mut other, READY, 500);
        beat.link_mbps = 1_000;
        book.apply_heartbeat(&beat, address(901 + 2 * number), 500);
    }
    assert!(!book.is_top_ranked_in_zone(600));
    assert_eq!(heartbeat(&mut book, TOLD, 600).turn_ms, 5_000);
    let turn_ms = heartbeat(&mut book, READY, 600).turn_ms;
    assert_eq!(turn_ms, 500, "the store answers it");
    let mut told = IndexMap::new();
    for _ in 0..20 {
        let recipients = book.recipients(TOLD, 600);
        let near = |it: &&Recipient| it.zone == ZoneName::from("zone-0");
        assert_eq!(recipients.iter().filter(near).count(), 41);
        assert_eq!(recipients.len(), 41 + 8);
        for recipient in recipients.iter().filter(|it| !near(it)) {
            *told.entry(recipient.address).or_insert(0) += 1;
        }
    }
    assert_eq!(told.len(), 156, "five seconds reach everybody");
    assert!(told.values().all(|times| *times <= 2));
}

#[test]
fn the_one_that_gives_the_orders_tells_everybody_each_time() {
    let mut book = large_fleet(195, 500);
    assert!(
        book.is_preferred_leader(600),
        "its link is no slower and its name is the first"
    );
    assert_eq!(book.recipients(READY, 600).len(), 194);
    assert_eq!(heartbeat(&mut book, READY, 600).turn_ms, 250);
    assert_eq!(
        book.recipients(TOLD, 600).len(),
        38 + 78,
        "one of the first"
    );
    let mut small = large_fleet(9, 500);
    let beat = heartbeat(&mut self::book("a", "zone-0", 100), READY, 500);
    small.apply_heartbeat(&beat, address(101), 500);
    assert_eq!(
        small.recipients(TOLD, 600).len(),
        9,
        "few are told each time"
    );
}

#[test]
fn one_in_another_zone_that_is_told_in_turn_is_not_silent_between_its_turns() {
    let mut book = large_fleet(195, 500);
    let mut rare = self::book("rare", "zone-1", 900);
    let mut beat = heartbeat(&mut rare, READY, 500);
    beat.turn_ms = 5_000;
    book.apply_heartbeat(&beat, address(901), 500);
    let named = |book: &PeerBook, now_ms| {
        let zone = ZoneName::from("zone-1");
        let addresses = book.addresses_for(&zone, READY, now_ms);
        addresses.iter().filter(|it| **it != address(1_000)).count()
    };
    assert_eq!(
        named(&book, 1_900),
        8,
        "only those that tell often are silent"
    );
    assert_eq!(named(&book, 10_900), 0);
}

/// Bytes that go from one zone to others in a second, over all instances of a fleet: what a link
/// between zones carries. With everybody telling everybody all that it knew, 195 instances sent 400 MB.
#[test]
fn little_goes_between_zones() {
    for (instances, most_bytes) in [(20_u16, 110_000), (195, 1_600_000)] {
        let mut speaker = large_fleet(instances, 500);
        let bytes_of = |book: &mut PeerBook| -> usize {
            let beat = heartbeat(book, READY, 600);
            let shared = heartbeat_bytes(&beat).expect("it can be written");
            let own_zone = beat.zone;
            let recipients = book.recipients(READY, 600);
            let far = recipients.iter().filter(|it| it.zone != own_zone);
            let answer = |it: &Recipient| PeerPart {
                echo: it.echo,
                ..PeerPart::default()
            };
            far.map(|it| {
                datagram(&shared, &answer(it))
                    .expect("it can be written")
                    .len()
            })
            .sum()
        };
        let to_all = bytes_of(&mut speaker);
        let far = usize::from(instances) * 4 / 5;
        let by_first = to_all / 2;
        let by_other = to_all * far.min(8) / far;
        let total = 4 * (to_all + 14 * by_first + (usize::from(instances) - 15) * by_other);
        println!("{instances} instances: {total} bytes a second between zones");
        assert!(total < most_bytes, "{total} bytes");
    }
}

#[test]
fn callers_are_sent_to_instances_that_are_told_what_the_store_has() {
    let a = heard((TOLD, 500), (READY, 500));
    assert_eq!(ports(&a, TOLD, 600), [1_000, 2_000]);
    let a = heard((CUT_OFF, 500), (TOLD, 500));
    assert_eq!(ports(&a, CUT_OFF, 600), [3_000]);
    assert!(!TOLD.may_lead());
}

#[test]
fn the_first_of_a_zone_read_the_store_and_the_others_are_told() {
    let book = large_fleet(195, 500);
    let view = book.store_reader_view(false, None, 600);
    assert_eq!((view.rank, view.answered_ahead), (0, 0));
    assert!(view.should_read(600));
    let mut last = self::book("z", "zone-0", 900);
    for number in 0..38 {
        let port = 2_000 + 2 * number;
        let mut other = self::book(&format!("f{number:02}"), "zone-0", port);
        let availability = if number < 3 { READY } else { TOLD };
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
fn an_unheard_instance_on_record_comes_before_while_it_may_be_starting() {
    let mut b = book("b", "lac", 1_000);
    b.add_record(record("a", "lac", 2_000), 0);
    b.add_record(record("c", "lac", 3_000), 0);
    b.remove_expired(250);
    assert_eq!(b.store_reader_view(false, None, 900).rank, 1);
    assert_eq!(b.store_reader_view(false, None, 1_100).rank, 0);
}

proptest! {
    /// Loads that are kept up by each heartbeat's changes are those that are summed anew.
    #[test]
    fn changes_of_loads_add_up_to_the_sums(
        told in prop::collection::vec((0..3_u8, prop::collection::vec((0..4_u8, 0..1_000_u64), 0..4)), 1..12),
    ) {
        let mut book = book("a", "lac", 10);
        let mut kept: IndexMap<EndpointId, EngineLoad> = IndexMap::new();
        for (sender, held) in told {
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
        let mut sums = book.held_by_peers(200);
        sums.retain(|_, load| *load != EngineLoad::default());
        kept.sort_unstable_keys();
        sums.sort_unstable_keys();
        prop_assert_eq!(kept, sums);
        prop_assert!(book.held_by_peers(2_000).is_empty(), "they have fallen silent");
    }

    /// Whatever a datagram holds, taking it ends: it is malformed, or its figures are of any size.
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
        let shared = heartbeat_bytes(&sent).expect("it can be written");
        let mut bytes = datagram(&shared, &PeerPart::default()).expect("it can be written");
        for (place, byte) in changes {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        bytes.truncate(length.index(bytes.len() + 1).max(1));
        let Ok((read, answer)) = read_datagram(&bytes) else {
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
        reader.held_by_peers(400);
        reader.sync_sources(400);
        reader.acknowledged_sent_ms(answer.echo);
        reader.recipients(READY, 400);
        reader.addresses_for(&ZoneName::from("lac"), READY, 400);
        reader.remove_expired(500);
    }
}
