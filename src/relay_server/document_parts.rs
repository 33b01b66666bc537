//! A document that is handed over in parts, perhaps by several peers: all that have a version have the
//! same bytes, so that a call that fails costs one part only.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::query::query_pairs;

/// Longest document that is taken.
const LONGEST_DOCUMENT_BYTES: u64 = 8 << 20;

/// What one that asks wants of the document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DocumentQuery {
    /// Whether it wants any of it.
    pub(super) is_wanted: bool,
    /// The version of which it has parts; 0 if it has none.
    pub(super) version: u64,
    /// How many bytes of that it has.
    pub(super) from_bytes: u64,
}

impl DocumentQuery {
    /// The query as it is written.
    pub(super) fn text(self) -> String {
        let wanted = u8::from(self.is_wanted);
        let Self {
            version,
            from_bytes,
            ..
        } = self;
        format!("document={wanted}&version={version}&from={from_bytes}")
    }

    /// Reads the query of a question. What is missing or no number counts as not wanted or not there.
    pub(super) fn from_query(query: &str) -> Self {
        let mut read = Self::default();
        for (name, value) in query_pairs(query) {
            let value = value.parse().unwrap_or(0);
            match name {
                "document" => read.is_wanted = value != 0,
                "version" => read.version = value,
                "from" => read.from_bytes = value,
                _ => {}
            }
        }
        read
    }

    /// From where on it lacks a document of this version and length.
    pub(super) fn begin_bytes(self, version: u64, total_bytes: usize) -> usize {
        let from_bytes = usize::try_from(self.from_bytes).unwrap_or(0);
        let goes_on = self.version == version && from_bytes < total_bytes;
        if goes_on { from_bytes } else { 0 }
    }
}

/// A part of a document.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DocumentPart {
    pub(super) version: u64,
    /// Length of the whole document.
    pub(super) total_bytes: u64,
    /// Where in it this part begins.
    pub(super) from_bytes: u64,
    pub(super) content: Vec<u8>,
    /// Time since the version was surely the newest.
    pub(super) age_ms: u64,
}

/// What a peer says of the document.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum DocumentNews {
    /// It has none that is newer, or was not asked for it.
    Nothing,
    Part(DocumentPart),
    /// It has a newer one, and its link no room for it.
    Busy {
        wait_ms: u64,
    },
}

/// Why a part cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum PartFault {
    #[error("the part does not fit to what is here")]
    DoesNotFit,
    #[error("the document is too long")]
    TooLong,
    #[error("the document is not text")]
    NotText,
}

/// A document whose last part has come.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct WholeDocument {
    pub(super) content: String,
    /// When it was surely the newest.
    pub(super) newest_at_ms: u64,
}

/// The parts that are here.
#[derive(Debug, Default)]
pub(super) struct DocumentParts {
    /// Their version; 0 while there are none.
    version: u64,
    /// The document up to where it is here.
    content: Vec<u8>,
}

impl DocumentParts {
    /// The version of which parts are here.
    pub(super) fn version(&self) -> Option<u64> {
        Some(self.version).filter(|it| *it > 0)
    }

    /// What is to be asked for.
    pub(super) fn query(&self, is_wanted: bool) -> DocumentQuery {
        DocumentQuery {
            is_wanted,
            version: self.version,
            from_bytes: self.content.len() as u64,
        }
    }

    /// Drops parts of a version that is not newer than `known`. Returns how many bytes they had.
    pub(super) fn drop_known(&mut self, known: u64) -> usize {
        if self.version > known {
            return 0;
        }
        self.clear()
    }

    /// Takes a part that was asked for at `sent_ms`. Returns the document if that was the last one, and
    /// how many bytes of another version were dropped for it.
    pub(super) fn take(
        &mut self,
        part: DocumentPart,
        sent_ms: u64,
    ) -> Result<(Option<WholeDocument>, usize), PartFault> {
        if part.total_bytes > LONGEST_DOCUMENT_BYTES {
            return Err(PartFault::TooLong);
        }
        let dropped_bytes = if part.version == self.version {
            0
        } else {
            self.clear()
        };
        let here_bytes = self.content.len() as u64;
        let end_bytes = here_bytes + part.content.len() as u64;
        if part.from_bytes != here_bytes || end_bytes > part.total_bytes {
            return Err(PartFault::DoesNotFit);
        }
        self.version = part.version;
        self.content.extend(part.content);
        if end_bytes < part.total_bytes {
            return Ok((None, dropped_bytes));
        }
        let content = std::mem::take(&mut self.content);
        self.version = 0;
        let content = String::from_utf8(content).map_err(|_| PartFault::NotText)?;
        let whole = WholeDocument {
            content,
            newest_at_ms: sent_ms.saturating_sub(part.age_ms),
        };
        Ok((Some(whole), dropped_bytes))
    }

    fn clear(&mut self) -> usize {
        self.version = 0;
        std::mem::take(&mut self.content).len()
    }
}
