//! What is known of the other instances, and what they must be told.

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use super::heartbeat::{Availability, Echo, Heartbeat, OwnState};
use super::load_change::{LoadChange, load_changes};
use super::locate::{self, Candidate};
use super::peer::{InstanceRecord, Peer, Recipient, SyncSource};
use super::senders::Sender;
use super::settings::RelaySettings;
use super::store_readers::{READERS_PER_ZONE, StoreReaderView};
use crate::dissemination::{Rotation, UpdateQueue};
use crate::fleet::EngineLoad;
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::lease::LeaseHolder;
use crate::placement::PlacementOrder;
use crate::relay::Lender;
use crate::wire::engine::LayerRange;

/// Pause between two heartbeats.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Silence after which a peer is forgotten.
const FORGET_MS: u64 = 60_000;
/// Silence after which the holder of a lease is taken for ended: four heartbeats. It costs nothing but a
/// change of the holder if it lives, and a zone without a layer waits for nobody longer.
const HOLDER_SILENT_MS: u64 = 1_000;
/// Heartbeats sent in one period to instances of other zones, by one that is not among the first of its
/// own. Sent to all of 156 each time, with what they held, heartbeats filled links of 20 Mbit/s.
const FAR_IN_TURN: usize = 8;
/// Periods within which one of the first of a zone, or one that the store answers, tells everybody in
/// other zones.
const SPEAKERS_TURN: usize = 2;
/// How long after the start of this process one on record that was not heard may be starting too.
const START_MS: u64 = 1_000;
/// How much longer than it is named to callers a silent instance may be sending requests to endpoints.
const SENDER_MARGIN_MS: u64 = 2_000;
/// Most endpoints of one sort of news in a heartbeat, the others follow with the next: a plan for thousands
/// of engines, or the loss of as many, would make a datagram that no peer can read.
const MOST_NEWS: usize = 256;

/// Whether the holder of a lease has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderStatus {
    /// It gives no more orders.
    Ended,
    /// It seems so; orders that it gives after all must be turned away by the engines.
    PresumedEnded,
    /// It may be at work.
    Active,
}

impl HolderStatus {
    /// The status as log lines print it.
    pub(crate) fn log_value(self) -> &'static str {
        match self {
            Self::Ended => "Surely",
            Self::PresumedEnded => "Perhaps",
            Self::Active => "No",
        }
    }
}

/// Which loads of this instance those of another zone are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FarLoads {
    /// All. While a zone lacks engines the others send to those of a third, where each must know what
    /// the others have there.
    AtAllEngines,
    /// Those at engines of their zone, which they use nearly always. Where there are too many instances
    /// to be told each time, loads elsewhere would be old and fill the links.
    AtTheirEngines,
}

/// The other instances.
#[derive(Debug)]
pub(crate) struct PeerBook {
    own_zone: ZoneName,
    own_front: SocketAddr,
    own_link_mbps: u32,
    own_instance: InstanceId,
    own_incarnation: Incarnation,
    peers: IndexMap<InstanceId, Peer>,
    unhealthy: UpdateQueue<EndpointId>,
    leaving: UpdateQueue<EndpointId>,
    said_leaving: UpdateQueue<EndpointId>,
    moving: Vec<(EndpointId, LayerRange)>,
    /// Highest fencing number under which this instance gives no more orders.
    given_up: IndexMap<ServiceName, u64>,
    /// The same of peers.
    given_up_by_peers: IndexMap<ServiceName, u64>,
    /// Since when heartbeats are listened for.
    listening_since_ms: u64,
    has_news: bool,
    /// How far the turn of recipients in other zones has come.
    far_turn: Rotation,
}

impl PeerBook {
    pub(crate) fn new(settings: &RelaySettings, incarnation: Incarnation, now_ms: u64) -> Self {
        Self {
            own_zone: settings.zone.clone(),
            own_front: settings.front,
            own_link_mbps: settings.link_mbps,
            own_instance: settings.instance.clone(),
            own_incarnation: incarnation,
            peers: IndexMap::new(),
            unhealthy: UpdateQueue::default(),
            leaving: UpdateQueue::default(),
            said_leaving: UpdateQueue::default(),
            moving: Vec::new(),
            given_up: IndexMap::new(),
            given_up_by_peers: IndexMap::new(),
            listening_since_ms: now_ms,
            has_news: false,
            far_turn: Rotation::default(),
        }
    }

    /// Takes a peer's record from the store; what the peer tells by itself goes before it.
    pub(super) fn add_record(&mut self, record: InstanceRecord, now_ms: u64) {
        if record.instance == self.own_instance {
            return;
        }
        let peer = Peer::on_record(&record, now_ms);
        self.peers.entry(record.instance).or_insert(peer);
    }

    /// Whom the next heartbeat goes to: the whole zone, and of the other zones those whose turn it is.
    pub(super) fn recipients(&mut self, own: Availability, now_ms: u64) -> Vec<Recipient> {
        let in_turn = self.far_in_turn(own, now_ms);
        let is_near = |peer: &&Peer| peer.zone == self.own_zone;
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self.peers.values().partition(is_near);
        let turn = self.far_turn.next_batch(&far, in_turn);
        near.iter()
            .chain(turn)
            .map(|peer| peer.as_recipient(self.silent_after_ms(peer), now_ms))
            .collect()
    }

    /// How many in other zones a heartbeat goes to. The one that gives the orders tells everybody each
    /// time, so that its end is noticed within a second.
    fn far_in_turn(&self, own: Availability, now_ms: u64) -> usize {
        let far = self.far_count();
        let in_turn = if own.may_lead() && self.is_preferred_leader(now_ms) {
            far
        } else if own.reaches_store || self.is_top_ranked_in_zone(now_ms) {
            far.div_ceil(SPEAKERS_TURN).max(FAR_IN_TURN)
        } else {
            FAR_IN_TURN
        };
        in_turn.min(far)
    }

    /// Which loads instances of other zones are told of.
    pub(super) fn far_loads(&self) -> FarLoads {
        if self.far_count() <= FAR_IN_TURN {
            FarLoads::AtAllEngines
        } else {
            FarLoads::AtTheirEngines
        }
    }

    fn far_count(&self) -> usize {
        let far = self.peers.values().filter(|it| it.zone != self.own_zone);
        far.count()
    }

    fn turn_ms(&self, own: Availability, now_ms: u64) -> u32 {
        let in_turn = self.far_in_turn(own, now_ms).max(1);
        let periods = self.far_count().div_ceil(in_turn).max(1) as u64;
        u32::try_from(periods * HEARTBEAT_INTERVAL_MS).unwrap_or(u32::MAX)
    }

    /// Whether this instance is one of the first of its zone: those with the fastest links.
    pub(super) fn is_top_ranked_in_zone(&self, now_ms: u64) -> bool {
        self.before(now_ms).count() < READERS_PER_ZONE
    }

    /// Instances of the zone that come before this one. One that was never heard counts for as long as
    /// it may be starting.
    fn before(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let own = (Reverse(self.own_link_mbps), &self.own_instance);
        let is_starting = now_ms < self.listening_since_ms + START_MS;
        self.peers
            .iter()
            .filter(move |(name, peer)| {
                let may_live =
                    self.is_heard(peer, now_ms) || (peer.heard_ms.is_none() && is_starting);
                peer.zone == self.own_zone && may_live && peer.rank(name) < own
            })
            .map(|(_, peer)| peer)
    }

    /// Instances that share a budget, this one included. All that are on record count, since one
    /// that is only cut off goes on repeating; and as many as any peer knows of, since a process that
    /// has just started has heard few.
    pub(crate) fn known_instances(&self) -> u32 {
        let told = self.peers.values().map(|peer| peer.known_instances);
        told.max().unwrap_or(0).max(self.own_known_instances())
    }

    fn own_known_instances(&self) -> u32 {
        1 + u32::try_from(self.peers.len()).unwrap_or(u32::MAX - 1)
    }

    /// Peers of the own zone that are heard: those that this instance and others lend repeats to.
    pub(super) fn near_heard(&mut self, now_ms: u64) -> impl Iterator<Item = &mut Peer> {
        let own_zone = &self.own_zone;
        let peers = self.peers.values_mut();
        peers.filter(move |peer| {
            peer.zone == *own_zone && peer.is_heard(peer.silent_after_ms(own_zone), now_ms)
        })
    }

    /// This instance among those that may send requests to an endpoint with a limit.
    pub(super) fn own_sender(&self) -> Sender<'_> {
        Sender {
            instance: &self.own_instance,
            zone: &self.own_zone,
        }
    }

    /// The others among them. One that has fallen silent counts for a while longer: it may only be out of
    /// reach, and go on sending.
    pub(super) fn other_senders(&self, now_ms: u64) -> Vec<Sender<'_>> {
        let may_send = |peer: &Peer| {
            let silent_ms = self.silent_after_ms(peer) + SENDER_MARGIN_MS;
            now_ms < peer.last_sign_ms() + silent_ms
        };
        let peers = self.peers.iter().filter(|(_, peer)| may_send(peer));
        let senders = peers.map(|(instance, peer)| Sender {
            instance,
            zone: &peer.zone,
        });
        senders.collect()
    }

    /// Where the heard instances of some zones take datagrams.
    pub(super) fn heard_in(&self, zones: &IndexSet<ZoneName>, now_ms: u64) -> Vec<SocketAddr> {
        let peers = self.peers.values();
        let heard = peers.filter(|it| zones.contains(&it.zone) && self.is_heard(it, now_ms));
        heard.map(|it| it.address).collect()
    }

    /// Where the process that lent repeats takes heartbeats, if it is known to run still.
    pub(super) fn address_of(&self, lender: &Lender) -> Option<SocketAddr> {
        let peer = self.peers.get(&lender.instance);
        let peer = peer.filter(|it| it.incarnation == lender.incarnation);
        peer.map(|it| it.address)
    }

    /// Whether a heartbeat was sent after all that were heard of its process.
    pub(super) fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.instance);
        let known = known.filter(|it| it.incarnation == heartbeat.incarnation);
        known.is_none_or(|it| it.newest_sent_ms < heartbeat.sent_ms)
    }

    /// What decides whether this instance reads the store. `own_answered_ms` is when the store last
    /// answered here.
    pub(super) fn store_reader_view(
        &self,
        is_reader: bool,
        own_answered_ms: Option<u64>,
        now_ms: u64,
    ) -> StoreReaderView {
        let in_zone = self.peers.values().filter(|it| it.zone == self.own_zone);
        let answers = in_zone.filter_map(|peer| peer.store_answered_ms);
        let is_answered = |peer: &&Peer| peer.is_answered(now_ms);
        StoreReaderView {
            rank: self.before(now_ms).count(),
            answered_ahead: self.before(now_ms).filter(is_answered).count(),
            answered_ms: answers.chain(own_answered_ms).max(),
            started_ms: self.listening_since_ms,
            is_reader,
        }
    }

    /// Whether an instance of the zone that reads the store was lately answered.
    pub(super) fn zone_has_store_reader(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.zone == self.own_zone && peer.is_answered(now_ms))
    }

    /// Whether this instance, which can give orders, comes first among those that can: they are ready,
    /// and the store, which keeps the lease, answers them. All of them speak for their zone, so that
    /// their end is soon noticed everywhere.
    pub(crate) fn is_preferred_leader(&self, now_ms: u64) -> bool {
        let own = (Reverse(self.own_link_mbps), &self.own_instance);
        self.peers.iter().all(|(name, peer)| {
            !peer.availability.may_lead() || !self.is_heard(peer, now_ms) || peer.rank(name) > own
        })
    }

    /// Peers to ask for what the store does not tell here, the one with the freshest table first.
    /// Those that the store answers go before others.
    pub(crate) fn sync_sources(&self, now_ms: u64) -> Vec<SyncSource> {
        let mut heard: Vec<SyncSource> = self
            .peers
            .iter()
            .filter(|(_, peer)| self.is_heard(peer, now_ms) && peer.availability.is_open)
            .map(|(name, peer)| SyncSource {
                instance: name.clone(),
                address: peer.address,
                table: peer.table,
                list: peer.list,
                link_mbps: peer.link_mbps,
                reaches_store: peer.availability.reaches_store,
                is_same_zone: peer.zone == self.own_zone,
            })
            .collect();
        heard.sort_by_key(|it| Reverse((it.reaches_store, it.table)));
        heard
    }

    /// Whether another instance serves everybody.
    pub(crate) fn has_ready_peer(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.availability.is_ready && self.is_heard(peer, now_ms))
    }

    /// Addresses for a caller of a zone.
    pub(crate) fn addresses_for(
        &self,
        zone: &ZoneName,
        own: Availability,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let own = Candidate {
            zone: &self.own_zone,
            front: self.own_front,
            availability: own,
        };
        let peers = self.peers.values();
        let heard = peers.filter(|peer| self.is_heard(peer, now_ms));
        let others = heard.map(|peer| Candidate {
            zone: &peer.zone,
            front: peer.front,
            availability: peer.availability,
        });
        let candidates: Vec<Candidate<'_>> = std::iter::once(own).chain(others).collect();
        locate::addresses_for(zone, &candidates)
    }

    /// Has peers told that an endpoint does not answer.
    pub(crate) fn announce_unhealthy(&mut self, endpoint: &EndpointId) {
        self.unhealthy.push(endpoint);
        self.has_news = true;
    }

    /// Has peers told that an endpoint is leaving.
    pub(crate) fn announce_leaving(&mut self, endpoint: &EndpointId) {
        self.leaving.push(endpoint);
        self.has_news = true;
    }

    /// Has peers told that an endpoint has itself said that it leaves.
    pub(crate) fn announce_self_reported_leaving(&mut self, endpoint: &EndpointId) {
        self.said_leaving.push(endpoint);
        self.has_news = true;
    }

    /// Has peers told at once what is known here of routes and endpoints.
    pub(crate) fn request_heartbeat(&mut self) {
        self.has_news = true;
    }

    /// Has peers told that an engine is about to hold other layers.
    pub(crate) fn announce_layer_move(&mut self, order: &PlacementOrder) {
        self.moving.push((order.endpoint.clone(), order.layers));
        self.has_news = true;
    }

    /// Has peers told that this instance gives no more orders under this fencing number.
    pub(crate) fn announce_lease_release(&mut self, service: &ServiceName, fence: u64) {
        self.given_up.insert(service.clone(), fence);
        self.has_news = true;
    }

    /// Whether the holder of a lease gives no more orders under it: it says so, another process runs
    /// in its place, or nothing has been heard of it for some heartbeats. The last may be wrong.
    pub(crate) fn lease_holder_status(
        &self,
        service: &ServiceName,
        holder: &LeaseHolder,
        now_ms: u64,
    ) -> HolderStatus {
        let given_up = self.given_up_by_peers.get(service);
        if given_up.is_some_and(|fence| *fence >= holder.fence) {
            return HolderStatus::Ended;
        }
        let peer = self.peers.get(&holder.instance);
        let heard_ms = peer.and_then(|peer| peer.heard_ms);
        let is_replaced = peer.is_some_and(|peer| peer.incarnation != holder.incarnation);
        if is_replaced && heard_ms.is_some() {
            return HolderStatus::Ended;
        }
        let heard_ms = heard_ms.unwrap_or(0).max(self.listening_since_ms);
        if now_ms >= heard_ms + HOLDER_SILENT_MS && !holder.has_renewed {
            return HolderStatus::PresumedEnded;
        }
        HolderStatus::Active
    }

    /// Takes a peer's heartbeat. Returns how loads have changed by it.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        now_ms: u64,
    ) -> Vec<LoadChange> {
        let own = (&self.own_instance, &self.own_incarnation);
        if (&heartbeat.instance, &heartbeat.incarnation) == own {
            return Vec::new();
        }
        let mut peer = Peer::heard(heartbeat, address, now_ms);
        for (service, fence) in &heartbeat.given_up {
            let highest = self.given_up_by_peers.entry(service.clone()).or_insert(0);
            *highest = (*highest).max(*fence);
        }
        let known = self.peers.get(&heartbeat.instance);
        if known.is_none_or(|it| it.incarnation != peer.incarnation || it.heard_ms.is_none()) {
            log::info!(peer = heartbeat.instance.as_str(), address:% = address; "peer is heard");
        }
        if let Some(known) = known.filter(|it| it.incarnation == peer.incarnation) {
            peer.newest_sent_ms = peer.newest_sent_ms.max(known.newest_sent_ms);
        }
        let before = self.peers.insert(heartbeat.instance.clone(), peer);
        let before = before.filter(|it| it.is_counted).map(|it| it.held);
        load_changes(before.unwrap_or_default(), &heartbeat.held)
    }

    /// What peers' streams take up at each engine. Changes that [`Self::apply_heartbeat`] returns from now
    /// on are changes of these sums.
    pub(super) fn held_by_peers(&mut self, now_ms: u64) -> IndexMap<EndpointId, EngineLoad> {
        let mut sums = IndexMap::new();
        for peer in self.peers.values_mut() {
            let silent_ms = peer.silent_after_ms(&self.own_zone);
            peer.is_counted = peer.is_heard(silent_ms, now_ms);
            if !peer.is_counted {
                continue;
            }
            for (id, load) in &peer.held {
                let sum: &mut EngineLoad = sums.entry(id.clone()).or_default();
                *sum = sum.plus(*load);
            }
        }
        sums
    }

    /// Whether something must be told at once; asks once for each piece of news.
    pub(super) fn take_heartbeat_request(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// The next heartbeat for the own zone; news of endpoints are told a few times and then dropped.
    pub(super) fn heartbeat(&mut self, own: &OwnState, now_ms: u64) -> Heartbeat {
        let held = own.held.iter();
        Heartbeat {
            instance: self.own_instance.clone(),
            incarnation: self.own_incarnation,
            zone: self.own_zone.clone(),
            front: self.own_front,
            link_mbps: self.own_link_mbps,
            turn_ms: self.turn_ms(own.availability, now_ms),
            availability: own.availability,
            table: own.table,
            table_age_ms: own.table_age_ms,
            list: own.list,
            list_age_ms: own.list_age_ms,
            store_age_ms: own.store_age_ms,
            sent_ms: now_ms,
            unhealthy: self.unhealthy.next_batch(MOST_NEWS),
            leaving: self.leaving.next_batch(MOST_NEWS),
            said_leaving: self.said_leaving.next_batch(MOST_NEWS),
            moving: self
                .moving
                .drain(..self.moving.len().min(MOST_NEWS))
                .collect(),
            held: held
                .map(|load| (load.endpoint.clone(), load.load))
                .collect(),
            given_up: self.given_up.clone().into_iter().collect(),
            known_instances: self.own_known_instances(),
            retry_needs: own.retry_needs.clone(),
            evidence: own.evidence.clone(),
            limits: own.limits.clone(),
        }
    }

    /// When the newest heartbeat of this process that a peer has heard was sent. One of an earlier
    /// process of this instance does not count: its clock may have been another.
    pub(super) fn acknowledged_sent_ms(&self, echo: Option<Echo>) -> Option<u64> {
        let own = echo.filter(|it| it.incarnation == self.own_incarnation);
        own.map(|it| it.sent_ms)
    }

    /// Forgets peers that have long been silent.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.peers
            .retain(|_, peer| now_ms < peer.last_sign_ms() + FORGET_MS);
    }

    fn is_heard(&self, peer: &Peer, now_ms: u64) -> bool {
        peer.is_heard(self.silent_after_ms(peer), now_ms)
    }

    fn silent_after_ms(&self, peer: &Peer) -> u64 {
        peer.silent_after_ms(&self.own_zone)
    }
}
