//! State of one request from admission to its final response.

use std::net::SocketAddr;

use super::book::BookKey;
use super::verdict::Evidence;
use crate::chain::Chain;
use crate::document::ModelOffer;
use crate::ids::{AccountId, EndpointId, IdempotencyKey, ServiceName, StreamId};
use crate::instance::{CallId, CallerId, Deadline};

/// Identifies an attempt by the caller that started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptId(pub(crate) CallerId);

/// A queued or running request.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Id; admission uses the same caller id.
    pub(crate) id: AttemptId,
    /// Account and request id.
    pub(crate) key: BookKey,
    /// The requested service.
    pub(crate) service: ServiceName,
    /// SHA-256 over method, path and body.
    pub(crate) digest: [u8; 32],
    /// Time after which an answer is useless to the caller.
    pub(crate) deadline: Option<Deadline>,
    /// Callers waiting for the answer. Each has been sent the first `sent_tokens` tokens.
    pub(crate) callers: Vec<CallerId>,
    /// Number of tokens sent, and so the position of the next one.
    pub(crate) sent_tokens: u32,
    /// When the last caller disconnected; `None` while there are callers.
    pub(crate) orphaned_at_ms: Option<u64>,
    /// Calls made to endpoints for this request and what is known of them.
    pub(crate) evidence: Evidence,
    /// The work requested.
    pub(crate) work: Work,
}

/// The work of an attempt.
#[derive(Debug)]
pub(crate) enum Work {
    /// A completion by a model.
    Completion(Box<Completion>),
    /// A call of an application service.
    Application(Box<ApplicationCall>),
}

/// A completion.
#[derive(Debug)]
pub(crate) struct Completion {
    /// Stream id, shared by all epochs.
    pub(crate) stream: StreamId,
    /// The model as offered when the request arrived; after planning, in the chain's version.
    pub(crate) model: ModelOffer,
    /// Adapter, if any.
    pub(crate) adapter: Option<String>,
    /// Text of the prompt.
    pub(crate) prompt: String,
    /// Number of tokens in the prompt.
    pub(crate) prompt_tokens: u32,
    /// Maximum number of tokens to generate; greater than 0.
    pub(crate) max_tokens: u32,
    /// The chain, once the request was dispatched.
    pub(crate) chain: Option<Chain>,
    /// Call of the open stream. There is at most one: a new epoch drops the previous stream.
    pub(crate) stream_call: Option<CallId>,
}

/// A call of an application service.
#[derive(Debug)]
pub(crate) struct ApplicationCall {
    /// HTTP method, upper case.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// `Content-Type` of the body, if any.
    pub(crate) content_type: Option<String>,
    /// Request body.
    pub(crate) body: Vec<u8>,
    /// Idempotency key, if any.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// Whether the call may be retried.
    pub(crate) retry_safety: RetrySafety,
    /// The replica whose slot is held, if any.
    pub(crate) replica: Option<Replica>,
    /// Replicas that failed during this attempt.
    pub(crate) failed_replicas: Vec<EndpointId>,
    /// When it was last sent.
    pub(crate) sent_at_ms: u64,
}

/// Whether a call whose reply was lost may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetrySafety {
    /// Idempotent: to any replica.
    AnyReplica,
    /// Non-idempotent, but the service deduplicates by idempotency key: to any replica.
    Deduplicated,
    /// Non-idempotent: only if it certainly did not run.
    OnlyIfNotRun,
}

/// A replica whose slot is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replica {
    /// The reserved endpoint.
    pub(crate) endpoint: EndpointId,
    /// Address of the endpoint.
    pub(crate) address: SocketAddr,
}

impl Attempt {
    /// The account that made the request.
    pub(crate) fn account(&self) -> &AccountId {
        &self.key.account
    }

    /// Whether it continues without callers: a call that was started completes and is recorded.
    pub(crate) fn outlives_callers(&self) -> bool {
        match &self.work {
            Work::Completion(_) => false,
            Work::Application(call) => call.replica.is_some(),
        }
    }
}
