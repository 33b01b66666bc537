//! Transfer of a document in parts, possibly from several peers. All instances have the same bytes
//! for the same version, so a failed call loses only one part.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::document_changes::DocumentChanges;
use super::query::query_pairs;

/// Longest document that is accepted.
pub(super) const MAX_DOCUMENT_BYTES: u64 = 8 << 20;

/// Which part of the document is requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DocumentQuery {
    /// Whether the document is requested at all.
    pub(super) is_wanted: bool,
    /// The version that the received parts belong to; 0 if there are none.
    pub(super) version: u64,
    /// Number of bytes of that version that have been received.
    pub(super) received_bytes: u64,
    /// Whether changes to the version that the requester holds are accepted in place of a part.
    pub(super) takes_changes: bool,
}

impl DocumentQuery {
    /// Formats the query for a URL.
    pub(super) fn to_query_string(self) -> String {
        let wanted = u8::from(self.is_wanted);
        let changes = u8::from(self.takes_changes);
        let Self {
            version,
            received_bytes,
            ..
        } = self;
        format!("document={wanted}&version={version}&from={received_bytes}&changes={changes}")
    }

    /// Parses the query of a request. Missing and malformed values count as 0.
    pub(super) fn from_query(query: &str) -> Self {
        let mut parsed = Self::default();
        for (name, value) in query_pairs(query) {
            let value = value.parse().unwrap_or(0);
            match name {
                "document" => parsed.is_wanted = value != 0,
                "version" => parsed.version = value,
                "from" => parsed.received_bytes = value,
                "changes" => parsed.takes_changes = value != 0,
                _ => {}
            }
        }
        parsed
    }

    /// Offset of the first missing byte in a document of this version and length.
    pub(super) fn resume_offset(self, version: u64, total_bytes: usize) -> usize {
        let received_bytes = usize::try_from(self.received_bytes).unwrap_or(0);
        let can_resume = self.version == version && received_bytes < total_bytes;
        if can_resume { received_bytes } else { 0 }
    }
}

/// A part of a document.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DocumentPart {
    pub(super) version: u64,
    /// Length of the complete document.
    pub(super) total_bytes: u64,
    /// Offset of this part in the document.
    pub(super) offset_bytes: u64,
    pub(super) content: Vec<u8>,
    /// Time since this version was last known to be the newest.
    pub(super) age_ms: u64,
}

/// A peer's reply about the document.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum DocumentReply {
    /// The peer has no newer version, or the document was not requested.
    Nothing,
    /// A part of a newer version.
    Part(DocumentPart),
    /// The peer has a newer version, but its link has no capacity for a part of it.
    Busy {
        /// How long to wait before the next request.
        wait_ms: u64,
    },
    /// What differs in a newer version. Only for requesters that accept it.
    Changes(DocumentChanges),
}

/// Why a part was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum DocumentPartError {
    #[error("part of the document does not continue the parts received so far")]
    OutOfSequence,
    #[error("document is longer than {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
    #[error("document is not valid UTF-8")]
    NotUtf8,
}

/// A document whose last part has been received.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct CompleteDocument {
    pub(super) content: String,
    /// Time at which this version was known to be the newest.
    pub(super) newest_at_ms: u64,
}

/// A document of which only some parts have been received.
#[derive(Debug, Default)]
pub(super) struct PartialDocument {
    /// Version of the parts; 0 if there are none.
    version: u64,
    /// The bytes received so far, from the start of the document.
    content: Vec<u8>,
}

impl PartialDocument {
    /// Version of the received parts.
    pub(super) fn version(&self) -> Option<u64> {
        Some(self.version).filter(|it| *it > 0)
    }

    /// The query for the next part.
    pub(super) fn query(&self, is_wanted: bool, takes_changes: bool) -> DocumentQuery {
        DocumentQuery {
            is_wanted,
            version: self.version,
            received_bytes: self.content.len() as u64,
            takes_changes,
        }
    }

    /// Discards parts of a version that is not newer than `known`. Returns the number of discarded
    /// bytes.
    pub(super) fn discard_known(&mut self, known: u64) -> usize {
        if self.version > known {
            return 0;
        }
        self.clear()
    }

    /// Adds a part that was requested at `sent_ms`. Returns the document if this was the last part,
    /// and the number of bytes of another version that were discarded.
    pub(super) fn add(
        &mut self,
        part: DocumentPart,
        sent_ms: u64,
    ) -> Result<(Option<CompleteDocument>, usize), DocumentPartError> {
        if part.total_bytes > MAX_DOCUMENT_BYTES {
            return Err(DocumentPartError::TooLong);
        }
        let discarded_bytes = if part.version == self.version {
            0
        } else {
            self.clear()
        };
        let received_bytes = self.content.len() as u64;
        let end_bytes = received_bytes + part.content.len() as u64;
        if part.offset_bytes != received_bytes || end_bytes > part.total_bytes {
            return Err(DocumentPartError::OutOfSequence);
        }
        self.version = part.version;
        self.content.extend(part.content);
        if end_bytes < part.total_bytes {
            return Ok((None, discarded_bytes));
        }
        let content = std::mem::take(&mut self.content);
        self.version = 0;
        let content = String::from_utf8(content).map_err(|_| DocumentPartError::NotUtf8)?;
        let complete = CompleteDocument {
            content,
            newest_at_ms: sent_ms.saturating_sub(part.age_ms),
        };
        Ok((Some(complete), discarded_bytes))
    }

    fn clear(&mut self) -> usize {
        self.version = 0;
        std::mem::take(&mut self.content).len()
    }
}
