//! Checks whether this instance reaches endpoints, whenever one of them was found unreachable.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::{sleep, timeout};

use super::adapter::Adapter;
use super::node::Node;
use crate::clock::boot_ms;
use crate::fleet::{Fleet, KnownEndpoint, ReachChange};

/// Number of endpoints to connect to in a check. Where a third of the endpoints have failed at once, all of four
/// have in one check of eighty.
const ENDPOINTS_PER_CHECK: usize = 4;
/// How long an attempt goes on alone before the next endpoint is tried as well: several round trips.
const NEXT_ATTEMPT_DELAY: Duration = Duration::from_millis(25);
/// Pause between checks while none is reached. Callers are served by other instances meanwhile.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Checks reach for as long as the process runs.
pub(super) async fn check_when_unreachable<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    loop {
        node.endpoint_unreachable.notified().await;
        while node.fleet.borrow().reach.needs_check() {
            if !check(&node).await {
                sleep(RECHECK_INTERVAL).await;
            }
        }
        // Endpoints that refuse connections are now known to have ended, or not to have.
        node.wake_streams();
        node.update_quarantine();
    }
}

/// Tries to connect to several endpoints, one after the other. Returns whether one of them accepted.
async fn check<A>(node: &Node<A>) -> bool
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let addresses = addresses_to_try(&node.fleet.borrow(), node.random_u64());
    if addresses.is_empty() {
        return false;
    }
    node.counters.count("relay.reach.checks");
    let mut waiting = addresses.into_iter();
    let mut attempts = FuturesUnordered::new();
    loop {
        match waiting.next() {
            Some(address) => attempts.push(node.upstreams.preconnect(address, started_ms)),
            None if attempts.is_empty() => break,
            None => {}
        }
        if let Ok(Some(Ok(()))) = timeout(NEXT_ATTEMPT_DELAY, attempts.next()).await {
            node.note_connections();
            return true;
        }
    }
    let change = node
        .fleet
        .borrow_mut()
        .reach
        .record_none_reached(started_ms);
    node.handle_reach_change(change);
    false
}

/// Addresses of a few endpoints, evenly spaced in the list; first of those that count as healthy.
fn addresses_to_try(fleet: &Fleet, random: u64) -> Vec<SocketAddr> {
    let (healthy, others): (Vec<&KnownEndpoint>, Vec<&KnownEndpoint>) =
        fleet.iter().partition(|known| known.accepts_work());
    let candidates = if healthy.is_empty() { others } else { healthy };
    let count = candidates.len().min(ENDPOINTS_PER_CHECK);
    let start = random as usize % candidates.len().max(1);
    let chosen = (0..count).map(|index| {
        let at = (start + index * candidates.len() / count) % candidates.len();
        candidates[at].listed.address
    });
    chosen.collect()
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Records that an endpoint refused a connection or did not answer on a new one.
    pub(super) fn note_unreachable_endpoint(&self) {
        self.fleet.borrow_mut().reach.record_unreachable(boot_ms());
        self.endpoint_unreachable.notify_one();
    }

    /// Records the newest connection that was established to an endpoint.
    pub(super) fn note_connections(&self) {
        let connected_ms = self.upstreams.connected_ms();
        let change = self
            .fleet
            .borrow_mut()
            .reach
            .record_connected(connected_ms, boot_ms());
        self.handle_reach_change(change);
    }

    fn handle_reach_change(&self, change: Option<ReachChange>) {
        match change {
            None => return,
            Some(ReachChange::Lost) => {
                self.counters.count("relay.reach.lost");
                log::warn!(endpoints = self.fleet.borrow().iter().count(); "no endpoint accepts connections of this instance");
            }
            Some(ReachChange::Regained {
                lost_ms,
                connected_before_ms,
            }) => {
                let mut fleet = self.fleet.borrow_mut();
                let readmitted = fleet.forgive_unreachable_since(connected_before_ms);
                self.counters.count("relay.reach.regained");
                log::info!(lost_ms, readmitted; "endpoints accept connections of this instance again");
            }
        }
        let is_lost = self.fleet.borrow().reach.is_lost();
        self.counters
            .gauge("relay.reach.is_lost", u64::from(is_lost));
    }
}
