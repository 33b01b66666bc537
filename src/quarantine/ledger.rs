//! The evidence against requests, own and told, and what follows from it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::cleared::Cleared;
use super::pending::{BrokenRun, PendingRuns};
use super::verdict::{CRASHES_TO_WITHHOLD, Crash, Crashes, withheld};
use super::{ClearanceReport, CrashReport, EndpointLiveness, RequestDigest, RunStage};
use crate::dissemination::Rotation;
use crate::ids::EndpointId;

/// How long evidence counts after the newest end under a request. A caller who comes again within it
/// finds the request still withheld; one wrongly withheld, whose answers are all forgotten, waits no
/// longer.
pub(crate) const EVIDENCE_TTL_MS: u64 = 600_000;
/// Requests under suspicion that are remembered.
const MAX_SUSPECTS: usize = 1_024;
/// Ends that are remembered of one request.
const MAX_CRASHES: usize = 16;
/// How often news is told, in heartbeats: some may be lost.
const SENDS_PER_UPDATE: u8 = 4;
/// News in one heartbeat; with some forty bytes each, it still fits one packet.
const MAX_UPDATES: usize = 16;
/// Evidence against withheld requests in one heartbeat, in turn, so that instances that start or were cut
/// off learn it from any other.
const MAX_REMINDERS: usize = 2;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineStatus {
    /// Nothing speaks against it.
    Allowed,
    /// It will be known within milliseconds whether one endpoint too many has ended under it.
    Undecided,
    /// It is withheld.
    Withheld,
}

/// A change in what is withheld.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineChange {
    /// A request is withheld from now on, since these endpoints have ended under it.
    Withheld(RequestDigest, Vec<EndpointId>),
    /// A request is not withheld any more.
    Released(RequestDigest),
}

/// News that is still to be told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Update {
    Crash(RequestDigest, EndpointId),
    Cleared(RequestDigest),
}

/// What is told to peers in one heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EvidenceReport {
    pub(crate) crashes: Vec<CrashReport>,
    pub(crate) clearances: Vec<ClearanceReport>,
}

impl EvidenceReport {
    /// Whether it says nothing, as nearly all heartbeats do.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}

/// Requests under suspicion, and those that are withheld. Invariants: a request that was cleared, since an
/// endpoint went on under it, is not withheld while that is remembered; one is withheld only while three
/// ends of endpoints that no other withheld request explains are put down to it; memory is bounded
/// whatever callers and peers send.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    pending: PendingRuns,
    /// Those with fewer ends are forgotten first, of several the one whose newest is oldest.
    suspects: IndexMap<RequestDigest, Crashes>,
    cleared: Cleared,
    withheld: IndexMap<RequestDigest, Vec<EndpointId>>,
    updates: IndexMap<Update, u8>,
    /// How far the turn of reminders has come.
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
        // A request that brings nobody down breaks off here and there, too: it is held back only where
        // the open one would decide.
        if open > 0 && known + open >= CRASHES_TO_WITHHOLD {
            QuarantineStatus::Undecided
        } else {
            QuarantineStatus::Allowed
        }
    }

    /// How many requests are withheld.
    pub(crate) fn withheld_count(&self) -> usize {
        self.withheld.len()
    }

    /// Takes that a run of a request broke off at an endpoint of which it is not known yet whether it
    /// has ended.
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

    /// Takes what is known by now of endpoints at which runs broke off. `fate` is asked for an endpoint
    /// and the time at which a run broke off there.
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

    /// Takes that an endpoint went on under a request: it was answered whole, or a run of it is past its
    /// beginning. Such a request does not end whatever runs it.
    pub(crate) fn clear(&mut self, digest: RequestDigest, now_ms: u64) -> Vec<QuarantineChange> {
        self.cleared.record(digest, now_ms, now_ms);
        if self.suspects.swap_remove(&digest).is_none() {
            return Vec::new();
        }
        self.announce(Update::Cleared(digest));
        self.reevaluate()
    }

    /// Takes evidence that a peer tells. What is new is told on if `relays`.
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
                // The peer does not know that an endpoint went on under it.
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

    /// Whether there is news that peers should hear at once.
    pub(crate) fn has_unsent_updates(&self) -> bool {
        self.updates.values().any(|left| *left == SENDS_PER_UPDATE)
    }

    /// What the next heartbeat tells: news a few times, then the evidence against withheld requests in
    /// turn.
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
                // Three are enough to have it withheld elsewhere.
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

    /// Returns whether this says more than was known: another end, or that a run had done less. Of several
    /// runs of a request at one endpoint the one that had done least counts, whoever's word comes first.
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

    /// Forgets evidence that is too old; returns whether there was any.
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
