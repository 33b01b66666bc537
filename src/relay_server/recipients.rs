//! Selects who receives a heartbeat. In a zone of hundreds, heartbeats from each instance to each other one
//! would fill the links and the processors. Those that others depend on send to the whole zone every time:
//! the first of the zone, which serve its callers and read the store, and whoever has something to tell. All
//! others send to these, and to a few of the rest in turn.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::heartbeat::{Availability, Heartbeat, PeerPart};
use super::peer::{Peer, Recipient};
use super::peer_book::{HEARTBEAT_INTERVAL_MS, PeerBook};
use crate::dissemination::Rotation;
use crate::ids::InstanceId;

/// Instances of a zone that send to the whole zone and receive every heartbeat: twice those that callers of
/// the zone are told of, so that half of them may fail at once.
const FIRST_OF_ZONE: usize = 16;
/// Other instances of the zone that receive each heartbeat of an instance without news.
const ZONE_FANOUT: usize = 8;
/// How long an instance goes on sending to its whole zone after its last news. Of four heartbeats, some may be
/// lost.
const NEWS_MS: u64 = 1_000;
/// How long a process sends to its whole zone after its start, until it knows the others.
const START_MS: u64 = 5_000;

/// How far a heartbeat reaches in the own zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// Every instance, each time.
    WholeZone,
    /// Every instance for the last time: most are told to expect the next one later.
    FinalWholeZone,
    /// Those that need every heartbeat, and others in turn.
    InTurn,
}

/// State that tells whether this instance has news for its whole zone.
#[derive(Debug)]
pub(super) struct ZoneReach {
    /// Until when the process counts as starting.
    start_end_ms: u64,
    /// How far the newest heartbeat reaches.
    reach: Reach,
    /// When a heartbeat last carried news.
    news_ms: u64,
    /// Whether the next heartbeat was requested without delay.
    is_requested: bool,
    /// Availability and version of the route table in the previous heartbeat.
    announced: Option<(Availability, u64)>,
    rotation: Rotation,
    /// Interval in which those that do not need every heartbeat get one.
    turn_ms: u32,
}

impl ZoneReach {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            start_end_ms: now_ms + START_MS,
            reach: Reach::WholeZone,
            news_ms: now_ms,
            is_requested: false,
            announced: None,
            rotation: Rotation::default(),
            turn_ms: 0,
        }
    }

    /// Records that the next heartbeat was requested without delay.
    pub(super) fn note_request(&mut self) {
        self.is_requested = true;
    }

    /// Decides how far the next heartbeat reaches. Those of the first of a zone and of readers of the store
    /// are `needed_by_all`.
    pub(super) fn update(&mut self, heartbeat: &Heartbeat, needed_by_all: bool, now_ms: u64) {
        let announced = Some((heartbeat.availability, heartbeat.table));
        let is_starting = now_ms < self.start_end_ms;
        let has_changed = self.announced != announced;
        let has_news = is_starting || has_changed || self.is_requested || has_news(heartbeat);
        if has_news {
            self.news_ms = now_ms;
        }
        self.reach = if needed_by_all || has_news {
            Reach::WholeZone
        } else if now_ms < self.news_ms + NEWS_MS {
            Reach::FinalWholeZone
        } else {
            Reach::InTurn
        };
        self.announced = announced;
        self.is_requested = false;
    }

    /// Whether the next heartbeat was requested without delay, or the process counts as starting.
    pub(super) fn is_urgent(&self, now_ms: u64) -> bool {
        self.is_requested || now_ms < self.start_end_ms
    }

    /// Whether the newest heartbeat reaches the whole zone, and the next one may as well.
    pub(super) fn is_active(&self) -> bool {
        self.reach == Reach::WholeZone
    }
}

/// Whether a heartbeat carries what every instance of the zone needs now. Evidence about requests does not
/// count: it is repeated for minutes, and requested heartbeats tell it first.
fn has_news(heartbeat: &Heartbeat) -> bool {
    let updates = [
        heartbeat.unhealthy.is_empty(),
        heartbeat.leaving.is_empty(),
        heartbeat.self_reported_leaving.is_empty(),
        heartbeat.layer_moves.is_empty(),
        heartbeat.held.is_empty(),
        heartbeat.retry_needs.is_empty(),
        heartbeat.limits.is_empty(),
    ];
    updates.contains(&false)
}

impl PeerBook {
    /// Recipients of the newest heartbeat: instances of the own zone, and the next few of the others.
    pub(super) fn recipients(&mut self, own: Availability, now_ms: u64) -> Vec<Recipient> {
        let mut recipients = self.zone_recipients(now_ms);
        recipients.extend(self.cross_zone_recipients(own, now_ms));
        recipients
    }

    /// Whether each heartbeat of this instance is needed by its whole zone.
    pub(super) fn is_needed_by_all(&self, own: Availability, now_ms: u64) -> bool {
        own.reaches_store || self.ranked_ahead(now_ms).count() < FIRST_OF_ZONE
    }

    fn zone_recipients(&mut self, now_ms: u64) -> Vec<Recipient> {
        let first = self.first_of_zone(now_ms);
        let reach = self.reach.reach;
        let in_zone = self.peers.iter().filter(|(_, it)| it.zone == self.own_zone);
        let needs_all = |(name, peer): &(&InstanceId, &Peer)| {
            let depends = first.contains(*name)
                || peer.availability.reaches_store
                || peer.is_active
                || !peer.hears_own;
            self.is_heard(peer, now_ms) && depends
        };
        let (each_time, in_turn): (Vec<_>, Vec<_>) = in_zone.partition(needs_all);
        let turns = in_turn.len().div_ceil(ZONE_FANOUT).max(1) as u32;
        self.reach.turn_ms = turns * HEARTBEAT_INTERVAL_MS as u32;
        let told_ms = match reach {
            Reach::WholeZone => HEARTBEAT_INTERVAL_MS as u32,
            Reach::FinalWholeZone | Reach::InTurn => self.reach.turn_ms,
        };
        let fanout = match reach {
            Reach::WholeZone | Reach::FinalWholeZone => in_turn.len(),
            Reach::InTurn => ZONE_FANOUT,
        };
        let to_recipient = |peer: &Peer, interval_ms: u32| {
            peer.to_recipient(peer.timeout_ms(&self.own_zone), interval_ms, now_ms)
        };
        let each_time = each_time.iter();
        let mut recipients: Vec<Recipient> = each_time
            .map(|(_, peer)| to_recipient(peer, HEARTBEAT_INTERVAL_MS as u32))
            .collect();
        let batch = self.reach.rotation.next_batch(&in_turn, fanout);
        recipients.extend(batch.map(|(_, peer)| to_recipient(peer, told_ms)));
        recipients
    }

    /// The heard peers that are the first of the zone.
    fn first_of_zone(&self, now_ms: u64) -> IndexSet<InstanceId> {
        let mut ranked: Vec<(&InstanceId, &Peer)> = self.heard_zone_peers(now_ms).collect();
        ranked.sort_unstable_by_key(|(name, peer)| peer.rank(name));
        let first = ranked.into_iter().take(FIRST_OF_ZONE);
        first.map(|(name, _)| name.clone()).collect()
    }

    /// The peer of the own zone at an address, as a recipient beside those whose turn it is.
    pub(super) fn recipient_at(&self, address: SocketAddr, now_ms: u64) -> Option<Recipient> {
        let peer = self.peers.values().find(|it| it.address == address)?;
        Some(peer.to_recipient(self.timeout_ms(peer), self.reach.turn_ms, now_ms))
    }

    /// Applies the part of a peer's datagram that tells whether and how often it is in touch with this
    /// process.
    pub(super) fn apply_peer_part(&mut self, instance: &InstanceId, part: &PeerPart) {
        let hears_own = self.acknowledged_sent_ms(part.echo).is_some();
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.zone_interval_ms = part.interval_ms;
            peer.hears_own = hears_own;
        }
    }
}
