//! Messages and effects of a claim.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clients::TableFailure;
use crate::ids::{AccountId, IdempotencyKey, Incarnation, InstanceId, ServiceName};
use crate::instance::{ApplicationReply, Deadline};
use crate::outcome::Refusal;
use crate::wire::platform::{ReadRows, Rows, TransactReply, Transaction};

/// The process lifetime that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// Its instance.
    pub instance: InstanceId,
    /// Where that instance takes requests.
    pub address: SocketAddr,
    /// The process lifetime.
    pub incarnation: Incarnation,
}

/// One attempt to run a non-idempotent call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The account that asks.
    pub account: AccountId,
    /// The service called.
    pub service: ServiceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// SHA-256 over method, path and body.
    pub body_digest: [u8; 32],
    /// The attempt; drawn anew for each request that arrives.
    pub attempt: Uuid,
    /// This process.
    pub holder: ClaimHolder,
    /// Wall clock at `begin`.
    pub at_unix_ms: u64,
    /// Whether the endpoint deduplicates by the key, which makes a second send safe.
    pub endpoint_deduplicates: bool,
    /// No dispatch after this time.
    pub deadline: Option<Deadline>,
}

/// What reaches a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimMessage {
    /// Answer to the last [`ClaimEffect::Transact`].
    Transacted(Result<TransactReply, TableFailure>),
    /// Answer to the last [`ClaimEffect::Read`].
    ReadBack(Result<Rows, TableFailure>),
    /// Answer to the last [`ClaimEffect::AskHolder`]: whether that incarnation works on the claim;
    /// `Some(false)` also when another incarnation answered at that address, `None` without an
    /// answer.
    HolderAnswered(Option<bool>),
    /// The endpoint answered, whole. The entry sends this answer to its caller itself, at once.
    Answered(ApplicationReply),
    /// The call was dispatched and no whole answer came.
    ResultUnknown,
    /// After [`ClaimEffect::Dispatch`]: no byte left, and none will.
    NotDispatched,
    /// The time of [`super::Claim::wake_at_ms`] has come.
    Wake,
}

/// What a claim wants done. Each call of `handle` returns at most one of `Transact`, `Read` and
/// `AskHolder`, and only when none of them is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Write to the table service.
    Transact(Transaction),
    /// Read from the table service.
    Read(ReadRows),
    /// Ask the holder of the row whether it still works on it.
    AskHolder {
        /// The holder's instance.
        instance: InstanceId,
        /// Where that instance takes requests.
        address: SocketAddr,
        /// Incarnation in the row.
        incarnation: Incarnation,
        /// Key of the row.
        claim: String,
    },
    /// Send the call to an endpoint. At most once in the life of a claim.
    Dispatch,
    /// Send the recorded answer to the caller.
    Replay(ApplicationReply),
    /// Send the final word to the caller. The claim never dispatches afterwards.
    Refuse(Refusal),
    /// Nothing is left to do: drop the claim. Always the last effect.
    Settled,
}
