//! Transfer of the list of known instances within a zone. An instance that a peer of its zone surpasses
//! in the number of known instances asks that peer for its list. One that may not know all instances, or lacks the
//! key of request digests, asks a peer that reads the store. The store is then read by a few instances of a zone only.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::adapter::Adapter;
use super::node::Node;
use super::peer::InstanceRecord;
use super::peer_call::{PeerCallError, call_peer, peer_response};
use super::query::query_pairs;
use super::uplink::Admission;
use crate::clients::HttpPeer;
use crate::clock::boot_ms;
use crate::quarantine::DigestKey;

/// Path of the calls at the address for peers.
pub(super) const PEER_LIST_PATH: &str = "/peers";
/// Interval between checks whether a list is needed.
const POLL_INTERVAL_MS: u64 = 100;
/// Shortest pause between two complete lists, to which a jitter of the same length is added. While a whole
/// fleet starts, each list is soon outdated.
const LIST_PAUSE_MS: u64 = 500;
/// Longest reply that is accepted, many times the size of a part.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// Estimated size of a serialized entry; few are larger.
const ENTRY_BYTES: usize = 80;

/// An instance in a peer list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ListedPeer {
    pub(super) record: InstanceRecord,
    /// Interval in which its heartbeats reach every instance of other zones.
    pub(super) cross_zone_interval_ms: u32,
    /// Time since the sender of the list last heard it, or else learnt of it.
    pub(super) unseen_ms: u32,
}

/// A peer's reply.
#[derive(Debug, Serialize, Deserialize)]
enum PeerListReply {
    Part(PeerListPart),
    /// The sender's link has no capacity for a part.
    Busy {
        /// How long to wait before the next request.
        wait_ms: u64,
    },
}

/// A part of the list, ordered by name.
#[derive(Debug, Serialize, Deserialize)]
struct PeerListPart {
    /// Key of request digests, in hexadecimal, if the sender knows it.
    digest_key: Option<String>,
    entries: Vec<ListedPeer>,
    is_last: bool,
    /// Whether the sender knows all instances that have records.
    #[serde(default)]
    knows_all: bool,
}

/// Responds to a peer's request for the list.
pub(super) fn respond<A>(node: &Node<A>, query: &str) -> Response<BoxBody>
where
    A: Adapter,
{
    let from = query_pairs(query).find_map(|(name, value)| (name == "from").then_some(value));
    let from = from.and_then(|it| it.parse().ok()).unwrap_or(0);
    let now_ms = boot_ms();
    let mut entries = node.peers.borrow().listed(from, now_ms);
    let total_bytes = entries.len() * ENTRY_BYTES;
    let reply = match node.uplink.borrow_mut().admit(total_bytes, now_ms) {
        Admission::Granted { bytes } => {
            let is_last = bytes >= total_bytes;
            entries.truncate((bytes / ENTRY_BYTES).max(1));
            node.counters.count("relay.peer_lists.given");
            PeerListReply::Part(PeerListPart {
                digest_key: node.digest_key.borrow().as_ref().map(DigestKey::to_hex),
                entries,
                is_last,
                knows_all: node.peers.borrow().knows_all(),
            })
        }
        Admission::Busy { wait_ms } => PeerListReply::Busy { wait_ms },
    };
    peer_response(&reply)
}

/// Requests peer lists as needed, for as long as the process runs.
pub(super) async fn sync_peer_list<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    loop {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let lacks_key = node.digest_key.borrow().is_none();
        let random = node.random_u64();
        let source = node
            .peers
            .borrow()
            .peer_list_source(lacks_key, random, boot_ms());
        let Some(address) = source else {
            continue;
        };
        match fetch_list(&node, address).await {
            Ok(()) => {
                node.counters.count("relay.peer_lists.taken");
                node.are_records_loaded.set(true);
                node.update_store_reading(boot_ms());
            }
            Err(error) => {
                log::warn!(peer:% = address, failure:% = error; "peer list could not be fetched");
                node.counters.count("relay.peer_lists.failed");
            }
        }
        let pause_ms = LIST_PAUSE_MS + random % LIST_PAUSE_MS;
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Fetches all parts of a peer's list. If the list changes between two parts, entries may be skipped; the next
/// list has them.
async fn fetch_list<A>(node: &Node<A>, address: SocketAddr) -> Result<(), PeerCallError>
where
    A: Adapter,
{
    let peer = HttpPeer::new(&format!("http://{address}"));
    let mut from = 0;
    loop {
        let path = format!("{PEER_LIST_PATH}?from={from}");
        match call_peer(&peer, &path, MAX_REPLY_BYTES).await? {
            PeerListReply::Busy { wait_ms } => sleep(Duration::from_millis(wait_ms)).await,
            PeerListReply::Part(part) => {
                add_key(node, part.digest_key.as_deref());
                from += part.entries.len();
                let mut peers = node.peers.borrow_mut();
                peers.add_listed(part.entries, boot_ms());
                if part.is_last {
                    if part.knows_all {
                        peers.note_all_known();
                    }
                    return Ok(());
                }
            }
        }
    }
}

/// Takes over the key of request digests from a peer.
fn add_key<A>(node: &Node<A>, key: Option<&str>) {
    let Some(key) = key.filter(|_| node.digest_key.borrow().is_none()) else {
        return;
    };
    match DigestKey::from_hex(key) {
        Some(key) => *node.digest_key.borrow_mut() = Some(key),
        None => log::warn!("a peer's key of request digests is malformed"),
    }
}
