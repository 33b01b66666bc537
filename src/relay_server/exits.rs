//! Exits of endpoints: whether the process at which a connection has just ended has exited too.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::adapter::{Adapter, EngineControl};
use super::checks::{AnsweringLifetime, answering_lifetime, handle_result};
use super::node::Node;
use super::probes::{ProbeResult, probe};
use super::request::RelayedRequest;
use super::upstream::UpstreamFailure;
use crate::clock::boot_ms;
use crate::fleet::ChainStage;
use crate::ids::{EndpointId, EndpointName};

/// Time from the end of a process's first connection until it accepts no new ones: its sockets are closed
/// one after the other.
const EXIT_DURATION: Duration = Duration::from_millis(10);
/// Time that an endpoint has to name itself: the caller waits for the end of its response meanwhile.
const IDENTIFY_TIMEOUT_MS: u64 = 250;

/// Determines whether an engine whose connection has just ended may have exited in the middle of its work.
/// Only an answer of the process that ran the request shows that it lives: neither what the list says, nor
/// earlier results, nor an answer of another process at its address.
pub(crate) async fn engine_may_have_exited<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    stage: &ChainStage,
) -> bool
where
    A: Adapter,
{
    sleep(EXIT_DURATION).await;
    let endpoint = &stage.endpoint;
    let result = probe(node, endpoint, stage.address).await;
    let answering = match &result {
        ProbeResult::Healthy(report) if !report.is_unplaced => {
            Some(answering_lifetime(endpoint, report))
        }
        _ => None,
    };
    handle_result(node, stage, result);
    match answering {
        Some(AnsweringLifetime::Current) => false,
        Some(AnsweringLifetime::Unknown) => !is_at(node, request, endpoint, stage.address).await,
        Some(AnsweringLifetime::Newer | AnsweringLifetime::Older) | None => true,
    }
}

/// Determines whether a replica whose connection has just ended may have exited in the middle of its work.
pub(super) async fn replica_may_have_exited<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> bool
where
    A: Adapter,
{
    sleep(EXIT_DURATION).await;
    !is_at(node, request, endpoint, address).await
}

/// Whether the process at an address says that it is this endpoint, and no later process of that name is known.
async fn is_at<A>(
    node: &Node<A>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> bool
where
    A: Adapter,
{
    let service = request.table.services.get(&request.service);
    let Some(path) = service.and_then(|it| it.health_path.as_deref()) else {
        return false;
    };
    node.counters.count("relay.checks");
    let engines = node.adapter.engines();
    let answer = engines.identify(address, path, IDENTIFY_TIMEOUT_MS).await;
    let answers_as = answer.as_ref().ok().and_then(Option::as_ref);
    let has_ended = node.fleet.borrow().has_ended(endpoint);
    let is_at = answers_as == Some(&endpoint.name()) && !has_ended;
    log::info!(
        request = request.ask.id.as_str(),
        endpoint = endpoint.as_str(),
        answers_as = answers_as.map(EndpointName::as_str),
        failure = answer.as_ref().err().map(ToString::to_string),
        has_ended,
        is_at;
        "endpoint was asked for its name after a response without a length"
    );
    is_at
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
    let Some(address) = node.address_of(endpoint) else {
        return;
    };
    let started_ms = boot_ms();
    match node.upstreams.preconnect(address, started_ms).await {
        Ok(()) => {
            node.note_connected(endpoint, started_ms);
            if let Some(known) = node.fleet.borrow_mut().get_mut(endpoint) {
                known.accepted_connection_ms = boot_ms();
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
