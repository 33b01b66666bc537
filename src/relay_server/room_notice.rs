//! The word among instances that an engine has turned a request away for want of room.
//!
//! Each instance that has to find this out by itself pays a repeat for it and its caller a pause.
//! The word is short and goes out at once, beside the heartbeats, which are long and up to 250 ms apart.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::adapter::Adapter;
use super::node::Node;
use crate::clock::boot_ms;
use crate::ids::{EndpointId, InstanceId, ZoneName};

/// First byte of a notice. No heartbeat begins so: its first byte is the length of its sender's name.
const MARK: u8 = 0;
/// Pause between two notices of one instance, so that they take up little of its link however many
/// engines are full; what is found meanwhile goes with the next.
const PAUSE_MS: u64 = 50;
/// Most engines in a notice, so that it arrives in one piece.
const MOST_ENGINES: usize = 32;

/// Engines that turned a request of the sender away just now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RoomNotice {
    pub(super) instance: InstanceId,
    pub(super) full: Vec<EndpointId>,
}

/// Whether a datagram is a notice.
pub(super) fn is_notice(datagram: &[u8]) -> bool {
    datagram.first() == Some(&MARK)
}

/// Writes a notice.
pub(super) fn notice_bytes(notice: &RoomNotice) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(notice, vec![MARK])
}

/// Reads a notice.
pub(super) fn read_notice(datagram: &[u8]) -> Result<RoomNotice, postcard::Error> {
    postcard::from_bytes(datagram.get(1..).unwrap_or_default())
}

/// Sends notices whenever engines were found full, for as long as the process runs.
pub(super) async fn send_full_notices<A>(node: Rc<Node<A>>, socket: Rc<UdpSocket>)
where
    A: Adapter,
{
    loop {
        node.full_engines_notify.notified().await;
        send(&node, &socket).await;
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
}

async fn send<A>(node: &Node<A>, socket: &UdpSocket)
where
    A: Adapter,
{
    let mut full = node.unannounced_full_engines.take();
    full.truncate(MOST_ENGINES);
    if full.is_empty() {
        return;
    }
    let addresses = concerned(node, &full);
    let instance = node.settings.instance.clone();
    let bytes = match notice_bytes(&RoomNotice { instance, full }) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "notice of full engines cannot be written");
            return;
        }
    };
    node.counters.count("relay.full.told");
    for address in addresses {
        node.counters
            .add("relay.full.bytes_told", bytes.len() as u64);
        // A datagram that cannot be sent is like a lost one: its recipient finds out by itself.
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address, error:% = error; "notice of full engines was not sent");
        }
    }
}

/// Instances that may use these engines: those of the own zone, which has the same knowledge of loads,
/// and those of the engines' zones.
fn concerned<A>(node: &Node<A>, full: &[EndpointId]) -> Vec<SocketAddr> {
    let mut zones: IndexSet<ZoneName> = IndexSet::from([node.settings.zone.clone()]);
    let fleet = node.fleet.borrow();
    let known = full.iter().filter_map(|id| fleet.get(id));
    zones.extend(known.map(|known| known.listed.zone.clone()));
    node.peers.borrow().heard_in(&zones, boot_ms())
}

/// Takes a notice: its engines are done without for a while, as if they had turned a request of this
/// instance away. It is not passed on.
pub(super) fn take<A>(node: &Node<A>, datagram: &[u8], from: SocketAddr)
where
    A: Adapter,
{
    let notice = match read_notice(datagram) {
        Ok(notice) => notice,
        Err(error) => {
            log::warn!(peer:% = from, error:% = error; "notice is malformed");
            return;
        }
    };
    let now_ms = boot_ms();
    let mut fleet = node.fleet.borrow_mut();
    for id in &notice.full {
        if let Some(known) = fleet.get_mut(id)
            && known.health.record_full(now_ms)
        {
            node.counters.count("relay.full.heard");
            log::info!(endpoint = id.as_str(), peer = notice.instance.as_str(); "engine is full, a peer says");
        }
    }
}
