//! Follows what the operator and the endpoints write into the platform's store.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::adapter::{Adapter, DeploymentFeeds, FeedFailure, FeedRead};
use super::list_sync;
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::ListingRead;
use crate::route_table::{TableChange, TableWithSource};

/// How long a watch waits in the store for a change. The table is at most this old when the store
/// goes away, so that keys are still trusted for as long as possible: 3.2 s of the 4.9 s after which
/// they are not, with figures as they are today. A shorter wait costs more calls.
const WATCH_WAIT_MS: u64 = 1_700;
/// Pause between two watches of the endpoint list, so that a series of changes takes few calls.
/// Heartbeats that change nothing else are not shown, so that most watches of a calm day bring
/// nothing.
const ENDPOINTS_PAUSE_MS: u64 = 250;
/// Pause after a call that failed.
const RETRY_MS: u64 = 250;
/// The same at an instance that has stepped in: while the store is away all of a zone's step in one
/// after another, and hundreds must not press the store when it comes back.
const STEPPED_IN_RETRY_MS: u64 = 1_000;

/// Keeps the table of routes up to date, for as long as the process runs.
pub(crate) async fn follow_table<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut position = None;
    let mut reading = node.reads_store.subscribe();
    loop {
        if wait_until_reading(&mut reading).await {
            position = None;
        }
        let sent_ms = boot_ms();
        let read = node.adapter.store().table(position, WATCH_WAIT_MS).await;
        match read {
            Ok(read) => {
                store_answered(&node);
                position = Some(read.position);
                if apply_table(&node, read.content, sent_ms) {
                    node.request_heartbeat();
                }
            }
            Err(FeedFailure::HistoryGone) => {
                log::info!(position; "history of the table is gone; reading it whole");
                position = None;
            }
            Err(failure) => {
                store_failed(&node, &failure, "table");
                if matches!(failure, FeedFailure::Malformed(_)) {
                    position = None;
                }
                sleep(Duration::from_millis(retry_ms(&node))).await;
            }
        }
    }
}

/// Waits until this instance is to read the store. Returns whether it had to: what was read before is
/// old then.
async fn wait_until_reading(reading: &mut watch::Receiver<bool>) -> bool {
    let must_wait = !*reading.borrow();
    if must_wait && reading.wait_for(|reads| *reads).await.is_err() {
        log::error!("nobody decides any more whether the store is read");
    }
    must_wait
}

fn retry_ms<A>(node: &Node<A>) -> u64
where
    A: Adapter,
{
    if node.peers.borrow().is_top_ranked_in_zone(boot_ms()) {
        RETRY_MS
    } else {
        STEPPED_IN_RETRY_MS
    }
}

/// Takes the table that a call sent at `sent_ms` has read, or that there is no newer one. Returns
/// whether it is in force now and was not before.
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
            log::info!(table = version, read_sent_ms = sent_ms; "table of routes is in force");
            node.counters.count("relay.tables");
        }
        TableChange::Confirmed => {}
        TableChange::Stale => log::warn!(table = version; "older table of routes was dropped"),
    }
    change == TableChange::Applied
}

/// Keeps the list of endpoints up to date, for as long as the process runs.
pub(crate) async fn follow_endpoints<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut position = None;
    let mut reading = node.reads_store.subscribe();
    loop {
        if wait_until_reading(&mut reading).await {
            position = None;
        }
        let sent_ms = boot_ms();
        let read = node
            .adapter
            .store()
            .endpoints(position, WATCH_WAIT_MS)
            .await;
        let pause_ms = match read {
            Ok(read) => {
                store_answered(&node);
                position = Some(read.position);
                take_endpoints(&node, read, sent_ms);
                ENDPOINTS_PAUSE_MS
            }
            Err(FeedFailure::HistoryGone) => {
                log::info!(position; "history of the endpoint list is gone; reading it whole");
                position = None;
                0
            }
            Err(failure) => {
                store_failed(&node, &failure, "endpoints");
                if matches!(failure, FeedFailure::Malformed(_)) {
                    position = None;
                }
                retry_ms(&node)
            }
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Takes a read of the endpoint list, and has peers told if it brought anything.
fn take_endpoints<A>(node: &Node<A>, read: FeedRead<ListingRead>, sent_ms: u64)
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let was_away = node.store.get().is_unavailable(now_ms);
    let applied = list_sync::apply_read(
        &mut node.list_log.borrow_mut(),
        &mut node.fleet.borrow_mut(),
        read,
        was_away,
        sent_ms,
        now_ms,
    );
    node.update_informed();
    node.fleet_changed(&applied.changes);
    if applied.must_notify_peers {
        node.request_heartbeat();
    }
}

fn store_failed<A>(node: &Node<A>, failure: &FeedFailure, feed: &str)
where
    A: Adapter,
{
    let mut store = node.store.get();
    if store.record_failure(boot_ms()) {
        log::warn!(feed, failure:% = failure; "store is lost");
    }
    node.store.set(store);
    node.counters.count("relay.store.failures");
}

fn store_answered<A>(node: &Node<A>)
where
    A: Adapter,
{
    node.counters.count("relay.store.answers");
    let now_ms = boot_ms();
    let mut store = node.store.get();
    if let Some(at_ms) = store.record_answer(now_ms) {
        log::info!(since_ms = now_ms - at_ms; "store is back");
    }
    node.store.set(store);
}
