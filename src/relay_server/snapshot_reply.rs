//! The response to a peer that synchronizes with this instance: what it lacks of the operator's document and the
//! endpoint list, as far as the link has capacity for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Response;
use actix_http::body::{BodySize, BoxBody, MessageBody};

use super::adapter::Adapter;
use super::document_changes::DocumentChanges;
use super::document_parts::{DocumentPart, DocumentQuery, DocumentReply};
use super::list_log::ListDelta;
use super::list_parts::{ListQuery, ListReply, RemainingList};
use super::list_sync::{self, ListUpdate};
use super::node::Node;
use super::peer_call::peer_response;
use super::query::query_pairs;
use super::snapshot::{Aged, KnownVersions, Snapshot};
use super::traffic::{TrafficKind, TrafficScope};
use super::uplink::Admission;
use crate::clock::boot_ms;

/// How long the changes between two documents are searched for. Requests of callers wait meanwhile.
const MAX_SEARCH: Duration = Duration::from_millis(5);

/// Responds to a peer's snapshot request. Changes to the endpoint list are sent even if the link
/// has no capacity for the document, because all instances must learn within two seconds that an
/// endpoint is leaving.
pub(super) fn respond<A>(node: &Node<A>, query: &str, peer: Option<SocketAddr>) -> Response<BoxBody>
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let known = KnownVersions::from_query(query);
    let document = document_reply(node, known, DocumentQuery::from_query(query), peer, now_ms);
    let list = list_reply(node, known, ListQuery::from_query(query), now_ms);
    let snapshot = Snapshot {
        document,
        endpoints: list.map(|content| Aged {
            content,
            age_ms: node.fleet.borrow().age_ms(now_ms),
        }),
    };
    node.counters.count("relay.snapshots.given");
    let response = peer_response(&snapshot);
    count_reply(node, &snapshot, &response, requester_scope(query));
    response
}

/// Whether the requester is of this instance's zone. It states that itself, since the port that it calls from
/// does not show which instance it is.
fn requester_scope(query: &str) -> TrafficScope {
    let scope = query_pairs(query).find_map(|(name, value)| (name == "scope").then_some(value));
    TrafficScope::from_value(scope.unwrap_or_default())
}

/// Counts the bytes of a response. All that is not of the document counts for the endpoint list.
fn count_reply<A>(
    node: &Node<A>,
    snapshot: &Snapshot,
    response: &Response<BoxBody>,
    scope: TrafficScope,
) where
    A: Adapter,
{
    let document_bytes = match &snapshot.document {
        DocumentReply::Part(part) => part.content.len(),
        DocumentReply::Changes(changes) => changes.estimated_bytes(),
        DocumentReply::Nothing | DocumentReply::Busy { .. } => 0,
    };
    let total_bytes = match response.body().size() {
        BodySize::Sized(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
        BodySize::None | BodySize::Stream => 0,
    };
    let list_bytes = total_bytes.saturating_sub(document_bytes);
    node.count_traffic(TrafficKind::Documents, scope, document_bytes);
    node.count_traffic(TrafficKind::EndpointLists, scope, list_bytes);
}

/// The part of a response that concerns the endpoint list, or `None` if there is nothing to send.
fn list_reply<A>(
    node: &Node<A>,
    known: KnownVersions,
    query: ListQuery,
    now_ms: u64,
) -> Option<ListReply>
where
    A: Adapter,
{
    let fleet = node.fleet.borrow();
    let log = node.list_log.borrow();
    if log.needs_full_list(known.list) && !query.wants_full {
        return None;
    }
    let ListUpdate { watermark, delta } = list_sync::update_since(&log, &fleet, known.list)?;
    let entries = match delta {
        ListDelta::Full(entries) => entries,
        delta => return Some(ListReply::Update(ListUpdate { watermark, delta })),
    };
    let remaining = RemainingList::new(watermark, entries, query);
    let admission = node
        .uplink
        .borrow_mut()
        .admit(remaining.estimated_bytes(), now_ms);
    Some(match admission {
        Admission::Granted { bytes } => {
            node.counters
                .add("relay.snapshots.list_bytes", bytes as u64);
            ListReply::Part(remaining.into_part(bytes))
        }
        Admission::Busy { wait_ms } => {
            node.counters.count("relay.snapshots.list_busy");
            ListReply::Busy { wait_ms }
        }
    })
}

/// The part of a response that concerns the document.
fn document_reply<A>(
    node: &Node<A>,
    known: KnownVersions,
    query: DocumentQuery,
    peer: Option<SocketAddr>,
    now_ms: u64,
) -> DocumentReply
where
    A: Adapter,
{
    let current = node.table.borrow();
    let newer = current.table().filter(|it| it.version > known.table);
    let (Some(table), Some(source)) = (newer.filter(|_| query.is_wanted), current.source()) else {
        return DocumentReply::Nothing;
    };
    let offset_bytes = query.resume_offset(table.version, source.len());
    let remaining = &source.as_bytes()[offset_bytes..];
    let peer = peer.map(|it| it.to_string());
    let changes = changes_shorter_than(node, known, query, remaining.len(), now_ms);
    let missing_bytes = changes
        .as_ref()
        .map_or(remaining.len(), DocumentChanges::estimated_bytes);
    let bytes = match node.uplink.borrow_mut().admit(missing_bytes, now_ms) {
        Admission::Granted { bytes } => bytes,
        Admission::Busy { wait_ms } => {
            node.counters.count("relay.snapshots.busy");
            log::debug!(peer, table = table.version, wait_ms; "link busy, part of the document not sent to peer");
            return DocumentReply::Busy { wait_ms };
        }
    };
    node.counters
        .add("relay.snapshots.document_bytes", bytes as u64);
    if let Some(changes) = changes.filter(|_| bytes == missing_bytes) {
        node.counters.count("relay.snapshots.document_changes");
        log::info!(peer, table = table.version, base = known.table, bytes; "sending changes of the document to peer");
        return DocumentReply::Changes(changes);
    }
    let is_last = bytes == remaining.len();
    log::info!(peer, table = table.version, from_bytes = offset_bytes, bytes, is_last; "sending part of the document to peer");
    DocumentReply::Part(DocumentPart {
        version: table.version,
        total_bytes: source.len() as u64,
        offset_bytes: offset_bytes as u64,
        content: remaining[..bytes].to_vec(),
        age_ms: current.age_ms(now_ms),
    })
}

/// What has changed since the version of a requester that accepts changes, if that takes fewer bytes than the rest
/// of the document that it lacks.
fn changes_shorter_than<A>(
    node: &Node<A>,
    known: KnownVersions,
    query: DocumentQuery,
    remaining_bytes: usize,
    now_ms: u64,
) -> Option<DocumentChanges>
where
    A: Adapter,
{
    if !query.takes_changes {
        return None;
    }
    let current = node.table.borrow();
    let age_ms = current.age_ms(now_ms);
    let history = node.document_history.borrow();
    let search_until = Instant::now() + MAX_SEARCH;
    let source = current.source()?;
    let changes = history.changes_since(known.table, source, age_ms, search_until)?;
    Some(changes).filter(|it| it.estimated_bytes() < remaining_bytes)
}
