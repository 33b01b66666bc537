//! Startup and graceful shutdown of a relaying instance. Everything runs on one thread.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use super::adapter::Adapter;
use super::caller_connections;
use super::listener::{ListenerKind, listen, serve};
use super::memory_budget::receive_buffer_bytes;
use super::node::Node;
use super::planned_stop::{FLUSH_MS, PlannedStop};
use super::settings::RelaySettings;
use super::traffic::bytes_between_zones;
use super::{checks, duty, feeds, peer_list, peers, reach, records, room_notice, snapshot};
use crate::clock::boot_ms;
use crate::event_loop;
use crate::exit_codes::Exit;

/// Interval between sweeps, and between checks of endpoints' pauses.
const SWEEP_INTERVAL_MS: u64 = 200;
/// Interval between probes of an engine that was slow.
const SLOW_CHECK_INTERVAL_MS: u64 = 1_000;
/// Interval between checks whether a stop is complete.
const STOP_POLL_INTERVAL_MS: u64 = 50;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum RelayStartError {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        cause: io::Error,
    },
    /// Installing a signal handler failed.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
}

/// Runs an instance until it receives SIGTERM or SIGINT. On SIGHUP, `reload` reads the settings
/// again.
pub async fn run<A, F>(
    adapter: A,
    settings: RelaySettings,
    reload: F,
) -> Result<Exit, RelayStartError>
where
    A: Adapter,
    F: Fn() -> Option<RelaySettings>,
{
    let mut terminate = signal(SignalKind::terminate()).map_err(RelayStartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RelayStartError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(RelayStartError::Signals)?;
    let node = Rc::new(Node::new(adapter, settings));
    let on_standstill = |lasted_ms| node.record_standstill(lasted_ms);
    let serving = async {
        start(&node).await?;
        log::info!(
            instance = node.settings.instance.as_str(),
            incarnation:% = node.incarnation,
            zone = node.settings.zone.as_str(),
            front:% = node.settings.front;
            "instance started"
        );
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => log_reload(&node.settings, reload()),
            }
        }
        Ok(stop(&node).await)
    };
    event_loop::run(serving, on_standstill).await
}

/// Logs the result of reading the settings again. Addresses and names are fixed for the lifetime of
/// the process, so changes take effect only after a restart.
fn log_reload(held: &RelaySettings, read: Option<RelaySettings>) {
    match read {
        Some(read) if read == *held => log::info!("settings reloaded; nothing has changed"),
        Some(_) => log::info!("settings have changed; they take effect after a restart"),
        None => log::warn!("settings are invalid; the current ones stay in force"),
    }
}

async fn start<A>(node: &Rc<Node<A>>) -> Result<(), RelayStartError>
where
    A: Adapter,
{
    let settings = &node.settings;
    let max_sockets = node.caller_connections.borrow().max_sockets();
    let buffer_bytes = receive_buffer_bytes(settings.memory_mb, max_sockets);
    let listen_at = |address| {
        listen(address, buffer_bytes).map_err(|cause| RelayStartError::Listen { address, cause })
    };
    let listener = listen_at(settings.front)?;
    actix_rt::spawn(serve(Rc::clone(node), listener, ListenerKind::Front));
    for address in &settings.local_page_addresses {
        let listener = listen_at(*address)?;
        actix_rt::spawn(serve(Rc::clone(node), listener, ListenerKind::LocalPages));
    }
    if let Some(address) = settings.metrics {
        let listener = listen_at(address)?;
        actix_rt::spawn(serve(Rc::clone(node), listener, ListenerKind::Metrics));
    }
    let listener = listen_at(settings.peers)?;
    actix_rt::spawn(serve(Rc::clone(node), listener, ListenerKind::Peers));
    let socket = UdpSocket::bind(settings.peers).await;
    let socket = socket.map_err(|cause| RelayStartError::Listen {
        address: settings.peers,
        cause,
    })?;
    let socket = Rc::new(socket);
    actix_rt::spawn(peers::exchange(Rc::clone(node), Rc::clone(&socket)));
    actix_rt::spawn(room_notice::send_full_notices(Rc::clone(node), socket));
    actix_rt::spawn(feeds::follow_table(Rc::clone(node)));
    actix_rt::spawn(feeds::follow_endpoints(Rc::clone(node)));
    actix_rt::spawn(snapshot::sync_from_peers(Rc::clone(node)));
    actix_rt::spawn(duty::place_layers(Rc::clone(node)));
    actix_rt::spawn(records::maintain_records(Rc::clone(node)));
    actix_rt::spawn(peer_list::sync_peer_list(Rc::clone(node)));
    actix_rt::spawn(reach::check_when_unreachable(Rc::clone(node)));
    actix_rt::spawn(caller_connections::limit_connections(Rc::clone(node)));
    actix_rt::spawn(sweep(Rc::clone(node)));
    actix_rt::spawn(check_endpoints(Rc::clone(node)));
    Ok(())
}

/// Drops what is outdated, for as long as the process runs.
async fn sweep<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    loop {
        sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
        let now_ms = boot_ms();
        node.upstreams.sweep(now_ms);
        node.delegates.sweep(now_ms);
        node.checks.borrow_mut().sweep(now_ms);
        let changes = node.fleet.borrow_mut().expire(now_ms);
        node.apply_changes(&changes);
        node.update_quarantine();
    }
}

/// Checks slow and paused endpoints, for as long as the process runs. Apart from [`sweep`], since endpoints that hang
/// delay a check.
async fn check_endpoints<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut slow_checked_ms = 0;
    loop {
        sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
        let now_ms = boot_ms();
        if now_ms >= slow_checked_ms + SLOW_CHECK_INTERVAL_MS {
            slow_checked_ms = now_ms;
            checks::check_slow(&node).await;
        }
        checks::check_paused(&node).await;
    }
}

/// Waits until all requests in flight have their responses, at the end final ones of the instance. New ones are still accepted for a while,
/// since callers keep using the addresses that they got earlier.
async fn stop<A>(node: &Rc<Node<A>>) -> Exit
where
    A: Adapter,
{
    let since_ms = boot_ms();
    let bounds = &node.settings.bounds;
    let stop = PlannedStop {
        since_ms,
        limit_ms: bounds.stop_limit_ms,
    };
    node.stop.set(Some(stop));
    log::info!(open_requests = node.open_requests.get(); "instance is stopping");
    // Callers keep the addresses that they located for their lifetime, some three times as long.
    let linger_ms = bounds.locate_lifetime_ms + 500;
    let mut exit_ms = None;
    let mut has_cut_off = false;
    loop {
        sleep(Duration::from_millis(STOP_POLL_INTERVAL_MS)).await;
        let now_ms = boot_ms();
        let unsent = node.caller_connections.borrow().unsent_responses();
        let open = node.open_requests.get() + unsent as u64;
        if exit_ms.is_none() && now_ms >= stop.final_responses_ms() {
            log::info!(open_requests = open; "open requests get a final response: the instance stops");
            node.serving_ended.send_replace(true);
            has_cut_off = open > 0;
            exit_ms = Some(now_ms + FLUSH_MS);
        }
        let is_idle = open == 0 && now_ms >= since_ms + linger_ms;
        if is_idle || exit_ms.is_some_and(|it| now_ms >= it) {
            log::info!(
                open_requests = open,
                open_delegated = node.open_delegated.get(),
                unsent_responses = unsent,
                has_cut_off,
                took_ms = now_ms - since_ms,
                bytes_between_zones = bytes_between_zones(&node.counters).as_str();
                "instance stopped"
            );
            return if has_cut_off {
                Exit::Forced
            } else {
                Exit::Success
            };
        }
    }
}
