//! Exits of endpoints: whether the process at which a connection has just ended has exited too.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::adapter::Adapter;
use super::checks::{AnsweringLifetime, answering_lifetime, handle_result};
use super::node::Node;
use super::plain::address_of;
use super::probes::{ProbeResult, probe};
use super::upstream::UpstreamFailure;
use crate::clock::boot_ms;
use crate::fleet::{ChainStage, Fleet, Phase};
use crate::ids::EndpointId;

/// Time from the end of a process's first connection until it accepts no new ones: its sockets are closed
/// one after the other.
const EXIT_DURATION: Duration = Duration::from_millis(10);

/// Determines whether an engine whose connection has just ended may have exited in the middle of its work.
/// Earlier results do not show this, and silence does not show that it lives.
pub(crate) async fn engine_may_have_exited<A>(node: &Rc<Node<A>>, stage: &ChainStage) -> bool
where
    A: Adapter,
{
    if let Some(has_exited) = wait_for_listed_exit(node, &stage.endpoint).await {
        return has_exited;
    }
    let result = probe(node, &stage.endpoint, stage.address).await;
    let has_answered = match &result {
        ProbeResult::Healthy(report) => {
            answering_lifetime(&stage.endpoint, report) == AnsweringLifetime::Current
        }
        _ => false,
    };
    handle_result(node, stage, result);
    !has_answered
}

/// Determines whether a replica whose connection has just ended may have exited in the middle of its work.
pub(super) async fn replica_may_have_exited<A>(node: &Rc<Node<A>>, endpoint: &EndpointId) -> bool
where
    A: Adapter,
{
    if let Some(has_exited) = wait_for_listed_exit(node, endpoint).await {
        return has_exited;
    }
    probe_replica(node, endpoint).await;
    node.fleet.borrow().refuses(endpoint)
}

/// Waits until an exiting process has closed its sockets, and returns whether it exited with requests in
/// progress according to the endpoint list; `None` if it is still listed as live.
async fn wait_for_listed_exit<A>(node: &Node<A>, endpoint: &EndpointId) -> Option<bool>
where
    A: Adapter,
{
    sleep(EXIT_DURATION).await;
    listed_exit(&node.fleet.borrow(), endpoint)
}

/// An unlisted endpoint may have been replaced while this instance was suspended. One that is leaving may exit
/// before its work is complete.
fn listed_exit(fleet: &Fleet, endpoint: &EndpointId) -> Option<bool> {
    match fleet.get(endpoint).map(|known| known.listed.phase) {
        Some(Phase::Live | Phase::Leaving) => None,
        None => Some(true),
    }
}

/// Checks in the background whether a replica has exited. Otherwise only the next request sent to
/// it, or the endpoint list some seconds later, would show it.
pub(super) fn probe_replica_in_background<A>(node: &Rc<Node<A>>, endpoint: &EndpointId)
where
    A: Adapter,
{
    let node = Rc::clone(node);
    let endpoint = endpoint.clone();
    actix_rt::spawn(async move { probe_replica(&node, &endpoint).await });
}

/// Checks whether a replica has exited, by a new connection.
async fn probe_replica<A>(node: &Rc<Node<A>>, endpoint: &EndpointId)
where
    A: Adapter,
{
    let Some(address) = address_of(node, endpoint) else {
        return;
    };
    let started_ms = boot_ms();
    match node.upstreams.preconnect(address, started_ms).await {
        Ok(()) => {
            node.note_connected(endpoint, started_ms);
            if let Some(known) = node.fleet.borrow().get(endpoint) {
                known.last_heard.record(boot_ms());
            }
        }
        Err(UpstreamFailure::NoListener) => {
            node.record_refused(endpoint);
        }
        Err(failure) => {
            log::debug!(endpoint = endpoint.as_str(), failure:% = failure; "could not determine whether a replica has exited");
        }
    }
    node.update_quarantine();
}
