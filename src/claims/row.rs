//! The value of a claim's row.

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use super::message::ClaimHolder;
use crate::instance::ApplicationReply;
use crate::wire::WIRE_VERSION;

/// Longest answer body that is recorded. Of a longer one only its length and digest are kept, and
/// who asks again hears `unknown`.
pub const ANSWER_LIMIT_BYTES: usize = 64 * 1_024;

/// The value of a claim's row, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// [`WIRE_VERSION`] of the writer.
    pub wire_version: u16,
    /// The attempt that may dispatch, or did.
    pub attempt: Uuid,
    /// Who made the attempt.
    pub holder: ClaimHolder,
    /// SHA-256 over method, path and body, in hex.
    pub body_digest: String,
    /// Wall clock of the writer.
    pub at_unix_ms: u64,
    /// Where the attempt stands.
    pub state: ClaimState,
}

/// Where the attempt of a row stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have dispatched, or may yet.
    Open,
    /// The attempt never dispatched and never will: another may write its own in this one's place.
    Released,
    /// The endpoint answered.
    Answered {
        /// The answer.
        reply: RecordedReply,
    },
    /// The endpoint answered at more length than is recorded.
    AnswerTooLong {
        /// HTTP status.
        status: u16,
        /// Length of the body.
        body_bytes: u64,
        /// SHA-256 of the body, in hex.
        digest: String,
    },
    /// Dispatched, or perhaps so, and the result is not known.
    Unknown,
    /// Written by a later release; treated like `Unknown`, and never written over.
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

/// A row's value is not what this release writes or reads.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RowUnreadable {
    /// Not the JSON of a claim.
    #[error("the row's value is not a claim")]
    Malformed,
    /// A hex body that is not hex.
    #[error("the recorded body is not hex")]
    BodyNotHex,
}

impl TryFrom<&str> for ClaimRow {
    type Error = RowUnreadable;

    fn try_from(value: &str) -> Result<Self, Self::Error> {
        serde_json::from_str(value).map_err(|_| RowUnreadable::Malformed)
    }
}

impl From<&ClaimRow> for String {
    fn from(row: &ClaimRow) -> Self {
        // Every field is a string, a number or an enum of them: writing cannot fail.
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
    type Error = RowUnreadable;

    fn try_from(recorded: RecordedReply) -> Result<Self, Self::Error> {
        let body = match recorded.body {
            RecordedBody::Text(text) => text.into_bytes(),
            RecordedBody::Hex(text) => hex::decode(text).map_err(|_| RowUnreadable::BodyNotHex)?,
        };
        Ok(Self {
            status: recorded.status,
            content_type: recorded.content_type,
            body,
        })
    }
}

impl ClaimState {
    /// The state that records `reply`.
    pub(crate) fn recording(reply: &ApplicationReply) -> Self {
        if reply.body.len() <= ANSWER_LIMIT_BYTES {
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

/// The wire version rows are written with.
pub(crate) const ROW_VERSION: u16 = WIRE_VERSION;
