//! The entry process: starts its parts, waits for a stop, ends.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, Arbiter};
use actix_web::dev::ServerHandle;
use rand::RngExt;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

use super::actor::{EntryActor, EntryActorParts, ProductEntry};
use super::caller::CallerCount;
use super::calls::Outside;
use super::clock::Clock;
use super::control_link::{ControlLink, REPORTS_WAITING};
use super::messages::Deliver;
use super::server;
use super::state::Gateway;
use crate::entry::{EntryConfig, EntryLimits};
use crate::exit_codes::Exit;
use crate::ids::Incarnation;
use crate::instance::EntryMessage;
use crate::platform::{HttpEngines, HttpPeers, HttpTable};
use crate::routing::FlowWeighted;
use crate::settings::Settings;
use crate::telemetry::Counters;

/// Time between two looks at whether every answer has left.
const FLUSH_CHECK: Duration = Duration::from_millis(5);

/// Why the process could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address cannot be listened on.
    #[error("cannot listen on {listen} ([entry] listen): {cause}")]
    Listen {
        /// The address.
        listen: std::net::SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// Signals cannot be caught.
    #[error("cannot catch signals: {0}")]
    Signals(io::Error),
}

/// Runs the entry process until it is told to stop.
pub async fn run(settings: Settings) -> Result<Exit, StartError> {
    let mut signals = Signals::catch().map_err(StartError::Signals)?;
    let listen = settings.entry.listen;
    let listener = bind(listen).map_err(|cause| StartError::Listen { listen, cause })?;
    let counters = Counters::new();
    let clock = Clock::start();
    let (stopped, stop_done) = watch::channel(false);
    let (reports, waiting_reports) = mpsc::channel(REPORTS_WAITING);
    let actor = start_actor(&settings, clock, counters.clone(), reports, stopped);
    let link = ControlLink::new(
        settings.control.listen,
        settings.peers.key.clone(),
        counters.clone(),
    );
    actix_rt::spawn(link.run(waiting_reports, actor.clone()));
    let gateway = Gateway {
        actor,
        clock,
        callers: CallerCount::default(),
        max_body_bytes: settings.entry.max_body_bytes,
        peer_key: settings.peers.key.clone(),
        counters,
        stopping: Arc::default(),
    };
    let started = server::start(listener, gateway.clone());
    let server = started.map_err(|cause| StartError::Listen { listen, cause })?;
    let handle = server.handle();
    actix_rt::spawn(server);
    let instance = settings.instance.name.as_str();
    log::info!(instance, listen:% = listen; "entry started");

    signals.next().await;
    log::info!(instance, in_flight = gateway.callers.open(); "entry stopping");
    let graceful = stop_gracefully(&gateway, stop_done, &handle);
    let exit = tokio::select! {
        () = graceful => Exit::Success,
        () = forced(&mut signals, settings.stop.limit_ms) => {
            report_cut(&gateway, instance);
            Exit::Forced
        }
    };
    log::info!(instance, exit = exit.name(); "entry stopped");
    Ok(exit)
}

fn bind(listen: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = match listen {
        std::net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        std::net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(server::BACKLOG)?.into_std()
}

fn start_actor(
    settings: &Settings,
    clock: Clock,
    counters: Counters,
    reports: mpsc::Sender<crate::wire::local::EntryReport>,
    stopped: watch::Sender<bool>,
) -> Addr<EntryActor> {
    let mut rng = rand::rng();
    let config = EntryConfig {
        instance: settings.instance.name.clone(),
        zone: settings.instance.zone.clone(),
        advertise: settings.entry.advertise,
        incarnation: Incarnation::draw(&mut rng),
        seed: rng.random(),
        unix_at_start_ms: clock.started_unix_ms(),
        limits: EntryLimits {
            max_body_bytes: settings.entry.max_body_bytes,
            ..EntryLimits::default()
        },
    };
    let table_url = settings.platform.table_url.clone();
    let peer_key = settings.peers.key.clone();
    let arbiter = Arbiter::new();
    EntryActor::start_in_arbiter(&arbiter.handle(), move |_| {
        EntryActor::new(EntryActorParts {
            entry: ProductEntry::new(config, FlowWeighted),
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

/// Tells the entry to stop, and waits until everything in flight has ended and every answer has
/// been handed to its connection; then lets the last bytes leave.
async fn stop_gracefully(
    gateway: &Gateway,
    mut stop_done: watch::Receiver<bool>,
    server: &ServerHandle,
) {
    gateway.begin_stop();
    gateway.actor.do_send(Deliver(EntryMessage::Stop));
    let _ = stop_done.wait_for(|done| *done).await;
    while gateway.callers.open() > 0 {
        tokio::time::sleep(FLUSH_CHECK).await;
    }
    server.stop(true).await;
}

/// Waits for what ends a planned stop by force: a second signal, or the settings' limit.
async fn forced(signals: &mut Signals, limit_ms: Option<u64>) {
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

fn report_cut(gateway: &Gateway, instance: &str) {
    let cut = gateway.callers.open();
    log::warn!(instance, cut_requests = cut; "stop forced");
    eprintln!("fescue-entry: stop forced: {cut} requests in flight were cut");
}

/// SIGTERM and SIGINT.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn catch() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
