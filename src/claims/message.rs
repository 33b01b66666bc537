//! Messages and effects of a claim.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clients::TableFailure;
use crate::ids::{AccountId, IdempotencyKey, Incarnation, InstanceId, ServiceName};
use crate::instance::{ApplicationReply, Deadline};
use crate::outcome::Refusal;
use crate::wire::platform::{ReadRows, Rows, TransactReply, Transaction};

/// Identifies the process incarnation that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Instance that runs the process.
    pub instance: InstanceId,
    /// Address at which the instance accepts requests.
    pub address: SocketAddr,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Request to run a non-idempotent call in one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Account of the caller.
    pub account: AccountId,
    /// Service to call.
    pub service: ServiceName,
    /// Idempotency key chosen by the caller.
    pub key: IdempotencyKey,
    /// SHA-256 over method, path and body.
    pub body_digest: [u8; 32],
    /// Attempt ID; generated anew for each incoming request.
    pub attempt: Uuid,
    /// The process making the attempt.
    pub holder: ClaimHolder,
    /// Wall-clock time at `begin`.
    pub at_unix_ms: u64,
    /// Whether the endpoint deduplicates by the key, which makes it safe to send the call again.
    pub endpoint_deduplicates: bool,
    /// Time after which the call must not be dispatched.
    pub deadline: Option<Deadline>,
}

/// Input to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimMessage {
    /// Reply to the last [`ClaimEffect::Transact`].
    Transacted(Result<TransactReply, TableFailure>),
    /// Reply to the last [`ClaimEffect::Read`].
    ReadBack(Result<Rows, TableFailure>),
    /// Reply to the last [`ClaimEffect::AskHolder`]: whether that incarnation is working on the
    /// claim. `Some(false)` also if a different incarnation answered at that address; `None` if
    /// there was no reply.
    HolderAnswered(Option<bool>),
    /// The endpoint sent a complete answer, which the entry forwards to its caller immediately.
    Answered(ApplicationReply),
    /// The call was dispatched, but no complete answer arrived.
    ResultUnknown,
    /// After [`ClaimEffect::Dispatch`]: no byte of the call was sent, and none will be.
    NotDispatched,
    /// The time of [`super::Claim::wake_at_ms`] has come.
    Wake,
}

/// Actions requested by a claim. Each call of `handle` returns at most one of `Transact`, `Read` and
/// `AskHolder`, and only when none of them is outstanding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Write to the table service.
    Transact(Transaction),
    /// Read from the table service.
    Read(ReadRows),
    /// Query whether the holder of the row is still working on the claim.
    AskHolder {
        /// Instance of the holder.
        instance: InstanceId,
        /// Address at which the instance accepts requests.
        address: SocketAddr,
        /// Incarnation recorded in the row.
        incarnation: Incarnation,
        /// Key of the row.
        claim: String,
    },
    /// Send the call to an endpoint. Returned at most once per claim.
    Dispatch,
    /// Send the recorded answer to the caller.
    Replay(ApplicationReply),
    /// Send the final error to the caller. The claim never dispatches afterwards.
    Refuse(Refusal),
    /// The claim has ended and can be dropped. Always the last effect.
    Settled,
}
