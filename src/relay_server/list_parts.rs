//! The whole list of endpoints, handed over in parts. One that has just started lacks all of it, and so
//! do all instances after a loss of power: hundreds that fetch thousands of entries at once would fill the
//! links of those that have them, and no call would end in time.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::list_log::{ListNews, ListWatermark};
use super::list_sync::ListUpdate;
use super::peer::SyncSource;
use super::query::query_pairs;
use super::snapshot::KnownVersions;
use crate::fleet::ListedEndpoint;
use crate::ids::InstanceId;

/// Bytes that an entry takes in an answer; few take more.
const ENTRY_BYTES: usize = 80;
/// Most entries that are taken: far more than a deployment has.
const MOST_ENTRIES: u32 = 100_000;

/// What one that asks has of a whole list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ListQuery {
    /// Whether it wants the whole list where what has changed is not enough. It does not while it gets
    /// the list from another peer.
    pub(super) wants_whole: bool,
    /// The list of which it has parts, by the position of its last change; 0 if it has none.
    pub(super) changed: u64,
    /// How many entries of that it has.
    pub(super) entries: u32,
}

impl ListQuery {
    /// The query as it is written.
    pub(super) fn text(self) -> String {
        let whole = u8::from(self.wants_whole);
        let Self {
            changed, entries, ..
        } = self;
        format!("whole={whole}&changed={changed}&entries={entries}")
    }

    /// Reads the query of a question. What is missing or no number counts as not there.
    pub(super) fn from_query(query: &str) -> Self {
        let mut read = Self::default();
        for (name, value) in query_pairs(query) {
            match name {
                "whole" => read.wants_whole = value == "1",
                "changed" => read.changed = value.parse().unwrap_or(0),
                "entries" => read.entries = value.parse().unwrap_or(0),
                _ => {}
            }
        }
        read
    }
}

/// What a peer says of the list of endpoints.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum ListOffer {
    /// What has changed since the list that the other has, or nothing.
    Update(ListUpdate),
    Part(ListPart),
    /// The other lacks the whole list, and the link has no room for a part of it.
    Busy {
        wait_ms: u64,
    },
}

/// A part of the whole list.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ListPart {
    /// How far the peer knows the list.
    pub(super) mark: ListWatermark,
    /// Entries of the whole list.
    pub(super) total: u32,
    /// Where in it this part begins.
    pub(super) from: u32,
    pub(super) entries: Vec<ListedEndpoint>,
}

/// The rest of a whole list that one lacks which has so far.
#[derive(Debug)]
pub(super) struct ListRest {
    mark: ListWatermark,
    from: usize,
    entries: Vec<ListedEndpoint>,
}

impl ListRest {
    /// The rest of a list, where the other has what `query` names. Entries are told in an order that
    /// stays the same as long as the list does.
    pub(super) fn new(
        mark: ListWatermark,
        mut entries: Vec<ListedEndpoint>,
        query: ListQuery,
    ) -> Self {
        entries.sort_unstable_by(|a, b| a.id.as_str().cmp(b.id.as_str()));
        let has = usize::try_from(query.entries).unwrap_or(usize::MAX);
        let goes_on = query.changed == mark.last_change && has < entries.len();
        Self {
            mark,
            from: if goes_on { has } else { 0 },
            entries,
        }
    }

    /// Length of the rest, about.
    pub(super) fn bytes(&self) -> usize {
        (self.entries.len() - self.from) * ENTRY_BYTES
    }

    /// As much of it as takes about so many bytes, one entry at least.
    pub(super) fn part(mut self, bytes: usize) -> ListPart {
        let total = self.entries.len();
        let count = (bytes / ENTRY_BYTES).max(1);
        let end = total.min(self.from.saturating_add(count));
        ListPart {
            mark: self.mark,
            total: as_count(total),
            from: as_count(self.from),
            entries: self.entries.drain(self.from..end).collect(),
        }
    }
}

fn as_count(entries: usize) -> u32 {
    u32::try_from(entries).unwrap_or(u32::MAX)
}

/// Why a part cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ListPartFault {
    #[error("the part of the list does not fit to what is here")]
    DoesNotFit,
    #[error("the list is too long")]
    TooLong,
}

/// The parts that are here, all of one peer.
#[derive(Debug, Default)]
pub(super) struct ListParts {
    giver: Option<InstanceId>,
    /// Position of the last change of the list that they are of.
    changed: u64,
    entries: Vec<ListedEndpoint>,
}

impl ListParts {
    /// The peer that has the rest.
    pub(super) fn giver(&self) -> Option<&InstanceId> {
        self.giver.as_ref()
    }

    /// What a peer is told of the parts: only their giver's list is surely in the same order.
    pub(super) fn query(&self, peer: &InstanceId) -> ListQuery {
        if self.giver() != Some(peer) {
            return ListQuery {
                wants_whole: self.giver.is_none(),
                ..ListQuery::default()
            };
        }
        ListQuery {
            wants_whole: true,
            changed: self.changed,
            entries: as_count(self.entries.len()),
        }
    }

    /// Takes a part; returns the whole list if it is here now.
    pub(super) fn take(
        &mut self,
        part: ListPart,
        peer: &InstanceId,
    ) -> Result<Option<ListUpdate>, ListPartFault> {
        if part.total > MOST_ENTRIES {
            return Err(ListPartFault::TooLong);
        }
        let goes_on = self.giver() == Some(peer) && self.changed == part.mark.last_change;
        if !goes_on || part.from == 0 {
            self.clear();
        }
        if part.from != as_count(self.entries.len()) {
            self.clear();
            return Err(ListPartFault::DoesNotFit);
        }
        self.giver = Some(peer.clone());
        self.changed = part.mark.last_change;
        self.entries.extend(part.entries);
        if as_count(self.entries.len()) < part.total {
            return Ok(None);
        }
        let entries = std::mem::take(&mut self.entries);
        self.clear();
        Ok(Some(ListUpdate {
            mark: part.mark,
            news: ListNews::Whole(entries),
        }))
    }

    /// Drops what is here unless its giver is heard and still knows more: nobody else is asked for the
    /// whole list meanwhile.
    pub(super) fn drop_without_giver(&mut self, sync_sources: &[SyncSource], known: KnownVersions) {
        let is_giver = |it: &&SyncSource| Some(&it.instance) == self.giver();
        let giver = sync_sources.iter().find(is_giver);
        if giver.is_none_or(|it| it.list.last_change <= known.list) {
            self.clear();
        }
    }

    /// Drops what is here.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
