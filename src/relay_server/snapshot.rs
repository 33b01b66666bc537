//! What an instance takes from a peer that knows more: the operator's document and the list of
//! endpoints, each with its age. Most instances of a zone learn of changes only so.
//!
//! Heartbeats say how far each instance knows both. One that is behind asks over HTTP at the address of
//! the heartbeats, naming what it has: a whole document does not fit into a datagram, and versions that
//! are overtaken meanwhile are never sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use super::adapter::{Adapter, FeedFailure};
use super::document_parts::{DocumentNews, DocumentPart, DocumentParts, DocumentQuery, PartFault};
use super::feeds::apply_table;
use super::list_log::ListNews;
use super::list_parts::{ListOffer, ListPartFault, ListParts, ListQuery, ListRest};
use super::list_sync::{self, ListUpdate};
use super::node::Node;
use super::peer::SyncSource;
use super::peer_selection::{FetchDecision, FetchRequest, PartialFetches, PeerSelector, SyncState};
use super::query::query_pairs;
use super::uplink::Admission;
use crate::clients::{HttpCall, HttpFailure, HttpPeer};
use crate::clock::boot_ms;
use crate::ids::InstanceId;
use crate::route_table::TableWithSource;

/// Pause between two looks at whether a peer knows more.
pub(super) const LOOK_MS: u64 = 250;
/// Longest wait for a peer's snapshot: a connection, and one part of the document, which takes up
/// links of 20 Mbit/s for 25 ms. Whole documents would be thrown away half read by all that ask one
/// peer at once.
pub(super) const FETCH_TIMEOUT_MS: u64 = 400;
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
    /// The operator's document, or a part of it.
    document: DocumentNews,
    /// The list of endpoints, if it was read.
    endpoints: Option<Aged<ListOffer>>,
}

/// How far one that asks knows both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownVersions {
    /// Version of its table of routes; 0 if it has none.
    pub(super) table: u64,
    /// Position in the list of endpoints; 0 if it has none.
    pub(super) list: u64,
}

impl KnownVersions {
    fn path(self, document: DocumentQuery, parts: ListQuery) -> String {
        let Self { table, list } = self;
        let (document, parts) = (document.text(), parts.text());
        format!("{SNAPSHOT_PATH}?table={table}&list={list}&{document}&{parts}")
    }

    /// Reads the query of a question. What is missing or no number counts as not known.
    pub(super) fn from_query(query: &str) -> Self {
        let mut known = Self::default();
        for (name, value) in query_pairs(query) {
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
    #[error("{0}")]
    Part(#[from] PartFault),
    #[error("{0}")]
    ListPart(#[from] ListPartFault),
    #[error("the document cannot be used: {0}")]
    Document(#[from] FeedFailure),
}

/// Answers a peer's question. What has changed in the list of endpoints is told also where there is no
/// room for the document: one that leaves must be known everywhere within two seconds.
pub(super) fn respond<A>(node: &Node<A>, query: &str, peer: Option<SocketAddr>) -> Response<BoxBody>
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let known = KnownVersions::from_query(query);
    let document = document_for(node, known, DocumentQuery::from_query(query), peer, now_ms);
    let offer = list_for(node, known, ListQuery::from_query(query), now_ms);
    let snapshot = Snapshot {
        document,
        endpoints: offer.map(|content| Aged {
            content,
            age_ms: node.fleet.borrow().age_ms(now_ms),
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

/// What a peer that knows so far is told of the list of endpoints, where it is known here.
fn list_for<A>(
    node: &Node<A>,
    known: KnownVersions,
    query: ListQuery,
    now_ms: u64,
) -> Option<ListOffer>
where
    A: Adapter,
{
    let fleet = node.fleet.borrow();
    let log = node.list_log.borrow();
    if log.needs_whole(known.list) && !query.wants_whole {
        return None;
    }
    let ListUpdate { mark, news } = list_sync::update_since(&log, &fleet, known.list)?;
    let entries = match news {
        ListNews::Whole(entries) => entries,
        news => return Some(ListOffer::Update(ListUpdate { mark, news })),
    };
    let rest = ListRest::new(mark, entries, query);
    Some(match node.uplink.borrow_mut().admit(rest.bytes(), now_ms) {
        Admission::Granted { bytes } => {
            node.counters
                .add("relay.snapshots.list_bytes", bytes as u64);
            ListOffer::Part(rest.part(bytes))
        }
        Admission::Busy { wait_ms } => {
            node.counters.count("relay.snapshots.list_busy");
            ListOffer::Busy { wait_ms }
        }
    })
}

/// What a peer that knows so far is given of the document.
fn document_for<A>(
    node: &Node<A>,
    known: KnownVersions,
    query: DocumentQuery,
    peer: Option<SocketAddr>,
    now_ms: u64,
) -> DocumentNews
where
    A: Adapter,
{
    let held = node.table.borrow();
    let newer = held.table().filter(|it| it.version > known.table);
    let (Some(table), Some(source)) = (newer.filter(|_| query.is_wanted), held.source()) else {
        return DocumentNews::Nothing;
    };
    let begin_bytes = query.begin_bytes(table.version, source.len());
    let rest = &source.as_bytes()[begin_bytes..];
    let peer = peer.map(|it| it.to_string());
    match node.uplink.borrow_mut().admit(rest.len(), now_ms) {
        Admission::Granted { bytes } => {
            let counter = "relay.snapshots.document_bytes";
            node.counters.add(counter, bytes as u64);
            let is_last = bytes == rest.len();
            log::info!(peer, table = table.version, from_bytes = begin_bytes, bytes, is_last; "part of the document is handed over");
            DocumentNews::Part(DocumentPart {
                version: table.version,
                total_bytes: source.len() as u64,
                from_bytes: begin_bytes as u64,
                content: rest[..bytes].to_vec(),
                age_ms: held.age_ms(now_ms),
            })
        }
        Admission::Busy { wait_ms } => {
            node.counters.count("relay.snapshots.busy");
            log::debug!(peer, table = table.version, wait_ms; "no room for a part of the document");
            DocumentNews::Busy { wait_ms }
        }
    }
}

/// Asks peers whenever they know more than the store tells here, for as long as the process runs.
pub(super) async fn sync_from_peers<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut asking = PeerSelector::default();
    let mut parts = Parts::default();
    loop {
        let pause_ms = match look(&node, &mut asking, &mut parts) {
            FetchDecision::Fetch(question) => {
                match ask(&node, &mut asking, &mut parts, &question).await {
                    Ok(true) => continue,
                    Ok(false) => LOOK_MS,
                    Err(failure) => {
                        let peer = &question.peer;
                        log::warn!(peer:% = peer.address, failure:% = failure; "snapshot was not taken");
                        asking.mark_failed(&peer.instance, boot_ms());
                        parts.list.clear();
                        continue;
                    }
                }
            }
            FetchDecision::Wait { wait_ms } => wait_ms.min(LOOK_MS),
            FetchDecision::Idle => LOOK_MS,
        };
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = node.peer_ahead_notify.notified() => {}
        }
    }
}

/// What has been taken in part.
#[derive(Debug, Default)]
struct Parts {
    document: DocumentParts,
    list: ListParts,
}

fn look<A>(node: &Node<A>, asking: &mut PeerSelector, parts: &mut Parts) -> FetchDecision
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let sync_sources = node.peers.borrow().sync_sources(now_ms);
    let known = known_here(node);
    count_wasted(node, parts.document.drop_known(known.table));
    parts.list.drop_without_giver(&sync_sources, known);
    let knowledge = SyncState {
        behind_since_ms: asking.update_lag(&sync_sources, known, now_ms),
        reads_store: node.reads_store(),
        is_fed: node.receives_store_updates(),
        list_age_ms: node.fleet.borrow().age_ms(now_ms),
    };
    let draw = node.draw();
    let begun = PartialFetches {
        document: parts.document.version(),
        list_provider: parts.list.giver(),
    };
    asking.next(&sync_sources, knowledge, known, begun, draw, now_ms)
}

fn count_wasted<A>(node: &Node<A>, bytes: usize)
where
    A: Adapter,
{
    node.counters
        .add("relay.snapshots.wasted_bytes", bytes as u64);
}

fn known_here<A>(node: &Node<A>) -> KnownVersions
where
    A: Adapter,
{
    KnownVersions {
        table: node.routes().map_or(0, |table| table.version),
        list: node.list_log.borrow().watermark().position,
    }
}

/// Asks a peer. Returns whether that has brought anything, also the word to come again.
async fn ask<A>(
    node: &Rc<Node<A>>,
    asking: &mut PeerSelector,
    parts: &mut Parts,
    question: &FetchRequest,
) -> Result<bool, SnapshotFailure>
where
    A: Adapter,
{
    let FetchRequest {
        peer,
        wants_document,
    } = question;
    let sent_ms = boot_ms();
    let known = known_here(node);
    let document = parts.document.query(*wants_document);
    let path = known.path(document, parts.list.query(&peer.instance));
    let snapshot = fetch(peer, &path).await?;
    node.counters.count("relay.snapshots.taken");
    let mut has_brought = false;
    if let Some(Aged { content, age_ms }) = snapshot.endpoints {
        let update = match content {
            ListOffer::Update(update) => Some(update),
            ListOffer::Part(part) => {
                has_brought = true;
                parts.list.take(part, &peer.instance)?
            }
            ListOffer::Busy { wait_ms } => {
                has_brought = true;
                asking.mark_list_busy(&peer.instance, wait_ms, boot_ms());
                None
            }
        };
        if let Some(update) = update {
            let newest_at_ms = sent_ms.saturating_sub(age_ms);
            take_endpoints(node, &peer.instance, update, known, newest_at_ms);
        }
    }
    match snapshot.document {
        DocumentNews::Nothing => Ok(has_brought || known_here(node) != known),
        DocumentNews::Busy { wait_ms } => {
            asking.mark_document_busy(&peer.instance, wait_ms, boot_ms());
            Ok(true)
        }
        DocumentNews::Part(part) => {
            take_part(node, &mut parts.document, part, peer, sent_ms)?;
            Ok(true)
        }
    }
}

async fn fetch(peer: &SyncSource, path: &str) -> Result<Snapshot, SnapshotFailure> {
    // A connection of its own: what was open before may be what does not work.
    let http = HttpPeer::new(&format!("http://{}", peer.address));
    let call = HttpCall::get(path);
    let reply = http
        .call(call, FETCH_TIMEOUT_MS, SNAPSHOT_LIMIT_BYTES)
        .await?;
    if reply.status != StatusCode::OK.as_u16() {
        return Err(SnapshotFailure::Status(reply.status));
    }
    Ok(decode_snapshot(&reply.body)?)
}

pub(super) fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot, postcard::Error> {
    postcard::from_bytes(bytes)
}

/// Takes a part that was asked for at `sent_ms`, and the document if it is the last. Its age is of a
/// moment after that, so that what is counted from `sent_ms` is on the safe side however long question
/// and answer took.
fn take_part<A>(
    node: &Node<A>,
    parts: &mut DocumentParts,
    part: DocumentPart,
    peer: &SyncSource,
    sent_ms: u64,
) -> Result<(), SnapshotFailure>
where
    A: Adapter,
{
    let total_bytes = part.total_bytes;
    let (whole, dropped_bytes) = parts.take(part, sent_ms)?;
    count_wasted(node, dropped_bytes);
    if let Some(whole) = whole {
        let table = node.adapter.parse_table(&whole.content)?;
        log::info!(
            peer:% = peer.address,
            table = table.version,
            bytes = total_bytes,
            last_part_ms = boot_ms().saturating_sub(sent_ms);
            "document is taken from peers"
        );
        let source = whole.content;
        let sourced = TableWithSource { table, source };
        if apply_table(node, Some(sourced), whole.newest_at_ms) {
            node.request_heartbeat();
        }
    }
    Ok(())
}

fn take_endpoints<A>(
    node: &Node<A>,
    peer: &InstanceId,
    update: ListUpdate,
    asked_with: KnownVersions,
    newest_at_ms: u64,
) where
    A: Adapter,
{
    let changes = list_sync::take_update(
        &mut node.list_log.borrow_mut(),
        &mut node.fleet.borrow_mut(),
        peer,
        update,
        asked_with.list,
        newest_at_ms,
        boot_ms(),
    );
    node.update_informed();
    // Peers are not told: they know it better.
    node.apply_changes(&changes);
}
