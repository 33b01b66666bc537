//! The endpoint list in the simulated store, and the responses to reads and watches of it.

use indexmap::{IndexMap, IndexSet};

use super::super::adapter::FeedRead;
use super::super::store_position::StorePosition;
use crate::fleet::{ListedEndpoint, ListingRead, Phase};
use crate::ids::{EndpointId, ServiceName, ZoneName};

/// How the store treats the calls of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Access {
    Answers,
    Refuses,
    Silent,
}

/// How an endpoint leaves the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// Its entry is marked as leaving first and removed seconds later.
    Announced,
    /// Its entry is removed without notice.
    Removed,
}

/// Position, id and new entry of a change; the entry is `None` if it was removed.
type Change = (u64, EndpointId, Option<ListedEndpoint>);

pub(super) struct Store {
    epoch: u64,
    version: u64,
    entries: IndexMap<EndpointId, ListedEndpoint>,
    changes: Vec<Change>,
    /// Version and entries of the newest backup.
    backup: (u64, IndexMap<EndpointId, ListedEndpoint>),
    /// Entries before the newest restore, to be written again.
    lost: IndexMap<EndpointId, ListedEndpoint>,
}

pub(super) fn endpoint(number: usize) -> ListedEndpoint {
    ListedEndpoint {
        id: EndpointId::from(format!("e{number}")),
        service: ServiceName::from("desk"),
        address: ([10, 9, 0, 1], 8_000 + number as u16).into(),
        zone: ZoneName::from("z0"),
        phase: Phase::Live,
        slots: 6,
        kind: None,
        layers: None,
    }
}

impl Store {
    pub(super) fn new(endpoints: usize) -> Self {
        let mut store = Self {
            epoch: 0,
            version: 10,
            entries: IndexMap::new(),
            changes: Vec::new(),
            backup: (0, IndexMap::new()),
            lost: IndexMap::new(),
        };
        for number in 0..endpoints {
            store.write(endpoint(number));
        }
        store
    }

    /// Writes something that is not part of the list.
    pub(super) fn write_unrelated(&mut self) {
        self.version += 1;
    }

    fn position(&self) -> u64 {
        let (epoch, version) = (self.epoch, self.version);
        StorePosition { epoch, version }.into()
    }

    /// Backs up the present data.
    pub(super) fn back_up(&mut self) {
        self.backup = (self.version, self.entries.clone());
    }

    /// Restores the newest backup: what was written since is gone, and its versions are given out again.
    pub(super) fn restore(&mut self) {
        self.epoch += 1;
        self.changes.clear();
        let (version, entries) = self.backup.clone();
        self.version = version;
        self.lost = std::mem::replace(&mut self.entries, entries);
    }

    /// Writes again what was lost with the newest restore, except entries that have changed since.
    pub(super) fn write_lost(&mut self) {
        let lost = std::mem::take(&mut self.lost);
        let changed: IndexSet<EndpointId> =
            self.changes.iter().map(|change| change.1.clone()).collect();
        let is_unchanged = |id: &&EndpointId| !changed.contains(*id);
        let gone = self.entries.keys().filter(|id| !lost.contains_key(*id));
        let gone: Vec<EndpointId> = gone.filter(is_unchanged).cloned().collect();
        gone.iter().for_each(|id| self.remove(id));
        for (id, entry) in lost {
            if is_unchanged(&&id) && self.entries.get(&id) != Some(&entry) {
                self.write(entry);
            }
        }
    }

    /// Whether the history since a position is not available.
    pub(super) fn is_history_gone(&self, since: u64) -> bool {
        StorePosition::from(since).epoch != self.epoch
    }

    pub(super) fn write(&mut self, entry: ListedEndpoint) {
        self.version += 1;
        let id = entry.id.clone();
        self.changes
            .push((self.position(), id.clone(), Some(entry.clone())));
        self.entries.insert(id, entry);
    }

    pub(super) fn remove(&mut self, id: &EndpointId) {
        self.version += 1;
        self.entries.shift_remove(id);
        self.changes.push((self.position(), id.clone(), None));
    }

    pub(super) fn leave(&mut self, id: &EndpointId, departure: Departure) {
        match departure {
            Departure::Removed => self.remove(id),
            Departure::Announced => {
                let mut entry = self.entries[id].clone();
                entry.phase = Phase::Leaving;
                self.write(entry);
            }
        }
    }

    pub(super) fn full_list(&self) -> FeedRead<ListingRead> {
        FeedRead {
            position: self.position(),
            content: ListingRead::full(self.entries.values().cloned().collect()),
        }
    }

    pub(super) fn has_changes_since(&self, position: u64) -> bool {
        self.changes
            .last()
            .is_some_and(|change| change.0 > position)
    }

    /// The entries that have changed since a position, each in its current state.
    pub(super) fn changes_since(&self, position: u64) -> FeedRead<ListingRead> {
        let newer = self.changes.iter().filter(|change| change.0 > position);
        let newest: IndexMap<&EndpointId, &Option<ListedEndpoint>> =
            newer.map(|(_, id, entry)| (id, entry)).collect();
        let written = newest.values().filter_map(|entry| entry.as_ref());
        let removed = newest.iter().filter(|(_, entry)| entry.is_none());
        FeedRead {
            position: self.position(),
            content: ListingRead::changes(
                written.cloned().collect(),
                removed.map(|(id, _)| id.name()).collect(),
            ),
        }
    }
}
