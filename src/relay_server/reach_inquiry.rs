//! Asks other instances whether they reach the endpoints of a service of which none accepts connections of this one.
//!
//! New connections get no answer across a partition, and none from endpoints that stand still either. If other
//! instances reach the endpoints, this one is partitioned from them.

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
/// Number of instances to ask at once. Some of them may have ended.
const INSTANCES_PER_INQUIRY: usize = 3;
/// Age of a connection up to which it answers an inquiry, so that instances that ask at the same moment cause one
/// connection.
const RECENT_CONNECTION_MS: u64 = 50;
/// Longest reply that is accepted; it is a single byte.
const MAX_REPLY_BYTES: usize = 16;

/// Responds to another instance whether this one reaches endpoints of a service, which it may have to find out.
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

/// Asks a few instances that may serve requests of this one. The first that reaches an endpoint is enough.
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

/// Addresses of a few instances that hold that they reach the endpoints, at random places of the list.
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

/// The service that an inquiry names.
fn service_in(query: &str) -> Option<ServiceName> {
    let name = query_pairs(query).find_map(|(name, value)| (name == "service").then_some(value));
    let name = hex::decode(name?).ok()?;
    Some(ServiceName::from(String::from_utf8(name).ok()?.as_str()))
}
