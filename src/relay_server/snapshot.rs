//! What an instance takes from a peer that knows more: the operator's document and the list of
//! endpoints, each with its age. Most instances of a zone learn of changes only so.
//!
//! Heartbeats say how far each instance knows both. One that is behind asks over HTTP at the address of
//! the heartbeats, naming what it has: a whole document does not fit into a datagram, and versions that
//! are overtaken meanwhile are never sent.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use super::adapter::{Adapter, FeedFailure};
use super::asking::{Asking, Knowledge, Next};
use super::feeds::take_table;
use super::list_log::{ListMark, ListNews};
use super::node::Node;
use super::peer::Informant;
use super::uplink::Admission;
use crate::clients::{HttpCall, HttpFailure, HttpPeer};
use crate::clock::boot_ms;
use crate::fleet::InfoPath;
use crate::ids::InstanceId;
use crate::route_table::SourcedTable;

/// Pause between two looks at whether a peer knows more.
pub(super) const LOOK_MS: u64 = 250;
/// Longest wait for a peer's snapshot: a connection, and tens of kilobytes.
pub(super) const FETCH_TIMEOUT_MS: u64 = 400;
/// Peers asked at one look.
pub(super) const MOST_ASKED: usize = 2;
/// Longest snapshot that is read: the longest document and thousands of endpoints.
const SNAPSHOT_LIMIT_BYTES: usize = 8 << 20;
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
    /// The operator's document, if a newer one is known.
    document: Option<Aged<String>>,
    /// The list of endpoints, if it was read.
    endpoints: Option<Aged<ListUpdate>>,
}

/// What a peer tells of the list of endpoints.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListUpdate {
    /// How far the peer knows the list.
    mark: ListMark,
    news: ListNews,
}

/// How far one that asks knows both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Known {
    /// Version of its table of routes; 0 if it has none.
    pub(super) table: u64,
    /// Position in the list of endpoints; 0 if it has none.
    pub(super) list: u64,
}

impl Known {
    fn path(self) -> String {
        let Self { table, list } = self;
        format!("{SNAPSHOT_PATH}?table={table}&list={list}")
    }

    /// Reads the query of a question. What is missing or no number counts as not known.
    pub(super) fn from_query(query: &str) -> Self {
        let mut known = Self::default();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            let value = value.parse().unwrap_or(0);
            match name {
                "table" => known.table = value,
                "list" => known.list = value,
                _ => {}
            }
        }
        known
    }
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
pub(super) fn answer<A>(node: &Node<A>, known: Known) -> Response<BoxBody>
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let table = node.table.borrow();
    let fleet = node.fleet.borrow();
    let list_log = node.list_log.borrow();
    let is_newer = table.table().is_some_and(|it| it.version > known.table);
    let source = table.source().filter(|_| is_newer);
    if let Some(source) = source {
        let admission = node.uplink.borrow_mut().admit(source.len(), now_ms);
        let Admission::Given { bytes } = admission;
        node.counters
            .add("relay.snapshots.document_bytes", bytes as u64);
    }
    let snapshot = Snapshot {
        document: source.map(|source| Aged {
            content: source.to_owned(),
            age_ms: table.age_ms(now_ms),
        }),
        endpoints: fleet.is_known().then(|| Aged {
            content: ListUpdate {
                mark: list_log.mark(),
                news: list_log.news_since(known.list, || fleet.listing()),
            },
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

/// Asks peers whenever they know more than the store tells here, for as long as the process runs.
pub(super) async fn follow_peers<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut asking = Asking::default();
    let mut behind_since_ms = None;
    loop {
        tokio::select! {
            () = sleep(Duration::from_millis(LOOK_MS)) => {}
            () = node.peer_knows_more.notified() => {}
        }
        for _ in 0..MOST_ASKED {
            let now_ms = boot_ms();
            let informants = node.peers.borrow().informants(now_ms);
            let known = known_here(&node);
            if informants.iter().any(|peer| peer.knows_more(known)) {
                behind_since_ms.get_or_insert(now_ms);
            } else {
                behind_since_ms = None;
            }
            let knowledge = Knowledge {
                behind_since_ms,
                reads_store: node.reads_store(),
                is_fed: node.is_fed(),
                list_age_ms: node.fleet.borrow().age_ms(now_ms),
            };
            let next = asking.next(informants, knowledge, known, node.draw(), now_ms);
            let Next::Ask(peer) = next else { break };
            match ask(&node, &peer).await {
                Ok(()) => {
                    node.counters.count("relay.snapshots.taken");
                    break;
                }
                Err(failure) => {
                    log::warn!(peer:% = peer.address, failure:% = failure; "snapshot was not taken");
                    asking.failed(&peer.instance);
                }
            }
        }
    }
}

fn known_here<A>(node: &Node<A>) -> Known
where
    A: Adapter,
{
    Known {
        table: node.routes().map_or(0, |table| table.version),
        list: node.list_log.borrow().mark().position,
    }
}

async fn ask<A>(node: &Rc<Node<A>>, peer: &Informant) -> Result<(), SnapshotFailure>
where
    A: Adapter,
{
    let sent_ms = boot_ms();
    let known = known_here(node);
    let snapshot = fetch(peer, known).await?;
    take(node, peer, snapshot, known, sent_ms)
}

async fn fetch(peer: &Informant, known: Known) -> Result<Snapshot, SnapshotFailure> {
    // A connection of its own: what was open before may be what does not work.
    let http = HttpPeer::new(&format!("http://{}", peer.address));
    let path = known.path();
    let call = HttpCall::get(&path);
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
fn take<A>(
    node: &Rc<Node<A>>,
    peer: &Informant,
    snapshot: Snapshot,
    asked_with: Known,
    sent_ms: u64,
) -> Result<(), SnapshotFailure>
where
    A: Adapter,
{
    if let Some(endpoints) = snapshot.endpoints {
        take_endpoints(node, &peer.instance, endpoints, asked_with, sent_ms);
    }
    if let Some(document) = snapshot.document {
        let newest_at_ms = sent_ms.saturating_sub(document.age_ms);
        let table = node.adapter.read_table(&document.content)?;
        let source = document.content;
        take_table(node, Some(SourcedTable { table, source }), newest_at_ms);
    }
    Ok(())
}

fn take_endpoints<A>(
    node: &Node<A>,
    peer: &InstanceId,
    endpoints: Aged<ListUpdate>,
    asked_with: Known,
    sent_ms: u64,
) where
    A: Adapter,
{
    let now_ms = boot_ms();
    let newest_at_ms = sent_ms.saturating_sub(endpoints.age_ms);
    let ListUpdate { mark, news } = endpoints.content;
    let path = InfoPath::PeerList(peer.clone());
    let mut list_log = node.list_log.borrow_mut();
    let own = list_log.mark().position;
    let mut fleet = node.fleet.borrow_mut();
    let mut changes = Vec::new();
    match news {
        ListNews::Nothing => {}
        // They fit only behind what was known when they were asked for.
        ListNews::Changes(_) if own != asked_with.list => return,
        ListNews::Changes(reads) => {
            for it in reads {
                list_log.note(it.position, &it.read, it.was_away);
                changes.extend(fleet.take_by(&path, it.read, it.was_away, now_ms));
            }
        }
        ListNews::Whole(_) if own >= mark.position => return,
        ListNews::Whole(entries) => {
            list_log.restart(mark);
            changes = fleet.take_from_peer(peer, entries, now_ms);
        }
    }
    list_log.confirm(mark);
    fleet.confirm_by(path, newest_at_ms);
    drop(fleet);
    drop(list_log);
    // Peers are not told: they know it better.
    node.take_changes(&changes);
}
