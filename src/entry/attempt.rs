//! One request on its way from admission to its final word.

use std::net::SocketAddr;

use super::book::BookKey;
use super::verdict::Evidence;
use crate::chain::Chain;
use crate::document::ModelOffer;
use crate::ids::{AccountId, EndpointId, IdempotencyKey, ServiceName, StreamId};
use crate::instance::{CallId, CallerId, Deadline};

/// An attempt, named after the caller that started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct AttemptId(pub(crate) CallerId);

/// A request that waits or runs.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Its id; admission knows it under the same number.
    pub(crate) id: AttemptId,
    /// Account and request id.
    pub(crate) key: BookKey,
    /// The service.
    pub(crate) service: ServiceName,
    /// SHA-256 over method, path and body.
    pub(crate) digest: [u8; 32],
    /// When an answer is of no use any more.
    pub(crate) deadline: Option<Deadline>,
    /// Callers that wait for the answer. Each has been sent the first `sent_tokens` tokens.
    pub(crate) callers: Vec<CallerId>,
    /// Tokens sent; the next one has this position.
    pub(crate) sent_tokens: u32,
    /// When the last caller went, while there is none.
    pub(crate) orphaned_at_ms: Option<u64>,
    /// What was sent to endpoints for it.
    pub(crate) evidence: Evidence,
    /// What is to be done.
    pub(crate) work: Work,
}

/// What an attempt does.
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
    /// The stream; one for all epochs.
    pub(crate) stream: StreamId,
    /// The model as offered when the request arrived; once a chain is planned, in its version.
    pub(crate) model: ModelOffer,
    /// Adapter, if any.
    pub(crate) adapter: Option<String>,
    /// The prompt.
    pub(crate) prompt: String,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Most tokens to generate; greater than 0.
    pub(crate) max_tokens: u32,
    /// The chain, once the request was dispatched.
    pub(crate) chain: Option<Chain>,
    /// The open stream. At most one: a new epoch drops the one before.
    pub(crate) open_call: Option<CallId>,
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
    /// Body.
    pub(crate) body: Vec<u8>,
    /// Idempotency key, if any.
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    /// Whether it may be sent again.
    pub(crate) repeat: Repeat,
    /// The replica whose slot is held, if any.
    pub(crate) replica: Option<Replica>,
    /// Replicas that failed under this attempt.
    pub(crate) tried: Vec<EndpointId>,
    /// When it was last sent.
    pub(crate) sent_at_ms: u64,
}

/// Whether a call whose reply was lost may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// Idempotent: to any replica.
    Anywhere,
    /// Non-idempotent, but the service deduplicates by idempotency key: to any replica.
    Deduplicated,
    /// Non-idempotent: only if it surely did not run.
    Never,
}

/// A replica whose slot is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Replica {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Its address.
    pub(crate) address: SocketAddr,
}

impl Attempt {
    /// The account that asked.
    pub(crate) fn account(&self) -> &AccountId {
        &self.key.account
    }

    /// Whether it goes on without callers: a call that was begun ends and is recorded.
    pub(crate) fn outlives_callers(&self) -> bool {
        match &self.work {
            Work::Completion(_) => false,
            Work::Application(call) => call.replica.is_some(),
        }
    }
}
