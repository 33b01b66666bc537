//! Changes between two versions of the document, so that a peer that holds an older version need not fetch the
//! newer one whole.
//!
//! A change to one route leaves most of a long document as it was. While versions follow each other faster than
//! a complete one can be transferred, changes are all that arrives in time.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Instant;

use serde::{Deserialize, Serialize};
use similar::{Algorithm, DiffOp, capture_diff_slices_deadline};
use thiserror::Error;

use super::document_parts::MAX_DOCUMENT_BYTES;
use crate::document::digest;

/// Maximum number of versions whose pieces are remembered. Of versions that follow each other three times a
/// second, these cover five seconds.
const MAX_VERSIONS: usize = 16;
/// Maximum number of pieces that are remembered, of all versions: 2.4 MB.
const MAX_PIECES: usize = 150_000;

/// One step in building a version from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// Copies bytes of the older version.
    Keep { offset_bytes: u64, bytes: u64 },
    /// Adds text that is not at this place of the older version.
    Add { text: String },
}

/// How a version differs from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DocumentChanges {
    /// The version that the edits apply to.
    pub(super) base_version: u64,
    /// SHA-256 of the text that they lead to.
    digest: [u8; 32],
    edits: Vec<Edit>,
    /// Time since the version that they lead to was last known to be the newest.
    pub(super) age_ms: u64,
}

/// Why changes could not be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum DocumentChangesError {
    #[error("changes refer to text that the older version of the document does not have")]
    OutOfRange,
    #[error("document is longer than {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
    #[error("changes do not lead to the document that the peer has")]
    OtherResult,
}

impl DocumentChanges {
    /// About how many bytes it takes to send the changes.
    pub(super) fn estimated_bytes(&self) -> usize {
        let edits = self.edits.iter();
        edits
            .map(|edit| match edit {
                Edit::Keep { .. } => size_of::<Edit>(),
                Edit::Add { text } => size_of::<Edit>() + text.len(),
            })
            .sum()
    }

    /// Builds the newer version from the text of the older one.
    ///
    /// # Errors
    ///
    /// If `base` is not the text that the changes were made for, or the result is longer than a document may be.
    pub(super) fn apply(&self, base: &str) -> Result<String, DocumentChangesError> {
        let mut text = String::new();
        for edit in &self.edits {
            match edit {
                Edit::Keep {
                    offset_bytes,
                    bytes,
                } => text.push_str(slice(base, *offset_bytes, *bytes)?),
                Edit::Add { text: added } => text.push_str(added),
            }
            if text.len() as u64 > MAX_DOCUMENT_BYTES {
                return Err(DocumentChangesError::TooLong);
            }
        }
        if digest(&text).0 != self.digest {
            return Err(DocumentChangesError::OtherResult);
        }
        Ok(text)
    }
}

fn slice(text: &str, offset_bytes: u64, bytes: u64) -> Result<&str, DocumentChangesError> {
    let from = usize::try_from(offset_bytes).ok();
    let end = offset_bytes.checked_add(bytes);
    let end = end.and_then(|end| usize::try_from(end).ok());
    let range = from.zip(end).map(|(from, end)| from..end);
    let part = range.and_then(|range| text.get(range));
    part.ok_or(DocumentChangesError::OutOfRange)
}

/// The pieces of one version.
#[derive(Debug)]
struct Outline {
    version: u64,
    digest: [u8; 32],
    /// Hash of each piece, in order.
    hashes: Vec<u64>,
    /// Where each piece ends; as long as `hashes`.
    ends_bytes: Vec<u32>,
}

impl Outline {
    fn new(version: u64, text: &str) -> Self {
        let mut end_bytes = 0;
        let mut hashes = Vec::new();
        let mut ends_bytes = Vec::new();
        for piece in pieces(text) {
            end_bytes += piece.len();
            hashes.push(hash(piece));
            ends_bytes.push(u32::try_from(end_bytes).unwrap_or(u32::MAX));
        }
        Self {
            version,
            digest: digest(text).0,
            hashes,
            ends_bytes,
        }
    }

    /// Offset of a piece; of the end of the text for the one behind the last.
    fn offset_bytes(&self, piece: usize) -> usize {
        let before = piece.checked_sub(1).and_then(|it| self.ends_bytes.get(it));
        before.map_or(0, |end| *end as usize)
    }
}

/// Cuts a text where objects, lists and lines end.
fn pieces(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(['}', ']', '\n'])
}

fn hash(piece: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    piece.hash(&mut hasher);
    hasher.finish()
}

/// The versions of the document that this instance has held lately, without their text.
#[derive(Debug, Default)]
pub(super) struct DocumentHistory {
    /// The newest is the last. At most [`MAX_VERSIONS`].
    outlines: VecDeque<Outline>,
}

impl DocumentHistory {
    /// Remembers a version that has come into force.
    pub(super) fn record(&mut self, version: u64, text: &str) {
        self.outlines.push_back(Outline::new(version, text));
        while self.outlines.len() > MAX_VERSIONS || self.is_too_large() {
            self.outlines.pop_front();
        }
    }

    fn is_too_large(&self) -> bool {
        let pieces = self.outlines.iter().map(|it| it.hashes.len());
        self.outlines.len() > 1 && pieces.sum::<usize>() > MAX_PIECES
    }

    /// How the newest version, whose text is `text`, differs from `base_version`. `None` if either is not
    /// remembered. After `search_until` the shortest changes are no longer searched for, only correct ones.
    pub(super) fn changes_since(
        &self,
        base_version: u64,
        text: &str,
        age_ms: u64,
        search_until: Instant,
    ) -> Option<DocumentChanges> {
        let newest = self.outlines.back()?;
        let base = self.outlines.iter().find(|it| it.version == base_version)?;
        let operations = capture_diff_slices_deadline(
            Algorithm::Myers,
            &base.hashes,
            &newest.hashes,
            Some(search_until),
        );
        let edits = operations
            .into_iter()
            .filter_map(|operation| edit(operation, base, newest, text));
        Some(DocumentChanges {
            base_version,
            digest: newest.digest,
            edits: edits.collect(),
            age_ms,
        })
    }
}

fn edit(operation: DiffOp, base: &Outline, newest: &Outline, text: &str) -> Option<Edit> {
    match operation {
        DiffOp::Equal { old_index, len, .. } => {
            let from = base.offset_bytes(old_index);
            let end = base.offset_bytes(old_index + len);
            Some(Edit::Keep {
                offset_bytes: from as u64,
                bytes: (end - from) as u64,
            })
        }
        DiffOp::Delete { .. } => None,
        DiffOp::Insert {
            new_index, new_len, ..
        }
        | DiffOp::Replace {
            new_index, new_len, ..
        } => {
            let from = newest.offset_bytes(new_index);
            let end = newest.offset_bytes(new_index + new_len);
            let text = text.get(from..end)?.to_owned();
            Some(Edit::Add { text })
        }
    }
}
