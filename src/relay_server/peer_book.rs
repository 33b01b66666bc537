//! What is known of the other instances, and what they must be told.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::settings::RelaySettings;
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::lease::LeaseHolder;
use crate::placement::PlaceOrder;
use crate::wire::engine::LayerRange;

/// Silence after which a peer is forgotten.
const FORGET_MS: u64 = 60_000;
/// Silence after which a peer is not named to callers any more: two heartbeats may be lost.
const SILENT_MS: u64 = 800;
/// Silence after which the holder of a lease is taken for ended: four heartbeats. It costs nothing but a
/// change of the holder if it lives, and a zone without a layer waits for nobody longer.
const HOLDER_SILENT_MS: u64 = 1_000;
/// How often news of an endpoint is told, in heartbeats.
const TELLINGS: u8 = 4;
/// Most addresses named to a caller.
const MOST_ADDRESSES: usize = 8;
/// Instances of the caller's zone that are enough for it; with fewer, all are named.
const ENOUGH_NEAR: usize = 2;

/// One datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    /// Where callers connect.
    pub(super) front: SocketAddr,
    pub(super) availability: Availability,
    /// Version of the table of routes in force.
    pub(super) table: u64,
    /// Age of that table.
    pub(super) table_age_ms: u64,
    /// When it was sent, on the sender's clock.
    pub(super) sent_ms: u64,
    /// The newest sending time heard from each peer, on that peer's clock.
    pub(super) heard: Vec<HeardFrom>,
    /// Endpoints that do not answer.
    pub(super) unsound: Vec<EndpointId>,
    /// Endpoints that are leaving or gone.
    pub(super) leaving: Vec<EndpointId>,
    /// Engines that were ordered to hold other layers.
    pub(super) moving: Vec<(EndpointId, LayerRange)>,
    /// Tokens times layers of this instance's streams by engine.
    pub(super) held: Vec<(EndpointId, u64)>,
    /// Leases on the orders to engines that this instance gave up, by service, and the highest
    /// fencing number it gave orders under.
    pub(super) given_up: Vec<(ServiceName, u64)>,
}

/// The newest heartbeat that an instance has from another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HeardFrom {
    instance: InstanceId,
    incarnation: Incarnation,
    /// When it was sent, on its sender's clock.
    sent_ms: u64,
}

/// What an instance says of itself.
#[derive(Clone, Debug)]
pub(crate) struct OwnState {
    /// Whether callers should come here.
    pub(crate) availability: Availability,
    /// Version of the table of routes in force.
    pub(crate) table: u64,
    /// Age of that table.
    pub(crate) table_age_ms: u64,
    /// Tokens times layers of this instance's streams by engine.
    pub(crate) held: Vec<(EndpointId, u64)>,
}

/// Whether callers should come to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Availability {
    /// It serves everybody.
    pub(crate) is_ready: bool,
    /// It serves, though it may have to refuse requests with keys.
    pub(crate) is_open: bool,
    /// The store answers it, so that it can take the lease on orders to engines.
    pub(crate) reaches_store: bool,
}

impl Availability {
    /// Whether the instance can give orders to engines.
    pub(crate) fn may_lead(self) -> bool {
        self.is_ready && self.reaches_store
    }
}

/// Whether the holder of a lease has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HolderEnd {
    /// It gives no more orders.
    Surely,
    /// It seems so; orders that it gives after all must be turned away by the engines.
    Perhaps,
    /// It may be at work.
    No,
}

/// A peer that may know what the store does not tell here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Informant {
    /// Where it is asked.
    pub(crate) address: SocketAddr,
    /// Version of its table of routes.
    pub(crate) table: u64,
    /// Whether the store answers it.
    pub(crate) reaches_store: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    zone: ZoneName,
    front: SocketAddr,
    availability: Availability,
    /// Version of its table of routes.
    table: u64,
    heard_ms: Option<u64>,
    /// When its newest heartbeat was sent, on its own clock.
    sent_ms: u64,
    held: Vec<(EndpointId, u64)>,
}

/// The other instances.
#[derive(Debug)]
pub(crate) struct PeerBook {
    own_zone: ZoneName,
    own_front: SocketAddr,
    own_instance: InstanceId,
    own_incarnation: Incarnation,
    peers: IndexMap<InstanceId, Peer>,
    unsound: IndexMap<EndpointId, u8>,
    leaving: IndexMap<EndpointId, u8>,
    moving: Vec<(EndpointId, LayerRange)>,
    /// Highest fencing number under which this instance gives no more orders.
    given_up: IndexMap<ServiceName, u64>,
    /// The same of peers.
    given_up_by_peers: IndexMap<ServiceName, u64>,
    /// Since when heartbeats are listened for.
    listening_since_ms: u64,
    has_news: bool,
}

impl PeerBook {
    pub(crate) fn new(settings: &RelaySettings, incarnation: Incarnation, now_ms: u64) -> Self {
        Self {
            own_zone: settings.zone.clone(),
            own_front: settings.front,
            own_instance: settings.instance.clone(),
            own_incarnation: incarnation,
            peers: IndexMap::new(),
            unsound: IndexMap::new(),
            leaving: IndexMap::new(),
            moving: Vec::new(),
            given_up: IndexMap::new(),
            given_up_by_peers: IndexMap::new(),
            listening_since_ms: now_ms,
            has_news: false,
        }
    }

    /// Takes a peer's record from the store; what the peer tells by itself goes before it.
    pub(crate) fn learn(
        &mut self,
        instance: InstanceId,
        address: SocketAddr,
        front: SocketAddr,
        zone: ZoneName,
        incarnation: Incarnation,
    ) {
        if instance == self.own_instance {
            return;
        }
        self.peers.entry(instance).or_insert(Peer {
            address,
            incarnation,
            zone,
            front,
            availability: Availability::default(),
            table: 0,
            heard_ms: None,
            sent_ms: 0,
            held: Vec::new(),
        });
    }

    /// Whom to send heartbeats to.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    /// Instances that share a budget, this one included. All that are on record count, since one
    /// that is only cut off goes on repeating, and a process that has just started has heard nobody.
    pub(crate) fn known_instances(&self) -> u32 {
        1 + u32::try_from(self.peers.len()).unwrap_or(u32::MAX - 1)
    }

    /// Whether this instance comes first, by name, among those that can give orders: they are ready,
    /// and the store, which keeps the lease, answers them.
    pub(crate) fn is_first(&self, now_ms: u64) -> bool {
        self.peers.iter().all(|(name, peer)| {
            !peer.availability.may_lead()
                || !peer.is_heard(SILENT_MS, now_ms)
                || *name > self.own_instance
        })
    }

    /// Peers to ask for what the store does not tell here, the one with the freshest table first.
    /// Those that the store answers go before others.
    pub(crate) fn informants(&self, now_ms: u64) -> Vec<Informant> {
        let mut heard: Vec<Informant> = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(SILENT_MS, now_ms) && peer.availability.is_open)
            .map(|peer| Informant {
                address: peer.address,
                table: peer.table,
                reaches_store: peer.availability.reaches_store,
            })
            .collect();
        heard.sort_by_key(|it| std::cmp::Reverse((it.reaches_store, it.table)));
        heard
    }

    /// Whether another instance serves everybody.
    pub(crate) fn others_serve(&self, now_ms: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.availability.is_ready && peer.is_heard(SILENT_MS, now_ms))
    }

    /// Addresses for a caller of a zone: instances that serve everybody and that the store answers; if
    /// there are none, those that serve everybody; if there are none, those that are open at all.
    /// One that the store turns away learns of changes a second later than the others.
    pub(crate) fn addresses_for(
        &self,
        zone: &ZoneName,
        own: Availability,
        now_ms: u64,
    ) -> Vec<SocketAddr> {
        let heard = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(SILENT_MS, now_ms))
            .map(|peer| (&peer.zone, peer.front, peer.availability));
        let own = (&self.own_zone, self.own_front, own);
        let all: Vec<(&ZoneName, SocketAddr, Availability)> =
            std::iter::once(own).chain(heard).collect();
        let fit: [fn(Availability) -> bool; 3] =
            [Availability::may_lead, |it| it.is_ready, |it| it.is_open];
        let mut named = fit
            .into_iter()
            .map(|is_fit| nearest(zone, all.iter().filter(|it| is_fit(it.2))));
        named.find(|it| !it.is_empty()).unwrap_or_default()
    }

    /// Has peers told that an endpoint does not answer.
    pub(crate) fn tell_unsound(&mut self, endpoint: &EndpointId) {
        self.unsound.insert(endpoint.clone(), TELLINGS);
        self.has_news = true;
    }

    /// Has peers told that an endpoint is leaving.
    pub(crate) fn tell_leaving(&mut self, endpoint: &EndpointId) {
        self.leaving.insert(endpoint.clone(), TELLINGS);
        self.has_news = true;
    }

    /// Has peers told that an engine is about to hold other layers.
    pub(crate) fn tell_moving(&mut self, order: &PlaceOrder) {
        self.moving.push((order.endpoint.clone(), order.layers));
        self.has_news = true;
    }

    /// Has peers told that this instance gives no more orders under this fencing number.
    pub(crate) fn tell_given_up(&mut self, service: &ServiceName, fence: u64) {
        self.given_up.insert(service.clone(), fence);
        self.has_news = true;
    }

    /// Whether the holder of a lease gives no more orders under it: it says so, another process runs
    /// in its place, or nothing has been heard of it for some heartbeats. The last may be wrong.
    pub(crate) fn has_ended(
        &self,
        service: &ServiceName,
        holder: &LeaseHolder,
        now_ms: u64,
    ) -> HolderEnd {
        let given_up = self.given_up_by_peers.get(service);
        if given_up.is_some_and(|fence| *fence >= holder.fence) {
            return HolderEnd::Surely;
        }
        let peer = self.peers.get(&holder.instance);
        let heard_ms = peer.and_then(|peer| peer.heard_ms);
        let is_replaced = peer.is_some_and(|peer| peer.incarnation != holder.incarnation);
        if is_replaced && heard_ms.is_some() {
            return HolderEnd::Surely;
        }
        let heard_ms = heard_ms.unwrap_or(0).max(self.listening_since_ms);
        if now_ms >= heard_ms + HOLDER_SILENT_MS && !holder.has_renewed {
            return HolderEnd::Perhaps;
        }
        HolderEnd::No
    }

    /// Takes a peer's heartbeat.
    pub(super) fn hear(&mut self, heartbeat: &Heartbeat, address: SocketAddr, now_ms: u64) {
        let own = (&self.own_instance, &self.own_incarnation);
        if (&heartbeat.instance, &heartbeat.incarnation) == own {
            return;
        }
        let peer = Peer {
            address,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone.clone(),
            front: heartbeat.front,
            availability: heartbeat.availability,
            table: heartbeat.table,
            heard_ms: Some(now_ms),
            sent_ms: heartbeat.sent_ms,
            held: heartbeat.held.clone(),
        };
        for (service, fence) in &heartbeat.given_up {
            let highest = self.given_up_by_peers.entry(service.clone()).or_insert(0);
            *highest = (*highest).max(*fence);
        }
        let known = self.peers.get(&heartbeat.instance);
        if known.is_none_or(|it| it.incarnation != peer.incarnation || it.heard_ms.is_none()) {
            log::info!(peer = heartbeat.instance.as_str(), address:% = address; "peer is heard");
        }
        self.peers.insert(heartbeat.instance.clone(), peer);
    }

    /// Tokens times layers that peers hold at each engine.
    pub(super) fn held_by_peers(&self, now_ms: u64) -> IndexMap<EndpointId, u64> {
        let mut sums = IndexMap::new();
        for peer in self
            .peers
            .values()
            .filter(|it| it.is_heard(SILENT_MS, now_ms))
        {
            for (id, amount) in &peer.held {
                let sum: &mut u64 = sums.entry(id.clone()).or_insert(0);
                *sum = sum.saturating_add(*amount);
            }
        }
        sums
    }

    /// Whether something must be told at once; asks once for each piece of news.
    pub(super) fn take_has_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// The next heartbeat; news of endpoints are told a few times and then dropped.
    pub(super) fn heartbeat(&mut self, own: OwnState, now_ms: u64) -> Heartbeat {
        let heard = self.peers.iter();
        let heard = heard.filter(|(_, peer)| peer.is_heard(SILENT_MS, now_ms));
        Heartbeat {
            instance: self.own_instance.clone(),
            incarnation: self.own_incarnation,
            zone: self.own_zone.clone(),
            front: self.own_front,
            availability: own.availability,
            table: own.table,
            table_age_ms: own.table_age_ms,
            sent_ms: now_ms,
            heard: heard
                .map(|(name, peer)| HeardFrom {
                    instance: name.clone(),
                    incarnation: peer.incarnation,
                    sent_ms: peer.sent_ms,
                })
                .collect(),
            unsound: Self::take_news(&mut self.unsound),
            leaving: Self::take_news(&mut self.leaving),
            moving: std::mem::take(&mut self.moving),
            held: own.held,
            given_up: self.given_up.clone().into_iter().collect(),
        }
    }

    /// When the newest heartbeat of this process that a peer has heard was sent. One of an earlier
    /// process of this instance does not count: its clock may have been another.
    pub(super) fn own_sending_heard(&self, heartbeat: &Heartbeat) -> Option<u64> {
        let own = |it: &&HeardFrom| {
            it.instance == self.own_instance && it.incarnation == self.own_incarnation
        };
        heartbeat.heard.iter().find(own).map(|it| it.sent_ms)
    }

    /// Forgets peers that have long been silent.
    pub(super) fn forget_silent(&mut self, now_ms: u64) {
        self.peers.retain(|_, peer| {
            let last_ms = peer
                .heard_ms
                .get_or_insert(now_ms.saturating_sub(SILENT_MS));
            now_ms < *last_ms + FORGET_MS
        });
    }

    fn take_news(list: &mut IndexMap<EndpointId, u8>) -> Vec<EndpointId> {
        let told = list.keys().cloned().collect();
        list.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
        told
    }
}

/// Instances of the zone, if they are enough for its callers, or else all.
fn nearest<'a, I>(zone: &ZoneName, fit: I) -> Vec<SocketAddr>
where
    I: Iterator<Item = &'a (&'a ZoneName, SocketAddr, Availability)>,
{
    let fit: Vec<_> = fit.collect();
    let near: Vec<SocketAddr> = fit
        .iter()
        .filter(|it| it.0 == zone)
        .map(|it| it.1)
        .collect();
    let mut named = if near.len() >= ENOUGH_NEAR {
        near
    } else {
        fit.into_iter().map(|it| it.1).collect()
    };
    named.truncate(MOST_ADDRESSES);
    named
}

impl Peer {
    fn is_heard(&self, within_ms: u64, now_ms: u64) -> bool {
        self.heard_ms
            .is_some_and(|at_ms| now_ms < at_ms + within_ms)
    }
}
