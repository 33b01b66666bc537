//! Transfer of the full endpoint list in parts.
//!
//! An instance that has just started needs the full list, and after a power failure so do all
//! instances at once. If hundreds of them fetched thousands of entries in one call each, the links
//! of the instances that have the list would fill up and no call would finish in time.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::list_log::{ListDelta, ListWatermark};
use super::list_sync::ListUpdate;
use super::peer::SyncSource;
use super::query::query_pairs;
use super::snapshot::KnownVersions;
use crate::fleet::ListedEndpoint;
use crate::ids::InstanceId;

/// Estimated size of a serialized entry; few are larger.
const ENTRY_BYTES: usize = 80;
/// Longest list that is accepted, far more than a deployment has.
const MAX_ENTRIES: u32 = 100_000;

/// How much of the full list the requesting instance already has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ListQuery {
    /// Whether to send the full list if the changes alone are not enough. Not set while another
    /// peer is sending the full list.
    pub(super) wants_full: bool,
    /// The list that the received parts belong to, by the position of its last change; 0 if there
    /// are none.
    pub(super) last_change: u64,
    /// Number of entries of that list that have been received.
    pub(super) entries: u32,
}

impl ListQuery {
    /// Formats the query for a URL.
    pub(super) fn to_query_string(self) -> String {
        let full = u8::from(self.wants_full);
        let Self {
            last_change,
            entries,
            ..
        } = self;
        format!("whole={full}&changed={last_change}&entries={entries}")
    }

    /// Parses the query of a request. Missing and malformed values count as 0.
    pub(super) fn from_query(query: &str) -> Self {
        let mut parsed = Self::default();
        for (name, value) in query_pairs(query) {
            match name {
                "whole" => parsed.wants_full = value == "1",
                "changed" => parsed.last_change = value.parse().unwrap_or(0),
                "entries" => parsed.entries = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        parsed
    }
}

/// A peer's reply about the endpoint list.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum ListReply {
    /// The changes since the requester's position, if any.
    Update(ListUpdate),
    /// A part of the full list.
    Part(ListPart),
    /// The requester needs the full list, but the sender's link has no capacity for a part of it.
    Busy {
        /// How long to wait before the next request.
        wait_ms: u64,
    },
}

/// A part of the full list.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ListPart {
    /// How much of the list's history the sender knows.
    pub(super) watermark: ListWatermark,
    /// Number of entries in the full list.
    pub(super) total: u32,
    /// Index of the first entry of this part in the full list.
    pub(super) offset: u32,
    pub(super) entries: Vec<ListedEndpoint>,
}

/// The entries of a full list that the requesting instance is missing.
#[derive(Debug)]
pub(super) struct RemainingList {
    watermark: ListWatermark,
    offset: usize,
    entries: Vec<ListedEndpoint>,
}

impl RemainingList {
    /// Creates the remainder for a requester that already has what `query` says. Entries are sorted
    /// by id, so that their order stays the same for as long as the list does not change.
    pub(super) fn new(
        watermark: ListWatermark,
        mut entries: Vec<ListedEndpoint>,
        query: ListQuery,
    ) -> Self {
        entries.sort_unstable_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
        let received = usize::try_from(query.entries).unwrap_or(usize::MAX);
        let can_resume = query.last_change == watermark.last_change && received < entries.len();
        Self {
            watermark,
            offset: if can_resume { received } else { 0 },
            entries,
        }
    }

    /// Estimated size of the remainder.
    pub(super) fn estimated_bytes(&self) -> usize {
        (self.entries.len() - self.offset) * ENTRY_BYTES
    }

    /// Returns the next part of about `max_bytes`, with at least one entry.
    pub(super) fn into_part(mut self, max_bytes: usize) -> ListPart {
        let total = self.entries.len();
        let count = (max_bytes / ENTRY_BYTES).max(1);
        let end = total.min(self.offset.saturating_add(count));
        ListPart {
            watermark: self.watermark,
            total: to_count(total),
            offset: to_count(self.offset),
            entries: self.entries.drain(self.offset..end).collect(),
        }
    }
}

fn to_count(entries: usize) -> u32 {
    u32::try_from(entries).unwrap_or(u32::MAX)
}

/// Why a part was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ListPartError {
    #[error("part of the endpoint list does not continue the parts received so far")]
    OutOfSequence,
    #[error("endpoint list has more than {MAX_ENTRIES} entries")]
    TooLong,
}

/// A full list of which only some parts have been received, all from the same peer.
#[derive(Debug, Default)]
pub(super) struct PartialList {
    provider: Option<InstanceId>,
    /// Position of the last change of the list that the parts belong to.
    last_change: u64,
    entries: Vec<ListedEndpoint>,
}

impl PartialList {
    /// The peer that has sent the parts so far.
    pub(super) fn provider(&self) -> Option<&InstanceId> {
        self.provider.as_ref()
    }

    /// The query to send to a peer. Only the provider is asked to continue, because the entries of
    /// other peers' lists may be in a different order.
    pub(super) fn query(&self, peer: &InstanceId) -> ListQuery {
        if self.provider() != Some(peer) {
            return ListQuery {
                wants_full: self.provider.is_none(),
                ..ListQuery::default()
            };
        }
        ListQuery {
            wants_full: true,
            last_change: self.last_change,
            entries: to_count(self.entries.len()),
        }
    }

    /// Adds a part. Returns the full list once its last part has been received.
    pub(super) fn add(
        &mut self,
        part: ListPart,
        peer: &InstanceId,
    ) -> Result<Option<ListUpdate>, ListPartError> {
        if part.total > MAX_ENTRIES {
            return Err(ListPartError::TooLong);
        }
        let continues =
            self.provider() == Some(peer) && self.last_change == part.watermark.last_change;
        if !continues || part.offset == 0 {
            self.clear();
        }
        if part.offset != to_count(self.entries.len()) {
            self.clear();
            return Err(ListPartError::OutOfSequence);
        }
        self.provider = Some(peer.clone());
        self.last_change = part.watermark.last_change;
        self.entries.extend(part.entries);
        if to_count(self.entries.len()) < part.total {
            return Ok(None);
        }
        let entries = std::mem::take(&mut self.entries);
        self.clear();
        Ok(Some(ListUpdate {
            watermark: part.watermark,
            delta: ListDelta::Full(entries),
        }))
    }

    /// Discards the parts unless the provider is still heard from and still knows more than this
    /// instance. No other peer is asked for the full list while there is a provider.
    pub(super) fn clear_if_provider_lost(
        &mut self,
        sync_sources: &[SyncSource],
        known: KnownVersions,
    ) {
        let is_provider = |it: &&SyncSource| Some(&it.instance) == self.provider();
        let provider = sync_sources.iter().find(is_provider);
        if provider.is_none_or(|it| it.list.last_change <= known.list) {
            self.clear();
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
