//! Exchange of heartbeats among instances, by UDP: liveness, engine loads, and which endpoints are
//! unhealthy or leaving. The next heartbeat makes up for a lost one.
//!
//! A heartbeat is sent four times per second, to those recipients that [`super::recipients`] selects. All
//! instances of a deployment must run the same release; one that cannot decode a datagram logs a warning and
//! continues without it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::net::UdpSocket;

use super::adapter::Adapter;
use super::checks::check_in_background;
use super::heartbeat::{
    Heartbeat, HeldLoad, OwnState, PeerPart, datagram, heartbeat_bytes, read_datagram,
};
use super::load_change::LoadChange;
use super::node::Node;
use super::peer::Recipient;
use super::peer_book::HEARTBEAT_INTERVAL_MS;
use super::retry_loans::loan_requests;
use super::traffic::{TrafficKind, TrafficScope};
use super::withholding::SOURCE_PEERS;
use super::{list_sync, room_notice};
use crate::clock::boot_ms;
use crate::fleet::describe_list;
use crate::ids::ZoneName;
use crate::placement::PlacementOrder;

/// Size of the receive buffer. Datagrams of more than about 1,400 bytes are fragmented on usual links, but
/// still arrive.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;

/// Sends heartbeats and receives those of peers, for as long as the process runs.
pub(crate) async fn exchange<A>(node: Rc<Node<A>>, socket: Rc<UdpSocket>)
where
    A: Adapter,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ticks = tokio::time::interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut chain_checks = node.chain_check_signal.subscribe();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                node.update_store_reading(boot_ms());
                send(&node, &socket).await;
            }
            _ = chain_checks.changed() => send_if_requested(&node, &socket).await,
            () = node.heartbeat_due.notified() => send_if_requested(&node, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) if room_notice::is_notice(&buffer[..length]) => {
                    room_notice::receive(&node, &buffer[..length], from);
                }
                Ok((length, from)) => receive(&node, &buffer[..length], from),
                // The system reports here that an earlier datagram found no listener; only that one is lost.
                Err(error) => log::debug!(error:% = error; "datagram could not be received"),
            },
        }
    }
}

async fn send_if_requested<A>(node: &Rc<Node<A>>, socket: &UdpSocket)
where
    A: Adapter,
{
    let is_requested = node.peers.borrow_mut().take_heartbeat_request();
    if is_requested {
        send(node, socket).await;
    }
}

async fn send<A>(node: &Rc<Node<A>>, socket: &UdpSocket)
where
    A: Adapter,
{
    let now_ms = boot_ms();
    let own = own_state(node, now_ms);
    let (heartbeat, mut recipients, loads, requests) = {
        let mut peers = node.peers.borrow_mut();
        let heartbeat = peers.heartbeat(&own, now_ms);
        peers.remove_expired(now_ms);
        let loads = peers.peer_loads(now_ms);
        let recipients = peers.recipients(own.availability, now_ms);
        (
            heartbeat,
            recipients,
            loads,
            loan_requests(&mut peers, now_ms),
        )
    };
    let mut peer_parts = node.answer_loan_requests(requests, now_ms);
    node.fleet.borrow_mut().set_peers_load(&loads);
    node.update_limit_shares(now_ms);
    add_owed_recipients(node, &mut recipients, &peer_parts, now_ms);
    let mut shared: IndexMap<&ZoneName, Vec<u8>> = IndexMap::new();
    for recipient in &recipients {
        if !shared.contains_key(&recipient.zone) {
            let for_zone =
                node.peers
                    .borrow()
                    .heartbeat_for_zone(&heartbeat, &own, &recipient.zone, now_ms);
            match heartbeat_bytes(&for_zone) {
                Ok(bytes) => drop(shared.insert(&recipient.zone, bytes)),
                Err(error) => {
                    log::error!(error:% = error; "heartbeat could not be encoded");
                    return;
                }
            }
        }
        let peer_part = PeerPart {
            echo: recipient.echo,
            interval_ms: recipient.interval_ms,
            ..peer_parts
                .swap_remove(&recipient.address)
                .unwrap_or_default()
        };
        send_one(
            node,
            socket,
            &shared[&recipient.zone],
            &peer_part,
            recipient,
        )
        .await;
    }
}

/// Adds those to the recipients that get loans, or the remainders of their own, and are not among them.
fn add_owed_recipients<A>(
    node: &Node<A>,
    recipients: &mut Vec<Recipient>,
    peer_parts: &IndexMap<SocketAddr, PeerPart>,
    now_ms: u64,
) {
    let due: IndexSet<SocketAddr> = recipients.iter().map(|it| it.address).collect();
    let owed = peer_parts.keys().filter(|it| !due.contains(*it));
    let peers = node.peers.borrow();
    recipients.extend(owed.filter_map(|it| peers.recipient_at(*it, now_ms)));
}

async fn send_one<A>(
    node: &Rc<Node<A>>,
    socket: &UdpSocket,
    heartbeat_bytes: &[u8],
    peer_part: &PeerPart,
    recipient: &Recipient,
) where
    A: Adapter,
{
    let bytes = match datagram(heartbeat_bytes, peer_part) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "datagram could not be encoded");
            return;
        }
    };
    let scope = TrafficScope::between(&node.settings.zone, Some(&recipient.zone));
    node.count_traffic(TrafficKind::Heartbeats, scope, bytes.len());
    // Treated like a datagram that the network loses.
    if let Err(error) = socket.send_to(&bytes, recipient.address).await {
        log::debug!(peer:% = recipient.address, error:% = error; "heartbeat could not be sent");
    }
}

fn own_state<A>(node: &Node<A>, now_ms: u64) -> OwnState
where
    A: Adapter,
{
    let mut held: Vec<HeldLoad> = node
        .fleet
        .borrow()
        .iter()
        .filter(|known| known.held_token_layers > 0 || known.own_unread_token_layers > 0)
        .map(|known| HeldLoad {
            endpoint: known.listed.id.clone(),
            zone: known.listed.zone.clone(),
            load: known.own_load(),
        })
        .collect();
    // The shorter the differences between consecutive ids, the shorter the heartbeat.
    held.sort_unstable_by(|a, b| a.endpoint.cmp(&b.endpoint));
    let limits = node.fleet.borrow_mut().pacing.next_reports(now_ms);
    let demand = node.update_demand(now_ms);
    let answered_ms = node.store.get().last_answer_ms();
    let answered_ms = answered_ms.filter(|_| node.reads_store());
    OwnState {
        availability: node.availability(),
        table: node.routes().map_or(0, |table| table.version),
        table_age_ms: node.table.borrow().age_ms(now_ms),
        list: node.list_log.borrow().watermark(),
        list_age_ms: node.fleet.borrow().age_ms(now_ms),
        store_age_ms: answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
        unreached: node.fleet.borrow().reach.lost_services().cloned().collect(),
        held,
        retry_needs: node.retry_needs(now_ms),
        evidence: node.quarantine.borrow_mut().next_report(now_ms),
        limits,
        demand,
        zone_demand: node.zone_demand_for_others(now_ms),
    }
}

/// Derives from a peer's heartbeat how recent the routes and endpoints known here are. The peer sent it after
/// receiving the heartbeat of this instance that it echoes. Subtracting the ages in the peer's heartbeat
/// from the sending time of the echoed one therefore gives a safe bound, however long both datagrams took.
fn confirm_freshness<A>(node: &Node<A>, heartbeat: &Heartbeat, own_sent_ms: Option<u64>)
where
    A: Adapter,
{
    let version = node.routes().map_or(0, |table| table.version);
    let newest_at_ms = |age_ms| own_sent_ms.map(|sent_ms| sent_ms.saturating_sub(age_ms));
    let knows_list = list_sync::observe_peer_watermark(
        &mut node.list_log.borrow_mut(),
        &mut node.fleet.borrow_mut(),
        &heartbeat.instance,
        heartbeat.list,
        newest_at_ms(heartbeat.list_age_ms),
    );
    if heartbeat.table > version || !knows_list {
        node.peer_ahead_notify.notify_one();
    }
    if let Some(newest_at_ms) = newest_at_ms(heartbeat.table_age_ms)
        && version == heartbeat.table
    {
        node.table.borrow_mut().confirm(newest_at_ms);
    }
}

fn receive<A>(node: &Rc<Node<A>>, bytes: &[u8], from: SocketAddr)
where
    A: Adapter,
{
    let (heartbeat, peer_part) = match read_datagram(bytes) {
        Ok(read) => read,
        Err(error) => {
            log::warn!(peer:% = from, error:% = error; "datagram is malformed");
            return;
        }
    };
    let now_ms = boot_ms();
    let (is_newest, changes) = {
        let mut peers = node.peers.borrow_mut();
        let is_newest = peers.is_newest(&heartbeat);
        let changes = peers.apply_heartbeat(&heartbeat, from, now_ms);
        peers.apply_peer_part(&heartbeat.instance, &peer_part);
        (is_newest, changes)
    };
    let own_sent_ms = node.peers.borrow().acknowledged_sent_ms(peer_part.echo);
    // A time in the future cannot come from this process, whatever the peer claims.
    let own_sent_ms = own_sent_ms.filter(|sent_ms| *sent_ms <= now_ms);
    confirm_freshness(node, &heartbeat, own_sent_ms);
    if is_newest {
        node.apply_demand(&heartbeat, now_ms);
    }
    // A duplicated heartbeat must not lend twice.
    if let Some(asked_ms) = own_sent_ms.filter(|_| is_newest) {
        node.apply_loans(&heartbeat, &peer_part, asked_ms, now_ms);
    }
    node.apply_evidence(&heartbeat.evidence, SOURCE_PEERS, now_ms);
    node.apply_limit_reports(&heartbeat.instance, &heartbeat.limits, now_ms);
    for id in &heartbeat.unhealthy {
        if let Some(stage) = node.stage_to_check(id) {
            check_in_background(node, &stage);
        }
    }
    let mut fleet = node.fleet.borrow_mut();
    for id in &heartbeat.leaving {
        if fleet.apply_leaving_report(&heartbeat.instance, id, now_ms) {
            log::info!(
                endpoint = id.as_str(),
                peer = heartbeat.instance.as_str(),
                list = describe_list(&fleet, now_ms);
                "peer reports that endpoint is leaving"
            );
        }
    }
    for id in &heartbeat.self_reported_leaving {
        if fleet.apply_self_reported_leaving(id, now_ms) {
            log::info!(endpoint = id.as_str(), peer = heartbeat.instance.as_str(); "peer reports that endpoint has announced that it is leaving");
        }
    }
    for change in &changes {
        fleet.update_peers_load(&change.endpoint, change.before, change.now);
    }
    drop(fleet);
    let has_fallen = |it: &LoadChange| it.now.token_layers < it.before.token_layers;
    if changes.iter().any(has_fallen) {
        node.wake_waiting_streams();
    }
    for (endpoint, layers) in heartbeat.layer_moves {
        let order = PlacementOrder { endpoint, layers };
        node.record_peer_move(&order);
        node.peer_orders.borrow_mut().push(order);
    }
}
