//! Final outcomes of a request and the reasons for refusing one.

use serde::{Deserialize, Serialize};

/// Response header that carries the [`Outcome`].
pub const OUTCOME_HEADER: &str = "x-fescue-outcome";
/// Request and response header that carries the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Request header with the time, in milliseconds, after which the caller has no use for an answer.
pub const DEADLINE_HEADER: &str = "x-fescue-deadline-ms";

/// What is true of a request when the system has spoken its final word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The answer is complete.
    Done,
    /// The request ran nowhere and will not run under this attempt.
    NotRun,
    /// The request was dispatched and its result is not known.
    Unknown,
}

impl Outcome {
    /// Returns the value carried by [`OUTCOME_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or given up on. The code is part of the public API.
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
    /// The body is not what the API asks for.
    MalformedBody,
    /// A required header is missing.
    MissingHeader,
    /// A header has a value that cannot be used.
    BadHeader,
    /// The same idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the system remembers keys.
    KeyTooOld,
    /// The same key is being worked on, or was dispatched and its result is not known.
    ResultUnknown,
    /// The account has used its share and its queue is full.
    AccountOverloaded,
    /// The service has no capacity left before the deadline.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// No endpoint can serve the request now.
    NoEndpoint,
    /// The table service cannot be reached, and the request needs it.
    StoreUnavailable,
    /// The endpoint refused the request or failed before it ran.
    EndpointFailed,
    /// The instance is stopping; other addresses serve the request.
    Stopping,
    /// The instance has no document in force yet.
    NotReady,
}

impl RefusalCode {
    /// Returns the code as callers see it.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::new(),
        }
    }
}

/// A final word other than an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// `NotRun` or `Unknown`, never `Done`.
    pub outcome: Outcome,
    /// When the caller should come back, in milliseconds; `None` if coming back cannot help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that ran nowhere.
    pub fn not_run(code: RefusalCode, retry_after_ms: Option<u64>) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after_ms,
        }
    }

    /// A final word on a request that was dispatched and whose result is not known.
    pub fn unknown(code: RefusalCode, retry_after_ms: Option<u64>) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after_ms,
        }
    }
}
