//! Watches the route table and the endpoint list in the platform's store.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::adapter::{Adapter, DeploymentFeeds, FeedFailure, FeedRead};
use super::list_sync;
use super::node::Node;
use super::store_calls::StoreCall;
use crate::clock::boot_ms;
use crate::fleet::ListingRead;
use crate::route_table::{TableChange, TableWithSource};

/// How long a watch waits in the store for a change. When the store becomes unreachable, the table
/// is at most this old, which leaves 3.2 s of the 4.9 s for which keys in it are trusted. A shorter
/// wait leaves more but costs more calls.
const WATCH_WAIT_MS: u64 = 1_700;
/// Pause between watches of the endpoint list, so that a series of changes takes few calls. The
/// store does not report heartbeats that change nothing else, so most watches return empty in
/// normal operation.
const ENDPOINTS_PAUSE_MS: u64 = 250;
/// Pause after a failed call.
const RETRY_INTERVAL_MS: u64 = 250;
/// Pause after a failed call at an instance that reads in place of its zone's usual readers. While
/// the store is unreachable, all instances of a zone start reading one after another; hundreds of
/// them must not overload the store when it recovers.
const SUBSTITUTE_RETRY_INTERVAL_MS: u64 = 1_000;

/// Keeps the route table up to date until the process exits.
pub(crate) async fn follow_table<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut position = None;
    let mut wait_ms = WATCH_WAIT_MS;
    let mut reading = node.reads_store.subscribe();
    loop {
        if wait_until_reading(&mut reading).await {
            position = None;
        }
        let sent_ms = boot_ms();
        let read = node.adapter.store().table(position, wait_ms).await;
        node.count_store_call(StoreCall::Table, read.is_ok());
        wait_ms = next_wait_ms(&read);
        match read {
            Ok(read) => {
                record_store_answer(&node);
                position = Some(read.position);
                if apply_table(&node, read.content, sent_ms) {
                    node.request_heartbeat();
                }
            }
            Err(FeedFailure::HistoryGone) => {
                log::info!(position; "store no longer has the route table's history; reading the full table");
                position = None;
            }
            Err(failure) => {
                record_store_failure(&node, &failure, "table");
                if matches!(failure, FeedFailure::Malformed(_)) {
                    position = None;
                }
                sleep(Duration::from_millis(retry_interval_ms(&node))).await;
            }
        }
    }
}

/// How long the next watch waits in the store. After a failed one it does not wait, so that its timeout is short:
/// if the store stays silent, that is noticed soon, and so are changes once it answers.
fn next_wait_ms<T>(last: &Result<T, FeedFailure>) -> u64 {
    match last {
        Ok(_) => WATCH_WAIT_MS,
        Err(_) => 0,
    }
}

/// Waits until this instance is to read the store. Returns whether it had to wait, in which case
/// the previous read is out of date.
async fn wait_until_reading(reading: &mut watch::Receiver<bool>) -> bool {
    let must_wait = !*reading.borrow();
    if must_wait && reading.wait_for(|reads| *reads).await.is_err() {
        log::error!("the task that decides whether to read the store has stopped");
    }
    must_wait
}

fn retry_interval_ms<A>(node: &Node<A>) -> u64
where
    A: Adapter,
{
    if node.peers.borrow().is_top_ranked_in_zone(boot_ms()) {
        RETRY_INTERVAL_MS
    } else {
        SUBSTITUTE_RETRY_INTERVAL_MS
    }
}

/// Applies the result of a table read that was sent at `sent_ms`; `None` means that there is no
/// newer table. Returns whether a new table has come into force.
pub(super) fn apply_table<A>(node: &Node<A>, read: Option<TableWithSource>, sent_ms: u64) -> bool {
    let Some(sourced) = read else {
        node.table.borrow_mut().confirm(sent_ms);
        return false;
    };
    let version = sourced.table.version;
    let change = node.table.borrow_mut().update(sourced, sent_ms);
    node.update_informed();
    match change {
        TableChange::Applied => {
            log::info!(table = version, read_sent_ms = sent_ms; "route table is in force");
            node.counters.count("relay.tables");
            remember_document(node, version);
        }
        TableChange::Confirmed => {}
        TableChange::Stale => log::warn!(table = version; "ignored an older route table"),
    }
    change == TableChange::Applied
}

/// Remembers the document in force, so that peers with older versions can be sent what has changed.
fn remember_document<A>(node: &Node<A>, version: u64) {
    let table = node.table.borrow();
    if let Some(source) = table.source() {
        node.document_history.borrow_mut().record(version, source);
    }
}

/// Keeps the endpoint list up to date until the process exits.
pub(crate) async fn follow_endpoints<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut position = None;
    let mut wait_ms = WATCH_WAIT_MS;
    let mut reading = node.reads_store.subscribe();
    loop {
        if wait_until_reading(&mut reading).await {
            position = None;
        }
        let sent_ms = boot_ms();
        let read = node.adapter.store().endpoints(position, wait_ms).await;
        node.count_store_call(StoreCall::Endpoints, read.is_ok());
        wait_ms = next_wait_ms(&read);
        let pause_ms = match read {
            Ok(read) => {
                record_store_answer(&node);
                position = Some(read.position);
                apply_endpoints(&node, read, sent_ms);
                ENDPOINTS_PAUSE_MS
            }
            Err(FeedFailure::HistoryGone) => {
                log::info!(position; "store no longer has the endpoint list's history; reading the full list");
                position = None;
                0
            }
            Err(failure) => {
                record_store_failure(&node, &failure, "endpoints");
                if matches!(failure, FeedFailure::Malformed(_)) {
                    position = None;
                }
                retry_interval_ms(&node)
            }
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Applies a read of the endpoint list, and requests a heartbeat to peers if it changed anything.
fn apply_endpoints<A>(node: &Node<A>, read: FeedRead<ListingRead>, sent_ms: u64)
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let after_outage = node.store.get().is_unavailable(now_ms);
    let position = read.position;
    let applied = list_sync::apply_read(
        &mut node.list_log.borrow_mut(),
        &mut node.fleet.borrow_mut(),
        read,
        after_outage,
        sent_ms,
        now_ms,
    );
    if applied.is_outdated {
        node.counters.count("relay.store.outdated_lists");
        let known = node.list_log.borrow().watermark().position;
        log::info!(position, known; "read of the endpoint list is older than what is known");
    }
    node.update_informed();
    node.apply_list_changes(&applied.changes);
    if applied.must_notify_peers {
        node.request_heartbeat();
    }
}

fn record_store_failure<A>(node: &Node<A>, failure: &FeedFailure, feed: &str)
where
    A: Adapter,
{
    let mut store = node.store.get();
    if store.record_failure(boot_ms()) {
        log::warn!(feed, failure:% = failure; "store is unreachable");
    }
    node.store.set(store);
    node.counters.count("relay.store.failures");
}

fn record_store_answer<A>(node: &Node<A>)
where
    A: Adapter,
{
    node.counters.count("relay.store.answers");
    let now_ms = boot_ms();
    let mut store = node.store.get();
    if let Some(at_ms) = store.record_answer(now_ms) {
        log::info!(since_ms = now_ms - at_ms; "store is reachable again");
    }
    node.store.set(store);
}
