//! Starts the components of the entry process and shuts them down.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, Arbiter};
use actix_web::dev::ServerHandle;
use rand::RngExt;
use thiserror::Error;
use tokio::net::TcpSocket;
use tokio::sync::{mpsc, watch};

use super::actor::{EntryActor, EntryActorParts, RunningEntry};
use super::caller::CallerTracker;
use super::calls::OutboundClients;
use super::clock::Clock;
use super::control_link::{ControlLink, MAX_QUEUED_REPORTS};
use super::messages::Deliver;
use super::server;
use super::signals::StopSignals;
use super::state::{BodyLimits, Gateway};
use crate::clients::{HttpEngines, HttpPeers, HttpTable};
use crate::entry::{EntryConfig, EntryLimits, ShareSource};
use crate::exit_codes::Exit;
use crate::ids::Incarnation;
use crate::instance::EntryMessage;
use crate::routing::PolicyKind;
use crate::settings::Settings;
use crate::telemetry::Counters;
use crate::wire::local::EntryReport;

/// Time limit for receiving a complete request body.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Interval between checks whether all responses have been handed to their connections.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// After all requests have ended, a planned stop gives up on the remaining callers if none of them
/// reads for this long. A silent connection would otherwise delay the stop for as long as the
/// kernel retransmits.
const FLUSH_STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Selects the policies of an entry. Production uses the default; other variants are baselines for
/// measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVariant {
    /// Policy for choosing engines.
    pub policy: PolicyKind,
    /// Source of the accounts' shares.
    pub shares: ShareSource,
}

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// Listening on the address failed.
    #[error("cannot listen on {listen} ([entry] listen): {cause}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// The I/O error.
        cause: io::Error,
    },
    /// Installing the signal handlers failed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}

/// A running entry process.
pub(crate) struct EntryProcess {
    /// State shared by the HTTP handlers.
    pub(crate) gateway: Gateway,
    /// Listening address.
    pub(crate) address: SocketAddr,
    server: ServerHandle,
    stop_done: watch::Receiver<bool>,
}

/// Runs the entry process until it receives a stop signal.
pub async fn run(settings: Settings, variant: EntryVariant) -> Result<Exit, StartError> {
    let mut signals = StopSignals::catch().map_err(StartError::Signals)?;
    let mut process = EntryProcess::start(&settings, variant)?;
    let instance = settings.instance.name.as_str();
    log::info!(instance, listen:% = process.address; "entry started");

    let mut alive = process.stop_done.clone();
    tokio::select! {
        () = signals.next() => {}
        _ = alive.wait_for(|_| false) => {
            log::error!(instance; "entry actor terminated; exiting");
            return Ok(Exit::Fault);
        }
    }
    let callers = process.gateway.callers.clone();
    log::info!(instance, in_flight = callers.open(); "entry stopping");
    let exit = tokio::select! {
        left = process.stop() => {
            if left > 0 {
                log::warn!(instance, callers = left; "callers gone silent; their answers were dropped");
            }
            Exit::Success
        }
        () = wait_for_forced_stop(&mut signals, settings.stop.limit_ms) => {
            log_cut_requests(callers.open(), instance);
            Exit::Forced
        }
    };
    log::info!(instance, exit = exit.name(); "entry stopped");
    Ok(exit)
}

impl EntryProcess {
    /// Starts accepting requests.
    pub(crate) fn start(settings: &Settings, variant: EntryVariant) -> Result<Self, StartError> {
        let limits = BodyLimits {
            max_bytes: settings.entry.max_body_bytes,
            timeout_ms: BODY_TIMEOUT_MS,
        };
        Self::start_within(settings, limits, variant)
    }

    /// Starts accepting requests with the given body limits.
    pub(crate) fn start_within(
        settings: &Settings,
        limits: BodyLimits,
        variant: EntryVariant,
    ) -> Result<Self, StartError> {
        let listen = settings.entry.listen;
        let fault = |cause| StartError::Listen { listen, cause };
        let listener = bind(listen).map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let (stopped, stop_done) = watch::channel(false);
        let gateway = start_actor(settings, limits, variant, stopped);
        let server = server::start(listener, gateway.clone()).map_err(fault)?;
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            gateway,
            address,
            server: handle,
            stop_done,
        })
    }

    /// Stops the entry: waits until all requests in flight have ended and every response has been
    /// handed to its connection, then shuts the server down after the last bytes are sent. Returns
    /// the number of stalled callers whose responses stayed incomplete.
    pub(crate) async fn stop(&mut self) -> usize {
        self.stop_with_stall_timeout(FLUSH_STALL_TIMEOUT).await
    }

    pub(super) async fn stop_with_stall_timeout(&mut self, stall: Duration) -> usize {
        self.gateway.begin_stop();
        self.gateway.actor.do_send(Deliver(EntryMessage::Stop));
        let _ = self.stop_done.wait_for(|done| *done).await;
        let stalled = flush(&self.gateway.callers, stall).await;
        self.server.stop(stalled == 0).await;
        stalled
    }
}

/// Waits until every caller has its complete response, or no remaining caller has read for `stall`.
/// Returns the number of remaining callers.
async fn flush(callers: &CallerTracker, stall: Duration) -> usize {
    let mut reads = callers.reads();
    let mut since = Instant::now();
    while callers.open() > 0 && since.elapsed() < stall {
        tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
        if callers.reads() != reads {
            reads = callers.reads();
            since = Instant::now();
        }
    }
    callers.open()
}

fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(server::BACKLOG)?.into_std()
}

/// Starts the actor on a dedicated thread, and the link to the control process on this thread.
fn start_actor(
    settings: &Settings,
    body_limits: BodyLimits,
    variant: EntryVariant,
    stopped: watch::Sender<bool>,
) -> Gateway {
    let counters = Counters::new();
    let clock = Clock::start();
    let peer_key = settings.peers.key.clone();
    let control = settings.control.listen;
    let link = ControlLink::new(control, peer_key.clone(), counters.clone());
    let (reports, waiting_reports) = mpsc::channel(MAX_QUEUED_REPORTS);
    let actor = spawn_actor(settings, variant, clock, counters.clone(), reports, stopped);
    actix_rt::spawn(link.run(waiting_reports, actor.clone()));
    Gateway {
        actor,
        clock,
        callers: CallerTracker::default(),
        body_limits,
        peer_key,
        counters,
        stopping: Arc::default(),
    }
}

fn spawn_actor(
    settings: &Settings,
    variant: EntryVariant,
    clock: Clock,
    counters: Counters,
    reports: mpsc::Sender<EntryReport>,
    stopped: watch::Sender<bool>,
) -> Addr<EntryActor> {
    let config = entry_config(settings, variant, clock);
    let table_url = settings.platform.table_url.clone();
    let peer_key = settings.peers.key.clone();
    EntryActor::start_in_arbiter(&Arbiter::new().handle(), move |_| {
        EntryActor::new(EntryActorParts {
            entry: RunningEntry::new(config, variant.policy),
            clock,
            outbound: OutboundClients {
                table: HttpTable::new(&table_url),
                engines: HttpEngines::new(),
                applications: HttpPeers::default(),
                entries: HttpPeers::default(),
                peer_key,
            },
            reports,
            stopped,
            counters,
        })
    })
}

fn entry_config(settings: &Settings, variant: EntryVariant, clock: Clock) -> EntryConfig {
    let mut rng = rand::rng();
    EntryConfig {
        instance: settings.instance.name.clone(),
        zone: settings.instance.zone.clone(),
        advertise: settings.entry.advertise,
        incarnation: Incarnation::generate(&mut rng),
        seed: rng.random(),
        unix_at_start_ms: clock.started_unix_ms(),
        limits: EntryLimits {
            max_body_bytes: settings.entry.max_body_bytes,
            ..EntryLimits::default()
        },
        shares: variant.shares,
    }
}

/// Waits until a planned stop must be forced: on a second signal or at the configured time limit.
async fn wait_for_forced_stop(signals: &mut StopSignals, limit_ms: Option<u64>) {
    let limit = async {
        match limit_ms {
            Some(limit_ms) => tokio::time::sleep(Duration::from_millis(limit_ms)).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = signals.next() => {}
        () = limit => {}
    }
}

fn log_cut_requests(cut: usize, instance: &str) {
    log::warn!(instance, cut_requests = cut; "stop forced");
    eprintln!("fescue-entry: stop forced: {cut} requests in flight were cut");
}
