//! What instances tell one another by datagram: that they live, what they hold, which endpoints
//! are unsound or leaving. A lost datagram is made good by the next.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use super::adapter::Adapter;
use super::checks::check_beside;
use super::node::Node;
use super::settings::RelaySettings;
use crate::clock::boot_ms;
use crate::ids::{EndpointId, Incarnation, InstanceId, ZoneName};
use crate::placement::PlaceOrder;
use crate::wire::engine::LayerRange;

/// Pause between two heartbeats.
const HEARTBEAT_MS: u64 = 250;
/// Silence after which a peer is not named to callers any more: two heartbeats may be lost.
const SILENT_MS: u64 = 800;
/// Silence after which a peer is forgotten.
const FORGET_MS: u64 = 60_000;
/// How often news of an endpoint is told, in heartbeats.
const TELLINGS: u8 = 4;
/// Longest datagram that arrives in one piece on any usual link is about 1,400 bytes; longer ones
/// are split by the network and still arrive.
const DATAGRAM_LIMIT_BYTES: usize = 32 << 10;
/// Most addresses named to a caller.
const MOST_ADDRESSES: usize = 8;
/// Instances of the caller's zone that are enough for it; with fewer, all are named.
const ENOUGH_NEAR: usize = 2;

/// One datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    instance: InstanceId,
    incarnation: Incarnation,
    zone: ZoneName,
    /// Where callers connect.
    front: SocketAddr,
    #[serde(flatten)]
    availability: Availability,
    /// Version of the table of routes in force.
    table: u64,
    /// Age of that table.
    table_age_ms: u64,
    /// When it was sent, on the sender's clock.
    sent_ms: u64,
    /// The newest sending time heard from each peer, on that peer's clock.
    #[serde(default)]
    heard: Vec<(InstanceId, u64)>,
    /// Endpoints that do not answer.
    #[serde(default)]
    unsound: Vec<EndpointId>,
    /// Endpoints that are leaving or gone.
    #[serde(default)]
    leaving: Vec<EndpointId>,
    /// Engines that were ordered to hold other layers.
    #[serde(default)]
    moving: Vec<(EndpointId, LayerRange)>,
    /// Tokens times layers of this instance's streams by engine.
    #[serde(default)]
    held: Vec<(EndpointId, u64)>,
}

/// Whether callers should come to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Availability {
    /// It serves everybody.
    pub(crate) is_ready: bool,
    /// It serves, though it may have to refuse requests with keys.
    pub(crate) is_open: bool,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: Incarnation,
    zone: ZoneName,
    front: SocketAddr,
    availability: Availability,
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
    has_news: bool,
}

impl PeerBook {
    pub(crate) fn new(settings: &RelaySettings, incarnation: Incarnation) -> Self {
        Self {
            own_zone: settings.zone.clone(),
            own_front: settings.front,
            own_instance: settings.instance.clone(),
            own_incarnation: incarnation,
            peers: IndexMap::new(),
            unsound: IndexMap::new(),
            leaving: IndexMap::new(),
            moving: Vec::new(),
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

    /// Whether this instance comes first among those that are ready, by name.
    pub(crate) fn is_first(&self, now_ms: u64) -> bool {
        self.peers.iter().all(|(name, peer)| {
            !peer.availability.is_ready
                || !peer.is_heard(SILENT_MS, now_ms)
                || *name > self.own_instance
        })
    }

    /// Addresses for a caller of a zone: instances that serve everybody, or, if there are none,
    /// those that are open at all.
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
        let named = nearest(zone, all.iter().filter(|it| it.2.is_ready));
        if named.is_empty() {
            nearest(zone, all.iter().filter(|it| it.2.is_open))
        } else {
            named
        }
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

    fn hear(&mut self, heartbeat: &Heartbeat, address: SocketAddr, now_ms: u64) {
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
            heard_ms: Some(now_ms),
            sent_ms: heartbeat.sent_ms,
            held: heartbeat.held.clone(),
        };
        let known = self.peers.get(&heartbeat.instance);
        if known.is_none_or(|it| it.incarnation != peer.incarnation || it.heard_ms.is_none()) {
            log::info!(peer = heartbeat.instance.as_str(), address:% = address; "peer is heard");
        }
        self.peers.insert(heartbeat.instance.clone(), peer);
    }

    /// Tokens times layers that peers hold at each engine.
    fn held_by_peers(&self, now_ms: u64) -> IndexMap<EndpointId, u64> {
        let mut sums = IndexMap::new();
        for peer in self
            .peers
            .values()
            .filter(|it| it.is_heard(SILENT_MS, now_ms))
        {
            for (id, amount) in &peer.held {
                *sums.entry(id.clone()).or_insert(0) += amount;
            }
        }
        sums
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

/// Sends heartbeats and takes those of peers, for as long as the process runs.
pub(crate) async fn exchange<A>(node: Rc<Node<A>>, socket: UdpSocket)
where
    A: Adapter,
{
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    let mut ticks = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut news = node.news.subscribe();
    loop {
        tokio::select! {
            _ = ticks.tick() => send(&node, &socket).await,
            _ = news.changed() => send_news(&node, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => take(&node, &buffer[..length], from),
                // An earlier datagram met no listener; nothing is lost but that datagram.
                Err(error) => log::debug!(error:% = error; "datagram was not received"),
            },
        }
    }
}

async fn send_news<A>(node: &Rc<Node<A>>, socket: &UdpSocket)
where
    A: Adapter,
{
    let has_news = std::mem::take(&mut node.peers.borrow_mut().has_news);
    if has_news {
        send(node, socket).await;
    }
}

async fn send<A>(node: &Rc<Node<A>>, socket: &UdpSocket)
where
    A: Adapter,
{
    let addresses = node.peers.borrow().addresses();
    let heartbeat = own_heartbeat(node);
    let bytes = match serde_json::to_vec(&heartbeat) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "heartbeat cannot be written");
            return;
        }
    };
    for address in addresses {
        // A datagram that cannot be sent is like a lost one.
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address, error:% = error; "heartbeat was not sent");
        }
    }
    let now_ms = boot_ms();
    node.peers.borrow_mut().peers.retain(|_, peer| {
        let last_ms = peer
            .heard_ms
            .get_or_insert(now_ms.saturating_sub(SILENT_MS));
        now_ms < *last_ms + FORGET_MS
    });
}

fn own_heartbeat<A>(node: &Node<A>) -> Heartbeat
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let held = node
        .fleet
        .borrow()
        .iter()
        .filter(|known| known.held_token_layers > 0)
        .map(|known| (known.listed.id.clone(), known.held_token_layers))
        .collect();
    let mut peers = node.peers.borrow_mut();
    Heartbeat {
        instance: peers.own_instance.clone(),
        incarnation: peers.own_incarnation,
        zone: peers.own_zone.clone(),
        front: peers.own_front,
        availability: Availability {
            is_ready: node.is_ready(),
            is_open: node.is_open(),
        },
        table: node.routes().map_or(0, |table| table.version),
        table_age_ms: node.table.borrow().age_ms(now_ms),
        sent_ms: now_ms,
        heard: peers
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_heard(SILENT_MS, now_ms))
            .map(|(name, peer)| (name.clone(), peer.sent_ms))
            .collect(),
        unsound: PeerBook::take_news(&mut peers.unsound),
        leaving: PeerBook::take_news(&mut peers.leaving),
        moving: std::mem::take(&mut peers.moving),
        held,
    }
}

/// Takes a peer's word that the table in force here is the newest. The peer's heartbeat was sent
/// after it had heard the one of this instance that it names, so its table's age then, taken off
/// that sending time, is on the safe side however long both datagrams took.
fn confirm_table<A>(node: &Node<A>, heartbeat: &Heartbeat)
where
    A: Adapter,
{
    let own = &node.settings.instance;
    let named = heartbeat.heard.iter().find(|(name, _)| name == own);
    let version = node.routes().map(|table| table.version);
    if let Some((_, sent_ms)) = named
        && version == Some(heartbeat.table)
    {
        let newest_at_ms = sent_ms.saturating_sub(heartbeat.table_age_ms);
        node.table.borrow_mut().confirm(newest_at_ms);
    }
}

fn take<A>(node: &Rc<Node<A>>, bytes: &[u8], from: SocketAddr)
where
    A: Adapter,
{
    let heartbeat: Heartbeat = match serde_json::from_slice(bytes) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            log::warn!(peer:% = from, error:% = error; "datagram is malformed");
            return;
        }
    };
    let now_ms = boot_ms();
    let held = {
        let mut peers = node.peers.borrow_mut();
        peers.hear(&heartbeat, from, now_ms);
        peers.held_by_peers(now_ms)
    };
    confirm_table(node, &heartbeat);
    for id in &heartbeat.unsound {
        if let Some(stage) = node.told_unsound(id) {
            check_beside(node, &stage);
        }
    }
    let mut fleet = node.fleet.borrow_mut();
    for id in &heartbeat.leaving {
        if fleet.told_leaving(id, now_ms) {
            let peer = heartbeat.instance.as_str();
            log::info!(endpoint = id.as_str(), peer; "endpoint is leaving, a peer says");
        }
    }
    for (id, layers) in heartbeat.moving {
        if let Some(known) = fleet.get_mut(&id) {
            known.said_layers(None, now_ms);
        }
        node.orders_heard.borrow_mut().push(PlaceOrder {
            endpoint: id,
            layers,
        });
    }
    fleet.set_peers_load(&held);
}
