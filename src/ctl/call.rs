//! Client for control processes that fails over between their addresses.

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

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one call. Longer than the control process's own limit, after which it replies
/// `Unsettled`.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before all addresses are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Client for a list of control processes, with the operator's key.
#[derive(Debug)]
pub(super) struct ControlClient {
    /// Never empty.
    addresses: Vec<SocketAddr>,
    /// Index of the address that last replied. It is tried first, so that an unresponsive address
    /// costs its timeout only once.
    preferred: Cell<usize>,
    key: Secret,
    pub(super) retry_timeout: Duration,
}

impl ControlClient {
    pub(super) fn new(common: &CommonArgs) -> Result<Self, CtlError> {
        if common.control.is_empty() {
            return Err(CtlError::NoControl);
        }
        Ok(Self {
            addresses: common.control.clone(),
            preferred: Cell::new(0),
            key: read_key(common.key_file.as_deref())?,
            retry_timeout: Duration::from_secs(common.timeout_s),
        })
    }

    /// Calls each address in turn until one replies.
    pub(super) async fn call<T, F>(&self, request: F) -> Result<T, CtlError>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        match self.try_all_addresses(&request).await? {
            Pass::Replied(reply) => Ok(reply),
            Pass::Failed(attempts) => Err(CtlError::Unavailable { attempts }),
        }
    }

    /// Like [`Self::call`], but tries all addresses repeatedly until one replies or `retry_timeout`
    /// expires. `request` must be idempotent.
    pub(super) async fn call_with_retry<T, F>(
        &self,
        request: F,
    ) -> Result<RetryOutcome<T>, CtlError>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        let deadline = Instant::now() + self.retry_timeout;
        let mut may_have_applied = false;
        loop {
            let attempts = match self.try_all_addresses(&request).await? {
                Pass::Replied(reply) => return Ok(RetryOutcome::Replied(reply)),
                Pass::Failed(attempts) => attempts,
            };
            let is_uncertain = |attempt: &FailedAttempt| attempt.cause.may_have_applied();
            may_have_applied |= attempts.iter().any(is_uncertain);
            if Instant::now() >= deadline {
                return Ok(RetryOutcome::TimedOut {
                    attempts,
                    may_have_applied,
                });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    async fn try_all_addresses<T, F>(&self, request: &F) -> Result<Pass<T>, CtlError>
    where
        F: AsyncFn(&WsClient, String) -> Result<T, RpcError>,
    {
        let mut attempts = Vec::new();
        let first = self.preferred.get();
        let indexes = (first..self.addresses.len()).chain(0..first);
        for index in indexes {
            let address = self.addresses[index];
            match self.attempt(address, request).await {
                Ok(reply) => {
                    self.preferred.set(index);
                    return Ok(Pass::Replied(reply));
                }
                Err(AttemptCause::Fault(fault)) if is_permanent(&fault) => {
                    return Err(CtlError::Refused { address, fault });
                }
                Err(cause) => attempts.push(FailedAttempt { address, cause }),
            }
        }
        Ok(Pass::Failed(attempts))
    }

    async fn attempt<T, F>(&self, address: SocketAddr, request: &F) -> Result<T, AttemptCause>
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
        request(&client, key).await.map_err(attempt_cause)
    }
}

/// Result of a call with retries.
#[derive(Debug)]
pub(super) enum RetryOutcome<T> {
    /// A control process replied.
    Replied(T),
    /// No control process replied in time.
    TimedOut {
        /// Failed attempts of the last pass over all addresses.
        attempts: Vec<FailedAttempt>,
        /// Whether any attempt may have taken effect.
        may_have_applied: bool,
    },
}

enum Pass<T> {
    Replied(T),
    Failed(Vec<FailedAttempt>),
}

fn attempt_cause(error: RpcError) -> AttemptCause {
    let fault = match &error {
        RpcError::Call(object) => fault_of(object),
        _ => None,
    };
    match fault {
        Some(fault) => AttemptCause::Fault(fault),
        None => AttemptCause::ReplyLost(error),
    }
}

/// Whether a fault is permanent, so that other control processes would report the same.
fn is_permanent(fault: &OperatorFault) -> bool {
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
