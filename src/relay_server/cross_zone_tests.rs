use indexmap::IndexMap;

use super::heartbeat::{
    Availability, HeldLoad, OwnState, PeerPart, datagram, heartbeat_bytes, read_datagram,
};
use super::list_log::ListWatermark;
use super::peer_book::{HEARTBEAT_INTERVAL_MS, PeerBook};
use super::peer_book_tests::{NON_READER, READY, address, book};
use crate::fleet::EngineLoad;
use crate::ids::{EndpointId, InstanceId, ZoneName};
use crate::quarantine::EvidenceReport;

const ZONES: [&str; 3] = ["lac", "marsa", "soukra"];
/// Ports of the simulated instances, in steps of ten.
const FIRST_PORT: usize = 1_000;
/// Time after which an instance without news sends less often: its start, two turns in a fleet of 127, and one
/// more to tell the longer interval.
const SETTLE_MS: u64 = 15_000;
/// Headers of IP and UDP of a datagram.
const HEADER_BYTES: usize = 28;

/// Instances of three zones that exchange heartbeats without loss. The first three of each zone read the store.
struct Fleet {
    books: Vec<PeerBook>,
    held: Vec<Vec<HeldLoad>>,
    non_reader: Availability,
    is_alive: Vec<bool>,
    now_ms: u64,
    /// Datagrams between zones, and their bytes with headers.
    datagrams: usize,
    bytes: usize,
    /// When each instance last received a heartbeat of the watched one.
    received_ms: IndexMap<usize, u64>,
    watched: usize,
}

fn port(index: usize) -> u16 {
    u16::try_from(FIRST_PORT + 10 * index).expect("there are few instances")
}

fn name(index: usize) -> String {
    format!("i{index:04}")
}

fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

impl Fleet {
    fn new(count: usize, non_reader: Availability) -> Self {
        let books = (0..count).map(|index| book(&name(index), zone(index), port(index)));
        let mut fleet = Self {
            books: books.collect(),
            held: vec![Vec::new(); count],
            non_reader,
            is_alive: vec![true; count],
            now_ms: 0,
            datagrams: 0,
            bytes: 0,
            received_ms: IndexMap::new(),
            watched: count - 1,
        };
        for from in 0..count {
            let own = fleet.own_state(from);
            let beat = fleet.books[from].heartbeat(&own, 0);
            for to in (0..count).filter(|it| *it != from) {
                fleet.books[to].apply_heartbeat(&beat, address(port(from) + 1), 0);
            }
        }
        fleet
    }

    fn own_state(&self, index: usize) -> OwnState {
        let is_reader = index < 3 * ZONES.len();
        let availability = if is_reader { READY } else { self.non_reader };
        OwnState {
            availability,
            table: 3,
            table_age_ms: 300,
            list: ListWatermark {
                position: 120_050,
                last_change: 120_000,
            },
            list_age_ms: 300,
            store_age_ms: availability.reaches_store.then_some(100),
            unreached: Vec::new(),
            held: self.held[index].clone(),
            retry_needs: Vec::new(),
            evidence: EvidenceReport::default(),
            limits: Vec::new(),
            demand: Vec::new(),
            zone_demand: None,
        }
    }

    fn send(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let own = self.own_state(index);
        let beat = self.books[index].heartbeat(&own, now_ms);
        let recipients = self.books[index].recipients(own.availability, now_ms);
        let mut by_zone: IndexMap<ZoneName, Vec<u8>> = IndexMap::new();
        for recipient in recipients {
            let book = &self.books[index];
            let shared = by_zone.entry(recipient.zone.clone()).or_insert_with(|| {
                let beat = book.heartbeat_for_zone(&beat, &own, &recipient.zone, now_ms);
                heartbeat_bytes(&beat).expect("it can be encoded")
            });
            let part = PeerPart {
                echo: recipient.echo,
                interval_ms: recipient.interval_ms,
                ..PeerPart::default()
            };
            let bytes = datagram(shared, &part).expect("it can be encoded");
            let to = (usize::from(recipient.address.port()) - FIRST_PORT) / 10;
            if zone(to) != zone(index) {
                self.datagrams += 1;
                self.bytes += bytes.len() + HEADER_BYTES;
                if index == self.watched {
                    self.received_ms.insert(to, now_ms);
                }
            }
            if !self.is_alive[to] {
                continue;
            }
            let (beat, part) = read_datagram(&bytes).expect("it can be decoded");
            let book = &mut self.books[to];
            book.apply_heartbeat(&beat, address(port(index) + 1), now_ms);
            book.apply_peer_part(&InstanceId::from(name(index)), &part);
        }
    }

    fn run(&mut self, length_ms: u64) {
        for _ in 0..length_ms / HEARTBEAT_INTERVAL_MS {
            self.now_ms += HEARTBEAT_INTERVAL_MS;
            for index in 0..self.books.len() {
                if self.is_alive[index] {
                    self.send(index);
                }
            }
        }
    }

    /// Datagrams and bytes a second between zones.
    fn traffic_per_s(&mut self, length_ms: u64) -> (usize, usize) {
        (self.datagrams, self.bytes) = (0, 0);
        self.run(length_ms);
        let length_s = (length_ms / 1_000) as usize;
        (self.datagrams / length_s, self.bytes / length_s)
    }

    /// Instances of other zones that got a heartbeat of the watched one within the newest `within_ms`.
    fn informed(&self, within_ms: u64) -> usize {
        let times = self.received_ms.values();
        times.filter(|it| self.now_ms < **it + within_ms).count()
    }

    fn hears(&self, from: usize, other: usize) -> bool {
        let book = &self.books[from];
        let peer = book.peers.get(&InstanceId::from(name(other)));
        peer.is_some_and(|peer| book.is_heard(peer, self.now_ms))
    }

    fn elsewhere(&self, index: usize) -> usize {
        let all = 0..self.books.len();
        all.filter(|it| zone(*it) != zone(index)).count()
    }
}

fn load(zone: &str) -> HeldLoad {
    HeldLoad {
        endpoint: EndpointId::from("e-lac-0@1767225600000"),
        zone: zone.into(),
        load: EngineLoad {
            token_layers: 80_000,
            requests: 3,
            unread_token_layers: 0,
        },
    }
}

/// Reaches no endpoint, so that it never sends less often.
const CUT_OFF: Availability = Availability {
    reaches_endpoints: false,
    ..NON_READER
};

// Guards against heartbeats of instances without news filling the links between zones. The second figure is
// that of instances that always send at each turn, as all did before.
#[test]
fn instances_without_news_send_little_to_other_zones() {
    let mut fleet = Fleet::new(127, NON_READER);
    fleet.run(SETTLE_MS);
    // Four turns, the interval of instances without news.
    let (datagrams, bytes) = fleet.traffic_per_s(11_000);
    let mut fleet = Fleet::new(127, CUT_OFF);
    fleet.run(1_000);
    let (all_datagrams, all_bytes) = fleet.traffic_per_s(3_000);
    println!(
        "127 instances: {datagrams} datagrams and {bytes} bytes a second between zones, \
         {all_datagrams} and {all_bytes} if all send at each turn"
    );
    assert!(bytes * 100 < all_bytes * 60, "{bytes} {all_bytes}");
}

// Guards against timeouts that do not follow the longer interval: instances would count as ended in other zones.
#[test]
fn an_instance_without_news_is_heard_in_all_zones() {
    let mut fleet = Fleet::new(60, NON_READER);
    fleet.run(1_000);
    for _ in 0..200 {
        fleet.run(HEARTBEAT_INTERVAL_MS);
        let mut all = (0..60).flat_map(|a| (0..60).map(move |b| (a, b)));
        let silent = all.find(|(a, b)| a != b && !fleet.hears(*a, *b));
        assert_eq!(silent, None, "at {} ms", fleet.now_ms);
    }
    // The interval has in fact grown: 40 instances of other zones in 5 heartbeats each.
    let watched = fleet.watched;
    let peer = &fleet.books[0].peers[&InstanceId::from(name(watched))];
    assert_eq!(peer.cross_zone_interval_ms, 12_500);
}

// Guards against news that wait for the longer interval.
#[test]
fn news_reach_other_zones_as_fast_as_at_each_turn() {
    for count in [60, 127] {
        let mut fleet = Fleet::new(count, NON_READER);
        fleet.run(SETTLE_MS);
        let elsewhere = fleet.elsewhere(fleet.watched);
        let turn_ms = elsewhere.div_ceil(8) as u64 * HEARTBEAT_INTERVAL_MS;
        assert!(fleet.informed(turn_ms) < elsewhere / 2, "it is quiet");
        let watched = fleet.watched;
        fleet.books[watched].announce_leaving(&EndpointId::from("e1"));
        fleet.run(turn_ms);
        assert_eq!(fleet.informed(turn_ms), elsewhere);
        // Once more, since the first one may be lost.
        fleet.run(turn_ms);
        assert_eq!(fleet.informed(turn_ms), elsewhere);
    }
}

// Guards against loads that arrive late where they are needed, and against sending them where they are not.
#[test]
fn loads_on_engines_of_a_zone_are_news_for_that_zone() {
    let mut fleet = Fleet::new(127, NON_READER);
    fleet.run(SETTLE_MS);
    let watched = fleet.watched;
    let other = *ZONES
        .iter()
        .find(|it| **it != zone(watched))
        .expect("there are three");
    fleet.held[watched] = vec![load(other)];
    let elsewhere = fleet.elsewhere(watched);
    let turn_ms = elsewhere.div_ceil(8) as u64 * HEARTBEAT_INTERVAL_MS;
    let engine = EndpointId::from("e-lac-0@1767225600000");
    let in_other: Vec<usize> = (0..127).filter(|it| zone(*it) == other).collect();
    let counted = |fleet: &mut Fleet| {
        let now_ms = fleet.now_ms;
        let loads = |it: &&usize| fleet.books[**it].peer_loads(now_ms).contains_key(&engine);
        in_other.iter().filter(loads).count()
    };
    fleet.run(turn_ms);
    assert_eq!(counted(&mut fleet), in_other.len());
    let informed = fleet.informed(turn_ms);
    assert!(
        informed < elsewhere * 7 / 8,
        "the third zone waits: {informed}"
    );
    // That the load has ended is news as well.
    fleet.held[watched].clear();
    fleet.run(turn_ms);
    assert_eq!(counted(&mut fleet), 0);
}

// Guards against a restarted process that others take for the ended one, or that waits for its first heartbeats.
#[test]
fn a_restarted_instance_is_known_within_a_turn() {
    let mut fleet = Fleet::new(60, NON_READER);
    fleet.run(SETTLE_MS);
    let watched = fleet.watched;
    let known = fleet.books[watched].peers.clone();
    let mut restarted = book(&name(watched), zone(watched), port(watched));
    restarted.reach = super::recipients::ZoneReach::new(fleet.now_ms);
    restarted.cross_zone = super::cross_zone::CrossZonePacing::new(fleet.now_ms);
    restarted.peers = known;
    for peer in restarted.peers.values_mut() {
        peer.promised_ms = 0;
    }
    fleet.books[watched] = restarted;
    fleet.received_ms.clear();
    let turn_ms = fleet.elsewhere(watched).div_ceil(8) as u64 * HEARTBEAT_INTERVAL_MS;
    fleet.run(turn_ms);
    assert_eq!(fleet.informed(turn_ms), fleet.elsewhere(watched));
}

// Guards against a quiet instance that keeps a restarted one waiting for its promise to the earlier process.
#[test]
fn a_restarted_recipient_gets_a_heartbeat_at_its_next_turn() {
    let mut fleet = Fleet::new(60, NON_READER);
    fleet.run(SETTLE_MS);
    let (watched, restarted) = (fleet.watched, 57);
    assert_ne!(zone(watched), zone(restarted));
    let from = address(port(restarted) + 1);
    let turn_ms = fleet.elsewhere(watched).div_ceil(8) as u64 * HEARTBEAT_INTERVAL_MS;
    // After a heartbeat that promised the next one for much later.
    while fleet.received_ms.get(&restarted) != Some(&fleet.now_ms) {
        fleet.run(HEARTBEAT_INTERVAL_MS);
    }
    let mut process = book(&name(restarted), zone(restarted), port(restarted));
    let own = fleet.own_state(restarted);
    let beat = process.heartbeat(&own, fleet.now_ms);
    fleet.books[watched].apply_heartbeat(&beat, from, fleet.now_ms);
    let sent_ms = fleet.now_ms;
    fleet.run(turn_ms);
    assert!(fleet.received_ms[&restarted] > sent_ms);
}

// Guards against larger heartbeats to other zones: each byte is sent thousands of times a second.
#[test]
fn a_heartbeat_to_another_zone_is_small() {
    let mut fleet = Fleet::new(60, NON_READER);
    fleet.run(SETTLE_MS);
    let (watched, other) = (fleet.watched, ZoneName::from(ZONES[0]));
    let size = |fleet: &mut Fleet| {
        let own = fleet.own_state(watched);
        let now_ms = fleet.now_ms;
        let beat = fleet.books[watched].heartbeat(&own, now_ms);
        let beat = fleet.books[watched].heartbeat_for_zone(&beat, &own, &other, now_ms);
        let echo = fleet.books[0].peers[1].to_recipient(60_000, 0, now_ms).echo;
        let part = PeerPart {
            echo,
            ..PeerPart::default()
        };
        let shared = heartbeat_bytes(&beat).expect("it can be encoded");
        datagram(&shared, &part).expect("it can be encoded").len()
    };
    let quiet = size(&mut fleet);
    let loads = (0..4_u64).map(|number| HeldLoad {
        endpoint: EndpointId::from(format!(
            "e-lac-{number}@{}",
            1_767_225_600_000 + 37 * number
        )),
        ..load(ZONES[0])
    });
    fleet.held[watched] = loads.collect();
    let loaded = size(&mut fleet);
    println!("heartbeat to another zone: {quiet} bytes, {loaded} with four loads");
    assert!(quiet <= 110, "{quiet}");
    assert!(loaded <= quiet + 4 * 15, "{loaded}");
}
