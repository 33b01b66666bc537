//! A deployment in simulated time: the document version of each instance, heartbeats, and the calls
//! that transfer documents between instances.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::list_log::ListWatermark;
use super::super::peer::SyncSource;
use super::super::peer_book::HEARTBEAT_INTERVAL_MS;
use super::super::peer_call::PEER_CALL_TIMEOUT_MS;
use super::super::peer_selection::{FetchDecision, PartialFetches, PeerSelector, SyncState};
use super::super::snapshot::{KnownVersions, POLL_INTERVAL_MS};
use super::super::store_readers::READERS_PER_ZONE;
use super::super::uplink::{Admission, Uplink};
use super::event::{Event, Received};
use super::links::{LinkEvent, Links, Transfer};
use crate::ids::InstanceId;

/// A peer of the same zone is not asked if its last heartbeat is older than this.
const HEARTBEAT_TIMEOUT_MS: u64 = 800;
/// Number of instances of other zones that receive each heartbeat of an instance.
const REMOTE_PER_HEARTBEAT: usize = 8;
const FAST_MBPS: u32 = 200;
const SLOW_MBPS: u32 = 20;
/// Number of instances with fast links in each zone: the first ones.
const FAST_PER_ZONE: usize = 2;

struct Instance {
    name: InstanceId,
    address: SocketAddr,
    zone: usize,
    index_in_zone: usize,
    link_mbps: u32,
    is_alive: bool,
    reaches_store: bool,
    table: u64,
    /// Version of each other instance and the time of its last heartbeat.
    peers: Vec<(u64, u64)>,
    /// Rotating index of the next instance of another zone to send a heartbeat to.
    next_remote: usize,
    selector: PeerSelector,
    /// The current call and the index of the instance that is called.
    call: Option<(u64, usize)>,
    received: Received,
    uplink: Uplink,
}

impl Instance {
    fn reads_store(&self) -> bool {
        self.index_in_zone < READERS_PER_ZONE
    }
}

/// Measurements of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Figures {
    /// Longest time from the publication of a version until all instances had it or a newer one.
    pub(super) spread_ms: u64,
    /// Longest time for which documents occupied any link.
    pub(super) queued_ms: u64,
    /// Bytes sent for calls that timed out.
    pub(super) wasted_bytes: usize,
    pub(super) sent_bytes: usize,
    pub(super) calls: u64,
    pub(super) rejected: u64,
}

pub(super) struct Simulation {
    pub(super) now_us: u64,
    pub(super) rng: SmallRng,
    instances: Vec<Instance>,
    links: Links,
    document_bytes: usize,
    /// Fraction of heartbeats that are lost.
    pub(super) heartbeat_loss: f64,
    /// Time, index in `events` and instance of each pending event.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    calls: u64,
    /// Versions that some instances do not have yet, with the time of publication.
    published: Vec<(u64, u64)>,
    figures: Figures,
}

impl Simulation {
    pub(super) fn new(zones: &[usize], document_bytes: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count: usize = zones.iter().sum();
        let mut instances = Vec::new();
        for (zone, in_zone) in zones.iter().enumerate() {
            for index_in_zone in 0..*in_zone {
                let is_fast = index_in_zone < FAST_PER_ZONE;
                let link_mbps = if is_fast { FAST_MBPS } else { SLOW_MBPS };
                let index = instances.len();
                let port = u16::try_from(10_000 + index).expect("hundreds of instances");
                instances.push(Instance {
                    name: InstanceId::from(format!("instance-{index:03}")),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    zone,
                    index_in_zone,
                    link_mbps,
                    is_alive: true,
                    reaches_store: true,
                    table: 1,
                    peers: vec![(1, 0); count],
                    next_remote: rng.random_range(0..count),
                    selector: PeerSelector::default(),
                    call: None,
                    received: Received::default(),
                    uplink: Uplink::new(link_mbps),
                });
            }
        }
        let speeds: Vec<u32> = instances.iter().map(|it| it.link_mbps).collect();
        let mut simulation = Self {
            now_us: 0,
            rng,
            instances,
            links: Links::new(&speeds),
            document_bytes,
            heartbeat_loss: 0.0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            calls: 0,
            published: Vec::new(),
            figures: Figures::default(),
        };
        for index in 0..count {
            let phase_us = simulation
                .rng
                .random_range(0..HEARTBEAT_INTERVAL_MS * 1_000);
            simulation.push(index, phase_us, Event::SendHeartbeat);
            simulation.push(index, phase_us, Event::Poll);
        }
        simulation
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn push(&mut self, to: usize, after_us: u64, event: Event) {
        let index = self.events.len();
        self.events.push(Some(event));
        let key = (self.now_us + after_us, index as u64, to);
        self.queue.push(Reverse(key));
    }

    /// Writes a new version to the store. Its readers receive it some tens of milliseconds later.
    pub(super) fn publish(&mut self, table: u64) {
        self.published.push((table, self.now_ms()));
        for index in 0..self.instances.len() {
            let own = &self.instances[index];
            if own.is_alive && own.reads_store() && own.reaches_store {
                let after_us = self.rng.random_range(5_000..60_000);
                self.push(index, after_us, Event::StoreRead { table });
            }
        }
    }

    /// Kills an instance, including the transfers that it is sending.
    pub(super) fn kill(&mut self, zone: usize, index_in_zone: usize) {
        let index = self.index_of(zone, index_in_zone);
        self.instances[index].is_alive = false;
        self.links.drop_sender(index);
    }

    /// Cuts all instances of a zone off from the store.
    pub(super) fn cut_zone_from_store(&mut self, zone: usize) {
        let of_zone = self.instances.iter_mut().filter(|it| it.zone == zone);
        of_zone.for_each(|it| it.reaches_store = false);
    }

    /// Divides the actual speed of an instance's link. Its announced speed stays the same.
    pub(super) fn slow_down(&mut self, zone: usize, index_in_zone: usize, factor: usize) {
        let index = self.index_of(zone, index_in_zone);
        self.links.slow_down(index, factor);
    }

    fn index_of(&self, zone: usize, index_in_zone: usize) -> usize {
        let mut instances = self.instances.iter();
        let found = instances.position(|it| (it.zone, it.index_in_zone) == (zone, index_in_zone));
        found.expect("zone has an instance with this index")
    }

    pub(super) fn figures(&self) -> Figures {
        Figures {
            queued_ms: self.links.max_queued_ms,
            wasted_bytes: self.links.wasted_bytes,
            ..self.figures
        }
    }

    pub(super) fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_us, event, to))) = self.queue.peek().copied() {
            if at_us > until_ms * 1_000 {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            let event = self.events[event as usize].take();
            if let Some(event) = event
                && self.instances[to].is_alive
            {
                self.handle(to, event);
            }
        }
        self.now_us = until_ms * 1_000;
        self.update_spread_time();
    }

    /// Updates the longest spread time with versions that some instances do not have yet.
    fn update_spread_time(&mut self) {
        let alive = self.instances.iter().filter(|it| it.is_alive);
        let oldest = alive.map(|it| it.table).min().unwrap_or(0);
        let now_ms = self.now_ms();
        let max_ms = &mut self.figures.spread_ms;
        for (table, published_ms) in &self.published {
            if *table > oldest {
                *max_ms = (*max_ms).max(now_ms - published_ms);
            }
        }
        self.published.retain(|it| it.0 > oldest);
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms();
        match event {
            Event::SendHeartbeat => {
                self.send_heartbeat(index);
                self.push(index, HEARTBEAT_INTERVAL_MS * 1_000, Event::SendHeartbeat);
            }
            Event::HeartbeatReceived { from, table } => {
                let own = &mut self.instances[index];
                own.peers[from] = (table.max(own.peers[from].0), now_ms);
                if table > own.table {
                    self.poll(index);
                }
            }
            Event::StoreRead { table } | Event::Applied { table } => self.apply(index, table),
            Event::Poll => {
                self.poll(index);
                self.push(index, POLL_INTERVAL_MS * 1_000, Event::Poll);
            }
            Event::Retry => self.poll(index),
            Event::Request {
                from,
                call,
                received,
            } => self.respond(index, from, call, received),
            Event::Rejected { call, wait_ms } => self.on_rejected(index, call, wait_ms),
            Event::Timeout { call } => {
                if self.instances[index].call.is_some_and(|it| it.0 == call) {
                    self.links.abort(call);
                    self.on_timeout(index);
                }
            }
            Event::Link(event) => self.on_link(index, event),
        }
    }

    fn on_link(&mut self, index: usize, event: LinkEvent) {
        match event {
            LinkEvent::ChunkSent { call, from, bytes } => {
                let chunk = (call, from, bytes);
                for (after_us, event) in self.links.on_chunk_sent(chunk, self.now_us) {
                    self.push(index, after_us, Event::Link(event));
                }
            }
            LinkEvent::ChunkReceived { call } => {
                let (complete, next) = self.links.on_chunk_received(call);
                if let Some((after_us, event)) = next {
                    self.push(index, after_us, Event::Link(event));
                }
                if let Some(transfer) = complete {
                    self.on_transfer_complete(call, transfer);
                }
            }
        }
    }

    /// Puts a version into effect and sends a heartbeat with it.
    fn apply(&mut self, index: usize, table: u64) {
        if table <= self.instances[index].table {
            return;
        }
        self.update_spread_time();
        self.instances[index].table = table;
        self.update_spread_time();
        self.send_heartbeat(index);
    }

    fn send_heartbeat(&mut self, index: usize) {
        let own = &self.instances[index];
        let (zone, table) = (own.zone, own.table);
        let others = (0..self.instances.len()).filter(|it| *it != index);
        let (local, remote): (Vec<usize>, Vec<usize>) =
            others.partition(|it| self.instances[*it].zone == zone);
        let remote_count = if own.reads_store() {
            remote.len().div_ceil(2).max(REMOTE_PER_HEARTBEAT)
        } else {
            REMOTE_PER_HEARTBEAT.min(remote.len())
        };
        let first = own.next_remote % remote.len();
        let chosen = remote.iter().cycle().skip(first).take(remote_count);
        let recipients: Vec<usize> = local.iter().chain(chosen).copied().collect();
        self.instances[index].next_remote = first + remote_count;
        for to in recipients {
            if !self.rng.random_bool(self.heartbeat_loss) {
                let after_us = self.rng.random_range(300..4_000);
                self.push(
                    to,
                    after_us,
                    Event::HeartbeatReceived { from: index, table },
                );
            }
        }
    }

    fn sync_sources(&self, index: usize) -> Vec<SyncSource> {
        let now_ms = self.now_ms();
        let own = &self.instances[index];
        let others = self.instances.iter().enumerate().filter(|it| it.0 != index);
        let is_reachable =
            |heard_ms: u64, is_local: bool| !is_local || now_ms < heard_ms + HEARTBEAT_TIMEOUT_MS;
        // Peers without a newer version are of no use here.
        let newer = others.filter(|it| own.peers[it.0].0 > own.table);
        let mut sync_sources: Vec<SyncSource> = newer
            .filter(|(peer, it)| is_reachable(own.peers[*peer].1, it.zone == own.zone))
            .map(|(peer, it)| SyncSource {
                instance: it.name.clone(),
                address: it.address,
                table: own.peers[peer].0,
                list: ListWatermark::default(),
                link_mbps: it.link_mbps,
                reaches_store: it.reads_store() && it.reaches_store,
                is_same_zone: it.zone == own.zone,
            })
            .collect();
        sync_sources.sort_by_key(|it| Reverse((it.reaches_store, it.table)));
        sync_sources
    }

    /// Asks a peer for the document if one has a newer version and no call is in progress.
    fn poll(&mut self, index: usize) {
        if self.instances[index].call.is_some() {
            return;
        }
        let now_ms = self.now_ms();
        let sync_sources = self.sync_sources(index);
        let draw = self.rng.random();
        let own = &mut self.instances[index];
        let known = KnownVersions {
            table: own.table,
            list: 0,
        };
        let state = SyncState {
            behind_since_ms: own.selector.update_lag(&sync_sources, known, now_ms),
            reads_store: own.reads_store(),
            receives_store_updates: true,
            list_age_ms: 0,
        };
        let received_version = Some(own.received.version).filter(|it| *it > 0);
        let partial = PartialFetches {
            document: received_version,
            list_provider: None,
        };
        let next = own
            .selector
            .next(&sync_sources, state, known, partial, draw, now_ms);
        match next {
            FetchDecision::Idle => {}
            FetchDecision::Wait { wait_ms } => self.push(index, wait_ms * 1_000, Event::Retry),
            FetchDecision::Fetch(request) => self.request(index, &request.peer),
        }
    }

    fn request(&mut self, index: usize, peer: &SyncSource) {
        let found = self
            .instances
            .iter()
            .position(|it| it.name == peer.instance);
        let to = found.expect("every sync source is an instance");
        self.calls += 1;
        let (call, own) = (self.calls, &mut self.instances[index]);
        own.call = Some((call, to));
        let received = own.received;
        let after_us = self.rng.random_range(1_000..15_000);
        let request = Event::Request {
            from: index,
            call,
            received,
        };
        self.push(to, after_us, request);
        self.push(index, PEER_CALL_TIMEOUT_MS * 1_000, Event::Timeout { call });
    }

    fn respond(&mut self, index: usize, to: usize, call: u64, received: Received) {
        let now_ms = self.now_ms();
        let known = self.instances[to].table;
        let own = &mut self.instances[index];
        if own.table <= known {
            return self.push(to, 1_000, Event::Rejected { call, wait_ms: 0 });
        }
        let received_bytes = if received.version == own.table {
            received.bytes
        } else {
            0
        };
        let remaining_bytes = self.document_bytes - received_bytes;
        match own.uplink.admit(remaining_bytes, now_ms) {
            Admission::Granted { bytes } => {
                self.figures.calls += 1;
                self.figures.sent_bytes += bytes;
                let part = (own.table, bytes);
                let event = self.links.start_transfer(call, (index, to), part);
                if let Some((after_us, event)) = event {
                    self.push(index, after_us, Event::Link(event));
                }
            }
            Admission::Busy { wait_ms } => {
                self.figures.rejected += 1;
                self.push(to, 1_000, Event::Rejected { call, wait_ms });
            }
        }
    }

    fn on_transfer_complete(&mut self, call: u64, transfer: Transfer) {
        let index = transfer.to;
        let own = &mut self.instances[index];
        if own.call.is_none_or(|it| it.0 != call) {
            return;
        }
        own.call = None;
        if own.received.version != transfer.version {
            own.received = Received {
                version: transfer.version,
                bytes: 0,
            };
        }
        own.received.bytes += transfer.bytes;
        if own.received.bytes < self.document_bytes {
            return self.poll(index);
        }
        let table = own.received.version;
        own.received = Received::default();
        // Time to parse the document on a slow, busy core.
        let after_us = self.rng.random_range(5_000..40_000);
        self.push(index, after_us, Event::Applied { table });
    }

    fn on_rejected(&mut self, index: usize, call: u64, wait_ms: u64) {
        let now_ms = self.now_ms();
        let own = &mut self.instances[index];
        if let Some((_, peer)) = own.call.take_if(|it| it.0 == call) {
            let name = self.instances[peer].name.clone();
            self.instances[index]
                .selector
                .mark_document_busy(&name, wait_ms, now_ms);
            self.poll(index);
        }
    }

    fn on_timeout(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let own = &mut self.instances[index];
        if let Some((_, peer)) = own.call.take() {
            let name = self.instances[peer].name.clone();
            self.instances[index].selector.mark_failed(&name, now_ms);
            self.poll(index);
        }
    }
}
