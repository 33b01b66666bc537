//! The entry process: starts its parts, waits for a stop, ends.

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
use super::caller::CallerCount;
use super::calls::Outside;
use super::clock::Clock;
use super::control_link::{ControlLink, REPORTS_WAITING};
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

/// Longest wait for a whole body.
const BODY_TIMEOUT_MS: u64 = 10_000;
/// Time between two looks at whether every answer has left.
const FLUSH_CHECK: Duration = Duration::from_millis(5);
/// Once every answer is there, callers that take nothing of theirs for so long are gone: their
/// connections have gone silent, and would hold up a planned stop for as long as the kernel tries.
const FLUSH_STALL: Duration = Duration::from_secs(60);

/// What the decisions of an entry rest on. The product has one variant, the default; others are
/// baselines of measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVariant {
    /// How engines are chosen.
    pub policy: PolicyKind,
    /// Where the accounts' shares come from.
    pub shares: ShareSource,
}

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be listened on.
    #[error("cannot listen on {listen} ([entry] listen): {cause}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// Signals cannot be caught.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
}

/// The parts of a started entry process.
pub(crate) struct EntryProcess {
    /// What its HTTP handlers share.
    pub(crate) gateway: Gateway,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    server: ServerHandle,
    stop_done: watch::Receiver<bool>,
}

/// Runs the entry process until it is told to stop.
pub async fn run(settings: Settings, variant: EntryVariant) -> Result<Exit, StartError> {
    let mut signals = StopSignals::catch().map_err(StartError::Signals)?;
    let mut process = EntryProcess::start(&settings, variant)?;
    let instance = settings.instance.name.as_str();
    log::info!(instance, listen:% = process.address; "entry started");

    let mut alive = process.stop_done.clone();
    tokio::select! {
        () = signals.next() => {}
        _ = alive.wait_for(|_| false) => {
            log::error!(instance; "the entry's actor ended; its process ends too");
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
        () = forced(&mut signals, settings.stop.limit_ms) => {
            report_cut(callers.open(), instance);
            Exit::Forced
        }
    };
    log::info!(instance, exit = exit.name(); "entry stopped");
    Ok(exit)
}

impl EntryProcess {
    /// Starts to take requests.
    pub(crate) fn start(settings: &Settings, variant: EntryVariant) -> Result<Self, StartError> {
        let limits = BodyLimits {
            max_bytes: settings.entry.max_body_bytes,
            timeout_ms: BODY_TIMEOUT_MS,
        };
        Self::start_within(settings, limits, variant)
    }

    /// Starts to take requests with bodies within the limits.
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

    /// Tells the entry to stop, and waits until everything in flight has ended and every answer
    /// has been handed to its connection; then lets the last bytes leave. Returns how many callers
    /// took nothing any more and were left with a part of their answer.
    pub(crate) async fn stop(&mut self) -> usize {
        self.stop_stalled_after(FLUSH_STALL).await
    }

    pub(super) async fn stop_stalled_after(&mut self, stall: Duration) -> usize {
        self.gateway.begin_stop();
        self.gateway.actor.do_send(Deliver(EntryMessage::Stop));
        let _ = self.stop_done.wait_for(|done| *done).await;
        let left = flush(&self.gateway.callers, stall).await;
        self.server.stop(left == 0).await;
        left
    }
}

/// Waits until no caller is left without its whole answer, or those left take nothing any more.
/// Returns how many are left.
async fn flush(callers: &CallerCount, stall: Duration) -> usize {
    let mut taken = callers.taken();
    let mut since = Instant::now();
    while callers.open() > 0 && since.elapsed() < stall {
        tokio::time::sleep(FLUSH_CHECK).await;
        if callers.taken() != taken {
            taken = callers.taken();
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

/// Starts the actor on a thread of its own, and its exchange with the control on this one.
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
    let (reports, waiting_reports) = mpsc::channel(REPORTS_WAITING);
    let actor = spawn_actor(settings, variant, clock, counters.clone(), reports, stopped);
    actix_rt::spawn(link.run(waiting_reports, actor.clone()));
    Gateway {
        actor,
        clock,
        callers: CallerCount::default(),
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
            outside: Outside {
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

/// Waits for what ends a planned stop by force: a second signal, or the settings' limit.
async fn forced(signals: &mut StopSignals, limit_ms: Option<u64>) {
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

fn report_cut(cut: usize, instance: &str) {
    log::warn!(instance, cut_requests = cut; "stop forced");
    eprintln!("fescue-entry: stop forced: {cut} requests in flight were cut");
}
