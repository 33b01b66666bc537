//! Synchronization with peers: an instance that is behind fetches the operator's document and the
//! endpoint list, each with its age, from a peer. Most instances of a zone receive changes only in
//! this way.
//!
//! Heartbeats carry the versions that each instance knows. An instance that is behind sends an HTTP
//! request to the address of the heartbeats and names the versions that it has. HTTP is used
//! because a complete document does not fit into a datagram, and because versions that are
//! superseded in the meantime are never sent.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use super::adapter::{Adapter, FeedFailure};
use super::document_changes::{DocumentChanges, DocumentChangesError};
use super::document_parts::{
    CompleteDocument, DocumentPart, DocumentPartError, DocumentQuery, DocumentReply,
    PartialDocument,
};
use super::feeds::apply_table;
use super::list_parts::{ListPartError, ListQuery, ListReply, PartialList};
use super::list_sync::{self, ListUpdate};
use super::node::Node;
use super::peer::SyncSource;
use super::peer_call::{PeerCallError, call_peer};
use super::peer_selection::{FetchDecision, FetchRequest, PartialFetches, PeerSelector, SyncState};
use super::query::query_pairs;
use super::traffic::TrafficScope;
use crate::clients::HttpPeer;
use crate::clock::boot_ms;
use crate::ids::InstanceId;
use crate::route_table::TableWithSource;

/// Interval between two checks whether a peer has newer versions.
pub(super) const POLL_INTERVAL_MS: u64 = 250;
/// Longest snapshot that is accepted: the longest document and thousands of endpoints.
const MAX_SNAPSHOT_BYTES: usize = 8 << 20;
const SNAPSHOT_PATH: &str = "/snapshot";

/// Content with its age: the time since it was last known to be the newest, as of the response.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Aged<T> {
    pub(super) content: T,
    pub(super) age_ms: u64,
}

/// Response to a snapshot request.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Snapshot {
    pub(super) document: DocumentReply,
    /// `None` if the peer does not know the endpoint list.
    pub(super) endpoints: Option<Aged<ListReply>>,
}

/// Versions of the document and the endpoint list that an instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KnownVersions {
    /// Version of the route table, which is made from the document; 0 if there is none.
    pub(super) table: u64,
    /// Position up to which the endpoint list is known; 0 if it is not known.
    pub(super) list: u64,
}

impl KnownVersions {
    fn path(self, document: DocumentQuery, parts: ListQuery) -> String {
        let Self { table, list } = self;
        let (document, parts) = (document.to_query_string(), parts.to_query_string());
        format!("{SNAPSHOT_PATH}?table={table}&list={list}&{document}&{parts}")
    }

    /// Parses the query of a request. Missing and malformed values count as 0.
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

/// Why a snapshot request failed.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("{0}")]
    Call(#[from] PeerCallError),
    #[error("{0}")]
    DocumentPart(#[from] DocumentPartError),
    #[error("{0}")]
    DocumentChanges(#[from] DocumentChangesError),
    #[error("{0}")]
    ListPart(#[from] ListPartError),
    #[error("unusable document: {0}")]
    Document(#[from] FeedFailure),
}

/// Requests snapshots from peers that have newer versions, for as long as the process runs.
pub(super) async fn sync_from_peers<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut selector = PeerSelector::default();
    let mut received = ReceivedParts::default();
    loop {
        let pause_ms = match next_action(&node, &mut selector, &mut received) {
            FetchDecision::Fetch(request) => {
                match request_snapshot(&node, &mut selector, &mut received, &request).await {
                    Ok(true) => continue,
                    Ok(false) => POLL_INTERVAL_MS,
                    Err(error) => {
                        let peer = &request.peer;
                        log::warn!(peer:% = peer.address, failure:% = error; "snapshot request to peer failed");
                        selector.mark_failed(&peer.instance, boot_ms());
                        received.list.clear();
                        continue;
                    }
                }
            }
            FetchDecision::Wait { wait_ms } => wait_ms.min(POLL_INTERVAL_MS),
            FetchDecision::Idle => POLL_INTERVAL_MS,
        };
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = node.peer_ahead_notify.notified() => {}
        }
    }
}

/// Parts of a document and a list whose transfer has not finished.
#[derive(Debug, Default)]
struct ReceivedParts {
    document: PartialDocument,
    list: PartialList,
    /// The own version of the document to which changes could not be applied, if there is one: changes to it are
    /// not asked for again.
    unchangeable: Option<u64>,
}

fn next_action<A>(
    node: &Node<A>,
    selector: &mut PeerSelector,
    received: &mut ReceivedParts,
) -> FetchDecision
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let sync_sources = node.peers.borrow().sync_sources(now_ms);
    let known = own_versions(node);
    count_discarded(node, received.document.discard_known(known.table));
    received.list.clear_if_provider_lost(&sync_sources, known);
    let state = SyncState {
        behind_since_ms: selector.update_lag(&sync_sources, known, now_ms),
        reads_store: node.reads_store(),
        receives_store_updates: node.receives_store_updates(),
        list_age_ms: node.fleet.borrow().age_ms(now_ms),
    };
    let draw = node.random_u64();
    let partial = PartialFetches {
        document: received.document.version(),
        list_provider: received.list.provider(),
    };
    selector.next(&sync_sources, state, known, partial, draw, now_ms)
}

fn count_discarded<A>(node: &Node<A>, bytes: usize)
where
    A: Adapter,
{
    node.counters
        .add("relay.snapshots.wasted_bytes", bytes as u64);
}

fn own_versions<A>(node: &Node<A>) -> KnownVersions
where
    A: Adapter,
{
    KnownVersions {
        table: node.routes().map_or(0, |table| table.version),
        list: node.list_log.borrow().watermark().position,
    }
}

/// Requests a snapshot from a peer. Returns whether the response contained anything, be it only the
/// time to wait before the next request.
async fn request_snapshot<A>(
    node: &Rc<Node<A>>,
    selector: &mut PeerSelector,
    received: &mut ReceivedParts,
    request: &FetchRequest,
) -> Result<bool, SnapshotError>
where
    A: Adapter,
{
    let FetchRequest {
        peer,
        wants_document,
    } = request;
    let sent_ms = boot_ms();
    let known = own_versions(node);
    let takes_changes = received.unchangeable != Some(known.table);
    let document = received.document.query(*wants_document, takes_changes);
    let path = known.path(document, received.list.query(&peer.instance));
    let scope = TrafficScope::of_same_zone(peer.is_same_zone);
    let path = format!("{path}&scope={}", scope.value());
    let snapshot = fetch(peer, &path).await?;
    node.counters.count("relay.snapshots.taken");
    let mut has_content = false;
    if let Some(Aged { content, age_ms }) = snapshot.endpoints {
        let update = match content {
            ListReply::Update(update) => Some(update),
            ListReply::Part(part) => {
                has_content = true;
                received.list.add(part, &peer.instance)?
            }
            ListReply::Busy { wait_ms } => {
                has_content = true;
                selector.mark_list_busy(&peer.instance, wait_ms, boot_ms());
                None
            }
        };
        if let Some(update) = update {
            let newest_at_ms = sent_ms.saturating_sub(age_ms);
            apply_list_update(node, &peer.instance, update, known, newest_at_ms);
        }
    }
    match snapshot.document {
        DocumentReply::Nothing => Ok(has_content || own_versions(node) != known),
        DocumentReply::Busy { wait_ms } => {
            selector.mark_document_busy(&peer.instance, wait_ms, boot_ms());
            Ok(true)
        }
        DocumentReply::Part(part) => {
            add_document_part(node, &mut received.document, part, peer, sent_ms)?;
            Ok(true)
        }
        DocumentReply::Changes(changes) => {
            let applied = apply_document_changes(node, &changes, peer, sent_ms);
            if applied.is_err() {
                received.unchangeable = Some(changes.base_version);
            }
            applied.map(|()| true)
        }
    }
}

async fn fetch(peer: &SyncSource, path: &str) -> Result<Snapshot, PeerCallError> {
    // Opens a new connection, because one that was opened earlier may be the one that no longer
    // works.
    let http = HttpPeer::new(&format!("http://{}", peer.address));
    call_peer(&http, path, MAX_SNAPSHOT_BYTES).await
}

/// Adds a part that was requested at `sent_ms`, and applies the document if this was the last part.
/// The part's age was measured after `sent_ms`, so subtracting it from `sent_ms` gives a safe bound
/// however long the request and the response took.
fn add_document_part<A>(
    node: &Node<A>,
    partial: &mut PartialDocument,
    part: DocumentPart,
    peer: &SyncSource,
    sent_ms: u64,
) -> Result<(), SnapshotError>
where
    A: Adapter,
{
    let (complete, discarded_bytes) = partial.add(part, sent_ms)?;
    count_discarded(node, discarded_bytes);
    match complete {
        Some(complete) => apply_document(node, complete, peer, sent_ms),
        None => Ok(()),
    }
}

/// Applies changes that were requested at `sent_ms` to the document in force, unless another version has come into
/// force since.
fn apply_document_changes<A>(
    node: &Node<A>,
    changes: &DocumentChanges,
    peer: &SyncSource,
    sent_ms: u64,
) -> Result<(), SnapshotError>
where
    A: Adapter,
{
    let current = node.table.borrow();
    let is_base = current
        .table()
        .is_some_and(|table| table.version == changes.base_version);
    let Some(base) = current.source().filter(|_| is_base) else {
        return Ok(());
    };
    let content = changes.apply(base)?;
    drop(current);
    let newest_at_ms = sent_ms.saturating_sub(changes.age_ms);
    let complete = CompleteDocument {
        content,
        newest_at_ms,
    };
    apply_document(node, complete, peer, sent_ms)
}

fn apply_document<A>(
    node: &Node<A>,
    complete: CompleteDocument,
    peer: &SyncSource,
    sent_ms: u64,
) -> Result<(), SnapshotError>
where
    A: Adapter,
{
    let table = node.adapter.parse_table(&complete.content)?;
    log::info!(
        peer:% = peer.address,
        table = table.version,
        bytes = complete.content.len(),
        last_part_ms = boot_ms().saturating_sub(sent_ms);
        "received document from peers"
    );
    let source = complete.content;
    let sourced = TableWithSource { table, source };
    if apply_table(node, Some(sourced), complete.newest_at_ms) {
        node.request_heartbeat();
    }
    Ok(())
}

fn apply_list_update<A>(
    node: &Node<A>,
    peer: &InstanceId,
    update: ListUpdate,
    requested: KnownVersions,
    newest_at_ms: u64,
) where
    A: Adapter,
{
    let changes = list_sync::apply_update(
        &mut node.list_log.borrow_mut(),
        &mut node.fleet.borrow_mut(),
        peer,
        update,
        requested.list,
        newest_at_ms,
        boot_ms(),
    );
    node.update_informed();
    // Peers are not notified: this update came from a peer.
    node.apply_changes(&changes);
}
