//! What the entry of this instance last reported.

use indexmap::{IndexMap, IndexSet};

use crate::ids::{EndpointId, ServiceName};
use crate::wire::local::EntryReport;

/// How long the entry may be silent before it is taken for gone.
const SILENT_MS: u64 = 1_500;

/// What the entry last reported.
#[derive(Clone, Debug, Default)]
pub(super) struct EntryLink {
    heard_ms: Option<u64>,
    stopping: bool,
    draining: IndexSet<EndpointId>,
    revisions: IndexMap<ServiceName, u64>,
}

impl EntryLink {
    /// Takes a report.
    pub(super) fn reported(&mut self, report: &EntryReport, now_ms: u64) {
        self.heard_ms = Some(now_ms);
        self.stopping = report.stopping;
        self.draining = report.draining_endpoints.iter().cloned().collect();
        self.revisions = report.revisions.clone();
    }

    /// Whether the entry runs, as far as its reports tell.
    pub(super) fn is_there(&self, now_ms: u64) -> bool {
        self.heard_ms
            .is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) <= SILENT_MS)
    }

    /// Whether the entry finishes what is in flight and takes nothing new.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Endpoints that told the entry they take no new work now.
    pub(super) fn draining(&self) -> &IndexSet<EndpointId> {
        &self.draining
    }

    /// Revisions in force there.
    pub(super) fn revisions(&self) -> &IndexMap<ServiceName, u64> {
        &self.revisions
    }
}
