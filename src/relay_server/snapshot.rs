//! What an instance takes from a peer that knows more: the operator's document and the list of
//! endpoints, each with its age. Most instances of a zone learn of changes only so.
//!
//! Heartbeats say how far each instance knows both. One that is behind asks over HTTP at the address of
//! the heartbeats, naming what it has: a whole document does not fit into a datagram, and versions that
//! are overtaken meanwhile are never sent.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::time::sleep;

use super::adapter::{Adapter, FeedFailure};
use super::feeds::take_table;
use super::list_sync::{self, ListUpdate};
use super::node::Node;
use super::peer::Informant;
use crate::clients::{HttpCall, HttpFailure, HttpPeer};
use crate::clock::boot_ms;
use crate::ids::InstanceId;
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
    /// The operator's document, if a newer one is known.
    document: Option<Aged<String>>,
    /// The list of endpoints, if it was read.
    endpoints: Option<Aged<ListUpdate>>,
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
    let update = list_sync::update_since(&node.list_log.borrow(), &fleet, known.list);
    let is_newer = table.table().is_some_and(|it| it.version > known.table);
    let source = table.source().filter(|_| is_newer);
    let snapshot = Snapshot {
        document: source.map(|source| Aged {
            content: source.to_owned(),
            age_ms: table.age_ms(now_ms),
        }),
        endpoints: update.map(|content| Aged {
            content,
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
    /// Whether the store is read here: its answers bring what peers know as soon as theirs do.
    pub(super) reads_store: bool,
    /// Whether the store answers here, or somebody in the zone.
    pub(super) is_fed: bool,
    /// Age of the list of endpoints.
    pub(super) list_age_ms: u64,
}

impl Knowledge {
    /// Whether a peer is to be asked. A list that is old though the store answers has not changed: it
    /// reaches 3.65 s whenever two watches in a row end in vain.
    pub(super) fn is_wanting(self, now_ms: u64) -> bool {
        let patience_ms = if self.reads_store { BEHIND_MS } else { 0 };
        let is_behind = self
            .behind_since_ms
            .is_some_and(|since| now_ms >= since + patience_ms);
        let is_list_old = !self.is_fed && self.list_age_ms >= OLD_LIST_MS;
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
        tokio::select! {
            () = sleep(Duration::from_millis(LOOK_MS)) => {}
            () = node.peer_knows_more.notified() => {}
        }
        let now_ms = boot_ms();
        let mut informants = node.peers.borrow().informants(now_ms);
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
        if knowledge.is_wanting(now_ms) {
            put_best_first(&mut informants, known, node.draw());
            ask(&node, &informants).await;
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

/// Puts those in front that know more, are in the zone, and are answered by the store. `draw` picks one
/// among equals, so that a zone's instances do not all ask the same.
pub(super) fn put_best_first(informants: &mut [Informant], known: Known, draw: u64) {
    let order = |it: &Informant| Reverse((it.knows_more(known), it.is_near, it.reaches_store));
    informants.sort_by_key(order);
    let Some(best) = informants.first().map(order) else {
        return;
    };
    let equals = informants.partition_point(|it| order(it) <= best);
    let chosen = draw % equals as u64;
    informants[..equals].rotate_left(chosen as usize);
}

async fn ask<A>(node: &Rc<Node<A>>, informants: &[Informant])
where
    A: Adapter,
{
    for peer in informants.iter().take(MOST_ASKED) {
        let sent_ms = boot_ms();
        let known = known_here(node);
        let taken = match fetch(peer, known).await {
            Ok(snapshot) => take(node, peer, snapshot, known, sent_ms),
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
    let changes = list_sync::take_update(
        &mut node.list_log.borrow_mut(),
        &mut node.fleet.borrow_mut(),
        peer,
        endpoints.content,
        asked_with.list,
        sent_ms.saturating_sub(endpoints.age_ms),
        boot_ms(),
    );
    // Peers are not told: they know it better.
    node.take_changes(&changes);
}
