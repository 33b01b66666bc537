//! Calls to control processes: each is tried at one address after the other.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};

use super::cli::CommonArgs;
use super::fault::{AttemptCause, CtlError, FailedAttempt};
use super::key::read_key;
use crate::keys::Secret;
use crate::rpc::{MAX_MESSAGE_BYTES, fault_of};
use crate::wire::operator::OperatorFault;

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one call may take; the control answers `Unsettled` before.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two rounds over all addresses.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// The control processes that may be asked, with the operator's key.
#[derive(Debug)]
pub(super) struct Controls {
    /// Never empty.
    addresses: Vec<SocketAddr>,
    /// Index of the address that answered last: a frozen one is waited for only once.
    first: Cell<usize>,
    key: Secret,
    pub(super) patience: Duration,
}

impl Controls {
    pub(super) fn new(common: &CommonArgs) -> Result<Self, CtlError> {
        if common.control.is_empty() {
            return Err(CtlError::NoControl);
        }
        Ok(Self {
            addresses: common.control.clone(),
            first: Cell::new(0),
            key: read_key(common.key_file.as_deref())?,
            patience: Duration::from_secs(common.timeout_s),
        })
    }

    /// Calls one address after the other until one answers.
    pub(super) async fn call<T, F>(&self, ask: F) -> Result<T, CtlError>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        match self.round(&ask).await? {
            Round::Answered(answer) => Ok(answer),
            Round::Failed(attempts) => Err(CtlError::Unavailable { attempts }),
        }
    }

    /// Calls round after round until one answers or patience ends. `ask` must be idempotent.
    pub(super) async fn call_patiently<T, F>(&self, ask: F) -> Result<Patient<T>, CtlError>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        let end = Instant::now() + self.patience;
        let mut may_have_applied = false;
        loop {
            let attempts = match self.round(&ask).await? {
                Round::Answered(answer) => return Ok(Patient::Answered(answer)),
                Round::Failed(attempts) => attempts,
            };
            let unsure = |attempt: &FailedAttempt| attempt.cause.may_have_applied();
            may_have_applied |= attempts.iter().any(unsure);
            if Instant::now() >= end {
                return Ok(Patient::GaveUp {
                    attempts,
                    may_have_applied,
                });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn round<T, F>(&self, ask: &F) -> Result<Round<T>, CtlError>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        let mut attempts = Vec::new();
        let first = self.first.get();
        let indexes = (first..self.addresses.len()).chain(0..first);
        for index in indexes {
            let address = self.addresses[index];
            match self.attempt(address, ask).await {
                Ok(answer) => {
                    self.first.set(index);
                    return Ok(Round::Answered(answer));
                }
                Err(AttemptCause::Fault(fault)) if is_final(&fault) => {
                    return Err(CtlError::Refused { address, fault });
                }
                Err(cause) => attempts.push(FailedAttempt { address, cause }),
            }
        }
        Ok(Round::Failed(attempts))
    }

    async fn attempt<T, F>(&self, address: SocketAddr, ask: &F) -> Result<T, AttemptCause>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        let client = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("ws://{address}"))
            .await
            .map_err(AttemptCause::NotSent)?;
        let key = self.key.expose().to_owned();
        ask(&client, key).await.map_err(cause_of)
    }
}

/// How a patient call ended.
#[derive(Debug)]
pub(super) enum Patient<T> {
    /// Someone answered.
    Answered(T),
    /// Nobody did in time.
    GaveUp {
        /// One for each try of the last round.
        attempts: Vec<FailedAttempt>,
        /// Whether some try may have taken effect.
        may_have_applied: bool,
    },
}

enum Round<T> {
    Answered(T),
    Failed(Vec<FailedAttempt>),
}

fn cause_of(error: RpcError) -> AttemptCause {
    let fault = match &error {
        RpcError::Call(object) => fault_of(object),
        _ => None,
    };
    match fault {
        Some(fault) => AttemptCause::Fault(fault),
        None => AttemptCause::ReplyLost(error),
    }
}

/// Whether asking another control process cannot help.
fn is_final(fault: &OperatorFault) -> bool {
    match fault {
        OperatorFault::Unauthenticated | OperatorFault::NotAllowed | OperatorFault::NotFound => {
            true
        }
        OperatorFault::StoreUnavailable
        | OperatorFault::Unsettled
        | OperatorFault::NotReady
        | OperatorFault::Stopping => false,
    }
}
