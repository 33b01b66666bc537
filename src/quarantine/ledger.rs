//! Evidence against requests, from this instance and its peers, and the resulting quarantine.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::cleared::Cleared;
use super::pending::{BrokenRun, PendingRuns};
use super::verdict::{CRASHES_TO_WITHHOLD, Crash, Crashes, withheld};
use super::{ClearanceReport, CrashReport, EndpointLiveness, RequestDigest, RunStage};
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
    Withheld(RequestDigest, Vec<EndpointId>),
    /// A request is no longer withheld.
    Released(RequestDigest),
}

/// An update that is still to be sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Update {
    Crash(RequestDigest, EndpointId),
    Cleared(RequestDigest),
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
    suspects: IndexMap<RequestDigest, Crashes>,
    cleared: Cleared,
    withheld: IndexMap<RequestDigest, Vec<EndpointId>>,
    updates: IndexMap<Update, u8>,
    /// Position in the rotation of reminders.
    reminder_rotation: Rotation,
}

impl Quarantine {
    /// Whether a request may be sent.
    pub(crate) fn status(&self, digest: &RequestDigest, now_ms: u64) -> QuarantineStatus {
        if self.withheld.contains_key(digest) {
            return QuarantineStatus::Withheld;
        }
        if self.cleared.at_ms(digest).is_some() {
            return QuarantineStatus::Allowed;
        }
        let deaths = self.suspects.get(digest);
        let is_new = |id: &&EndpointId| deaths.is_none_or(|deaths| !deaths.contains_key(*id));
        let open = self
            .pending
            .recent_endpoints(digest, now_ms)
            .filter(is_new)
            .count();
        let known = deaths.map_or(0, IndexMap::len);
        // Runs of harmless requests break off occasionally, too: a request is held back only if the
        // pending run would be decisive.
        if open > 0 && known + open >= CRASHES_TO_WITHHOLD {
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
        digest: RequestDigest,
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
    pub(crate) fn update<F>(&mut self, now_ms: u64, fate: F) -> Vec<QuarantineChange>
    where
        F: Fn(&EndpointId, u64) -> EndpointLiveness,
    {
        let ended = self.pending.resolve(now_ms, fate);
        let lapsed = self.drop_expired(now_ms);
        if ended.is_empty() && !lapsed {
            return Vec::new();
        }
        for (digest, endpoint, run) in ended {
            let death = Crash {
                stage: run.stage,
                at_ms: run.at_ms,
            };
            if self.record_crash(digest, &endpoint, death) {
                self.announce(Update::Crash(digest, endpoint));
            }
        }
        self.reevaluate()
    }

    /// Records that an endpoint survived a request: the response was complete, or a run has passed its
    /// startup phase. Such a request does not crash every endpoint that runs it.
    pub(crate) fn clear(&mut self, digest: RequestDigest, now_ms: u64) -> Vec<QuarantineChange> {
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
        told: &EvidenceReport,
        relays: bool,
        now_ms: u64,
    ) -> Vec<QuarantineChange> {
        let mut is_news = false;
        for word in &told.clearances {
            let at_ms = now_ms.saturating_sub(u64::from(word.age_ms));
            let is_new = self.cleared.at_ms(&word.digest).is_none();
            self.cleared.record(word.digest, at_ms, now_ms);
            is_news |= self.suspects.swap_remove(&word.digest).is_some();
            if is_new && relays {
                self.announce(Update::Cleared(word.digest));
            }
        }
        for told in &told.crashes {
            let age_ms = u64::from(told.age_ms);
            if age_ms >= EVIDENCE_TTL_MS {
                continue;
            }
            if self.cleared.at_ms(&told.digest).is_some() {
                // The peer does not know that an endpoint survived it.
                self.announce(Update::Cleared(told.digest));
                continue;
            }
            let death = Crash {
                stage: told.stage,
                at_ms: now_ms.saturating_sub(age_ms),
            };
            if self.record_crash(told.digest, &told.endpoint, death) {
                is_news = true;
                if relays {
                    self.announce(Update::Crash(told.digest, told.endpoint.clone()));
                }
            }
        }
        if is_news {
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
        let mut told = EvidenceReport::default();
        let named: Vec<Update> = self.updates.keys().take(MAX_UPDATES).cloned().collect();
        for news in &named {
            if let Some(left) = self.updates.get_mut(news) {
                *left -= 1;
            }
            match news {
                Update::Crash(digest, endpoint) => {
                    told.crashes
                        .extend(self.crash_report(digest, endpoint, now_ms));
                }
                Update::Cleared(digest) => {
                    let at_ms = self.cleared.at_ms(digest);
                    told.clearances.extend(at_ms.map(|at_ms| ClearanceReport {
                        digest: *digest,
                        age_ms: age_ms(at_ms, now_ms),
                    }));
                }
            }
        }
        self.updates.retain(|_, left| *left > 0);
        told.crashes.extend(self.reminders(now_ms));
        told
    }

    fn reminders(&mut self, now_ms: u64) -> Vec<CrashReport> {
        let all: Vec<(&RequestDigest, &EndpointId)> = self
            .withheld
            .iter()
            .flat_map(|(digest, endpoints)| {
                // These are enough to have it withheld elsewhere.
                let enough = endpoints.iter().take(CRASHES_TO_WITHHOLD);
                enough.map(move |endpoint| (digest, endpoint))
            })
            .collect();
        let turn = self.reminder_rotation.next_batch(&all, MAX_REMINDERS);
        turn.filter_map(|(digest, endpoint)| self.crash_report(digest, endpoint, now_ms))
            .collect()
    }

    fn crash_report(
        &self,
        digest: &RequestDigest,
        endpoint: &EndpointId,
        now_ms: u64,
    ) -> Option<CrashReport> {
        let death = self.suspects.get(digest)?.get(endpoint)?;
        Some(CrashReport {
            digest: *digest,
            endpoint: endpoint.clone(),
            stage: death.stage,
            age_ms: age_ms(death.at_ms, now_ms),
        })
    }

    fn announce(&mut self, news: Update) {
        if self.updates.len() < MAX_SUSPECTS {
            self.updates.entry(news).or_insert(SENDS_PER_UPDATE);
        }
    }

    /// Records a crash. Returns whether it adds to the evidence: another endpoint, or a run that had done
    /// less. Of several runs of a request at one endpoint, the one that had done least counts, in
    /// whichever order they are reported.
    fn record_crash(&mut self, digest: RequestDigest, endpoint: &EndpointId, death: Crash) -> bool {
        if self.cleared.at_ms(&digest).is_some() {
            return false;
        }
        if !self.suspects.contains_key(&digest) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_weakest();
        }
        let deaths = self.suspects.entry(digest).or_default();
        let count = deaths.len();
        match deaths.get_mut(endpoint) {
            Some(known) if death.stage.rank() < known.stage.rank() => known.stage = death.stage,
            Some(_) => return false,
            None if count >= MAX_CRASHES => return false,
            None => drop(deaths.insert(endpoint.clone(), death)),
        }
        true
    }

    fn evict_weakest(&mut self) {
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, deaths)| (deaths.len(), newest_ms(deaths)));
        if let Some(least) = least.map(|(digest, _)| *digest) {
            self.suspects.swap_remove(&least);
        }
    }

    /// Drops expired evidence; returns whether there was any.
    fn drop_expired(&mut self, now_ms: u64) -> bool {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, deaths| now_ms < newest_ms(deaths) + EVIDENCE_TTL_MS);
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

fn newest_ms(deaths: &Crashes) -> u64 {
    deaths.values().map(|death| death.at_ms).max().unwrap_or(0)
}

fn age_ms(at_ms: u64, now_ms: u64) -> u32 {
    u32::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(u32::MAX)
}
