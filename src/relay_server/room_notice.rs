//! Notices by which instances inform one another that an engine has rejected a request because it is full.
//!
//! An instance that has to find this out for itself spends a retry on it, and its caller waits. Notices are
//! short and sent at once, whereas heartbeats are long and up to 250 ms apart.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::adapter::Adapter;
use super::node::Node;
use super::traffic::{TrafficKind, TrafficScope};
use crate::clock::boot_ms;
use crate::ids::{EndpointId, InstanceId, ZoneName};

/// First byte of a notice. A heartbeat cannot start with 0, as its first byte is the length of its sender's
/// name.
const NOTICE_TAG: u8 = 0;
/// Minimum interval between two notices of one instance, which limits their use of its link however many
/// engines are full. Engines found full in the meantime are included in the next notice.
const MIN_NOTICE_INTERVAL_MS: u64 = 50;
/// Keeps a notice short enough for a single unfragmented datagram.
const MAX_ENGINES: usize = 32;

/// Engines that have just rejected a request of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RoomNotice {
    pub(super) instance: InstanceId,
    pub(super) full: Vec<EndpointId>,
}

pub(super) fn is_notice(datagram: &[u8]) -> bool {
    datagram.first() == Some(&NOTICE_TAG)
}

pub(super) fn notice_bytes(notice: &RoomNotice) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(notice, vec![NOTICE_TAG])
}

pub(super) fn read_notice(datagram: &[u8]) -> Result<RoomNotice, postcard::Error> {
    postcard::from_bytes(datagram.get(1..).unwrap_or_default())
}

/// Sends a notice whenever engines were found full, for as long as the process runs.
pub(super) async fn send_full_notices<A>(node: Rc<Node<A>>, socket: Rc<UdpSocket>)
where
    A: Adapter,
{
    loop {
        node.full_engines_notify.notified().await;
        send(&node, &socket).await;
        sleep(Duration::from_millis(MIN_NOTICE_INTERVAL_MS)).await;
    }
}

async fn send<A>(node: &Node<A>, socket: &UdpSocket)
where
    A: Adapter,
{
    let mut full = node.unannounced_full_engines.take();
    full.truncate(MAX_ENGINES);
    if full.is_empty() {
        return;
    }
    let addresses = recipients(node, &full);
    let instance = node.settings.instance.clone();
    let bytes = match notice_bytes(&RoomNotice { instance, full }) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "notice of full engines could not be encoded");
            return;
        }
    };
    node.counters.count("relay.full.told");
    for (address, scope) in addresses {
        node.count_traffic(TrafficKind::FullNotices, scope, bytes.len());
        node.counters
            .add("relay.full.bytes_told", bytes.len() as u64);
        // Treated like a datagram that the network loses: the recipient finds out for itself.
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address, error:% = error; "notice of full engines could not be sent");
        }
    }
}

/// Addresses of instances that may choose these engines: those of the own zone, which know the same loads,
/// and those of the engines' zones.
fn recipients<A>(node: &Node<A>, full: &[EndpointId]) -> Vec<(SocketAddr, TrafficScope)> {
    let mut zones: IndexSet<ZoneName> = IndexSet::from([node.settings.zone.clone()]);
    let fleet = node.fleet.borrow();
    let known = full.iter().filter_map(|id| fleet.get(id));
    zones.extend(known.map(|known| known.listed.zone.clone()));
    node.peers.borrow().addresses_in(&zones, boot_ms())
}

/// Applies a notice: its engines are avoided for some time, as if they had rejected a request of this
/// instance. The notice is not forwarded.
pub(super) fn receive<A>(node: &Node<A>, datagram: &[u8], from: SocketAddr)
where
    A: Adapter,
{
    let notice = match read_notice(datagram) {
        Ok(notice) => notice,
        Err(error) => {
            log::warn!(peer:% = from, error:% = error; "notice of full engines is malformed");
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
            log::info!(endpoint = id.as_str(), peer = notice.instance.as_str(); "peer reports that engine is full");
        }
    }
}
