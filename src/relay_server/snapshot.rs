//! What an instance that the store does not answer takes from a peer: the operator's document and
//! the list of endpoints, each with its age.
//!
//! Instances ask one another over HTTP at the address of their heartbeats: a whole document does
//! not fit into a datagram.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use super::adapter::{Adapter, FeedFailure};
use super::feeds::take_table;
use super::node::Node;
use super::peer_book::Informant;
use crate::clients::{HttpCall, HttpFailure, HttpPeer};
use crate::clock::boot_ms;
use crate::fleet::ListedEndpoint;
use crate::route_table::SourcedTable;

/// Pause between two looks at whether a peer knows more.
const LOOK_MS: u64 = 250;
/// How long a peer must have had a newer table before it is asked: the own watch of the store brings
/// a new version within tens of milliseconds of the others'.
const BEHIND_MS: u64 = 500;
/// Age of the endpoint list from which a peer is asked for its own: a read of the store that waited
/// for a change in vain and the next one's timeout are over by then.
const OLD_LIST_MS: u64 = 3_000;
/// Longest wait for a peer's snapshot: a connection, and tens of kilobytes.
const FETCH_TIMEOUT_MS: u64 = 400;
/// Longest snapshot that is read: the longest document and thousands of endpoints.
const SNAPSHOT_LIMIT_BYTES: usize = 8 << 20;
/// Peers asked at one look.
const MOST_ASKED: usize = 2;
/// Path of the snapshot.
const SNAPSHOT_PATH: &str = "/snapshot";

/// Something and how long before the answer it was surely the newest.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Aged<T> {
    content: T,
    age_ms: u64,
}

/// What a peer hands over.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Snapshot {
    /// The operator's document, if any was read.
    document: Option<Aged<String>>,
    /// The list of endpoints, if it was read.
    endpoints: Option<Aged<Vec<ListedEndpoint>>>,
}

/// Why a peer gave nothing that can be used.
#[derive(Debug, Error)]
enum SnapshotFailure {
    #[error("{0}")]
    Call(#[from] HttpFailure),
    #[error("the peer answered with status {0}")]
    Status(u16),
    #[error("the snapshot is malformed: {0}")]
    Malformed(#[from] postcard::Error),
    #[error("the document cannot be used: {0}")]
    Document(#[from] FeedFailure),
}

/// Answers a peer's question.
pub(super) fn answer<A>(node: &Node<A>) -> Response<BoxBody>
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let table = node.table.borrow();
    let fleet = node.fleet.borrow();
    let snapshot = Snapshot {
        document: table.source().map(|source| Aged {
            content: source.to_owned(),
            age_ms: table.age_ms(now_ms),
        }),
        endpoints: fleet.is_known().then(|| Aged {
            content: fleet.listing(),
            age_ms: fleet.age_ms(now_ms),
        }),
    };
    node.counters.count("relay.snapshots.given");
    match postcard::to_stdvec(&snapshot) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(error) => {
            log::error!(error:% = error; "snapshot cannot be written");
            Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, BoxBody::new(()))
        }
    }
}

/// How fresh an instance's own knowledge is.
#[derive(Clone, Copy, Debug)]
pub(super) struct Knowledge {
    /// Since when a peer has had a newer table.
    pub(super) behind_since_ms: Option<u64>,
    /// Whether the store answered the newest call that has ended.
    pub(super) store_answers: bool,
    /// Age of the list of endpoints.
    pub(super) list_age_ms: u64,
}

impl Knowledge {
    /// Whether a peer is to be asked. A list that is old though the store answers has not changed: it
    /// reaches 3.65 s whenever two watches in a row end in vain.
    pub(super) fn is_wanting(self, now_ms: u64) -> bool {
        let is_behind = self
            .behind_since_ms
            .is_some_and(|since| now_ms >= since + BEHIND_MS);
        let is_list_old = !self.store_answers && self.list_age_ms >= OLD_LIST_MS;
        is_behind || is_list_old
    }
}

/// Asks peers whenever they know more than the store tells here, for as long as the process runs.
pub(super) async fn follow_peers<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut behind_since_ms = None;
    loop {
        sleep(Duration::from_millis(LOOK_MS)).await;
        let now_ms = boot_ms();
        let informants = node.peers.borrow().informants(now_ms);
        let own_table = node.routes().map_or(0, |table| table.version);
        if informants.iter().any(|peer| peer.table > own_table) {
            behind_since_ms.get_or_insert(now_ms);
        } else {
            behind_since_ms = None;
        }
        let knowledge = Knowledge {
            behind_since_ms,
            store_answers: node.store_answers.get(),
            list_age_ms: node.fleet.borrow().age_ms(now_ms),
        };
        if knowledge.is_wanting(now_ms) {
            ask(&node, &informants).await;
        }
    }
}

async fn ask<A>(node: &Rc<Node<A>>, informants: &[Informant])
where
    A: Adapter,
{
    for peer in informants.iter().take(MOST_ASKED) {
        let sent_ms = boot_ms();
        let taken = match fetch(peer).await {
            Ok(snapshot) => take(node, snapshot, sent_ms),
            Err(failure) => Err(failure),
        };
        match taken {
            Ok(()) => return node.counters.count("relay.snapshots.taken"),
            Err(failure) => {
                log::warn!(peer:% = peer.address, failure:% = failure; "snapshot was not taken");
            }
        }
    }
}

async fn fetch(peer: &Informant) -> Result<Snapshot, SnapshotFailure> {
    // A connection of its own: what was open before may be what does not work.
    let http = HttpPeer::new(&format!("http://{}", peer.address));
    let call = HttpCall::get(SNAPSHOT_PATH);
    let reply = http
        .call(call, FETCH_TIMEOUT_MS, SNAPSHOT_LIMIT_BYTES)
        .await?;
    if reply.status != StatusCode::OK.as_u16() {
        return Err(SnapshotFailure::Status(reply.status));
    }
    Ok(read_snapshot(&reply.body)?)
}

pub(super) fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Takes a snapshot that was asked for at `sent_ms`. Its ages are of a moment after that, so that
/// what is counted from `sent_ms` is on the safe side however long question and answer took.
fn take<A>(node: &Rc<Node<A>>, snapshot: Snapshot, sent_ms: u64) -> Result<(), SnapshotFailure>
where
    A: Adapter,
{
    if let Some(endpoints) = snapshot.endpoints {
        take_endpoints(node, endpoints, sent_ms);
    }
    if let Some(document) = snapshot.document {
        let newest_at_ms = sent_ms.saturating_sub(document.age_ms);
        let table = node.adapter.read_table(&document.content)?;
        let source = document.content;
        take_table(node, Some(SourcedTable { table, source }), newest_at_ms);
    }
    Ok(())
}

fn take_endpoints<A>(node: &Node<A>, endpoints: Aged<Vec<ListedEndpoint>>, sent_ms: u64)
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let newest_at_ms = sent_ms.saturating_sub(endpoints.age_ms);
    let mut fleet = node.fleet.borrow_mut();
    let own_newest_at_ms = now_ms.saturating_sub(fleet.age_ms(now_ms));
    if newest_at_ms <= own_newest_at_ms {
        return;
    }
    let changes = fleet.take_from_peer(endpoints.content, now_ms);
    fleet.confirm(newest_at_ms);
    drop(fleet);
    // Peers are not told: they know it better.
    node.take_changes(&changes);
}
