//! What instances tell one another by datagram: that they live, what they hold, which endpoints
//! are unsound or leaving. A lost datagram is made good by the next.
//!
//! Heartbeats are binary: they are sent from each to each four times a second, and text takes three
//! times the bytes. All instances of a deployment must run the same release; one that does not
//! understand a datagram says so in its log and goes on alone.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::adapter::Adapter;
use super::checks::check_beside;
use super::node::Node;
use super::peer_book::{Heartbeat, OwnState};
use crate::clock::boot_ms;
use crate::placement::PlaceOrder;

/// Pause between two heartbeats.
const HEARTBEAT_MS: u64 = 250;
/// Longest datagram that arrives in one piece on any usual link is about 1,400 bytes; longer ones
/// are split by the network and still arrive.
const DATAGRAM_LIMIT_BYTES: usize = 32 << 10;
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
    let has_news = node.peers.borrow_mut().take_has_news();
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
    let bytes = match postcard::to_stdvec(&heartbeat) {
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
    node.peers.borrow_mut().forget_silent(boot_ms());
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
    let own = OwnState {
        availability: node.availability(),
        table: node.routes().map_or(0, |table| table.version),
        table_age_ms: node.table.borrow().age_ms(now_ms),
        held,
    };
    node.peers.borrow_mut().heartbeat(own, now_ms)
}

/// Takes a peer's word that the table in force here is the newest. The peer's heartbeat was sent
/// after it had heard the one of this instance that it names, so its table's age then, taken off
/// that sending time, is on the safe side however long both datagrams took.
fn confirm_table<A>(node: &Node<A>, heartbeat: &Heartbeat)
where
    A: Adapter,
{
    let version = node.routes().map(|table| table.version);
    if version != Some(heartbeat.table) {
        return;
    }
    let sent_ms = node.peers.borrow().own_sending_heard(heartbeat);
    // A time that has not come yet is not of this process, whatever the peer says.
    if let Some(sent_ms) = sent_ms.filter(|sent_ms| *sent_ms <= boot_ms()) {
        let newest_at_ms = sent_ms.saturating_sub(heartbeat.table_age_ms);
        node.table.borrow_mut().confirm(newest_at_ms);
    }
}

fn take<A>(node: &Rc<Node<A>>, bytes: &[u8], from: SocketAddr)
where
    A: Adapter,
{
    let heartbeat: Heartbeat = match postcard::from_bytes(bytes) {
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
    fleet.set_peers_load(&held);
    drop(fleet);
    for (endpoint, layers) in heartbeat.moving {
        let order = PlaceOrder { endpoint, layers };
        node.heard_moving(&order);
        node.orders_heard.borrow_mut().push(order);
    }
}
