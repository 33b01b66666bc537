//! State of the other instances, and what the next heartbeat has to announce to them.

use std::cmp::Reverse;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use super::cross_zone::CrossZonePacing;
use super::heartbeat::{Availability, Echo, Heartbeat, OwnState};
use super::load_change::{LoadChange, load_changes};
use super::locate::{self, Candidate};
use super::peer::{Peer, SyncSource};
use super::recipients::ZoneReach;
use super::senders::Sender;
use super::settings::RelaySettings;
use super::store_readers::{READERS_PER_ZONE, StoreReaderView};
use super::traffic::TrafficScope;
use crate::dissemination::UpdateQueue;
use crate::fleet::EngineLoad;
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::lease::LeaseHolder;
use crate::placement::PlacementOrder;
use crate::relay::Lender;
use crate::wire::engine::LayerRange;

pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Silence after which the holder of a lease is presumed to have ended: four heartbeats. If it is in fact
/// alive, the only cost is a change of holder; a zone without a layer waits no longer than this for it.
const HOLDER_TIMEOUT_MS: u64 = 1_000;
/// How long after the start of this process an instance that has a record but was not heard may still be
/// starting.
const STARTUP_MS: u64 = 1_000;
/// How long after its timeout a silent instance is assumed to go on sending requests to endpoints.
const SENDER_MARGIN_MS: u64 = 2_000;
/// Limit of each kind of endpoint update in a heartbeat; the others follow in the next one. A plan for
/// thousands of engines, or the loss of as many, would otherwise exceed the size that peers can receive.
const MAX_UPDATES: usize = 256;

/// Whether the holder of a lease still issues orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderStatus {
    /// It issues no more orders.
    Ended,
    /// It has probably ended. If it issues further orders, engines must reject them.
    PresumedEnded,
    /// It may still issue orders.
    Active,
}

impl HolderStatus {
    /// The value written to log lines, which differs from the variant's name.
    pub(crate) fn log_value(self) -> &'static str {
        match self {
            Self::Ended => "Surely",
            Self::PresumedEnded => "Perhaps",
            Self::Active => "No",
        }
    }
}

/// The other instances, and updates queued for them.
#[derive(Debug)]
pub(crate) struct PeerBook {
    pub(super) own_zone: ZoneName,
    own_front: SocketAddr,
    own_link_mbps: u32,
    pub(super) own_instance: InstanceId,
    own_incarnation: Incarnation,
    pub(super) peers: IndexMap<InstanceId, Peer>,
    unhealthy: UpdateQueue<EndpointId>,
    leaving: UpdateQueue<EndpointId>,
    self_reported_leaving: UpdateQueue<EndpointId>,
    layer_moves: Vec<(EndpointId, LayerRange)>,
    /// Leases that this instance has released, by the highest fencing token under which it issued orders.
    released_leases: IndexMap<ServiceName, u64>,
    /// Leases that peers have released, in the same form.
    peer_released_leases: IndexMap<ServiceName, u64>,
    /// When this process started to listen for heartbeats.
    pub(super) listening_since_ms: u64,
    /// Whether the whole deployment starts for the first time.
    is_first_start: bool,
    /// Whether this process has learned of all instances that have records.
    knows_all: bool,
    /// Largest number of instances known at a time, including this one.
    most_known_instances: u32,
    /// Whether a heartbeat is to be sent without waiting for the next interval.
    is_heartbeat_requested: bool,
    /// What decides which instances of the own zone receive each heartbeat.
    pub(super) reach: ZoneReach,
    /// What decides which instances of other zones receive each heartbeat.
    pub(super) cross_zone: CrossZonePacing,
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
            self_reported_leaving: UpdateQueue::default(),
            layer_moves: Vec::new(),
            released_leases: IndexMap::new(),
            peer_released_leases: IndexMap::new(),
            listening_since_ms: now_ms,
            is_first_start: settings.is_first_start,
            knows_all: false,
            most_known_instances: 1,
            is_heartbeat_requested: false,
            reach: ZoneReach::new(now_ms),
            cross_zone: CrossZonePacing::new(now_ms),
        }
    }

    /// Whether this instance ranks among the [`READERS_PER_ZONE`] first of its zone: those with the fastest
    /// links.
    pub(super) fn is_top_ranked_in_zone(&self, now_ms: u64) -> bool {
        self.ranked_ahead(now_ms).count() < READERS_PER_ZONE
    }

    /// Instances of the zone that rank ahead of this one. One that was never heard counts for as long as
    /// it may be starting.
    pub(super) fn ranked_ahead(&self, now_ms: u64) -> impl Iterator<Item = &Peer> {
        let own = (Reverse(self.own_link_mbps), &self.own_instance);
        let is_starting = now_ms < self.listening_since_ms + STARTUP_MS;
        self.peers
            .iter()
            .filter(move |(name, peer)| {
                let may_be_alive =
                    self.is_heard(peer, now_ms) || (peer.heard_ms.is_none() && is_starting);
                peer.zone == self.own_zone && may_be_alive && peer.rank(name) < own
            })
            .map(|(_, peer)| peer)
    }

    /// Number of instances that share a retry budget, including this one; `None` as long as this process may not know
    /// all. Every instance counts that was ever known: one that is merely unreachable continues to retry. If a peer
    /// knows of more, its number is used.
    pub(crate) fn known_instances(&self) -> Option<u32> {
        let reported = self.peers.values().map(|peer| peer.known_instances);
        let own = self.most_known_instances.max(self.own_known_instances());
        let known = reported.max().unwrap_or(0).max(own);
        self.knows_all.then_some(known)
    }

    /// Whether this process has learned of all instances that have records.
    pub(super) fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// Records that this process has learned of all instances that have records.
    pub(super) fn note_all_known(&mut self) {
        self.knows_all = true;
        self.update_most_known();
    }

    /// Updates the largest number of instances known at a time.
    pub(super) fn update_most_known(&mut self) {
        self.most_known_instances = self.most_known_instances.max(self.own_known_instances());
    }

    pub(super) fn own_known_instances(&self) -> u32 {
        1 + u32::try_from(self.peers.len()).unwrap_or(u32::MAX - 1)
    }

    /// Peers of the own zone that are heard. Retries are only lent among them.
    pub(super) fn heard_in_own_zone(&mut self, now_ms: u64) -> impl Iterator<Item = &mut Peer> {
        let own_zone = &self.own_zone;
        let peers = self.peers.values_mut();
        peers.filter(move |peer| {
            peer.zone == *own_zone && peer.is_heard(peer.timeout_ms(own_zone), now_ms)
        })
    }

    /// This instance as a candidate for sending requests to an endpoint with a rate limit.
    pub(super) fn own_sender(&self) -> Sender<'_> {
        Sender {
            instance: &self.own_instance,
            zone: &self.own_zone,
        }
    }

    /// The other candidates. A silent one counts for some time longer, as it may be unreachable from here
    /// and still send requests.
    pub(super) fn other_senders(&self, now_ms: u64) -> Vec<Sender<'_>> {
        let may_send = |peer: &Peer| {
            let timeout_ms = self.timeout_ms(peer) + SENDER_MARGIN_MS;
            now_ms < peer.last_seen_ms() + timeout_ms
        };
        let peers = self.peers.iter().filter(|(_, peer)| may_send(peer));
        let senders = peers.map(|(instance, peer)| Sender {
            instance,
            zone: &peer.zone,
        });
        senders.collect()
    }

    /// Addresses of the heard peers in some zones, each with the scope of traffic with it.
    pub(super) fn addresses_in(
        &self,
        zones: &IndexSet<ZoneName>,
        now_ms: u64,
    ) -> Vec<(SocketAddr, TrafficScope)> {
        let peers = self.peers.values();
        let heard = peers.filter(|it| zones.contains(&it.zone) && self.is_heard(it, now_ms));
        let scope = |peer: &Peer| TrafficScope::between(&self.own_zone, Some(&peer.zone));
        heard.map(|it| (it.address, scope(it))).collect()
    }

    /// Address of the process that lent retries, unless its instance has been restarted or is no longer
    /// known.
    pub(super) fn address_of(&self, lender: &Lender) -> Option<SocketAddr> {
        let peer = self.peers.get(&lender.instance);
        let peer = peer.filter(|it| it.incarnation == lender.incarnation);
        peer.map(|it| it.address)
    }

    /// Whether a heartbeat was sent later than all that have arrived from its process.
    pub(super) fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        let known = self.peers.get(&heartbeat.instance);
        let known = known.filter(|it| it.incarnation == heartbeat.incarnation);
        known.is_none_or(|it| it.newest_sent_ms < heartbeat.sent_ms)
    }

    /// What decides whether this instance reads the store. `own_answered_ms` is when the store last
    /// answered this instance.
    pub(super) fn store_reader_view(
        &self,
        is_reader: bool,
        own_answered_ms: Option<u64>,
        now_ms: u64,
    ) -> StoreReaderView {
        let in_zone = self.peers.values().filter(|it| it.zone == self.own_zone);
        let answers = in_zone.filter_map(|peer| peer.store_answered_ms);
        let is_answered = |peer: &&Peer| peer.has_recent_store_answer(now_ms);
        StoreReaderView {
            rank: self.ranked_ahead(now_ms).count(),
            answered_ahead: self.ranked_ahead(now_ms).filter(is_answered).count(),
            answered_ms: answers.chain(own_answered_ms).max(),
            started_ms: self.listening_since_ms,
            is_first_start: self.is_first_start,
            is_reader,
        }
    }

    /// Whether the store has recently answered a peer of the own zone that reads it.
    pub(super) fn zone_has_store_reader(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.zone == self.own_zone && peer.has_recent_store_answer(now_ms))
    }

    /// Whether this instance, if it can issue orders itself, ranks first among those that can: they are
    /// ready, and the store, which keeps the lease, answers them. Their heartbeats reach other zones often,
    /// so that their end is noticed everywhere soon.
    pub(super) fn is_preferred_leader(&self, now_ms: u64) -> bool {
        self.ranks_first(|peer| peer.availability.may_lead(), now_ms)
    }

    /// Like [`Self::is_preferred_leader`], among the instances that reach the engines of a service.
    pub(crate) fn is_preferred_leader_for(&self, service: &ServiceName, now_ms: u64) -> bool {
        let may_lead =
            |peer: &Peer| peer.availability.may_lead() && !peer.unreached.contains(service);
        self.ranks_first(may_lead, now_ms)
    }

    /// Whether this instance ranks ahead of all heard peers for which `counts` returns true.
    fn ranks_first<F>(&self, counts: F, now_ms: u64) -> bool
    where
        F: Fn(&Peer) -> bool,
    {
        let own = (Reverse(self.own_link_mbps), &self.own_instance);
        self.peers.iter().all(|(name, peer)| {
            !counts(peer) || !self.is_heard(peer, now_ms) || peer.rank(name) > own
        })
    }

    /// Peers to ask for routes and endpoints: those that the store answers come first, then those with the
    /// newest route table.
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

    /// Whether another instance serves every request.
    pub(crate) fn has_ready_peer(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.availability.is_ready && self.is_heard(peer, now_ms))
    }

    /// Addresses of instances for a caller in `zone`.
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
            rank: None,
        };
        let peers = self.peers.iter();
        let heard = peers.filter(|(_, peer)| self.is_heard(peer, now_ms));
        let others = heard.map(|(name, peer)| Candidate {
            zone: &peer.zone,
            front: peer.front,
            availability: peer.availability,
            rank: Some((peer.is_rarely_heard(), Reverse(peer.link_mbps), name)),
        });
        let candidates: Vec<Candidate<'_>> = std::iter::once(own).chain(others).collect();
        locate::addresses_for(zone, &candidates)
    }

    /// Announces that an endpoint does not answer.
    pub(crate) fn announce_unhealthy(&mut self, endpoint: &EndpointId) {
        self.unhealthy.push(endpoint);
        self.is_heartbeat_requested = true;
    }

    /// Announces that an endpoint is leaving.
    pub(crate) fn announce_leaving(&mut self, endpoint: &EndpointId) {
        self.leaving.push(endpoint);
        self.is_heartbeat_requested = true;
    }

    /// Announces that an endpoint has itself reported that it is leaving.
    pub(crate) fn announce_self_reported_leaving(&mut self, endpoint: &EndpointId) {
        self.self_reported_leaving.push(endpoint);
        self.is_heartbeat_requested = true;
    }

    /// Requests a heartbeat without delay, as the routes or endpoints known here have changed.
    pub(crate) fn request_heartbeat(&mut self) {
        self.is_heartbeat_requested = true;
    }

    /// Announces that an engine is about to load other layers.
    pub(crate) fn announce_layer_move(&mut self, order: &PlacementOrder) {
        self.layer_moves
            .push((order.endpoint.clone(), order.layers));
        self.is_heartbeat_requested = true;
    }

    /// Announces that this instance issues no more orders under this fencing token.
    pub(crate) fn announce_lease_release(&mut self, service: &ServiceName, fence: u64) {
        self.released_leases.insert(service.clone(), fence);
        self.is_heartbeat_requested = true;
    }

    /// Whether the holder of a lease still issues orders under it. It has ended if it has released the lease
    /// or another process runs in its place. If it is only silent and has not renewed the lease, it is
    /// presumed to have ended, which may be wrong.
    pub(crate) fn lease_holder_status(
        &self,
        service: &ServiceName,
        holder: &LeaseHolder,
        now_ms: u64,
    ) -> HolderStatus {
        let released_fence = self.peer_released_leases.get(service);
        if released_fence.is_some_and(|fence| *fence >= holder.fence) {
            return HolderStatus::Ended;
        }
        let peer = self.peers.get(&holder.instance);
        let heard_ms = peer.and_then(|peer| peer.heard_ms);
        let is_replaced = peer.is_some_and(|peer| peer.incarnation != holder.incarnation);
        if is_replaced && heard_ms.is_some() {
            return HolderStatus::Ended;
        }
        let heard_ms = heard_ms.unwrap_or(0).max(self.listening_since_ms);
        if now_ms >= heard_ms + HOLDER_TIMEOUT_MS && !holder.has_renewed {
            return HolderStatus::PresumedEnded;
        }
        HolderStatus::Active
    }

    /// Updates a peer from its heartbeat. Returns the resulting changes of loads.
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
        let mut peer = Peer::from_heartbeat(heartbeat, address, now_ms);
        for (service, fence) in &heartbeat.released_leases {
            let highest = self
                .peer_released_leases
                .entry(service.clone())
                .or_insert(0);
            *highest = (*highest).max(*fence);
        }
        let known = self.peers.get(&heartbeat.instance);
        if known.is_none_or(|it| it.incarnation != peer.incarnation || it.heard_ms.is_none()) {
            log::info!(peer = heartbeat.instance.as_str(), address:% = address; "first heartbeat from peer");
        }
        if let Some(known) = known.filter(|it| it.incarnation == peer.incarnation) {
            peer.newest_sent_ms = peer.newest_sent_ms.max(known.newest_sent_ms);
            peer.promised_ms = known.promised_ms;
        }
        let before = self.peers.insert(heartbeat.instance.clone(), peer);
        let before = before.filter(|it| it.is_counted).map(|it| it.held);
        load_changes(before.unwrap_or_default(), &heartbeat.held)
    }

    /// Total load of the heard peers' streams on each engine. Changes that [`Self::apply_heartbeat`] returns
    /// later are relative to these sums.
    pub(super) fn peer_loads(&mut self, now_ms: u64) -> IndexMap<EndpointId, EngineLoad> {
        let mut sums = IndexMap::new();
        for peer in self.peers.values_mut() {
            let timeout_ms = peer.timeout_ms(&self.own_zone);
            peer.is_counted = peer.is_heard(timeout_ms, now_ms);
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

    /// Whether a heartbeat was requested since the last call.
    pub(super) fn take_heartbeat_request(&mut self) -> bool {
        let is_requested = std::mem::take(&mut self.is_heartbeat_requested);
        if is_requested {
            self.reach.note_request();
        }
        is_requested
    }

    /// The next heartbeat for the own zone. Takes the updates it contains from their queues.
    pub(super) fn heartbeat(&mut self, own: &OwnState, now_ms: u64) -> Heartbeat {
        let held = own.held.iter();
        let mut heartbeat = Heartbeat {
            instance: self.own_instance.clone(),
            incarnation: self.own_incarnation,
            zone: self.own_zone.clone(),
            front: self.own_front,
            link_mbps: self.own_link_mbps,
            cross_zone_interval_ms: 0,
            is_active: false,
            availability: own.availability,
            table: own.table,
            table_age_ms: own.table_age_ms,
            list: own.list,
            list_age_ms: own.list_age_ms,
            store_age_ms: own.store_age_ms,
            sent_ms: now_ms,
            unreached: own.unreached.clone(),
            unhealthy: self.unhealthy.next_batch(MAX_UPDATES),
            leaving: self.leaving.next_batch(MAX_UPDATES),
            self_reported_leaving: self.self_reported_leaving.next_batch(MAX_UPDATES),
            layer_moves: self
                .layer_moves
                .drain(..self.layer_moves.len().min(MAX_UPDATES))
                .collect(),
            held: held
                .map(|load| (load.endpoint.clone(), load.load))
                .collect(),
            released_leases: self.released_leases.clone().into_iter().collect(),
            known_instances: self.own_known_instances(),
            retry_needs: own.retry_needs.clone(),
            evidence: own.evidence.clone(),
            limits: own.limits.clone(),
            demand: own.demand.clone().into(),
        };
        let is_urgent = self.reach.is_urgent(now_ms);
        self.cross_zone.update(&heartbeat, own, is_urgent, now_ms);
        heartbeat.cross_zone_interval_ms =
            self.cross_zone_interval_ms(own.availability, None, now_ms);
        let needed_by_all = self.is_needed_by_all(own.availability, now_ms);
        self.reach.update(&heartbeat, needed_by_all, now_ms);
        heartbeat.is_active = self.reach.is_active();
        heartbeat
    }

    /// When the heartbeat that a peer acknowledges was sent, if this process sent it. An earlier process of
    /// this instance may have used a different clock.
    pub(super) fn acknowledged_sent_ms(&self, echo: Option<Echo>) -> Option<u64> {
        let own = echo.filter(|it| it.incarnation == self.own_incarnation);
        own.map(|it| it.sent_ms)
    }

    /// Extends the time in which peers may be silent by a standstill of this process that has just ended.
    /// Heartbeats that arrived meanwhile have not been read yet, and those beyond the receive buffer are lost.
    pub(super) fn extend_silences(&mut self, standstill_ms: u64, now_ms: u64) {
        self.listening_since_ms = (self.listening_since_ms + standstill_ms).min(now_ms);
        for peer in self.peers.values_mut() {
            peer.extend_silence(standstill_ms, now_ms);
        }
    }

    /// Removes peers that have been silent for a long time.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.update_most_known();
        let own_zone = &self.own_zone;
        self.peers
            .retain(|_, peer| now_ms < peer.last_seen_ms() + peer.ttl_ms(own_zone));
    }

    pub(super) fn is_heard(&self, peer: &Peer, now_ms: u64) -> bool {
        peer.is_heard(self.timeout_ms(peer), now_ms)
    }

    /// How long the report of demand in a peer's newest heartbeat counts.
    pub(super) fn demand_ttl_ms(&self, instance: &InstanceId) -> Option<u64> {
        let peer = self.peers.get(instance);
        peer.map(|it| it.demand_ttl_ms(&self.own_zone))
    }

    pub(super) fn timeout_ms(&self, peer: &Peer) -> u64 {
        peer.timeout_ms(&self.own_zone)
    }
}
