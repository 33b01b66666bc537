//! Exchanges reports and snapshots with the control process of the same instance.

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

/// Maximum number of queued reports. Further reports are dropped: consecutive reports are nearly
/// identical.
pub(crate) const MAX_QUEUED_REPORTS: usize = 8;
/// Time limit for connecting, and for each response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why an exchange failed.
#[derive(Debug, Error)]
enum ExchangeFailure {
    /// The connection failed, or the control process returned an error.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The control process did not respond in time.
    #[error("no response from the control process within {EXCHANGE_TIMEOUT:?}")]
    Timeout(#[from] Elapsed),
}

/// The connection to the control process.
pub(crate) struct ControlLink {
    url: String,
    key: Secret,
    client: Option<WsClient>,
    reachable: bool,
    counters: Counters,
}

impl ControlLink {
    /// Creates a link without connecting it.
    pub(crate) fn new(control: SocketAddr, key: Secret, counters: Counters) -> Self {
        Self {
            url: format!("ws://{control}"),
            key,
            client: None,
            reachable: false,
            counters,
        }
    }

    /// Sends reports until the actor ends, and passes each new snapshot to it. If an exchange fails,
    /// the entry keeps using the last snapshot, and the next report uses a new connection.
    pub(crate) async fn run(
        mut self,
        mut reports: mpsc::Receiver<EntryReport>,
        actor: Addr<EntryActor>,
    ) {
        while let Some(report) = reports.recv().await {
            let result = self.exchange(report).await;
            self.record_result(&result);
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

    fn record_result(&mut self, result: &Result<ExchangeReply, ExchangeFailure>) {
        match result {
            Ok(_) if !self.reachable => {
                self.reachable = true;
                log::info!(control = self.url.as_str(); "connected to the control process");
            }
            Err(failure) => {
                self.counters.count("gateway.exchanges.failed");
                if self.reachable {
                    self.reachable = false;
                    let cause = failure.to_string();
                    log::warn!(control = self.url.as_str(), cause = cause.as_str(); "control process unreachable; continuing with the last snapshot");
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
