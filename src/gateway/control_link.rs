//! The exchange with the control process of the same instance.

use std::net::SocketAddr;
use std::time::Duration;

use actix::Addr;
use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::error::Elapsed;

use super::actor::EntryActor;
use super::messages::Deliver;
use crate::instance::EntryMessage;
use crate::rpc::{LocalApiClient, MAX_MESSAGE_BYTES};
use crate::settings::Secret;
use crate::telemetry::Counters;
use crate::wire::local::{EntryReport, ExchangeReply};

/// Reports that wait at most; a later one says nearly the same.
pub(crate) const REPORTS_WAITING: usize = 8;
/// Longest wait for a connection, and for an answer on it.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange failed.
#[derive(Debug, Error)]
enum ExchangeFailure {
    /// No connection, or it broke, or the control answered with an error.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The control gave no answer in time.
    #[error("no answer in time")]
    Silent(#[from] Elapsed),
}

/// The way to the control.
pub(crate) struct ControlLink {
    url: String,
    key: Secret,
    client: Option<WsClient>,
    reachable: bool,
    counters: Counters,
}

impl ControlLink {
    /// A link that is not connected yet.
    pub(crate) fn new(control: SocketAddr, key: Secret, counters: Counters) -> Self {
        Self {
            url: format!("ws://{control}"),
            key,
            client: None,
            reachable: false,
            counters,
        }
    }

    /// Sends reports until the actor is gone; hands it each new snapshot. Without an answer the
    /// entry goes on with the last one, and the next report takes a fresh connection.
    pub(crate) async fn run(
        mut self,
        mut reports: mpsc::Receiver<EntryReport>,
        actor: Addr<EntryActor>,
    ) {
        while let Some(report) = reports.recv().await {
            let result = self.exchange(report).await;
            self.note(&result);
            let Ok(reply) = result else {
                self.client = None;
                continue;
            };
            if let Some(snapshot) = reply.snapshot {
                self.counters.count("gateway.snapshots");
                actor.do_send(Deliver(EntryMessage::SnapshotChanged { snapshot }));
            }
        }
    }

    async fn exchange(&mut self, report: EntryReport) -> Result<ExchangeReply, ExchangeFailure> {
        let client = match self.client.take() {
            Some(client) if client.is_connected() => client,
            _ => connect(&self.url).await?,
        };
        let key = self.key.expose().to_owned();
        let answer = client.exchange(key, report);
        let reply = tokio::time::timeout(EXCHANGE_TIMEOUT, answer).await??;
        self.client = Some(client);
        Ok(reply)
    }

    fn note(&mut self, result: &Result<ExchangeReply, ExchangeFailure>) {
        match result {
            Ok(_) if !self.reachable => {
                self.reachable = true;
                log::info!(control = self.url.as_str(); "control reached");
            }
            Err(failure) => {
                self.counters.count("gateway.exchanges.failed");
                if self.reachable {
                    self.reachable = false;
                    let cause = failure.to_string();
                    log::warn!(control = self.url.as_str(), cause = cause.as_str(); "control lost; going on with the last snapshot");
                }
            }
            Ok(_) => {}
        }
    }
}

async fn connect(url: &str) -> Result<WsClient, ExchangeFailure> {
    let building = WsClientBuilder::default()
        .connection_timeout(EXCHANGE_TIMEOUT)
        .request_timeout(EXCHANGE_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .build(url);
    Ok(tokio::time::timeout(EXCHANGE_TIMEOUT, building).await??)
}
