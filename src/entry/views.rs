//! Applies snapshots of the fleet, and answers callers' queries about entries and models.

use super::config::ShareSource;
use super::directory::DocumentChange;
use super::locate::pick_entries;
use super::machine::Entry;
use crate::ids::ServiceName;
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::Policy;
use crate::wire::local::{EntryRecord, Snapshot};
use crate::wire::locate::LocateResponse;

/// Retry delay sent by an instance that has no document yet.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// A model that an account may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelView {
    /// The service that offers it.
    pub service: ServiceName,
    /// Model name.
    pub model: String,
    /// Adapters; a caller names one as `model:adapter`.
    pub adapters: Vec<String>,
}

impl<P> Entry<P>
where
    P: Policy,
{
    /// Entries to use for a service. `caller` is any stable text that identifies the caller:
    /// each gets its own order.
    pub fn locate(&self, service: &ServiceName, caller: &str) -> Result<LocateResponse, Refusal> {
        if self.directory.is_empty() {
            return Err(not_ready());
        }
        if !self.directory.documents().contains_key(service) {
            return Err(Refusal::not_run(RefusalCode::UnknownService, None));
        }
        let own = &self.config.instance;
        let serving = |entry: &&EntryRecord| !self.stopping || entry.instance != *own;
        let entries: Vec<EntryRecord> = self.entries.iter().filter(serving).cloned().collect();
        pick_entries(service, caller, &self.config.zone, &entries).ok_or_else(not_ready)
    }

    /// Models that the account of a key may use.
    pub fn models(&self, key: Option<&str>) -> Result<Vec<ModelView>, Refusal> {
        if self.directory.is_empty() {
            return Err(not_ready());
        }
        if self.directory.owners(key).is_empty() {
            return Err(Refusal::not_run(RefusalCode::Unauthenticated, None));
        }
        let models = self.directory.models_of(key).into_iter();
        Ok(models
            .map(|(service, offer)| ModelView {
                service: service.clone(),
                model: offer.name.clone(),
                adapters: offer.adapters.clone(),
            })
            .collect())
    }

    /// Whether new requests are accepted.
    pub fn is_ready(&self) -> bool {
        !self.stopping && !self.directory.is_empty()
    }

    pub(super) fn on_snapshot(&mut self, snapshot: &Snapshot, now_ms: u64) {
        if snapshot.version < self.snapshot_version {
            self.counts.count("entry.snapshots.older");
            return;
        }
        self.snapshot_version = snapshot.version;
        let changes = self.directory.update(&snapshot.documents);
        self.count_changes(&changes);
        if changes.contains(&DocumentChange::Accepted) {
            self.router.set_documents(self.directory.documents());
            self.admission.set_accounts(self.directory.documents());
        }
        self.entries.clone_from(&snapshot.entries);
        let serving = self.entries.iter().filter(|entry| entry.serving);
        let names: Vec<&str> = serving.map(|entry| entry.instance.as_str()).collect();
        let own = self.config.instance.as_str();
        let rank = names.iter().filter(|name| **name < own).count();
        self.router.set_entry_rank(rank, names.len());
        if self.config.shares == ShareSource::Control {
            self.router.set_entry_parts(&snapshot.parts);
        }
        self.router.set_endpoints(&snapshot.endpoints, now_ms);
        if self.config.shares == ShareSource::Control {
            self.admission.set_shares(&snapshot.shares, now_ms);
        }
        self.request_dispatch();
    }

    fn count_changes(&mut self, changes: &[DocumentChange]) {
        for change in changes {
            match change {
                DocumentChange::Accepted => self.counts.count("entry.documents.accepted"),
                DocumentChange::Older => self.counts.count("entry.documents.older"),
                DocumentChange::Faulty => self.counts.count("entry.documents.faulty"),
                DocumentChange::Unchanged => {}
            }
        }
    }
}

/// The refusal of an instance that has no document in force.
pub(super) fn not_ready() -> Refusal {
    Refusal::not_run(RefusalCode::NotReady, Some(NOT_READY_RETRY_MS))
}
