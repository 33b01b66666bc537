//! Runs a control process from its settings to its end.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use actix::{Actor, Addr};
use jsonrpsee::Methods;
use jsonrpsee::core::RegisterMethodError;
use rand::RngExt;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::actor::{ControlActor, StopControl};
use super::handlers::Handlers;
use super::peers::Peers;
use super::platform::Platform;
use super::server::serve;
use super::traffic::Traffic;
use crate::clock::unix_ms;
use crate::control::{Control, ControlConfig};
use crate::exit_codes::Exit;
use crate::ids::Incarnation;
use crate::rpc::{LocalApiServer, OperatorApiServer, PeerApiServer};
use crate::settings::Settings;
use crate::telemetry::Counters;

/// Why a control process cannot run.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The listen address cannot be used.
    #[error("cannot listen on {address}: {source}; set control.listen to a free address")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Signals cannot be watched.
    #[error("cannot watch for signals: {0}")]
    Signals(#[from] io::Error),
    /// Two methods have one name.
    #[error("cannot register the methods: {0}")]
    Methods(#[from] RegisterMethodError),
}

/// Runs until a planned stop has ended, or a second signal, or the limit of the settings.
///
/// # Errors
/// Fails if the process cannot listen or watch for signals.
pub async fn run(settings: &Settings) -> Result<Exit, ControlError> {
    let address = settings.control.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| ControlError::Listen { address, source })?;
    let mut running = start(settings, listener)?;
    log::info!(listen:% = address; "started");
    let mut stop = Stop::watch(settings.stop.limit_ms)?;
    stop.first_signal().await;
    log::info!("stopping");
    running.actor.do_send(StopControl);
    let exit = tokio::select! {
        _ = &mut running.stopped => Exit::Success,
        () = stop.forced() => Exit::Forced,
    };
    running.end().await;
    log::info!(exit = exit.name(); "stopped");
    Ok(exit)
}

/// A control that listens.
pub(super) struct Running {
    pub(super) actor: Addr<ControlActor>,
    /// Comes when the process may exit.
    pub(super) stopped: oneshot::Receiver<()>,
    end: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

impl Running {
    /// Closes the listener and lets answers under way leave.
    pub(super) async fn end(self) {
        let _ = self.end.send(());
        let _ = self.server.await;
    }
}

/// Starts the actor and the server.
pub(super) fn start(
    settings: &Settings,
    listener: TcpListener,
) -> Result<Running, RegisterMethodError> {
    let traffic = Traffic::default();
    let counters = Counters::new();
    let (stopped_sender, stopped) = oneshot::channel();
    let actor = ControlActor::new(
        Control::new(config(settings), 0),
        Instant::now(),
        Platform::new(settings, traffic.clone()),
        Peers::new(settings.peers.key.clone(), traffic.clone()),
        counters.clone(),
        traffic.clone(),
        stopped_sender,
    )
    .start();
    let handlers = Handlers::new(actor.clone(), settings.peers.key.clone(), counters);
    let methods = methods(&handlers)?;
    let (end, ended) = oneshot::channel::<()>();
    let server = actix::spawn(serve(listener, methods, traffic, async move {
        let _ = ended.await;
    }));
    Ok(Running {
        actor,
        stopped,
        end,
        server,
    })
}

fn config(settings: &Settings) -> ControlConfig {
    let mut rng = rand::rng();
    ControlConfig {
        instance: settings.instance.name.clone(),
        zone: settings.instance.zone.clone(),
        address: settings.entry.advertise,
        control_address: settings.control.advertise,
        incarnation: Incarnation::generate(&mut rng),
        unix_offset_ms: unix_ms(),
        seed: rng.random(),
        peers_key: settings.peers.key.clone(),
    }
}

fn methods(handlers: &Handlers) -> Result<Methods, RegisterMethodError> {
    let mut methods = LocalApiServer::into_rpc(handlers.clone());
    methods.merge(PeerApiServer::into_rpc(handlers.clone()))?;
    methods.merge(OperatorApiServer::into_rpc(handlers.clone()))?;
    Ok(methods.into())
}

/// Signals that end the process.
struct Stop {
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
    limit_ms: Option<u64>,
}

impl Stop {
    fn watch(limit_ms: Option<u64>) -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            limit_ms,
        })
    }

    async fn first_signal(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Ends with a second signal or when the limit has passed.
    async fn forced(&mut self) {
        match self.limit_ms {
            Some(limit_ms) => {
                let limit = std::time::Duration::from_millis(limit_ms);
                let _ = tokio::time::timeout(limit, self.first_signal()).await;
            }
            None => self.first_signal().await,
        }
    }
}
