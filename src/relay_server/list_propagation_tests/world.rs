//! A deployment in simulated time: instances, the network between them, and the store.

use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::adapter::FeedRead;
use super::super::heartbeat::{Echo, Heartbeat};
use super::super::list_sync::ListUpdate;
use super::super::peer::{InstanceRecord, SyncSource};
use super::super::peer_book::HEARTBEAT_INTERVAL_MS;
use super::due::Due;
use super::instance::{Instance, Process};
use super::store::{Access, Departure, Store};
use crate::fleet::{ListedEndpoint, ListingRead};
use crate::ids::{EndpointId, InstanceId};
use crate::quarantine::{EndpointLiveness, RequestDigest, RunStage};

/// As in service: how long a watch waits, what a call may take beside that, and the pauses.
const WATCH_WAIT_MS: u64 = 1_700;
const CALL_TIMEOUT_MS: u64 = 500;
const READ_PAUSE_MS: u64 = 250;
const RETRY_MS: u64 = 250;
const STEPPED_IN_RETRY_MS: u64 = 1_000;
const LOOK_MS: u64 = 250;
const ASK_TIMEOUT_MS: u64 = 400;
const SWEEP_MS: u64 = 200;
/// Time from a call's sending to its answer, where the store answers at once.
const CALL_MS: u64 = 2;

/// What goes wrong all the time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Faults {
    /// Share of heartbeats lost.
    pub(super) lost: f64,
    /// Share of heartbeats that come up to 400 ms late.
    pub(super) late: f64,
    /// Share of watches of the list that go silent.
    pub(super) silent: f64,
}

pub(super) enum Event {
    Beat,
    Heard(usize, Rc<Heartbeat>, Option<Echo>),
    /// A watch or a read of the list begins.
    ListDue,
    /// A watch of the list, sent then, is answered for want of news.
    ListWaited(u64),
    ListEnd(u64, Option<FeedRead<ListingRead>>),
    TableDue,
    TableEnd(bool),
    Look,
    /// A peer that was asked has not answered in time.
    Unanswered(InstanceId),
    Told(u64, u64, ListUpdate, u64),
    Sweep,
}

/// A watch of the list that waits in the store.
struct Waiting {
    of: usize,
    generation: u32,
    sent_ms: u64,
    since: u64,
    is_silent: bool,
}

pub(super) struct World {
    pub(super) now_ms: u64,
    pub(super) rng: SmallRng,
    pub(super) instances: Vec<Instance>,
    faults: Faults,
    store: Store,
    waiting: Vec<Waiting>,
    due: BinaryHeap<Due>,
    numbers: u64,
    by_address: IndexMap<SocketAddr, usize>,
    records: Vec<InstanceRecord>,
}

impl World {
    /// `zones` has the number of instances of each. The first two of a zone have the fast links.
    pub(super) fn new(zones: &[usize], endpoints: usize, faults: Faults, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut instances: Vec<Instance> = Vec::new();
        for (zone, count) in zones.iter().enumerate() {
            for place in 0..*count {
                let link_mbps = if place < 2 { 200 } else { 20 };
                instances.push(Instance::new(instances.len(), zone, link_mbps, &mut rng));
            }
        }
        let records: Vec<InstanceRecord> = instances.iter().map(|it| it.record.clone()).collect();
        let addresses = records.iter().enumerate();
        let mut world = Self {
            now_ms: 100_000,
            rng,
            faults,
            store: Store::new(endpoints),
            waiting: Vec::new(),
            due: BinaryHeap::new(),
            numbers: 0,
            by_address: addresses.map(|(index, it)| (it.peers, index)).collect(),
            records,
            instances,
        };
        for index in 0..world.instances.len() {
            world.start(index);
        }
        world
    }

    pub(super) fn start(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let own = &mut self.instances[index];
        own.start(&self.records, now_ms, &mut self.rng);
        self.records[index] = own.record.clone();
        let phase_ms = self.rng.random_range(0..HEARTBEAT_INTERVAL_MS);
        self.push(index, phase_ms, Event::Beat);
        self.push(index, phase_ms, Event::Look);
        self.push(index, phase_ms, Event::Sweep);
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.instances[index].process = Process::Killed;
        self.instances[index].generation += 1;
        self.waiting.retain(|it| it.of != index);
    }

    pub(super) fn freeze(&mut self, index: usize, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        self.instances[index].process = Process::Frozen { until_ms };
    }

    /// No heartbeat reaches an instance or leaves it for so long.
    pub(super) fn cut(&mut self, index: usize, for_ms: u64) {
        self.instances[index].cut_until_ms = self.now_ms + for_ms;
    }

    /// The store treats an instance's calls so from now on.
    pub(super) fn set_access(&mut self, index: usize, access: Access) {
        self.instances[index].access = access;
        match access {
            Access::Answers => {}
            Access::Refuses => self.reset(index),
            Access::Silent => self.silence(index),
        }
    }

    /// The watch of the list that an instance has now is never answered; others are.
    pub(super) fn silence(&mut self, index: usize) {
        let of_it = self.waiting.iter_mut().filter(|it| it.of == index);
        of_it.for_each(|it| it.is_silent = true);
    }

    /// The connections of an instance to the store are reset.
    pub(super) fn reset(&mut self, index: usize) {
        let of_it = self.waiting.extract_if(.., |it| it.of == index);
        let sent: Vec<u64> = of_it.map(|it| it.sent_ms).collect();
        for sent_ms in sent {
            self.push(index, 1, Event::ListEnd(sent_ms, None));
        }
    }

    /// Whether the store answers an instance that runs.
    pub(super) fn is_anybody_answered(&self) -> bool {
        let mut instances = self.instances.iter();
        instances
            .any(|it| it.access == Access::Answers && matches!(it.process, Process::Runs { .. }))
    }

    /// An endpoint ends under a request that an instance has just begun to run there.
    pub(super) fn end_under(&mut self, index: usize, digest: RequestDigest, id: &EndpointId) {
        let now_ms = self.now_ms;
        let own = &mut self.instances[index];
        let stage = RunStage::Started { after_ms: 60 };
        own.quarantine.record_broken_run(digest, id, stage, now_ms);
        own.quarantine
            .update(now_ms, |_, _| EndpointLiveness::Ended);
        own.book.request_heartbeat();
        self.send_news(index);
    }

    pub(super) fn write_elsewhere(&mut self) {
        self.store.write_elsewhere();
    }

    pub(super) fn remove(&mut self, id: &EndpointId) {
        self.store.remove(id);
        self.wake_watches();
    }

    pub(super) fn leave(&mut self, id: &EndpointId, departure: Departure) {
        self.store.leave(id, departure);
        self.wake_watches();
    }

    pub(super) fn join(&mut self, number: usize) {
        self.store.write(super::store::endpoint(number));
        self.wake_watches();
    }

    /// The endpoint of a number starts anew, at its address and under its name.
    pub(super) fn restart_endpoint(&mut self, number: usize, id: EndpointId) {
        let entry = super::store::endpoint(number);
        self.store.write(ListedEndpoint { id, ..entry });
        self.wake_watches();
    }

    fn wake_watches(&mut self) {
        let store = &self.store;
        let woken: Vec<Waiting> = self
            .waiting
            .extract_if(.., |it| !it.is_silent && store.has_news(it.since))
            .collect();
        for it in woken {
            let read = self.store.since(it.since);
            self.push(it.of, CALL_MS, Event::ListEnd(it.sent_ms, Some(read)));
        }
    }

    fn push(&mut self, to: usize, after_ms: u64, event: Event) {
        self.numbers += 1;
        self.due.push(Due {
            at_ms: self.now_ms + after_ms,
            number: self.numbers,
            to,
            generation: self.instances[to].generation,
            event,
        });
    }

    /// Lets the deployment run until then.
    pub(super) fn run_until(&mut self, until_ms: u64) {
        while self.due.peek().is_some_and(|it| it.at_ms <= until_ms) {
            let Some(mut due) = self.due.pop() else { break };
            self.now_ms = self.now_ms.max(due.at_ms);
            let own = &mut self.instances[due.to];
            if own.generation != due.generation {
                continue;
            }
            if let Process::Frozen { until_ms } = own.process {
                if self.now_ms < until_ms {
                    due.at_ms = until_ms;
                    self.due.push(due);
                    continue;
                }
                own.process = Process::Runs { since_ms: until_ms };
            }
            self.handle(due.to, due.event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::Beat => {
                if self.instances[index].look_at_reading(now_ms) {
                    self.instances[index].position = None;
                    self.push(index, 0, Event::ListDue);
                    self.push(index, 0, Event::TableDue);
                }
                self.send(index);
                self.push(index, HEARTBEAT_INTERVAL_MS, Event::Beat);
            }
            Event::Heard(from, heartbeat, echo) => {
                let address = self.records[from].peers;
                if self.instances[index].hear(&heartbeat, address, echo, now_ms) {
                    self.notify(index);
                }
            }
            Event::ListDue => self.begin_list(index),
            Event::ListWaited(sent_ms) => self.list_waited(index, sent_ms),
            Event::ListEnd(sent_ms, read) => self.list_ended(index, sent_ms, read),
            Event::TableDue => self.begin_table(index),
            Event::TableEnd(is_answered) => {
                let store = &mut self.instances[index].store;
                let pause_ms = if is_answered {
                    store.record_answer(now_ms);
                    0
                } else {
                    store.record_failure(now_ms);
                    self.retry_ms(index)
                };
                self.push(index, pause_ms, Event::TableDue);
            }
            Event::Look => self.look(index),
            Event::Unanswered(peer) => {
                let own = &mut self.instances[index];
                own.asking.mark_failed(&peer, now_ms);
                own.is_asking = false;
                self.look(index);
            }
            Event::Told(asked_with, sent_ms, update, age_ms) => {
                let newest_at_ms = sent_ms.saturating_sub(age_ms);
                let own = &mut self.instances[index];
                own.take_update(update, asked_with, newest_at_ms, now_ms);
                self.asked(index);
            }
            Event::Sweep => {
                self.instances[index].fleet.expire(now_ms);
                self.push(index, SWEEP_MS, Event::Sweep);
            }
        }
    }

    fn send(&mut self, index: usize) {
        let (heartbeat, recipients) = self.instances[index].heartbeat(self.now_ms);
        let heartbeat = Rc::new(heartbeat);
        for recipient in recipients {
            if self.rng.random_bool(self.faults.lost) {
                continue;
            }
            let to = self.by_address[&recipient.address];
            let is_cut = |it: usize| self.now_ms < self.instances[it].cut_until_ms;
            if self.instances[to].process == Process::Killed || is_cut(index) || is_cut(to) {
                continue;
            }
            let is_late = self.rng.random_bool(self.faults.late);
            let most_ms = if is_late { 400 } else { 4 };
            let after_ms = self.rng.random_range(1..=most_ms);
            let heard = Event::Heard(index, Rc::clone(&heartbeat), recipient.echo);
            self.push(to, after_ms, heard);
        }
    }

    fn retry_ms(&self, index: usize) -> u64 {
        if self.instances[index]
            .book
            .is_top_ranked_in_zone(self.now_ms)
        {
            RETRY_MS
        } else {
            STEPPED_IN_RETRY_MS
        }
    }

    fn begin_list(&mut self, index: usize) {
        let own = &self.instances[index];
        // Another begins when the instance reads the store again.
        if !own.reads {
            return;
        }
        let sent_ms = self.now_ms;
        let (access, position) = (own.access, own.position);
        let wait_ms = position.map_or(0, |_| WATCH_WAIT_MS);
        match (access, position) {
            (Access::Refuses, _) => self.push(index, CALL_MS, Event::ListEnd(sent_ms, None)),
            (Access::Silent, _) => {
                let after_ms = wait_ms + CALL_TIMEOUT_MS;
                self.push(index, after_ms, Event::ListEnd(sent_ms, None));
            }
            (Access::Answers, None) => {
                let read = self.store.whole();
                self.push(index, CALL_MS, Event::ListEnd(sent_ms, Some(read)));
            }
            (Access::Answers, Some(since)) if self.store.has_news(since) => {
                let read = self.store.since(since);
                self.push(index, CALL_MS, Event::ListEnd(sent_ms, Some(read)));
            }
            (Access::Answers, Some(since)) => {
                let is_silent = self.rng.random_bool(self.faults.silent);
                self.waiting.push(Waiting {
                    of: index,
                    generation: self.instances[index].generation,
                    sent_ms,
                    since,
                    is_silent,
                });
                self.push(index, WATCH_WAIT_MS, Event::ListWaited(sent_ms));
            }
        }
    }

    fn list_waited(&mut self, index: usize, sent_ms: u64) {
        let generation = self.instances[index].generation;
        let found = self
            .waiting
            .iter()
            .position(|it| it.of == index && it.sent_ms == sent_ms && it.generation == generation);
        let Some(found) = found else { return };
        let it = self.waiting.swap_remove(found);
        if it.is_silent {
            return self.push(index, CALL_TIMEOUT_MS, Event::ListEnd(sent_ms, None));
        }
        let read = self.store.since(it.since);
        self.push(index, CALL_MS, Event::ListEnd(sent_ms, Some(read)));
    }

    fn list_ended(&mut self, index: usize, sent_ms: u64, read: Option<FeedRead<ListingRead>>) {
        let now_ms = self.now_ms;
        let pause_ms = match read {
            Some(read) => {
                if self.instances[index].take_read(read, sent_ms, now_ms) {
                    self.send_news(index);
                }
                READ_PAUSE_MS
            }
            None => {
                self.instances[index].store.record_failure(now_ms);
                self.retry_ms(index)
            }
        };
        self.push(index, pause_ms, Event::ListDue);
    }

    pub(super) fn send_news(&mut self, index: usize) {
        if self.instances[index].book.take_heartbeat_request() {
            self.send(index);
        }
    }

    fn begin_table(&mut self, index: usize) {
        let own = &self.instances[index];
        if !own.reads {
            return;
        }
        let (after_ms, is_answered) = match own.access {
            Access::Answers => (WATCH_WAIT_MS, true),
            Access::Refuses => (CALL_MS, false),
            Access::Silent => (WATCH_WAIT_MS + CALL_TIMEOUT_MS, false),
        };
        self.push(index, after_ms, Event::TableEnd(is_answered));
    }

    fn notify(&mut self, index: usize) {
        let own = &mut self.instances[index];
        own.is_notified = true;
        if !own.is_asking {
            self.look(index);
        }
    }

    /// Looks whether somebody is to be asked. The next look is due when the asking has ended.
    fn look(&mut self, index: usize) {
        let draw = self.rng.random();
        let now_ms = self.now_ms;
        let own = &mut self.instances[index];
        let is_regular = !own.is_notified;
        own.is_notified = false;
        if own.is_asking {
            return;
        }
        if let Some(peer) = own.whom_to_ask(draw, now_ms) {
            own.is_asking = true;
            return self.ask(index, &peer);
        }
        if is_regular {
            self.push(index, LOOK_MS, Event::Look);
        }
    }

    fn ask(&mut self, index: usize, peer: &SyncSource) {
        let now_ms = self.now_ms;
        let name = peer.instance.clone();
        let known = self.instances[index].known().list;
        let peer = &self.instances[self.by_address[&peer.address]];
        let runs = matches!(peer.process, Process::Runs { .. });
        match peer.answer(known, now_ms).filter(|_| runs) {
            Some((update, age_ms)) => {
                let after_ms = self.rng.random_range(2..=40);
                self.push(index, after_ms, Event::Told(known, now_ms, update, age_ms));
            }
            None => self.push(index, ASK_TIMEOUT_MS, Event::Unanswered(name)),
        }
    }

    fn asked(&mut self, index: usize) {
        let own = &mut self.instances[index];
        own.is_asking = false;
        let after_ms = if own.is_notified { 0 } else { LOOK_MS };
        self.push(index, after_ms, Event::Look);
    }
}
