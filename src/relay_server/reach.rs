//! Checks whether this instance reaches endpoints, whenever one of them was found unreachable.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use indexmap::IndexSet;
use tokio::time::sleep;

use super::adapter::Adapter;
use super::node::Node;
use super::reach_inquiry::inquire;
use crate::clock::boot_ms;
use crate::event_loop::timeout;
use crate::fleet::{EndpointFailure, Fleet, KnownEndpoint, ReachChange};
use crate::ids::{EndpointId, ServiceName};

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
    // Services that are being checked.
    let checked: Rc<RefCell<IndexSet<ServiceName>>> = Rc::default();
    loop {
        node.endpoint_unreachable.notified().await;
        let due: Vec<ServiceName> = {
            let fleet = node.fleet.borrow();
            fleet.reach.services_to_check().cloned().collect()
        };
        for service in due {
            if !checked.borrow_mut().insert(service.clone()) {
                continue;
            }
            let (node, checked) = (Rc::clone(&node), Rc::clone(&checked));
            actix_rt::spawn(async move {
                check_until_reached(&node, &service).await;
                checked.borrow_mut().swap_remove(&service);
            });
        }
    }
}

/// Checks a service until one of its endpoints is reached, and asks other instances meanwhile.
async fn check_until_reached<A>(node: &Rc<Node<A>>, service: &ServiceName)
where
    A: Adapter,
{
    while node.fleet.borrow().reach.needs_check(service) {
        if !check(node, service).await {
            let inquiry = timeout(RECHECK_INTERVAL, inquire(node, service));
            // An inquiry without a result in this time is repeated.
            let _ = tokio::join!(sleep(RECHECK_INTERVAL), inquiry);
        }
    }
    // Endpoints that refuse connections are now known to have ended, or not to have.
    node.wake_streams();
    node.update_quarantine();
}

/// Tries to connect to several endpoints of a service, one after the other. Returns whether one of them accepted, or
/// there is none.
pub(super) async fn check<A>(node: &Node<A>, service: &ServiceName) -> bool
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let addresses = addresses_to_try(&node.fleet.borrow(), service, node.random_u64());
    if addresses.is_empty() {
        // The service is gone, or all its endpoints are: there is nothing to be cut off from.
        node.fleet.borrow_mut().reach.forget(service);
        node.request_heartbeat();
        return true;
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
            node.record_connected(service, started_ms);
            return true;
        }
    }
    let change = {
        let mut fleet = node.fleet.borrow_mut();
        fleet.reach.of(service).record_none_reached(started_ms)
    };
    node.handle_reach_change(service, change);
    false
}

/// Addresses of a few endpoints of a service, evenly spaced in the list. Unhealthy ones are tried only if none is
/// healthy.
fn addresses_to_try(fleet: &Fleet, service: &ServiceName, random: u64) -> Vec<SocketAddr> {
    let (healthy, others): (Vec<&KnownEndpoint>, Vec<&KnownEndpoint>) = fleet
        .of_service(service)
        .partition(|known| known.accepts_work());
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
    pub(super) fn note_unreachable(&self, endpoint: &EndpointId) {
        if let Some(service) = self.service_of(endpoint) {
            let mut fleet = self.fleet.borrow_mut();
            fleet.reach.of(&service).record_unreachable(boot_ms());
            self.endpoint_unreachable.notify_one();
        }
    }

    /// Records that an endpoint refused a connection.
    pub(super) fn record_refused(&self, endpoint: &EndpointId) {
        self.note_unreachable(endpoint);
        self.record_failure(endpoint, EndpointFailure::Refused);
    }

    /// Records that a connection to an endpoint was attempted at `started_ms` and established.
    pub(super) fn note_connected(&self, endpoint: &EndpointId, started_ms: u64) {
        if let Some(service) = self.service_of(endpoint) {
            self.record_connected(&service, started_ms);
        }
    }

    fn service_of(&self, endpoint: &EndpointId) -> Option<ServiceName> {
        let fleet = self.fleet.borrow();
        fleet
            .get(endpoint)
            .map(|known| known.listed.service.clone())
    }

    fn record_connected(&self, service: &ServiceName, started_ms: u64) {
        let change = {
            let mut fleet = self.fleet.borrow_mut();
            let reach = fleet.reach.of(service);
            reach.record_connected(started_ms, boot_ms())
        };
        self.handle_reach_change(service, change);
    }

    fn handle_reach_change(&self, service: &ServiceName, change: Option<ReachChange>) {
        match change {
            None => return,
            Some(ReachChange::Lost) => {
                self.counters.count("relay.reach.lost");
                let endpoints = self.fleet.borrow().of_service(service).count();
                log::warn!(service = service.as_str(), endpoints; "no endpoint accepts connections of this instance");
            }
            Some(ReachChange::Regained {
                lost_ms,
                connected_before_ms,
            }) => {
                let mut fleet = self.fleet.borrow_mut();
                let readmitted = fleet.forgive_unreachable_since(service, connected_before_ms);
                self.counters.count("relay.reach.regained");
                log::info!(service = service.as_str(), lost_ms, readmitted; "endpoints accept connections of this instance again");
            }
        }
        self.wake_streams();
        self.request_heartbeat();
        let lost = self.fleet.borrow().reach.lost_services().count();
        self.counters.gauge("relay.reach.lost_now", lost as u64);
    }
}
