//! Final outcomes of requests and refusal codes.

use serde::{Deserialize, Serialize};

/// Response header that carries the [`Outcome`].
pub const OUTCOME_HEADER: &str = "x-fescue-outcome";
/// Request and response header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header with the time, in milliseconds, after which the caller no longer needs an answer.
pub const DEADLINE_HEADER: &str = "x-fescue-deadline-ms";

/// Final state of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete.
    Done,
    /// The request did not run anywhere and will not run under this attempt.
    NotRun,
    /// The request was dispatched and its result is unknown.
    Unknown,
}

impl Outcome {
    /// The value of [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or abandoned. The code is part of the public API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// No key, or a key that no accepted document lists.
    Unauthenticated,
    /// The account is known but not served by this service.
    Forbidden,
    /// No accepted document declares the service.
    UnknownService,
    /// The service does not offer the model, adapter or version.
    UnknownModel,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body does not match the API's schema.
    MalformedBody,
    /// A required header is missing.
    MissingHeader,
    /// A header has an invalid value.
    BadHeader,
    /// The idempotency key was already used with a different body.
    KeyReused,
    /// The idempotency key is older than the key retention period.
    KeyTooOld,
    /// A request with the same key is in progress, or was dispatched with an unknown result.
    ResultUnknown,
    /// The account's queue is full, or its wait would exceed the limit.
    AccountOverloaded,
    /// The service has no capacity left before the deadline.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// No endpoint can serve the request now.
    NoEndpoint,
    /// The request needs the table service, which is unreachable.
    StoreUnavailable,
    /// The endpoint refused the request or failed before it ran.
    EndpointFailed,
    /// The instance is stopping; the caller should use another address.
    Stopping,
    /// The instance has no document in force yet.
    NotReady,
}

impl RefusalCode {
    /// The code as sent to callers.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::new(),
        }
    }
}

/// A final response other than an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// `NotRun` or `Unknown`, never `Done`.
    pub outcome: Outcome,
    /// Delay before the caller should retry, in milliseconds; `None` if a retry cannot help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that did not run anywhere.
    pub fn not_run(code: RefusalCode, retry_after_ms: Option<u64>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after_ms,
        }
    }

    /// A refusal of a request that was dispatched and whose result is unknown.
    pub fn unknown(code: RefusalCode, retry_after_ms: Option<u64>) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after_ms,
        }
    }
}
