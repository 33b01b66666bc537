//! Inquiries whether other instances reach the endpoints of a service that this instance does not reach.
//!
//! A new connection times out across a partition, and also at an endpoint that is stopped and whose accept queue is
//! full. If other instances reach the endpoints, this instance is partitioned from them.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::adapter::Adapter;
use super::node::Node;
use super::peer_call::{call_peer, peer_response};
use super::query::query_pairs;
use super::reach;
use crate::clients::HttpPeer;
use crate::clock::boot_ms;
use crate::ids::ServiceName;

/// Path of the calls at the address for peers.
pub(super) const REACH_PATH: &str = "/reach";
/// Number of instances asked at once, because some of them may have exited.
const INSTANCES_PER_INQUIRY: usize = 3;
/// Maximum age of a connection that answers an inquiry, so that simultaneous inquiries cause a single connection.
const RECENT_CONNECTION_MS: u64 = 50;
/// Maximum size of a reply, which is a single byte.
const MAX_REPLY_BYTES: usize = 16;

/// Responds to an inquiry. Connects to endpoints if no recent connection answers it.
pub(super) async fn respond<A>(node: &Rc<Node<A>>, query: &str) -> Response<BoxBody>
where
    A: Adapter,
{
    let service = service_in(query);
    let is_reached = match &service {
        Some(service) => is_reached(node, service).await,
        None => false,
    };
    peer_response(&is_reached)
}

async fn is_reached<A>(node: &Rc<Node<A>>, service: &ServiceName) -> bool
where
    A: Adapter,
{
    let asked_ms = boot_ms();
    let is_shown_since = |at_ms| {
        let fleet = node.fleet.borrow();
        !fleet.reach.is_lost(service) && fleet.reach.is_shown_since(service, at_ms)
    };
    if is_shown_since(asked_ms.saturating_sub(RECENT_CONNECTION_MS)) {
        return true;
    }
    if node.fleet.borrow().reach.is_lost(service) {
        return false;
    }
    reach::check(node, service).await;
    // Starts the checks that find out when endpoints are reached again.
    node.endpoint_unreachable.notify_one();
    is_shown_since(asked_ms)
}

/// Asks a few of the instances that could serve this one's requests, and records the first confirmation.
pub(super) async fn inquire<A>(node: &Node<A>, service: &ServiceName)
where
    A: Adapter,
{
    let asked_ms = boot_ms();
    let addresses = addresses_to_ask(node, service, asked_ms);
    let path = format!("{REACH_PATH}?service={}", hex::encode(service.as_str()));
    let mut replies: FuturesUnordered<_> = addresses
        .iter()
        .map(|address| ask(*address, &path))
        .collect();
    while let Some((address, is_reached)) = replies.next().await {
        if is_reached {
            node.counters.count("relay.reach.elsewhere");
            log::info!(service = service.as_str(), peer:% = address; "another instance reaches endpoints that this one does not");
            let mut fleet = node.fleet.borrow_mut();
            fleet.reach.of(service).record_reached_elsewhere(asked_ms);
            drop(fleet);
            node.wake_streams();
            return;
        }
    }
    log::info!(service = service.as_str(), asked = addresses.len(); "no instance that was asked reaches the endpoints");
}

async fn ask(address: SocketAddr, path: &str) -> (SocketAddr, bool) {
    let peer = HttpPeer::new(&format!("http://{address}"));
    let reply = call_peer::<bool>(&peer, path, MAX_REPLY_BYTES).await;
    let is_reached = reply.unwrap_or_else(|failure| {
        log::info!(peer:% = address, failure:% = failure; "instance did not say whether it reaches endpoints");
        false
    });
    (address, is_reached)
}

/// Addresses of a few instances that have not reported the endpoints as unreached, from a random offset.
fn addresses_to_ask<A>(node: &Node<A>, service: &ServiceName, now_ms: u64) -> Vec<SocketAddr>
where
    A: Adapter,
{
    let delegates = node.peers.borrow().delegates(service, now_ms);
    let start = node.random_u64() as usize % delegates.len().max(1);
    let rotated = delegates.iter().cycle().skip(start).take(delegates.len());
    rotated
        .take(INSTANCES_PER_INQUIRY)
        .map(|it| it.address)
        .collect()
}

/// The service in the query of an inquiry.
fn service_in(query: &str) -> Option<ServiceName> {
    let name = query_pairs(query).find_map(|(name, value)| (name == "service").then_some(value));
    let name = hex::decode(name?).ok()?;
    Some(ServiceName::from(String::from_utf8(name).ok()?.as_str()))
}
