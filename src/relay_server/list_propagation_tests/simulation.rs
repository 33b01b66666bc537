//! A deployment in simulated time: instances, the network between them, and the store.

use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::adapter::FeedRead;
use super::super::heartbeat::PeerPart;
use super::super::peer::{InstanceRecord, SyncSource};
use super::super::peer_book::HEARTBEAT_INTERVAL_MS;
use super::events::{Event, ScheduledEvent};
use super::instance::{Instance, Process};
use super::store::{Access, Departure, Store};
use crate::fleet::{ListedEndpoint, ListingRead};
use crate::ids::EndpointId;
use crate::quarantine::{EndpointLiveness, RequestFeatures};

/// Duration of a call that the store answers immediately.
const CALL_MS: u64 = 2;

// The following values are the same as in production.

/// How long the store holds a watch without changes before it answers.
const WATCH_WAIT_MS: u64 = 1_700;
/// Timeout of a call to the store, in addition to the wait of a watch.
const CALL_TIMEOUT_MS: u64 = 500;
const READ_INTERVAL_MS: u64 = 250;
const RETRY_INTERVAL_MS: u64 = 250;
/// Retry interval of an instance that reads the store only because the regular readers of its zone
/// fail.
const SUBSTITUTE_RETRY_INTERVAL_MS: u64 = 1_000;
const POLL_INTERVAL_MS: u64 = 250;
const PEER_TIMEOUT_MS: u64 = 400;
const SWEEP_INTERVAL_MS: u64 = 200;

/// How long a watch waits in the store, as in production.
fn watch_wait_ms(has_last_failed: bool) -> u64 {
    if has_last_failed { 0 } else { WATCH_WAIT_MS }
}

/// Faults that occur throughout a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Faults {
    /// Fraction of heartbeats that are lost.
    pub(super) lost: f64,
    /// Fraction of heartbeats that are delayed by up to 400 ms.
    pub(super) late: f64,
    /// Fraction of list watches that are never answered.
    pub(super) silent: f64,
}

/// A pending watch of the list.
struct Watch {
    instance: usize,
    generation: u32,
    sent_ms: u64,
    since: u64,
    /// Whether the store never answers this watch.
    is_silent: bool,
}

pub(super) struct Simulation {
    pub(super) now_ms: u64,
    pub(super) rng: SmallRng,
    pub(super) instances: Vec<Instance>,
    faults: Faults,
    store: Store,
    watches: Vec<Watch>,
    queue: BinaryHeap<ScheduledEvent>,
    /// Sequence number of the event that was scheduled last.
    last_sequence: u64,
    by_address: IndexMap<SocketAddr, usize>,
    records: Vec<InstanceRecord>,
}

impl Simulation {
    /// Creates a deployment with this number of instances in each zone. The first two instances of
    /// a zone have fast links.
    pub(super) fn new(zones: &[usize], endpoints: usize, faults: Faults, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut instances: Vec<Instance> = Vec::new();
        for (zone, count) in zones.iter().enumerate() {
            for index_in_zone in 0..*count {
                let link_mbps = if index_in_zone < 2 { 200 } else { 20 };
                instances.push(Instance::new(instances.len(), zone, link_mbps, &mut rng));
            }
        }
        let records: Vec<InstanceRecord> = instances.iter().map(|it| it.record.clone()).collect();
        let addresses = records.iter().enumerate();
        let mut simulation = Self {
            now_ms: 100_000,
            rng,
            faults,
            store: Store::new(endpoints),
            watches: Vec::new(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            by_address: addresses.map(|(index, it)| (it.peers, index)).collect(),
            records,
            instances,
        };
        for index in 0..simulation.instances.len() {
            simulation.start(index);
        }
        simulation
    }

    pub(super) fn start(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let own = &mut self.instances[index];
        own.start(&self.records, now_ms, &mut self.rng);
        self.records[index] = own.record.clone();
        let phase_ms = self.rng.random_range(0..HEARTBEAT_INTERVAL_MS);
        self.schedule(index, phase_ms, Event::SendHeartbeat);
        self.schedule(index, phase_ms, Event::Poll);
        self.schedule(index, phase_ms, Event::Sweep);
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.instances[index].process = Process::Killed;
        self.instances[index].generation += 1;
        self.watches.retain(|it| it.instance != index);
    }

    pub(super) fn freeze(&mut self, index: usize, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        self.instances[index].process = Process::Frozen { until_ms };
    }

    /// Drops all heartbeats from and to an instance for some time.
    pub(super) fn disconnect(&mut self, index: usize, for_ms: u64) {
        self.instances[index].disconnected_until_ms = self.now_ms + for_ms;
    }

    /// Sets how the store treats an instance's calls.
    pub(super) fn set_access(&mut self, index: usize, access: Access) {
        self.instances[index].access = access;
        match access {
            Access::Answers => {}
            Access::Refuses => self.reset_connections(index),
            Access::Silent => self.silence_watches(index),
        }
    }

    /// Makes the store never answer the instance's pending watches. Later ones are answered.
    pub(super) fn silence_watches(&mut self, index: usize) {
        let watches = self.watches.iter_mut();
        let of_instance = watches.filter(|it| it.instance == index);
        of_instance.for_each(|it| it.is_silent = true);
    }

    /// Resets the connections of an instance to the store.
    pub(super) fn reset_connections(&mut self, index: usize) {
        let reset = self.watches.extract_if(.., |it| it.instance == index);
        let sent: Vec<u64> = reset.map(|it| it.sent_ms).collect();
        for sent_ms in sent {
            self.schedule_list_call_end(index, 1, sent_ms, None);
        }
    }

    /// Whether the store answers any running instance.
    pub(super) fn is_any_instance_answered(&self) -> bool {
        let mut instances = self.instances.iter();
        instances
            .any(|it| it.access == Access::Answers && matches!(it.process, Process::Running { .. }))
    }

    /// Crashes an endpoint while it runs a request that an instance has just sent to it.
    pub(super) fn crash_during_request(
        &mut self,
        index: usize,
        request: &RequestFeatures,
        id: &EndpointId,
    ) {
        let now_ms = self.now_ms;
        let own = &mut self.instances[index];
        own.quarantine.record_broken_run(request, id, now_ms);
        own.quarantine
            .update(now_ms, |_, _| EndpointLiveness::Ended);
        own.book.request_heartbeat();
        self.send_updates(index);
    }

    pub(super) fn write_unrelated(&mut self) {
        self.store.write_unrelated();
    }

    pub(super) fn back_up_store(&mut self) {
        self.store.back_up();
    }

    /// Restores the store from its newest backup. Connections to it are reset.
    pub(super) fn restore_store(&mut self) {
        self.store.restore();
        (0..self.instances.len()).for_each(|index| self.reset_connections(index));
    }

    pub(super) fn write_lost(&mut self) {
        self.store.write_lost();
        self.answer_watches();
    }

    pub(super) fn remove(&mut self, id: &EndpointId) {
        self.store.remove(id);
        self.answer_watches();
    }

    pub(super) fn leave(&mut self, id: &EndpointId, departure: Departure) {
        self.store.leave(id, departure);
        self.answer_watches();
    }

    pub(super) fn join(&mut self, number: usize) {
        self.store.write(super::store::endpoint(number));
        self.answer_watches();
    }

    /// Restarts an endpoint with the same address and name.
    pub(super) fn restart_endpoint(&mut self, number: usize, id: EndpointId) {
        let entry = super::store::endpoint(number);
        self.store.write(ListedEndpoint { id, ..entry });
        self.answer_watches();
    }

    /// Answers all pending watches for which there are changes now.
    fn answer_watches(&mut self) {
        let store = &self.store;
        let answered: Vec<Watch> = self
            .watches
            .extract_if(.., |it| !it.is_silent && store.has_changes_since(it.since))
            .collect();
        for watch in answered {
            let read = self.store.changes_since(watch.since);
            self.schedule_list_call_end(watch.instance, CALL_MS, watch.sent_ms, Some(read));
        }
    }

    fn schedule(&mut self, instance: usize, after_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(ScheduledEvent {
            at_ms: self.now_ms + after_ms,
            sequence: self.last_sequence,
            instance,
            generation: self.instances[instance].generation,
            event,
        });
    }

    fn schedule_list_call_end(
        &mut self,
        index: usize,
        after_ms: u64,
        sent_ms: u64,
        read: Option<FeedRead<ListingRead>>,
    ) {
        self.schedule(index, after_ms, Event::ListCallEnded { sent_ms, read });
    }

    /// Processes all events up to this time.
    pub(super) fn run_until(&mut self, until_ms: u64) {
        while self.queue.peek().is_some_and(|it| it.at_ms <= until_ms) {
            let Some(mut scheduled) = self.queue.pop() else {
                break;
            };
            self.now_ms = self.now_ms.max(scheduled.at_ms);
            let own = &mut self.instances[scheduled.instance];
            if own.generation != scheduled.generation {
                continue;
            }
            if let Process::Frozen { until_ms } = own.process {
                if self.now_ms < until_ms {
                    scheduled.at_ms = until_ms;
                    self.queue.push(scheduled);
                    continue;
                }
                own.process = Process::Running { since_ms: until_ms };
            }
            self.handle(scheduled.instance, scheduled.event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::SendHeartbeat => {
                if self.instances[index].update_store_reader(now_ms) {
                    self.instances[index].position = None;
                    self.schedule(index, 0, Event::ListCall);
                    self.schedule(index, 0, Event::TableCall);
                }
                self.send_heartbeat(index);
                self.schedule(index, HEARTBEAT_INTERVAL_MS, Event::SendHeartbeat);
            }
            Event::HeartbeatReceived {
                from,
                heartbeat,
                peer_part,
            } => {
                let address = self.records[from].peers;
                if self.instances[index].on_heartbeat(&heartbeat, address, &peer_part, now_ms) {
                    self.notify(index);
                }
            }
            Event::ListCall => self.start_list_call(index),
            Event::ListWatchExpired { sent_ms } => self.expire_watch(index, sent_ms),
            Event::ListCallEnded { sent_ms, read } => self.end_list_call(index, sent_ms, read),
            Event::TableCall => self.start_table_call(index),
            Event::TableCallEnded { is_answered } => {
                self.instances[index].has_failed_table_watch = !is_answered;
                let store = &mut self.instances[index].store;
                let delay_ms = if is_answered {
                    store.record_answer(now_ms);
                    0
                } else {
                    store.record_failure(now_ms);
                    self.retry_interval_ms(index)
                };
                self.schedule(index, delay_ms, Event::TableCall);
            }
            Event::Poll => self.poll(index),
            Event::PeerTimedOut(peer) => {
                let own = &mut self.instances[index];
                own.selector.mark_failed(&peer, now_ms);
                own.is_fetching = false;
                self.poll(index);
            }
            Event::PeerResponded {
                requested_position,
                sent_ms,
                update,
                age_ms,
            } => {
                let newest_at_ms = sent_ms.saturating_sub(age_ms);
                let own = &mut self.instances[index];
                own.apply_update(update, requested_position, newest_at_ms, now_ms);
                self.end_request(index);
            }
            Event::Sweep => {
                self.instances[index].fleet.expire(now_ms);
                self.schedule(index, SWEEP_INTERVAL_MS, Event::Sweep);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let (heartbeat, recipients) = self.instances[index].heartbeat(self.now_ms);
        let heartbeat = Rc::new(heartbeat);
        for recipient in recipients {
            if self.rng.random_bool(self.faults.lost) {
                continue;
            }
            let to = self.by_address[&recipient.address];
            let is_disconnected =
                |it: usize| self.now_ms < self.instances[it].disconnected_until_ms;
            let is_killed = self.instances[to].process == Process::Killed;
            if is_killed || is_disconnected(index) || is_disconnected(to) {
                continue;
            }
            let is_late = self.rng.random_bool(self.faults.late);
            let max_ms = if is_late { 400 } else { 4 };
            let after_ms = self.rng.random_range(1..=max_ms);
            let received = Event::HeartbeatReceived {
                from: index,
                heartbeat: Rc::clone(&heartbeat),
                peer_part: PeerPart {
                    echo: recipient.echo,
                    interval_ms: recipient.interval_ms,
                    ..PeerPart::default()
                },
            };
            self.schedule(to, after_ms, received);
        }
    }

    fn retry_interval_ms(&self, index: usize) -> u64 {
        if self.instances[index]
            .book
            .is_top_ranked_in_zone(self.now_ms)
        {
            RETRY_INTERVAL_MS
        } else {
            SUBSTITUTE_RETRY_INTERVAL_MS
        }
    }

    fn start_list_call(&mut self, index: usize) {
        let own = &self.instances[index];
        // The next call is scheduled when the instance starts to read the store again.
        if !own.reads_store {
            return;
        }
        let sent_ms = self.now_ms;
        let (access, position) = (own.access, own.position);
        let wait_ms = position.map_or(0, |_| watch_wait_ms(own.has_failed_list_watch));
        match (access, position) {
            (Access::Refuses, _) => {
                self.schedule_list_call_end(index, CALL_MS, sent_ms, None);
            }
            (Access::Silent, _) => {
                let after_ms = wait_ms + CALL_TIMEOUT_MS;
                self.schedule_list_call_end(index, after_ms, sent_ms, None);
            }
            (Access::Answers, None) => {
                let read = Some(self.store.full_list());
                self.schedule_list_call_end(index, CALL_MS, sent_ms, read);
            }
            (Access::Answers, Some(since)) if self.store.is_history_gone(since) => {
                self.instances[index].position = None;
                self.schedule(index, CALL_MS, Event::ListCall);
            }
            (Access::Answers, Some(since)) if self.store.has_changes_since(since) => {
                let read = Some(self.store.changes_since(since));
                self.schedule_list_call_end(index, CALL_MS, sent_ms, read);
            }
            (Access::Answers, Some(since)) => {
                let is_silent = self.rng.random_bool(self.faults.silent);
                self.watches.push(Watch {
                    instance: index,
                    generation: self.instances[index].generation,
                    sent_ms,
                    since,
                    is_silent,
                });
                self.schedule(index, wait_ms, Event::ListWatchExpired { sent_ms });
            }
        }
    }

    fn expire_watch(&mut self, index: usize, sent_ms: u64) {
        let generation = self.instances[index].generation;
        let found = self.watches.iter().position(|it| {
            it.instance == index && it.sent_ms == sent_ms && it.generation == generation
        });
        let Some(found) = found else { return };
        let watch = self.watches.swap_remove(found);
        if watch.is_silent {
            return self.schedule_list_call_end(index, CALL_TIMEOUT_MS, sent_ms, None);
        }
        let read = Some(self.store.changes_since(watch.since));
        self.schedule_list_call_end(index, CALL_MS, sent_ms, read);
    }

    fn end_list_call(&mut self, index: usize, sent_ms: u64, read: Option<FeedRead<ListingRead>>) {
        let now_ms = self.now_ms;
        self.instances[index].has_failed_list_watch = read.is_none();
        let delay_ms = match read {
            Some(read) => {
                if self.instances[index].apply_read(read, sent_ms, now_ms) {
                    self.send_updates(index);
                }
                READ_INTERVAL_MS
            }
            None => {
                self.instances[index].store.record_failure(now_ms);
                self.retry_interval_ms(index)
            }
        };
        self.schedule(index, delay_ms, Event::ListCall);
    }

    /// Sends a heartbeat immediately if there are updates that peers have not been sent.
    pub(super) fn send_updates(&mut self, index: usize) {
        if self.instances[index].book.take_heartbeat_request() {
            self.send_heartbeat(index);
        }
    }

    fn start_table_call(&mut self, index: usize) {
        let own = &self.instances[index];
        if !own.reads_store {
            return;
        }
        let wait_ms = watch_wait_ms(own.has_failed_table_watch);
        let (after_ms, is_answered) = match own.access {
            Access::Answers => (wait_ms, true),
            Access::Refuses => (CALL_MS, false),
            Access::Silent => (wait_ms + CALL_TIMEOUT_MS, false),
        };
        self.schedule(index, after_ms, Event::TableCallEnded { is_answered });
    }

    fn notify(&mut self, index: usize) {
        let own = &mut self.instances[index];
        own.is_notified = true;
        if !own.is_fetching {
            self.poll(index);
        }
    }

    /// Requests updates from a peer if needed. While a request is in progress no further poll is
    /// scheduled.
    fn poll(&mut self, index: usize) {
        let draw = self.rng.random();
        let now_ms = self.now_ms;
        let own = &mut self.instances[index];
        let is_scheduled_poll = !own.is_notified;
        own.is_notified = false;
        if own.is_fetching {
            return;
        }
        if let Some(peer) = own.peer_to_fetch_from(draw, now_ms) {
            own.is_fetching = true;
            return self.request(index, &peer);
        }
        if is_scheduled_poll {
            self.schedule(index, POLL_INTERVAL_MS, Event::Poll);
        }
    }

    fn request(&mut self, index: usize, peer: &SyncSource) {
        let now_ms = self.now_ms;
        let name = peer.instance.clone();
        let position = self.instances[index].known_versions().list;
        let peer = &self.instances[self.by_address[&peer.address]];
        let is_running = matches!(peer.process, Process::Running { .. });
        match peer.update_for(position, now_ms).filter(|_| is_running) {
            Some((update, age_ms)) => {
                let after_ms = self.rng.random_range(2..=40);
                let responded = Event::PeerResponded {
                    requested_position: position,
                    sent_ms: now_ms,
                    update,
                    age_ms,
                };
                self.schedule(index, after_ms, responded);
            }
            None => self.schedule(index, PEER_TIMEOUT_MS, Event::PeerTimedOut(name)),
        }
    }

    fn end_request(&mut self, index: usize) {
        let own = &mut self.instances[index];
        own.is_fetching = false;
        let after_ms = if own.is_notified { 0 } else { POLL_INTERVAL_MS };
        self.schedule(index, after_ms, Event::Poll);
    }
}
