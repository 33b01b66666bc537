//! Evidence against features of requests, from this instance and its peers, and the resulting quarantine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::cleared::{self, Cleared};
use super::pending::PendingRuns;
use super::verdict::{CRASHES_TO_WITHHOLD, CRASHES_TO_WITHHOLD_ANY, Crashes, Verdict, verdicts};
use super::{
    ClearanceReport, CrashReport, EndpointLiveness, FeatureDigest, RequestFeatures, digest_labels,
};
use crate::dissemination::Rotation;
use crate::ids::EndpointId;

/// How long evidence counts after the newest crash under a feature. A retry within this time is
/// still withheld.
pub(crate) const EVIDENCE_TTL_MS: u64 = 600_000;
/// Time from the newest crash to the first trial of a verdict; it doubles with each further crash.
const TRIAL_AFTER_MS: u64 = 30_000;
/// Maximum number of times that the time to a trial doubles.
const MAX_TRIAL_DOUBLINGS: usize = 4;
/// Maximum number of suspected features that are kept.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of crashes kept per feature.
const MAX_CRASHES: usize = 16;
/// Number of heartbeats that carry each update, since some may be lost.
const SENDS_PER_UPDATE: u8 = 4;
/// Maximum number of updates in a heartbeat; at about 40 bytes each, it still fits in one packet.
const MAX_UPDATES: usize = 16;
/// Maximum number of reminders in a heartbeat: evidence for verdicts, sent in rotation so that instances
/// that start or were partitioned learn it from any other instance.
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
    /// Requests with these features are withheld from now on, because these endpoints have crashed under
    /// them.
    Withheld(Vec<FeatureDigest>, Vec<EndpointId>),
    /// A feature is no longer a reason to withhold requests.
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

/// Suspected features, and the verdicts on them.
///
/// Invariants: crashes from shortly after an endpoint survived a feature, or before it, do not count
/// against the feature; a verdict rests on at least three crashes that no other verdict explains; memory
/// is bounded whatever callers and peers send.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    pending: PendingRuns,
    /// The feature with the fewest crashes is evicted first; among equals, the one whose newest crash
    /// is oldest.
    suspects: IndexMap<FeatureDigest, Crashes>,
    cleared: Cleared,
    verdicts: Vec<Verdict>,
    /// When this instance last tried the first feature of a verdict.
    tried_ms: IndexMap<FeatureDigest, u64>,
    updates: IndexMap<Update, u8>,
    /// Position in the rotation of reminders.
    reminder_rotation: Rotation,
}

impl Quarantine {
    /// Whether a request may be sent.
    pub(crate) fn status(&self, request: &RequestFeatures, now_ms: u64) -> QuarantineStatus {
        if self.verdicts.iter().any(|it| it.applies_to(request)) {
            QuarantineStatus::Withheld
        } else if request.iter().any(|it| self.is_undecided(it, now_ms)) {
            QuarantineStatus::Undecided
        } else {
            QuarantineStatus::Allowed
        }
    }

    /// The features for which a request is withheld, for log lines, separated by commas; empty if it is not.
    pub(crate) fn withheld_for(&self, request: &RequestFeatures) -> String {
        let applying = self.verdicts.iter().filter(|it| it.applies_to(request));
        let features = applying.flat_map(|it| &it.features);
        digest_labels(features.filter(|feature| request.iter().any(|it| it == *feature)))
    }

    /// Whether a pending run may be the crash that is decisive for a feature. Runs of harmless requests
    /// break off occasionally, too, so a request is not held back for less.
    fn is_undecided(&self, feature: &FeatureDigest, now_ms: u64) -> bool {
        if self.cleared.excludes(feature, now_ms) {
            return false;
        }
        let crashes = self.suspects.get(feature);
        let is_new = |id: &&EndpointId| crashes.is_none_or(|crashes| !crashes.contains_key(*id));
        let pending = self.pending.recent_endpoints(feature, now_ms);
        let pending = pending.filter(is_new).count();
        let known = crashes.map_or(0, IndexMap::len);
        pending > 0 && known + pending >= CRASHES_TO_WITHHOLD
    }

    /// Whether a withheld request may be sent to one endpoint, to find out whether the verdict is wrong.
    /// Of all instances only one may ask, or each would crash an endpoint.
    pub(crate) fn begin_trial(&mut self, request: &RequestFeatures, now_ms: u64) -> bool {
        let applying = self.verdicts.iter().filter(|it| it.applies_to(request));
        if !applying.clone().all(|it| self.is_trial_due(it, now_ms)) {
            return false;
        }
        let tried: Vec<FeatureDigest> = applying.map(|it| it.features[0]).collect();
        self.tried_ms
            .extend(tried.into_iter().map(|it| (it, now_ms)));
        true
    }

    fn is_trial_due(&self, verdict: &Verdict, now_ms: u64) -> bool {
        let further = verdict.endpoints.len().saturating_sub(CRASHES_TO_WITHHOLD);
        let wait_ms = TRIAL_AFTER_MS << further.min(MAX_TRIAL_DOUBLINGS);
        let tried_ms = self.tried_ms.get(&verdict.features[0]).copied();
        let since_ms = verdict.newest_ms.max(tried_ms.unwrap_or(0));
        now_ms >= since_ms + wait_ms
    }

    /// Number of verdicts.
    pub(crate) fn verdict_count(&self) -> usize {
        self.verdicts.len()
    }

    /// Records that a run of a request broke off, having begun and delivered nothing, at an endpoint of
    /// which it is not known yet whether it has terminated.
    pub(crate) fn record_broken_run(
        &mut self,
        request: &RequestFeatures,
        endpoint: &EndpointId,
        now_ms: u64,
    ) {
        for feature in request.iter() {
            self.pending.record(*feature, endpoint, now_ms);
        }
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
        for (feature, endpoint, at_ms) in ended {
            if self.record_crash(feature, &endpoint, at_ms) {
                self.announce(Update::Crash(feature, endpoint));
            }
        }
        self.reevaluate()
    }

    /// Records that an endpoint survived a request: the response was complete, or a run has delivered
    /// events for some time. None of its features crashes every endpoint.
    pub(crate) fn clear(
        &mut self,
        request: &RequestFeatures,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        let mut was_suspected = false;
        for feature in request.iter() {
            self.cleared.record(*feature, now_ms, now_ms);
            if self.suspects.swap_remove(feature).is_some() {
                self.announce(Update::Cleared(*feature));
                was_suspected = true;
            }
        }
        if was_suspected {
            self.reevaluate()
        } else {
            Vec::new()
        }
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
            has_new_evidence |= self.apply_clearance(clearance, relays, now_ms);
        }
        for crash in &report.crashes {
            has_new_evidence |= self.apply_crash(crash, relays, now_ms);
        }
        if has_new_evidence {
            self.reevaluate()
        } else {
            Vec::new()
        }
    }

    /// Applies a clearance from a peer; returns whether it removes evidence.
    fn apply_clearance(&mut self, report: &ClearanceReport, relays: bool, now_ms: u64) -> bool {
        let feature = report.feature;
        let at_ms = now_ms.saturating_sub(u64::from(report.age_ms));
        // Ages grow less than time passes, by the transit times, so only a much later survival is new.
        let is_new = !self.cleared.excludes(&feature, at_ms);
        self.cleared.record(feature, at_ms, now_ms);
        if is_new && relays {
            self.announce(Update::Cleared(feature));
        }
        let Some(crashes) = self.suspects.get_mut(&feature) else {
            return false;
        };
        let before = crashes.len();
        crashes.retain(|_, crash_ms| !cleared::excludes(at_ms, *crash_ms));
        let has_removed = crashes.len() < before;
        if crashes.is_empty() {
            self.suspects.swap_remove(&feature);
        }
        has_removed
    }

    /// Applies a crash that a peer has reported; returns whether it adds to the evidence.
    fn apply_crash(&mut self, report: &CrashReport, relays: bool, now_ms: u64) -> bool {
        let age_ms = u64::from(report.age_ms);
        if age_ms >= EVIDENCE_TTL_MS {
            return false;
        }
        let feature = report.feature;
        let at_ms = now_ms.saturating_sub(age_ms);
        if self.cleared.excludes(&feature, at_ms) {
            // The peer does not know that an endpoint survived it.
            self.announce(Update::Cleared(feature));
            return false;
        }
        let is_new = self.record_crash(feature, &report.endpoint, at_ms);
        if is_new && relays {
            self.announce(Update::Crash(feature, report.endpoint.clone()));
        }
        is_new
    }

    /// Whether there are updates that have not been sent yet and should be sent at once.
    pub(crate) fn has_unsent_updates(&self) -> bool {
        self.updates.values().any(|left| *left == SENDS_PER_UPDATE)
    }

    /// The evidence for the next heartbeat: updates, each of them several times, and reminders of
    /// verdicts in rotation.
    pub(crate) fn next_report(&mut self, now_ms: u64) -> EvidenceReport {
        let mut report = EvidenceReport::default();
        let batch: Vec<Update> = self.updates.keys().take(MAX_UPDATES).cloned().collect();
        for update in &batch {
            if let Some(left) = self.updates.get_mut(update) {
                *left -= 1;
            }
            match update {
                Update::Crash(feature, endpoint) => {
                    report
                        .crashes
                        .extend(self.crash_report(feature, endpoint, now_ms));
                }
                Update::Cleared(feature) => {
                    let at_ms = self.cleared.at_ms(feature);
                    report.clearances.extend(at_ms.map(|at_ms| ClearanceReport {
                        feature: *feature,
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
            .verdicts
            .iter()
            .flat_map(|verdict| {
                // These are enough to have the same requests withheld elsewhere.
                let sufficient = verdict.endpoints.iter().take(CRASHES_TO_WITHHOLD_ANY);
                let features = verdict.features.iter();
                features.flat_map(move |feature| sufficient.clone().map(move |it| (feature, it)))
            })
            .collect();
        let batch = self.reminder_rotation.next_batch(&all, MAX_REMINDERS);
        batch
            .filter_map(|(feature, endpoint)| self.crash_report(feature, endpoint, now_ms))
            .collect()
    }

    fn crash_report(
        &self,
        feature: &FeatureDigest,
        endpoint: &EndpointId,
        now_ms: u64,
    ) -> Option<CrashReport> {
        let at_ms = self.suspects.get(feature)?.get(endpoint)?;
        Some(CrashReport {
            feature: *feature,
            endpoint: endpoint.clone(),
            age_ms: age_ms(*at_ms, now_ms),
        })
    }

    fn announce(&mut self, update: Update) {
        if self.updates.len() < MAX_SUSPECTS {
            self.updates.entry(update).or_insert(SENDS_PER_UPDATE);
        }
    }

    /// Records a crash. Returns whether it adds to the evidence.
    fn record_crash(&mut self, feature: FeatureDigest, endpoint: &EndpointId, at_ms: u64) -> bool {
        if self.cleared.excludes(&feature, at_ms) {
            return false;
        }
        if !self.suspects.contains_key(&feature) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_weakest();
        }
        let crashes = self.suspects.entry(feature).or_default();
        if crashes.len() >= MAX_CRASHES || crashes.contains_key(endpoint) {
            return false;
        }
        crashes.insert(endpoint.clone(), at_ms);
        true
    }

    fn evict_weakest(&mut self) {
        let weakest = self
            .suspects
            .iter()
            .min_by_key(|(_, crashes)| (crashes.len(), newest_ms(crashes)));
        if let Some(weakest) = weakest.map(|(feature, _)| *feature) {
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
        let now = verdicts(self.suspects.iter());
        let is_known = |verdict: &&Verdict| {
            let mut known = self.verdicts.iter();
            known.any(|it| it.is_equivalent(verdict))
        };
        let new = now.iter().filter(|it| !is_known(it));
        let mut changes: Vec<QuarantineChange> = new
            .map(|it| QuarantineChange::Withheld(it.features.clone(), it.endpoints.clone()))
            .collect();
        let is_still_blamed =
            |feature: &&FeatureDigest| now.iter().any(|it| it.features.contains(*feature));
        let before = self.verdicts.iter().flat_map(|it| &it.features);
        let released = before.filter(|it| !is_still_blamed(it));
        changes.extend(released.map(|it| QuarantineChange::Released(*it)));
        self.tried_ms
            .retain(|feature, _| now.iter().any(|it| it.features[0] == *feature));
        self.verdicts = now;
        changes
    }
}

fn newest_ms(crashes: &Crashes) -> u64 {
    crashes.values().copied().max().unwrap_or(0)
}

fn age_ms(at_ms: u64, now_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
