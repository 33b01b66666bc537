//! Stored value of a claim's row.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use super::message::ClaimHolder;
use crate::instance::ApplicationReply;
use crate::wire::WIRE_VERSION;

/// Maximum size of a recorded answer body. For a larger body only its length and digest are stored,
/// and a repeated request is answered with `unknown`.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1_024;

/// The value of a claim's row, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// [`WIRE_VERSION`] of the writer.
    pub wire_version: u16,
    /// Attempt that may dispatch or has dispatched.
    pub attempt: Uuid,
    /// Process that made the attempt.
    pub holder: ClaimHolder,
    /// SHA-256 over method, path and body, in hex.
    pub body_digest: String,
    /// Wall-clock time of the writer.
    pub at_unix_ms: u64,
    /// State of the attempt.
    pub state: ClaimState,
}

/// State of the attempt that wrote a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched or may still do so.
    Open,
    /// The attempt has not dispatched and never will: another attempt may replace the row.
    Released,
    /// The endpoint answered.
    Answered {
        /// The answer.
        reply: RecordedReply,
    },
    /// The endpoint's answer exceeded [`MAX_RECORDED_BODY_BYTES`].
    AnswerTooLong {
        /// HTTP status.
        status: u16,
        /// Length of the body.
        body_bytes: u64,
        /// SHA-256 of the body, in hex.
        digest: String,
    },
    /// The call was or may have been dispatched, and its result is unknown.
    Unknown,
    /// State written by a newer release; treated like `Unknown` and never overwritten.
    #[serde(other)]
    Unrecognised,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedReply {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if any.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body.
    pub body: RecordedBody,
}

/// A recorded body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedBody {
    /// UTF-8.
    Text(String),
    /// Anything else, in hex.
    Hex(String),
}

/// Error in a row value that this release cannot read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// The value is not the JSON of a claim.
    #[error("row value is not a valid claim")]
    Malformed,
    /// The recorded hex body is not valid hex.
    #[error("recorded body is not valid hex")]
    BodyNotHex,
}

impl TryFrom<&str> for ClaimRow {
    type Error = RowError;

    fn try_from(value: &str) -> Result<Self, Self::Error> {
        serde_json::from_str(value).map_err(|_| RowError::Malformed)
    }
}

impl From<&ClaimRow> for String {
    fn from(row: &ClaimRow) -> Self {
        // Every field is a string, a number or an enum of them, so serialization cannot fail.
        serde_json::to_string(row).unwrap_or_default()
    }
}

impl From<&ApplicationReply> for RecordedReply {
    fn from(reply: &ApplicationReply) -> Self {
        let body = match std::str::from_utf8(&reply.body) {
            Ok(text) => RecordedBody::Text(text.to_owned()),
            Err(_) => RecordedBody::Hex(hex::encode(&reply.body)),
        };
        Self {
            status: reply.status,
            content_type: reply.content_type.clone(),
            body,
        }
    }
}

impl TryFrom<RecordedReply> for ApplicationReply {
    type Error = RowError;

    fn try_from(recorded: RecordedReply) -> Result<Self, Self::Error> {
        let body = match recorded.body {
            RecordedBody::Text(text) => text.into_bytes(),
            RecordedBody::Hex(text) => hex::decode(text).map_err(|_| RowError::BodyNotHex)?,
        };
        Ok(Self {
            status: recorded.status,
            content_type: recorded.content_type,
            body,
        })
    }
}

impl ClaimState {
    /// Returns the state that records `reply`.
    pub(crate) fn from_reply(reply: &ApplicationReply) -> Self {
        if reply.body.len() <= MAX_RECORDED_BODY_BYTES {
            return Self::Answered {
                reply: reply.into(),
            };
        }
        Self::AnswerTooLong {
            status: reply.status,
            body_bytes: reply.body.len() as u64,
            digest: hex::encode(sha256(&reply.body)),
        }
    }
}

fn sha256(bytes: &[u8]) -> [u8; 32] {
    use sha2::Digest;
    sha2::Sha256::digest(bytes).into()
}

/// Wire version written to rows.
pub(crate) const ROW_VERSION: u16 = WIRE_VERSION;
