//! A deployment in simulated time: which instance knows which version of the document, heartbeats, and
//! the calls by which documents are handed on.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::super::list_log::ListWatermark;
use super::super::peer::SyncSource;
use super::super::peer_book::HEARTBEAT_INTERVAL_MS;
use super::super::peer_selection::{FetchDecision, PartialFetches, PeerSelector, SyncState};
use super::super::snapshot::{FETCH_TIMEOUT_MS, KnownVersions, POLL_INTERVAL_MS};
use super::super::store_readers::READERS_PER_ZONE;
use super::super::uplink::{Admission, Uplink};
use super::links::{LinkEvent, Links, Transfer};
use crate::ids::InstanceId;

/// Silence after which a peer of the own zone is not asked.
const SILENT_MS: u64 = 800;
/// Instances of other zones told with one heartbeat.
const FAR_IN_TURN: usize = 8;
const FAST_MBPS: u32 = 200;
const SLOW_MBPS: u32 = 20;
/// The first two of a zone have fast links.
const FAST_OF_ZONE: usize = 2;

enum Event {
    Beat,
    Heard { from: usize, table: u64 },
    Read { table: u64 },
    Look,
    LookAgain,
    Asked { by: usize, call: u64, holds: Held },
    Refused { call: u64, wait_ms: u64 },
    Limit { call: u64 },
    Link(LinkEvent),
    InForce { table: u64 },
}

/// What a caller has of a document.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    version: u64,
    bytes: usize,
}

struct Instance {
    name: InstanceId,
    address: SocketAddr,
    zone: usize,
    place: usize,
    link_mbps: u32,
    lives: bool,
    /// Whether the store answers it.
    is_answered: bool,
    table: u64,
    /// What is heard of the others: their version and when.
    heard: Vec<(u64, u64)>,
    far_turn: usize,
    asking: PeerSelector,
    call: Option<(u64, usize)>,
    part: Held,
    uplink: Uplink,
}

impl Instance {
    fn reads_store(&self) -> bool {
        self.place < READERS_PER_ZONE
    }
}

/// What is measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Figures {
    /// Longest time from a version's first reader until all have it or a newer one.
    pub(super) all_have_it_ms: u64,
    /// Longest time for which any link was taken up by documents handed on.
    pub(super) queued_ms: u64,
    /// Bytes of calls that ran into their limit.
    pub(super) wasted_bytes: usize,
    pub(super) given_bytes: usize,
    pub(super) calls: u64,
    pub(super) refused: u64,
}

pub(super) struct World {
    pub(super) now_us: u64,
    pub(super) rng: SmallRng,
    instances: Vec<Instance>,
    links: Links,
    document_bytes: usize,
    /// Share of heartbeats that are lost.
    pub(super) lost: f64,
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    calls: u64,
    published: Vec<(u64, u64)>,
    figures: Figures,
}

impl World {
    pub(super) fn new(zones: &[usize], document_bytes: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count: usize = zones.iter().sum();
        let mut instances = Vec::new();
        for (zone, in_zone) in zones.iter().enumerate() {
            for place in 0..*in_zone {
                let is_fast = place < FAST_OF_ZONE;
                let link_mbps = if is_fast { FAST_MBPS } else { SLOW_MBPS };
                let index = instances.len();
                let port = u16::try_from(10_000 + index).expect("hundreds of instances");
                instances.push(Instance {
                    name: InstanceId::from(format!("instance-{index:03}")),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    zone,
                    place,
                    link_mbps,
                    lives: true,
                    is_answered: true,
                    table: 1,
                    heard: vec![(1, 0); count],
                    far_turn: rng.random_range(0..count),
                    asking: PeerSelector::default(),
                    call: None,
                    part: Held::default(),
                    uplink: Uplink::new(link_mbps),
                });
            }
        }
        let speeds: Vec<u32> = instances.iter().map(|it| it.link_mbps).collect();
        let mut world = Self {
            now_us: 0,
            rng,
            instances,
            links: Links::new(&speeds),
            document_bytes,
            lost: 0.0,
            due: BinaryHeap::new(),
            events: Vec::new(),
            calls: 0,
            published: Vec::new(),
            figures: Figures::default(),
        };
        for index in 0..count {
            let phase_us = world.rng.random_range(0..HEARTBEAT_INTERVAL_MS * 1_000);
            world.push(index, phase_us, Event::Beat);
            world.push(index, phase_us, Event::Look);
        }
        world
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn push(&mut self, to: usize, after_us: u64, event: Event) {
        let number = self.events.len();
        self.events.push(Some(event));
        let key = (self.now_us + after_us, number as u64, to);
        self.due.push(Reverse(key));
    }

    /// The store has a new version; those that read it have it some tens of milliseconds later.
    pub(super) fn publish(&mut self, table: u64) {
        self.published.push((table, self.now_ms()));
        for index in 0..self.instances.len() {
            let own = &self.instances[index];
            if own.lives && own.reads_store() && own.is_answered {
                let after_us = self.rng.random_range(5_000..60_000);
                self.push(index, after_us, Event::Read { table });
            }
        }
    }

    /// Ends an instance of a zone, by its place there, in the middle of what it does.
    pub(super) fn kill(&mut self, zone: usize, place: usize) {
        let index = self.at(zone, place);
        self.instances[index].lives = false;
        self.links.cut(index);
    }

    /// The store answers none of a zone any more.
    pub(super) fn cut_from_store(&mut self, zone: usize) {
        let of_zone = self.instances.iter_mut().filter(|it| it.zone == zone);
        of_zone.for_each(|it| it.is_answered = false);
    }

    pub(super) fn slow_down(&mut self, zone: usize, place: usize, times: usize) {
        let index = self.at(zone, place);
        self.links.slow_down(index, times);
    }

    fn at(&self, zone: usize, place: usize) -> usize {
        let mut instances = self.instances.iter();
        let found = instances.position(|it| (it.zone, it.place) == (zone, place));
        found.expect("the zone has so many")
    }

    pub(super) fn figures(&self) -> Figures {
        Figures {
            queued_ms: self.links.most_queued_ms,
            wasted_bytes: self.links.wasted_bytes,
            ..self.figures
        }
    }

    pub(super) fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at_us, number, to))) = self.due.peek().copied() {
            if at_us > until_ms * 1_000 {
                break;
            }
            self.due.pop();
            self.now_us = at_us;
            let event = self.events[number as usize].take();
            if let Some(event) = event
                && self.instances[to].lives
            {
                self.handle(to, event);
            }
        }
        self.now_us = until_ms * 1_000;
        self.measure_until_now();
    }

    /// A version that not all have yet has taken so long already.
    fn measure_until_now(&mut self) {
        let living = self.instances.iter().filter(|it| it.lives);
        let oldest = living.map(|it| it.table).min().unwrap_or(0);
        let now_ms = self.now_ms();
        let most_ms = &mut self.figures.all_have_it_ms;
        for (table, at_ms) in &self.published {
            if *table > oldest {
                *most_ms = (*most_ms).max(now_ms - at_ms);
            }
        }
        self.published.retain(|it| it.0 > oldest);
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now_ms = self.now_ms();
        match event {
            Event::Beat => {
                self.send(index);
                self.push(index, HEARTBEAT_INTERVAL_MS * 1_000, Event::Beat);
            }
            Event::Heard { from, table } => {
                let own = &mut self.instances[index];
                own.heard[from] = (table.max(own.heard[from].0), now_ms);
                if table > own.table {
                    self.look(index);
                }
            }
            Event::Read { table } | Event::InForce { table } => self.take(index, table),
            Event::Look => {
                self.look(index);
                self.push(index, POLL_INTERVAL_MS * 1_000, Event::Look);
            }
            Event::LookAgain => self.look(index),
            Event::Asked { by, call, holds } => self.answer(index, by, call, holds),
            Event::Refused { call, wait_ms } => self.refused(index, call, wait_ms),
            Event::Limit { call } => {
                if self.instances[index].call.is_some_and(|it| it.0 == call) {
                    self.links.give_up(call);
                    self.failed(index);
                }
            }
            Event::Link(event) => self.on_link(index, event),
        }
    }

    fn on_link(&mut self, index: usize, event: LinkEvent) {
        match event {
            LinkEvent::SliceSent { call, from, bytes } => {
                let sent = (call, from, bytes);
                for (after_us, event) in self.links.slice_sent(sent, self.now_us) {
                    self.push(index, after_us, Event::Link(event));
                }
            }
            LinkEvent::SliceCame { call } => {
                let (whole, next) = self.links.slice_came(call);
                if let Some((after_us, event)) = next {
                    self.push(index, after_us, Event::Link(event));
                }
                if let Some(transfer) = whole {
                    self.given(call, transfer);
                }
            }
        }
    }

    fn take(&mut self, index: usize, table: u64) {
        if table <= self.instances[index].table {
            return;
        }
        self.measure_until_now();
        self.instances[index].table = table;
        self.measure_until_now();
        self.send(index);
    }

    fn send(&mut self, index: usize) {
        let own = &self.instances[index];
        let (zone, table) = (own.zone, own.table);
        let others = (0..self.instances.len()).filter(|it| *it != index);
        let (near, far): (Vec<usize>, Vec<usize>) =
            others.partition(|it| self.instances[*it].zone == zone);
        let in_turn = if own.reads_store() {
            far.len().div_ceil(2).max(FAR_IN_TURN)
        } else {
            FAR_IN_TURN.min(far.len())
        };
        let begin = own.far_turn % far.len();
        let turn = far.iter().cycle().skip(begin).take(in_turn);
        let recipients: Vec<usize> = near.iter().chain(turn).copied().collect();
        self.instances[index].far_turn = begin + in_turn;
        for to in recipients {
            if !self.rng.random_bool(self.lost) {
                let after_us = self.rng.random_range(300..4_000);
                self.push(to, after_us, Event::Heard { from: index, table });
            }
        }
    }

    fn sync_sources(&self, index: usize) -> Vec<SyncSource> {
        let now_ms = self.now_ms();
        let own = &self.instances[index];
        let others = self.instances.iter().enumerate().filter(|it| it.0 != index);
        let is_heard = |at_ms: u64, is_near: bool| !is_near || now_ms < at_ms + SILENT_MS;
        // Others have nothing to tell.
        let know_more = others.filter(|it| own.heard[it.0].0 > own.table);
        let mut sync_sources: Vec<SyncSource> = know_more
            .filter(|(at, it)| is_heard(own.heard[*at].1, it.zone == own.zone))
            .map(|(at, it)| SyncSource {
                instance: it.name.clone(),
                address: it.address,
                table: own.heard[at].0,
                list: ListWatermark::default(),
                link_mbps: it.link_mbps,
                reaches_store: it.reads_store() && it.is_answered,
                is_same_zone: it.zone == own.zone,
            })
            .collect();
        sync_sources.sort_by_key(|it| Reverse((it.reaches_store, it.table)));
        sync_sources
    }

    fn look(&mut self, index: usize) {
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
        let knowledge = SyncState {
            behind_since_ms: own.asking.update_lag(&sync_sources, known, now_ms),
            reads_store: own.reads_store(),
            is_fed: true,
            list_age_ms: 0,
        };
        let part_of = Some(own.part.version).filter(|it| *it > 0);
        let begun = PartialFetches {
            document: part_of,
            list_provider: None,
        };
        let next = own
            .asking
            .next(&sync_sources, knowledge, known, begun, draw, now_ms);
        match next {
            FetchDecision::Idle => {}
            FetchDecision::Wait { wait_ms } => self.push(index, wait_ms * 1_000, Event::LookAgain),
            FetchDecision::Fetch(question) => self.ask(index, &question.peer),
        }
    }

    fn ask(&mut self, index: usize, peer: &SyncSource) {
        let found = self
            .instances
            .iter()
            .position(|it| it.name == peer.instance);
        let to = found.expect("informants are instances");
        self.calls += 1;
        let (call, own) = (self.calls, &mut self.instances[index]);
        own.call = Some((call, to));
        let holds = own.part;
        let after_us = self.rng.random_range(1_000..15_000);
        let asked = Event::Asked {
            by: index,
            call,
            holds,
        };
        self.push(to, after_us, asked);
        self.push(index, FETCH_TIMEOUT_MS * 1_000, Event::Limit { call });
    }

    fn answer(&mut self, index: usize, by: usize, call: u64, holds: Held) {
        let now_ms = self.now_ms();
        let known = self.instances[by].table;
        let own = &mut self.instances[index];
        if own.table <= known {
            return self.push(by, 1_000, Event::Refused { call, wait_ms: 0 });
        }
        let has = if holds.version == own.table {
            holds.bytes
        } else {
            0
        };
        match own.uplink.admit(self.document_bytes - has, now_ms) {
            Admission::Granted { bytes } => {
                self.figures.calls += 1;
                self.figures.given_bytes += bytes;
                let given = (own.table, bytes);
                if let Some((after_us, event)) = self.links.begin(call, (index, by), given) {
                    self.push(index, after_us, Event::Link(event));
                }
            }
            Admission::Busy { wait_ms } => {
                self.figures.refused += 1;
                self.push(by, 1_000, Event::Refused { call, wait_ms });
            }
        }
    }

    fn given(&mut self, call: u64, transfer: Transfer) {
        let index = transfer.to;
        let own = &mut self.instances[index];
        if own.call.is_none_or(|it| it.0 != call) {
            return;
        }
        own.call = None;
        if own.part.version != transfer.version {
            own.part = Held {
                version: transfer.version,
                bytes: 0,
            };
        }
        own.part.bytes += transfer.bytes;
        if own.part.bytes < self.document_bytes {
            return self.look(index);
        }
        let table = own.part.version;
        own.part = Held::default();
        // Reading it takes a fraction of a slow core for some time.
        let after_us = self.rng.random_range(5_000..40_000);
        self.push(index, after_us, Event::InForce { table });
    }

    fn refused(&mut self, index: usize, call: u64, wait_ms: u64) {
        let now_ms = self.now_ms();
        let own = &mut self.instances[index];
        if let Some((_, peer)) = own.call.take_if(|it| it.0 == call) {
            let name = self.instances[peer].name.clone();
            self.instances[index]
                .asking
                .mark_document_busy(&name, wait_ms, now_ms);
            self.look(index);
        }
    }

    fn failed(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let own = &mut self.instances[index];
        if let Some((_, peer)) = own.call.take() {
            let name = self.instances[peer].name.clone();
            self.instances[index].asking.mark_failed(&name, now_ms);
            self.look(index);
        }
    }
}
