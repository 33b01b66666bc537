//! Evidence against requests, from this instance and its peers, and the resulting quarantine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::cleared::Cleared;
use super::pending::{BrokenRun, PendingRuns};
use super::verdict::{CRASHES_TO_WITHHOLD, Crash, Crashes, withheld};
use super::{ClearanceReport, CrashReport, EndpointLiveness, FeatureDigest, RunStage};
use crate::dissemination::Rotation;
use crate::ids::EndpointId;

/// How long evidence counts after the newest crash under a request. A retry within this time is
/// still withheld; a request that is withheld wrongly, and whose responses are no longer remembered,
/// is withheld no longer than this.
pub(crate) const EVIDENCE_TTL_MS: u64 = 600_000;
/// Maximum number of suspected requests that are kept.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of crashes kept per request.
const MAX_CRASHES: usize = 16;
/// Number of heartbeats that carry each update, since some may be lost.
const SENDS_PER_UPDATE: u8 = 4;
/// Maximum number of updates in a heartbeat; at about 40 bytes each, it still fits in one packet.
const MAX_UPDATES: usize = 16;
/// Maximum number of reminders in a heartbeat: evidence against withheld requests, sent in rotation so
/// that instances that start or were partitioned learn it from any other instance.
const MAX_REMINDERS: usize = 2;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineStatus {
    /// It may be sent.
    Allowed,
    /// A pending run, whose outcome is expected within milliseconds, may show the crash that has it
    /// withheld.
    Undecided,
    /// It is withheld.
    Withheld,
}

/// A change in what is withheld.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineChange {
    /// A request is withheld from now on, because these endpoints have crashed under it.
    Withheld(FeatureDigest, Vec<EndpointId>),
    /// A request is no longer withheld.
    Released(FeatureDigest),
}

/// An update that is still to be sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Update {
    Crash(FeatureDigest, EndpointId),
    Cleared(FeatureDigest),
}

/// The evidence in one heartbeat to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvidenceReport {
    pub(crate) crashes: Vec<CrashReport>,
    pub(crate) clearances: Vec<ClearanceReport>,
}

impl EvidenceReport {
    /// Whether it is empty, as in nearly all heartbeats.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}

/// Suspected requests, and those that are withheld.
///
/// Invariants: a request that was cleared, because an endpoint survived it, is not withheld while the
/// clearance is remembered; a request is withheld only while at least three crashes that no other
/// withheld request explains are attributed to it; memory is bounded whatever callers and peers send.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    pending: PendingRuns,
    /// The request with the fewest crashes is evicted first; among equals, the one whose newest crash
    /// is oldest.
    suspects: IndexMap<FeatureDigest, Crashes>,
    cleared: Cleared,
    withheld: IndexMap<FeatureDigest, Vec<EndpointId>>,
    updates: IndexMap<Update, u8>,
    /// Position in the rotation of reminders.
    reminder_rotation: Rotation,
}

impl Quarantine {
    /// Whether a request may be sent.
    pub(crate) fn status(&self, digest: &FeatureDigest, now_ms: u64) -> QuarantineStatus {
        if self.withheld.contains_key(digest) {
            return QuarantineStatus::Withheld;
        }
        if self.cleared.at_ms(digest).is_some() {
            return QuarantineStatus::Allowed;
        }
        let crashes = self.suspects.get(digest);
        let is_new = |id: &&EndpointId| crashes.is_none_or(|crashes| !crashes.contains_key(*id));
        let pending = self
            .pending
            .recent_endpoints(digest, now_ms)
            .filter(is_new)
            .count();
        let known = crashes.map_or(0, IndexMap::len);
        // Runs of harmless requests break off occasionally, too: a request is held back only if the
        // pending run would be decisive.
        if pending > 0 && known + pending >= CRASHES_TO_WITHHOLD {
            QuarantineStatus::Undecided
        } else {
            QuarantineStatus::Allowed
        }
    }

    /// Number of requests that are withheld.
    pub(crate) fn withheld_count(&self) -> usize {
        self.withheld.len()
    }

    /// Records that a run of a request broke off at an endpoint of which it is not known yet whether it
    /// has terminated.
    pub(crate) fn record_broken_run(
        &mut self,
        digest: FeatureDigest,
        endpoint: &EndpointId,
        stage: RunStage,
        now_ms: u64,
    ) {
        let run = BrokenRun {
            stage,
            at_ms: now_ms,
        };
        self.pending.record(digest, endpoint, run);
    }

    /// Resolves pending runs and drops expired evidence. `liveness` gets an endpoint and the time at
    /// which a run broke off there.
    pub(crate) fn update<F>(&mut self, now_ms: u64, liveness: F) -> Vec<QuarantineChange>
    where
        F: Fn(&EndpointId, u64) -> EndpointLiveness,
    {
        let ended = self.pending.resolve(now_ms, liveness);
        let has_expired = self.drop_expired(now_ms);
        if ended.is_empty() && !has_expired {
            return Vec::new();
        }
        for (digest, endpoint, run) in ended {
            let crash = Crash {
                stage: run.stage,
                at_ms: run.at_ms,
            };
            if self.record_crash(digest, &endpoint, crash) {
                self.announce(Update::Crash(digest, endpoint));
            }
        }
        self.reevaluate()
    }

    /// Records that an endpoint survived a request: the response was complete, or a run has passed its
    /// startup phase. Such a request does not crash every endpoint that runs it.
    pub(crate) fn clear(&mut self, digest: FeatureDigest, now_ms: u64) -> Vec<QuarantineChange> {
        self.cleared.record(digest, now_ms, now_ms);
        if self.suspects.swap_remove(&digest).is_none() {
            return Vec::new();
        }
        self.announce(Update::Cleared(digest));
        self.reevaluate()
    }

    /// Applies evidence that a peer has reported. New evidence is forwarded if `relays` is set.
    pub(crate) fn apply_report(
        &mut self,
        report: &EvidenceReport,
        relays: bool,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        let mut has_new_evidence = false;
        for clearance in &report.clearances {
            let at_ms = now_ms.saturating_sub(u64::from(clearance.age_ms));
            let is_new = self.cleared.at_ms(&clearance.digest).is_none();
            self.cleared.record(clearance.digest, at_ms, now_ms);
            has_new_evidence |= self.suspects.swap_remove(&clearance.digest).is_some();
            if is_new && relays {
                self.announce(Update::Cleared(clearance.digest));
            }
        }
        for crash_report in &report.crashes {
            let age_ms = u64::from(crash_report.age_ms);
            if age_ms >= EVIDENCE_TTL_MS {
                continue;
            }
            if self.cleared.at_ms(&crash_report.digest).is_some() {
                // The peer does not know that an endpoint survived it.
                self.announce(Update::Cleared(crash_report.digest));
                continue;
            }
            let crash = Crash {
                stage: crash_report.stage,
                at_ms: now_ms.saturating_sub(age_ms),
            };
            if self.record_crash(crash_report.digest, &crash_report.endpoint, crash) {
                has_new_evidence = true;
                if relays {
                    self.announce(Update::Crash(
                        crash_report.digest,
                        crash_report.endpoint.clone(),
                    ));
                }
            }
        }
        if has_new_evidence {
            self.reevaluate()
        } else {
            Vec::new()
        }
    }

    /// Whether there are updates that have not been sent yet and should be sent at once.
    pub(crate) fn has_unsent_updates(&self) -> bool {
        self.updates.values().any(|left| *left == SENDS_PER_UPDATE)
    }

    /// The evidence for the next heartbeat: updates, each of them several times, and reminders of
    /// withheld requests in rotation.
    pub(crate) fn next_report(&mut self, now_ms: u64) -> EvidenceReport {
        let mut report = EvidenceReport::default();
        let batch: Vec<Update> = self.updates.keys().take(MAX_UPDATES).cloned().collect();
        for update in &batch {
            if let Some(left) = self.updates.get_mut(update) {
                *left -= 1;
            }
            match update {
                Update::Crash(digest, endpoint) => {
                    report
                        .crashes
                        .extend(self.crash_report(digest, endpoint, now_ms));
                }
                Update::Cleared(digest) => {
                    let at_ms = self.cleared.at_ms(digest);
                    report.clearances.extend(at_ms.map(|at_ms| ClearanceReport {
                        digest: *digest,
                        age_ms: age_ms(at_ms, now_ms),
                    }));
                }
            }
        }
        self.updates.retain(|_, left| *left > 0);
        report.crashes.extend(self.reminders(now_ms));
        report
    }

    fn reminders(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let all: Vec<(&FeatureDigest, &EndpointId)> = self
            .withheld
            .iter()
            .flat_map(|(digest, endpoints)| {
                // These are enough to have it withheld elsewhere.
                let sufficient = endpoints.iter().take(CRASHES_TO_WITHHOLD);
                sufficient.map(move |endpoint| (digest, endpoint))
            })
            .collect();
        let batch = self.reminder_rotation.next_batch(&all, MAX_REMINDERS);
        batch
            .filter_map(|(digest, endpoint)| self.crash_report(digest, endpoint, now_ms))
            .collect()
    }

    fn crash_report(
        &self,
        digest: &FeatureDigest,
        endpoint: &EndpointId,
        now_ms: u64,
    ) -> Option<CrashReport> {
        let crash = self.suspects.get(digest)?.get(endpoint)?;
        Some(CrashReport {
            digest: *digest,
            endpoint: endpoint.clone(),
            stage: crash.stage,
            age_ms: age_ms(crash.at_ms, now_ms),
        })
    }

    fn announce(&mut self, update: Update) {
        if self.updates.len() < MAX_SUSPECTS {
            self.updates.entry(update).or_insert(SENDS_PER_UPDATE);
        }
    }

    /// Records a crash. Returns whether it adds to the evidence: another endpoint, or a run that had done
    /// less. Of several runs of a request at one endpoint, the one that had done least counts, in
    /// whichever order they are reported.
    fn record_crash(&mut self, digest: FeatureDigest, endpoint: &EndpointId, crash: Crash) -> bool {
        if self.cleared.at_ms(&digest).is_some() {
            return false;
        }
        if !self.suspects.contains_key(&digest) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_weakest();
        }
        let crashes = self.suspects.entry(digest).or_default();
        let count = crashes.len();
        match crashes.get_mut(endpoint) {
            Some(known) if crash.stage.rank() < known.stage.rank() => known.stage = crash.stage,
            Some(_) => return false,
            None if count >= MAX_CRASHES => return false,
            None => drop(crashes.insert(endpoint.clone(), crash)),
        }
        true
    }

    fn evict_weakest(&mut self) {
        let weakest = self
            .suspects
            .iter()
            .min_by_key(|(_, crashes)| (crashes.len(), newest_ms(crashes)));
        if let Some(weakest) = weakest.map(|(digest, _)| *digest) {
            self.suspects.swap_remove(&weakest);
        }
    }

    /// Drops expired evidence; returns whether there was any.
    fn drop_expired(&mut self, now_ms: u64) -> bool {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, crashes| now_ms < newest_ms(crashes) + EVIDENCE_TTL_MS);
        self.suspects.len() < before
    }

    fn reevaluate(&mut self) -> Vec<QuarantineChange> {
        let suspects = self.suspects.iter();
        let now = withheld(suspects);
        let mut changes: Vec<QuarantineChange> = Vec::new();
        for (digest, endpoints) in &now {
            if !self.withheld.contains_key(digest) {
                changes.push(QuarantineChange::Withheld(*digest, endpoints.clone()));
            }
        }
        for digest in self.withheld.keys().filter(|it| !now.contains_key(*it)) {
            changes.push(QuarantineChange::Released(*digest));
        }
        self.withheld = now;
        changes
    }
}

fn newest_ms(crashes: &Crashes) -> u64 {
    crashes.values().map(|crash| crash.at_ms).max().unwrap_or(0)
}

fn age_ms(at_ms: u64, now_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
