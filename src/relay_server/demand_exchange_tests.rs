use super::demand_exchange::apply_demand;
use super::heartbeat::{Heartbeat, HeartbeatDemand, OwnState, PeerPart, heartbeat_bytes};
use super::peer_book::{HEARTBEAT_INTERVAL_MS, PeerBook};
use super::peer_book_tests::{NON_READER, READY, address, book, heartbeat, own_state};
use crate::demand::{DemandBook, DemandReport, ZoneSum};
use crate::ids::{InstanceId, ServiceName, ZoneName};

fn service() -> ServiceName {
    ServiceName::from("i-7f3a91c2")
}

/// A report of 4 streams and 3,000 prompt tokens per second.
fn report(priority: u32) -> DemandReport {
    DemandReport {
        service: service(),
        priority,
        streams_per_s: 40,
        prompt_tokens_per_s: 30_000,
        unserved_per_s: 5,
        rejected_per_s: 0,
    }
}

fn with_demand(demand: Vec<DemandReport>) -> OwnState {
    OwnState {
        demand,
        ..own_state(NON_READER)
    }
}

fn bytes(heartbeat: &Heartbeat) -> usize {
    heartbeat_bytes(heartbeat).expect("it can be encoded").len()
}

/// Guards against reports that fill the links of a zone, or those between zones.
#[test]
fn demand_takes_a_few_dozen_bytes_of_a_heartbeat() {
    let mut a = book("a", "lac", 1_000);
    let plain = bytes(&a.heartbeat(&own_state(READY), 100));
    let empty = HeartbeatDemand::default();
    let empty_bytes = postcard::to_stdvec(&empty)
        .expect("it can be encoded")
        .len();
    assert_eq!(empty_bytes, 1);
    for (priorities, limit) in [(1, 20), (3, 58)] {
        let reports: Vec<DemandReport> = (0..priorities).map(report).collect();
        let own = bytes(&a.heartbeat(&with_demand(reports.clone()), 100)) - plain;
        let sum = OwnState {
            zone_demand: Some(ZoneSum {
                instances: 127,
                reports,
            }),
            ..own_state(READY)
        };
        let beat = a.heartbeat(&sum, 100);
        let other = ZoneName::from("marsa");
        let of_zone = bytes(&a.heartbeat_for_zone(&beat, &sum, &other, 100)) - plain;
        println!("demand of {priorities} priorities: {own} bytes, {of_zone} for a zone's sum");
        assert!(own <= limit, "{own} bytes");
        assert!(of_zone <= limit + 1, "{of_zone} bytes");
    }
}

/// Guards against an instance's own demand that is sent to other zones, where it would be expensive.
#[test]
fn other_zones_get_the_sum_of_the_zone_or_nothing() {
    let mut a = book("a", "lac", 1_000);
    let (lac, marsa) = (ZoneName::from("lac"), ZoneName::from("marsa"));
    let own = with_demand(vec![report(1)]);
    let beat = a.heartbeat(&own, 100);
    let in_zone = a.heartbeat_for_zone(&beat, &own, &lac, 100);
    assert_eq!(in_zone.demand, HeartbeatDemand::Instance(vec![report(1)]));
    let elsewhere = a.heartbeat_for_zone(&beat, &own, &marsa, 100);
    assert_eq!(elsewhere.demand, HeartbeatDemand::Empty);
    let sum = ZoneSum {
        instances: 3,
        reports: vec![report(0)],
    };
    let reader = OwnState {
        zone_demand: Some(sum.clone()),
        ..own
    };
    let elsewhere = a.heartbeat_for_zone(&beat, &reader, &marsa, 100);
    assert_eq!(elsewhere.demand, HeartbeatDemand::Zone(sum));
}

/// Guards against reports that are counted beside the sum of their zone, and against a late heartbeat of an
/// earlier process of this instance.
#[test]
fn reports_from_the_wrong_place_are_ignored() {
    let (own, zone) = (InstanceId::from("a"), ZoneName::from("lac"));
    let mut demand = DemandBook::default();
    let sum = || ZoneSum {
        instances: 1,
        reports: vec![report(1)],
    };
    let wrong = [
        ("a", "lac", HeartbeatDemand::Instance(vec![report(1)])),
        ("b", "lac", HeartbeatDemand::Zone(sum())),
        ("c", "marsa", HeartbeatDemand::Instance(vec![report(1)])),
        ("c", "marsa", HeartbeatDemand::Empty),
    ];
    for (name, of, part) in wrong {
        let mut beat = heartbeat(&mut book(name, of, 2_000), READY, 100);
        beat.demand = part;
        apply_demand(&mut demand, (&own, &zone), &beat, 3_000, 100);
    }
    assert!(demand.zones().is_empty());
}

/// Instances of one zone that exchange heartbeats with demand, without loss.
struct Zone {
    books: Vec<PeerBook>,
    demand: Vec<DemandBook>,
    alive: usize,
    now_ms: u64,
    /// Whether each instance sent its newest heartbeat to the whole zone.
    are_active: Vec<bool>,
}

const FIRST_PORT: u16 = 1_000;

fn name(index: usize) -> InstanceId {
    InstanceId::from(format!("i{index:04}"))
}

fn port(index: usize) -> u16 {
    FIRST_PORT + 10 * u16::try_from(index).expect("there are few instances")
}

/// The first three read the store.
fn state(index: usize) -> OwnState {
    OwnState {
        demand: vec![report(1)],
        ..own_state(if index < 3 { READY } else { NON_READER })
    }
}

impl Zone {
    fn new(count: usize) -> Self {
        let books = (0..count).map(|index| book(name(index).as_str(), "lac", port(index)));
        let mut zone = Self {
            books: books.collect(),
            demand: (0..count).map(|_| DemandBook::default()).collect(),
            alive: count,
            now_ms: 0,
            are_active: vec![true; count],
        };
        for from in 0..count {
            let beat = zone.books[from].heartbeat(&state(from), 0);
            for to in (0..count).filter(|to| *to != from) {
                zone.receive(to, from, &beat, &PeerPart::default());
            }
        }
        zone
    }

    fn receive(&mut self, to: usize, from: usize, beat: &Heartbeat, part: &PeerPart) {
        let (now_ms, peers) = (self.now_ms, &mut self.books[to]);
        peers.apply_heartbeat(beat, address(port(from) + 1), now_ms);
        peers.apply_peer_part(&name(from), part);
        let ttl_ms = peers.demand_ttl_ms(&name(from)).expect("it is known");
        let own = (&name(to), &ZoneName::from("lac"));
        apply_demand(&mut self.demand[to], own, beat, ttl_ms, now_ms);
    }

    /// Lets every live instance send its next heartbeat.
    fn step(&mut self) {
        self.now_ms += HEARTBEAT_INTERVAL_MS;
        for from in 0..self.alive {
            let own = state(from);
            let beat = self.books[from].heartbeat(&own, self.now_ms);
            self.are_active[from] = beat.is_active;
            for recipient in self.books[from].recipients(own.availability, self.now_ms) {
                let to = usize::from(recipient.address.port() - FIRST_PORT) / 10;
                let part = PeerPart {
                    echo: recipient.echo,
                    interval_ms: recipient.interval_ms,
                    ..PeerPart::default()
                };
                if to < self.alive {
                    self.receive(to, from, &beat, &part);
                }
            }
        }
    }

    /// Streams per second and instances of the zone, as an instance knows them from the others.
    fn demand_at(&self, index: usize) -> (f64, u32) {
        let lac = ZoneName::from("lac");
        let demand = self.demand[index].zone_demand(&service(), &lac, self.now_ms);
        demand.map_or((0.0, 0), |it| (it.streams_per_s, it.instances))
    }
}

/// Guards against a zone's demand that drops while heartbeats only arrive in turn, and against one that keeps
/// the demand of an instance that has ended.
#[test]
fn a_large_zone_knows_its_whole_demand_until_an_instance_ends() {
    const COUNT: usize = 120;
    let mut zone = Zone::new(COUNT);
    // The sum of the others.
    let whole = (4.0 * (COUNT - 1) as f64, COUNT as u32 - 1);
    while zone.now_ms < 15_000 {
        zone.step();
        for index in [0, 20, COUNT - 2] {
            let at_ms = zone.now_ms;
            assert_eq!(zone.demand_at(index), whole, "at {index}, {at_ms} ms");
        }
    }
    zone.alive -= 1;
    let ended_ms = zone.now_ms;
    let remaining = (whole.0 - 4.0, whole.1 - 1);
    // Readers hear each heartbeat; most others one in 3,250 ms.
    for (index, within_ms) in [(0, 3_000), (COUNT - 2, 7_000)] {
        while zone.demand_at(index) != remaining {
            assert_eq!(zone.demand_at(index), whole, "at {index}");
            assert!(zone.now_ms <= ended_ms + within_ms, "at {index}");
            zone.step();
        }
        println!("left out at {index} after {} ms", zone.now_ms - ended_ms);
    }
}

/// Guards against heartbeats to the whole zone from everyone who has callers: at 197 instances a zone, these
/// filled the links.
#[test]
fn demand_is_no_news_for_the_whole_zone() {
    let mut zone = Zone::new(40);
    while zone.now_ms < 10_000 {
        zone.step();
    }
    let active = zone.are_active.iter().filter(|it| **it).count();
    assert_eq!(active, 16);
}
