//! Bounded log of the latest changes to the endpoint list, for instances that do not read the store
//! themselves.
//!
//! The store assigns positions. They increase with every write to the store, including writes that
//! do not concern the list, and have the same meaning on all instances.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::fleet::{ListedEndpoint, ListingRead, ListingScope};

/// Number of reads kept. The list is read at most four times a second, so an instance that has
/// received nothing for 16 s can still catch up from the changes alone.
const MAX_READS: usize = 64;

/// How much of the history of the endpoint list an instance knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListWatermark {
    /// Position up to which the list is known; 0 if it is not known at all.
    pub(crate) position: u64,
    /// Position of the newest read that contained changes. Never above `position`.
    pub(crate) last_change: u64,
}

/// A read of the list that contained changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoggedRead {
    pub(crate) position: u64,
    pub(crate) read: ListingRead,
    /// The list could not be read or updated in the store shortly before this read, so entries of
    /// live endpoints may be missing.
    pub(crate) after_outage: bool,
}

/// Difference between the current list and the list at an earlier position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ListDelta {
    /// Nothing has changed since that position.
    Unchanged,
    /// All reads with changes since then, oldest first.
    Changes(Vec<LoggedRead>),
    /// The full list, sent when the log no longer reaches back to that position.
    Full(Vec<ListedEndpoint>),
}

/// Reads of the list, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ListLog {
    watermark: ListWatermark,
    /// Position from which `reads` contains every change.
    complete_from: u64,
    reads: VecDeque<LoggedRead>,
}

impl ListLog {
    /// How much of the list's history this instance knows.
    pub(crate) fn watermark(&self) -> ListWatermark {
        self.watermark
    }

    /// Records a read of the store.
    pub(crate) fn record(&mut self, position: u64, read: &ListingRead, after_outage: bool) {
        let ListingScope::Changes { removed } = &read.scope else {
            return self.reset(ListWatermark {
                position,
                last_change: position,
            });
        };
        if position <= self.watermark.position {
            return;
        }
        self.watermark.position = position;
        let is_empty = removed.is_empty() && read.entries.is_empty() && read.unusable.is_empty();
        if is_empty {
            return;
        }
        self.watermark.last_change = position;
        self.reads.push_back(LoggedRead {
            position,
            read: read.clone(),
            after_outage,
        });
        if self.reads.len() > MAX_READS
            && let Some(dropped) = self.reads.pop_front()
        {
            self.complete_from = dropped.position;
        }
    }

    /// Clears the log after a full list has been applied: the individual changes that led to it are
    /// not known.
    pub(crate) fn reset(&mut self, watermark: ListWatermark) {
        self.reads.clear();
        self.complete_from = watermark.position;
        self.watermark = watermark;
    }

    /// Advances the position to that of a peer, if this instance already knows all changes known to
    /// the peer.
    pub(crate) fn advance_to(&mut self, peer: ListWatermark) {
        if self.watermark.position >= peer.last_change {
            self.watermark.position = self.watermark.position.max(peer.position);
        }
    }

    /// Whether an instance at `position` cannot catch up from the changes that are kept.
    pub(crate) fn needs_full_list(&self, position: u64) -> bool {
        position < self.watermark.last_change && position < self.complete_from
    }

    /// What an instance at `position` is missing. `full_list` is called only if it needs the full
    /// list.
    pub(crate) fn delta_since<F>(&self, position: u64, full_list: F) -> ListDelta
    where
        F: FnOnce() -> Vec<ListedEndpoint>,
    {
        if position >= self.watermark.last_change {
            return ListDelta::Unchanged;
        }
        if self.needs_full_list(position) {
            return ListDelta::Full(full_list());
        }
        let newer = self.reads.iter().filter(|read| read.position > position);
        ListDelta::Changes(newer.cloned().collect())
    }
}
