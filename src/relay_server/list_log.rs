//! The newest reads of the endpoint list, kept for instances that do not read the store themselves.
//!
//! Positions are the store's: they grow with every change of anything, and all instances count alike.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::fleet::{ListedEndpoint, ListingRead, ListingScope};

/// Reads that are kept. The list is read four times a second at most, so that one that has heard
/// nothing for 16 s still needs no more than the changes.
const MOST_READS: usize = 64;

/// How far an instance knows the list of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListWatermark {
    /// Position up to which it is known; 0 if nothing is.
    pub(crate) position: u64,
    /// Position of the newest read that brought anything. Never above `position`.
    pub(crate) last_change: u64,
}

/// A read of the list that brought changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoggedRead {
    pub(crate) position: u64,
    pub(crate) read: ListingRead,
    /// The list could not be read or kept shortly before, so that entries may be missing from it
    /// although their endpoints live.
    pub(crate) was_away: bool,
}

/// What an instance that knows the list up to some position is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ListNews {
    /// Nothing that it does not know.
    Nothing,
    /// What has changed since, in order.
    Changes(Vec<LoggedRead>),
    /// The whole list.
    Whole(Vec<ListedEndpoint>),
}

/// Reads of the list, the newest last.
#[derive(Debug, Default)]
pub(crate) struct ListLog {
    mark: ListWatermark,
    /// Whoever knows the list up to here needs only the reads that are kept.
    floor: u64,
    reads: VecDeque<LoggedRead>,
}

impl ListLog {
    /// How far the list is known here.
    pub(crate) fn watermark(&self) -> ListWatermark {
        self.mark
    }

    /// Notes a read of the store.
    pub(crate) fn note(&mut self, position: u64, read: &ListingRead, was_away: bool) {
        let ListingScope::Changes { removed } = &read.scope else {
            return self.restart(ListWatermark {
                position,
                last_change: position,
            });
        };
        if position <= self.mark.position {
            return;
        }
        self.mark.position = position;
        let is_empty = removed.is_empty() && read.entries.is_empty() && read.unusable.is_empty();
        if is_empty {
            return;
        }
        self.mark.last_change = position;
        self.reads.push_back(LoggedRead {
            position,
            read: read.clone(),
            was_away,
        });
        if self.reads.len() > MOST_READS
            && let Some(dropped) = self.reads.pop_front()
        {
            self.floor = dropped.position;
        }
    }

    /// Notes that the whole list was taken: what changed on the way to it is not known.
    pub(crate) fn restart(&mut self, mark: ListWatermark) {
        self.reads.clear();
        self.floor = mark.position;
        self.mark = mark;
    }

    /// Notes that a peer which knows the list up to `peer` has nothing that is not known here.
    pub(crate) fn confirm(&mut self, peer: ListWatermark) {
        if self.mark.position >= peer.last_change {
            self.mark.position = self.mark.position.max(peer.position);
        }
    }

    /// Whether one that knows the list up to `position` lacks more than is kept of its changes.
    pub(crate) fn needs_whole(&self, position: u64) -> bool {
        position < self.mark.last_change && position < self.floor
    }

    /// What one that knows the list up to `position` must be told; `whole` makes the whole list.
    pub(crate) fn news_since<F>(&self, position: u64, whole: F) -> ListNews
    where
        F: FnOnce() -> Vec<ListedEndpoint>,
    {
        if position >= self.mark.last_change {
            return ListNews::Nothing;
        }
        if self.needs_whole(position) {
            return ListNews::Whole(whole());
        }
        let newer = self.reads.iter().filter(|read| read.position > position);
        ListNews::Changes(newer.cloned().collect())
    }
}
