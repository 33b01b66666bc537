//! Simulation of the start of a whole fleet with the components that decide, but without sockets: who
//! calls the store, how often, and when the instances know one another.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::heartbeat::Availability;
use super::introduction::{Introduction, IntroductionStep, MAX_CONTACTS};
use super::peer::InstanceRecord;
use super::peer_book::{HEARTBEAT_INTERVAL_MS, PeerBook};
use super::peer_book_tests::heartbeat;
use super::test_settings::settings;
use crate::ids::{Incarnation, InstanceId, ZoneName};

const STEP_MS: u64 = 10;
const MAINTAIN_INTERVAL_MS: u64 = 1_000;
const PEER_LIST_INTERVAL_MS: u64 = 750;
/// Time until a call to the store has taken effect or its answer has arrived.
const STORE_CALL_MS: u64 = 20;
/// All instances start within this time.
const START_SPREAD_MS: u64 = 300;
const ZONES: usize = 2;

/// Rows of the store, by zone and instance, with the calls that were made.
#[derive(Default)]
struct Store {
    records: BTreeMap<(ZoneName, InstanceId), InstanceRecord>,
    calls: usize,
    rows_read: usize,
}

/// A call to the store that has not been answered yet.
enum PendingCall {
    Contacts,
    Write,
}

struct Instance {
    own: InstanceRecord,
    started_ms: u64,
    /// `None` before the process starts.
    book: Option<PeerBook>,
    /// `None` once the instance has been introduced.
    introduction: Option<Introduction>,
    pending: Option<(u64, PendingCall)>,
    reads_store: bool,
    next_list_ms: u64,
}

impl Instance {
    fn start(&mut self, is_first_start: bool, random: u64, now_ms: u64) {
        let own = &self.own;
        let mut settings = settings(
            own.instance.clone(),
            own.zone.clone(),
            own.front,
            own.peers,
            own.link_mbps,
        );
        settings.is_first_start = is_first_start;
        self.book = Some(PeerBook::new(&settings, own.incarnation, now_ms));
        self.introduction = Some(Introduction::new(is_first_start, random, now_ms));
    }

    /// Introduces the instance. Returns nothing to do while a call is pending.
    fn introduce(&mut self, store: &mut Store, random: u64, now_ms: u64) {
        let Some(book) = &mut self.book else {
            return;
        };
        let Some(introduction) = &mut self.introduction else {
            return;
        };
        if let Some((done_ms, call)) = &self.pending {
            if now_ms < *done_ms {
                return;
            }
            match call {
                PendingCall::Contacts => {
                    let in_zone = store.records.values();
                    let in_zone = in_zone.filter(|it| it.zone == self.own.zone);
                    let contacts: Vec<InstanceRecord> =
                        in_zone.take(MAX_CONTACTS as usize).cloned().collect();
                    let others = contacts.iter();
                    let found = others.filter(|it| it.instance != self.own.instance).count();
                    store.rows_read += contacts.len();
                    for record in contacts {
                        book.add_record(record, now_ms);
                    }
                    introduction.record_contacts(Some(found), random, now_ms);
                }
                PendingCall::Write => {
                    let key = (self.own.zone.clone(), self.own.instance.clone());
                    store.records.insert(key, self.own.clone());
                    store.read_all(book, now_ms);
                    self.introduction = None;
                }
            }
            self.pending = None;
            return;
        }
        let call = match introduction.next(book.hears_zone_peer(now_ms), now_ms) {
            IntroductionStep::Wait => return,
            IntroductionStep::ReadContacts => PendingCall::Contacts,
            IntroductionStep::Register => PendingCall::Write,
            IntroductionStep::Done => {
                self.introduction = None;
                return;
            }
        };
        store.calls += 1;
        self.pending = Some((now_ms + STORE_CALL_MS, call));
    }

    /// Reads and writes records as the first instances of a zone do.
    fn maintain(&mut self, store: &mut Store, now_ms: u64) {
        let Some(book) = self.book.as_mut().filter(|_| self.introduction.is_none()) else {
            return;
        };
        if !self.reads_store || !book.is_top_ranked_in_zone(now_ms) {
            return;
        }
        store.read_all(book, now_ms);
        let rows = store.records.values();
        let recorded = rows.map(|it| (it.instance.clone(), it.clone()));
        let recorded: IndexMap<InstanceId, InstanceRecord> = recorded.collect();
        if book.is_zone_registrar(now_ms) {
            let missing = book.unrecorded(&recorded, now_ms);
            store.calls += usize::from(!missing.is_empty());
            for record in missing {
                let key = (record.zone.clone(), record.instance.clone());
                store.records.insert(key, record);
            }
        }
    }

    fn update_store_reading(&mut self, now_ms: u64) {
        let Some(book) = &self.book else {
            return;
        };
        let answered_ms = self.reads_store.then_some(now_ms);
        let view = book.store_reader_view(self.reads_store, answered_ms, now_ms);
        self.reads_store = view.should_read(now_ms) && !view.awaits_records(false, now_ms);
    }

    fn availability(&self) -> Availability {
        Availability {
            reaches_store: self.reads_store,
            ..Availability::default()
        }
    }
}

impl Store {
    fn read_all(&mut self, book: &mut PeerBook, now_ms: u64) {
        self.calls += self.records.len().div_ceil(500).max(1);
        self.rows_read += self.records.len();
        for record in self.records.values() {
            book.add_record(record.clone(), now_ms);
        }
        book.note_all_known();
    }
}

/// A fleet whose instances all start within [`START_SPREAD_MS`].
struct Fleet {
    instances: Vec<Instance>,
    store: Store,
    is_first_start: bool,
    rng: SmallRng,
}

/// What a start has cost.
#[derive(Debug)]
struct Outcome {
    store_calls: usize,
    rows_read: usize,
    /// Most instances that read the store at once.
    most_readers: usize,
    /// When every instance knew all others.
    all_known_ms: Option<u64>,
}

impl Fleet {
    fn new(per_zone: usize, is_first_start: bool, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instance = |number: usize| {
            let octets = [10, 1, (number / 200) as u8, (number % 200) as u8];
            let own = InstanceRecord {
                instance: InstanceId::from(format!("i{number:04}")),
                incarnation: Incarnation::generate(&mut rng),
                zone: ZoneName::from(format!("z{}", number % ZONES)),
                front: (octets, 8_000).into(),
                peers: (octets, 9_000).into(),
                link_mbps: if number < 5 * ZONES { 1_000 } else { 20 },
            };
            Instance {
                started_ms: rng.random_range(0..START_SPREAD_MS),
                own,
                book: None,
                introduction: None,
                pending: None,
                reads_store: false,
                next_list_ms: 0,
            }
        };
        Self {
            instances: (0..per_zone * ZONES).map(instance).collect(),
            store: Store::default(),
            is_first_start,
            rng,
        }
    }

    /// Fills the store with the records of earlier processes.
    fn with_records(mut self) -> Self {
        for instance in &self.instances {
            let record = InstanceRecord {
                incarnation: Incarnation::generate(&mut self.rng),
                ..instance.own.clone()
            };
            let key = (record.zone.clone(), record.instance.clone());
            self.store.records.insert(key, record);
        }
        self
    }

    fn run(&mut self, length_ms: u64) -> Outcome {
        let mut outcome = Outcome {
            store_calls: 0,
            rows_read: 0,
            most_readers: 0,
            all_known_ms: None,
        };
        for now_ms in (0..length_ms).step_by(STEP_MS as usize) {
            self.step(now_ms);
            let readers = self.instances.iter().filter(|it| it.reads_store).count();
            outcome.most_readers = outcome.most_readers.max(readers);
            let all = self.instances.len() as u32;
            let mut books = self.instances.iter().map(|it| it.book.as_ref());
            let knows_all =
                books.all(|it| it.is_some_and(|book| book.own_known_instances() == all));
            if knows_all && outcome.all_known_ms.is_none() {
                outcome.all_known_ms = Some(now_ms);
            }
        }
        outcome.store_calls = self.store.calls;
        outcome.rows_read = self.store.rows_read;
        outcome
    }

    fn step(&mut self, now_ms: u64) {
        for index in 0..self.instances.len() {
            let random: u64 = self.rng.random();
            let instance = &mut self.instances[index];
            let age_ms = now_ms.saturating_sub(instance.started_ms);
            if instance.book.is_none() && now_ms >= instance.started_ms {
                instance.start(self.is_first_start, random, now_ms);
            }
            instance.introduce(&mut self.store, random, now_ms);
            if age_ms % MAINTAIN_INTERVAL_MS < STEP_MS {
                instance.maintain(&mut self.store, now_ms);
            }
            if age_ms % HEARTBEAT_INTERVAL_MS < STEP_MS {
                instance.update_store_reading(now_ms);
                self.send_heartbeat(index, now_ms);
            }
            if now_ms >= self.instances[index].next_list_ms {
                self.fetch_peer_list(index, random, now_ms);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize, now_ms: u64) {
        let sender = &mut self.instances[index];
        let (availability, from) = (sender.availability(), sender.own.peers);
        let Some(book) = &mut sender.book else {
            return;
        };
        let heartbeat = heartbeat(book, availability, now_ms);
        let recipients = book.recipients(availability, now_ms);
        for recipient in recipients {
            let to = self.instances.iter_mut();
            let to = to.filter(|it| it.own.peers == recipient.address);
            for book in to.filter_map(|it| it.book.as_mut()) {
                book.apply_heartbeat(&heartbeat, from, now_ms);
            }
        }
    }

    fn fetch_peer_list(&mut self, index: usize, random: u64, now_ms: u64) {
        let book = self.instances[index].book.as_ref();
        let Some(source) = book.and_then(|it| it.peer_list_source(false, random, now_ms)) else {
            return;
        };
        let mut sources = self.instances.iter();
        let listed = sources
            .find(|it| it.own.peers == source)
            .and_then(|it| it.book.as_ref())
            .map(|it| (it.listed(0, now_ms), it.knows_all()));
        let instance = &mut self.instances[index];
        instance.next_list_ms = now_ms + PEER_LIST_INTERVAL_MS;
        if let (Some(book), Some((listed, knows_all))) = (&mut instance.book, listed) {
            book.add_listed(listed, now_ms);
            if knows_all {
                book.note_all_known();
            }
        }
    }
}

// Guards against a start that costs each instance several calls and a read of all records: 985 instances made
// 15,794 calls and read 0.46 GB, as writes over the store's rate were repeated with reads.
#[test]
fn the_first_start_of_a_fleet_costs_about_one_store_call_an_instance() {
    for per_zone in [20, 80] {
        let instances = per_zone * ZONES;
        let outcome = Fleet::new(per_zone, true, 1).run(5_000);
        assert!(
            outcome.store_calls < instances * 5 / 4 + 60 * ZONES,
            "{instances}: {outcome:?}"
        );
        // Contacts for each instance, and all records for a few.
        let few = 40 * ZONES;
        assert!(
            outcome.rows_read < instances * (MAX_CONTACTS as usize + few),
            "{instances}: {outcome:?}"
        );
        assert!(
            outcome.most_readers <= 4 * ZONES,
            "{instances}: {outcome:?}"
        );
        assert!(
            outcome.all_known_ms.is_some_and(|at_ms| at_ms < 4_000),
            "{instances}: {outcome:?}"
        );
    }
}

#[test]
fn a_restart_of_all_instances_costs_less_than_one_store_call_an_instance() {
    let (per_zone, instances) = (80, 80 * ZONES);
    let outcome = Fleet::new(per_zone, false, 2).with_records().run(3_000);
    assert!(outcome.store_calls < instances + 60 * ZONES, "{outcome:?}");
    assert!(outcome.most_readers <= 4 * ZONES, "{outcome:?}");
    assert!(
        outcome.all_known_ms.is_some_and(|at_ms| at_ms < 2_000),
        "{outcome:?}"
    );
}
