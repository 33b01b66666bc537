//! The snapshot that the entry routes by.

use super::Control;
use crate::instance::{CallId, ControlEffect};
use crate::wire::WIRE_VERSION;
use crate::wire::local::{
    DocumentInForce, EndpointRecord, EntryRecord, EntryReport, ExchangeReply, Snapshot,
};
use crate::wire::peer::PeerPhase;
use crate::wire::platform::InstancePhase;

/// Snapshots per millisecond of the control's life that are numbered without running into those
/// of a later process.
const VERSIONS_PER_MS: u64 = 256;

/// The snapshot and its version.
#[derive(Clone, Debug)]
pub(super) struct SnapshotKeeper {
    snapshot: Snapshot,
    documents_changed: bool,
}

impl SnapshotKeeper {
    /// An empty snapshot; versions begin above those of an earlier process.
    pub(super) fn new(unix_ms: u64) -> Self {
        Self {
            snapshot: Snapshot {
                version: unix_ms * VERSIONS_PER_MS,
                ..Snapshot::default()
            },
            documents_changed: true,
        }
    }

    /// Notes that another document is in force.
    pub(super) fn documents_changed(&mut self) {
        self.documents_changed = true;
    }

    /// The snapshot.
    pub(super) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Makes the version differ from and stand above one that the entry names.
    fn rise_above(&mut self, known: u64) {
        if known > self.snapshot.version {
            self.snapshot.version = known + 1;
        }
    }
}

impl Control {
    pub(super) fn entry_reported(&mut self, call: CallId, report: EntryReport, now_ms: u64) {
        self.entry.reported(&report, now_ms);
        self.snapshots.rise_above(report.known_snapshot);
        self.shares.reported(&report, now_ms);
        self.tallies.reported(&report.decisions);
        self.kept.reported(report.decisions);
        self.settle_phase(now_ms);
        self.settle_leaving(now_ms);
        self.settle_snapshot(now_ms);
        let snapshot = self.snapshot_for(report.known_snapshot);
        self.emit(ControlEffect::AnswerEntry {
            call,
            reply: ExchangeReply {
                wire_version: WIRE_VERSION,
                snapshot,
            },
        });
    }

    /// The snapshot, unless the entry has it, or has a higher revision of some document: then the
    /// entry goes on with what it has until this process has caught up.
    fn snapshot_for(&self, known: u64) -> Option<Snapshot> {
        let snapshot = self.snapshots.snapshot();
        let caught_up = self
            .entry
            .revisions()
            .iter()
            .all(|(service, revision)| self.documents.revision(service) >= *revision);
        let wanted = self.is_ready() && caught_up && known != snapshot.version;
        wanted.then(|| snapshot.clone())
    }

    /// Brings the snapshot up to date; a changed one gets a new version.
    pub(super) fn settle_snapshot(&mut self, now_ms: u64) {
        let endpoints = self.endpoint_records();
        let entries = self.entry_records(now_ms);
        let shares = self.shares.current();
        let keeper = &self.snapshots;
        let known = keeper.snapshot();
        let changed = keeper.documents_changed
            || known.endpoints != endpoints
            || known.entries != entries
            || known.shares != shares
            || known.parts != self.shares.parts();
        if changed {
            self.replace_snapshot(endpoints, entries);
        }
    }

    fn replace_snapshot(&mut self, endpoints: Vec<EndpointRecord>, entries: Vec<EntryRecord>) {
        let documents = self
            .documents
            .iter()
            .map(|(service, held)| DocumentInForce {
                service: service.clone(),
                revision: held.accepted.entry.revision,
                text: held.accepted.text.clone(),
            });
        let documents = documents.collect();
        let version = self.snapshots.snapshot.version + 1;
        self.snapshots.documents_changed = false;
        self.snapshots.snapshot = Snapshot {
            version,
            documents,
            endpoints,
            entries,
            shares: self.shares.current().to_vec(),
            parts: self.shares.parts().to_vec(),
        };
    }

    pub(super) fn endpoint_records(&self) -> Vec<EndpointRecord> {
        self.listing
            .endpoints()
            .map(|(endpoint, service, record)| EndpointRecord {
                role: record.role,
                service: service.clone(),
                zone: record.zone.clone(),
                address: record.address,
                phase: if self.signs.is_leaving(&endpoint) {
                    InstancePhase::Leaving
                } else {
                    record.phase
                },
                endpoint,
            })
            .collect()
    }

    fn entry_records(&self, now_ms: u64) -> Vec<EntryRecord> {
        let own = self.gossip.own();
        let own = EntryRecord {
            instance: own.instance.clone(),
            zone: own.zone.clone(),
            address: own.address,
            serving: own.phase == PeerPhase::Serving && !self.listing.is_leaving(&own.instance),
        };
        let members = self.gossip.members().iter();
        let peers = members.filter_map(|(instance, member)| {
            Some(EntryRecord {
                instance: instance.clone(),
                zone: member.zone()?.clone(),
                address: member.address()?,
                serving: member.is_serving(now_ms),
            })
        });
        let mut records: Vec<EntryRecord> = std::iter::once(own).chain(peers).collect();
        records.sort_by(|a, b| a.instance.cmp(&b.instance));
        records
    }
}
