//! Startup and graceful shutdown of a relaying instance. Everything runs on one thread.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use super::adapter::Adapter;
use super::caller_connections::{self, RecordOnClose};
use super::node::Node;
use super::settings::RelaySettings;
use super::traffic::bytes_between_zones;
use super::{
    checks, delegation, duty, feeds, front, peer_list, peers, reach, reach_inquiry, records,
    room_notice, snapshot,
};
use crate::clock::boot_ms;
use crate::exit_codes::Exit;

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long an idle connection of a caller is kept. Callers reuse connections for up to four fifths
/// of the operator's limit, which is far below this and may change while the connection is open.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for the arrival of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between sweeps of idle connections and of endpoints' pauses.
const SWEEP_INTERVAL_MS: u64 = 200;
/// Interval between probes of an engine that was slow.
const SLOW_CHECK_INTERVAL_MS: u64 = 1_000;
/// Interval between checks whether a stop is complete.
const STOP_POLL_INTERVAL_MS: u64 = 50;
/// Part of the stop's time limit reserved for process exit.
const STOP_MARGIN_MS: u64 = 300;

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
    let mut addresses = vec![settings.front];
    addresses.extend(&settings.local_page_addresses);
    for address in addresses {
        let listener = listen(address)?;
        actix_rt::spawn(serve(Rc::clone(node), listener, ListenerKind::Front));
    }
    if let Some(address) = settings.metrics {
        let listener = listen(address)?;
        actix_rt::spawn(serve(Rc::clone(node), listener, ListenerKind::Metrics));
    }
    let listener = listen(settings.peers)?;
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
    actix_rt::spawn(sweep(Rc::clone(node)));
    Ok(())
}

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerKind {
    Front,
    Metrics,
    Peers,
}

fn listen(address: SocketAddr) -> Result<TcpListener, RelayStartError> {
    let listener = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listener().map_err(|cause| RelayStartError::Listen { address, cause })
}

async fn serve<A>(node: Rc<Node<A>>, listener: TcpListener, page: ListenerKind)
where
    A: Adapter,
{
    let served = Rc::clone(&node);
    let service = fn_service(move |request: Request| {
        let node = Rc::clone(&served);
        async move {
            let response = match page {
                ListenerKind::Front => front::handle_request(node, request).await,
                ListenerKind::Metrics => front::metrics_page(&node),
                ListenerKind::Peers if delegation::is_delegated(request.head()) => {
                    front::handle_delegated(node, request).await
                }
                ListenerKind::Peers => {
                    let query = request.uri().query().unwrap_or("");
                    match request.path() {
                        peer_list::PEER_LIST_PATH => peer_list::respond(&node, query),
                        reach_inquiry::REACH_PATH => reach_inquiry::respond(&node, query).await,
                        _ => snapshot::respond(&node, query, request.peer_addr()),
                    }
                }
            };
            Ok::<_, Infallible>(response)
        }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        // A caller that closes its side has disconnected: its request is dropped with all its
        // resources.
        .h1_allow_half_closed(false)
        .h1(service)
        .tcp();
    let Ok(connections) = factory.new_service(()).await else {
        log::error!("cannot create the HTTP service");
        return;
    };
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => {
                // Events are small and would wait for acknowledgements with Nagle's algorithm. A
                // failure costs only latency.
                let _ = stream.set_nodelay(true);
                let connection = connections.call(stream);
                let record = (page == ListenerKind::Front).then(|| RecordOnClose {
                    node: Rc::clone(&node),
                    caller,
                });
                let is_recorded = record.is_some();
                let task = actix_rt::spawn(async move {
                    let _record = record;
                    // Errors of a connection concern only its requests, which are logged separately.
                    let _ = connection.await;
                });
                if is_recorded {
                    let mut open = node.caller_connections.borrow_mut();
                    open.record_opened(caller, task.abort_handle(), boot_ms());
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection");
                sleep(Duration::from_millis(SWEEP_INTERVAL_MS)).await;
            }
        }
    }
}

async fn sweep<A>(node: Rc<Node<A>>)
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
        node.upstreams.sweep(now_ms);
        node.delegates.sweep(now_ms);
        node.checks.borrow_mut().sweep(now_ms);
        caller_connections::close_excess(&node);
        let changes = node.fleet.borrow_mut().expire(now_ms);
        node.apply_changes(&changes);
        node.update_quarantine();
        checks::check_paused(&node).await;
    }
}

/// Waits until all requests in flight have their responses. New ones are still accepted for a while,
/// since callers keep using the addresses that they got earlier.
async fn stop<A>(node: &Rc<Node<A>>) -> Exit
where
    A: Adapter,
{
    let since_ms = boot_ms();
    node.stopping_since_ms.set(Some(since_ms));
    let bounds = &node.settings.bounds;
    log::info!(open_requests = node.open_requests.get(); "instance is stopping");
    // Callers keep the addresses that they located for their lifetime, some three times as long.
    let linger_ms = bounds.locate_lifetime_ms + 500;
    let end_ms = since_ms + bounds.stop_limit_ms.saturating_sub(STOP_MARGIN_MS);
    loop {
        sleep(Duration::from_millis(STOP_POLL_INTERVAL_MS)).await;
        let now_ms = boot_ms();
        let open = node.open_requests.get();
        let is_idle = open == 0 && now_ms >= since_ms + linger_ms;
        if is_idle || now_ms >= end_ms {
            log::info!(
                open_requests = open,
                took_ms = now_ms - since_ms,
                bytes_between_zones = bytes_between_zones(&node.counters).as_str();
                "instance stopped"
            );
            return if open == 0 {
                Exit::Success
            } else {
                Exit::Forced
            };
        }
    }
}
