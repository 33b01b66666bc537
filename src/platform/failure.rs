//! How calls to the platform fail.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a call to the table service has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableFailure {
    /// The request did not reach the service: surely nothing took effect.
    #[error("the table service cannot be reached")]
    NotSent,
    /// The service refused before it did anything: surely nothing took effect.
    #[error("the table service is over its rate limit")]
    Throttled,
    /// The request was sent and no reply came: it may have taken effect.
    #[error("no reply from the table service; the write may have taken effect")]
    ReplyLost,
}

impl TableFailure {
    /// Whether a write may have taken effect all the same.
    pub fn may_have_applied(self) -> bool {
        matches!(self, Self::ReplyLost)
    }
}
