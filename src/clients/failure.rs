//! Failures of calls to the platform and the engines.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::http::HttpFailure;
use crate::wire::engine::EngineError;

/// Why a call to the table service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableFailure {
    /// The request did not reach the service, so nothing took effect.
    #[error("the table service cannot be reached")]
    NotSent,
    /// The service rejected the request before processing it, so nothing took effect.
    #[error("the table service is over its rate limit")]
    Throttled,
    /// The request was sent but no reply arrived, so it may have taken effect.
    #[error("no reply from the table service; the write may have taken effect")]
    ReplyLost,
}

impl TableFailure {
    /// Returns whether a write may have taken effect despite the failure.
    pub fn may_have_applied(self) -> bool {
        matches!(self, Self::ReplyLost)
    }
}

impl From<HttpFailure> for TableFailure {
    fn from(failure: HttpFailure) -> Self {
        match failure {
            HttpFailure::NotSent | HttpFailure::NoListener => Self::NotSent,
            HttpFailure::ReplyLost => Self::ReplyLost,
        }
    }
}

/// Why a call to the object store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ObjectFailure {
    /// The request did not reach the store, so nothing took effect.
    #[error("the object store cannot be reached")]
    NotSent,
    /// The store rejected the request before processing it, so nothing took effect.
    #[error("the object store is over its rate limit")]
    Throttled,
    /// The request was sent but no reply arrived, so it may have taken effect.
    #[error("no reply from the object store; the write may have taken effect")]
    ReplyLost,
}

impl From<HttpFailure> for ObjectFailure {
    fn from(failure: HttpFailure) -> Self {
        match failure {
            HttpFailure::NotSent | HttpFailure::NoListener => Self::NotSent,
            HttpFailure::ReplyLost => Self::ReplyLost,
        }
    }
}

/// Why the instance list could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceListFailure {
    /// No complete reply arrived in time.
    #[error("the instance list cannot be read")]
    NoReply,
    /// The reply could not be parsed as an instance list.
    #[error("the instance list is malformed")]
    Malformed,
}

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCallFailure {
    /// The request did not reach the engine, so nothing took effect.
    #[error("the engine cannot be reached")]
    NotSent,
    /// The request was sent but no reply arrived, so it may have taken effect.
    #[error("no reply from the engine; the call may have taken effect")]
    ReplyLost,
    /// The engine rejected the request; nothing took effect.
    #[error("the engine refused: {:?}", .error.code)]
    Refused {
        /// Error returned by the engine.
        error: EngineError,
    },
}

impl From<HttpFailure> for EngineCallFailure {
    fn from(failure: HttpFailure) -> Self {
        match failure {
            HttpFailure::NotSent | HttpFailure::NoListener => Self::NotSent,
            HttpFailure::ReplyLost => Self::ReplyLost,
        }
    }
}
