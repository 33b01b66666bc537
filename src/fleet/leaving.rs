//! Endpoints that are leaving or were removed, as known beside the present list: from peers, which may have read
//! it first, and from before the store was restored from a backup.

use indexmap::IndexSet;

use super::listing::LIFETIME_RETENTION_MS;
use super::{
    Fleet, FleetChange, InfoSource, ListedEndpoint, LiveAgain, LiveReason, Phase, Provenance,
};
use crate::ids::{EndpointId, InstanceId};

/// How long a peer's report that an endpoint is leaving overrides the list: a read in flight may
/// still show the endpoint in service.
const PEER_REPORT_PRECEDENCE_MS: u64 = 1_500;
/// How long an endpoint that was removed stays out of service if it is listed again since the store was restored
/// from a backup. By then the removal has been written again, or the platform has dropped an endpoint that does not
/// write its entry.
const RESTORE_PRECEDENCE_MS: u64 = 5_000;

/// A peer's report that an endpoint is leaving or was removed, or this instance's own knowledge of that from
/// before the store was restored from a backup.
#[derive(Clone, Debug)]
pub(super) struct LeavingReport {
    /// `None` if this instance knows it itself.
    reported_by: Option<InstanceId>,
    received_ms: u64,
    /// Until when it overrides the list.
    precedence_until_ms: u64,
    /// The list has shown the endpoint in service after the report: its entry was only missing for
    /// a while.
    pub(super) listed_live_since: bool,
}

impl Fleet {
    /// Prepares for the full list of a store that was restored from a backup. The backup may predate that an
    /// endpoint was leaving or removed, as read here or reported by a peer; such an endpoint does not return to
    /// service. One whose entry had only expired does. Returns a change for each endpoint that is kept out of
    /// service.
    pub fn prepare_for_restored_list(
        &mut self,
        entries: &mut [ListedEndpoint],
        now_ms: u64,
    ) -> Vec<FleetChange> {
        self.restore_precedence_until_ms = now_ms + RESTORE_PRECEDENCE_MS;
        let mut kept_out: IndexSet<EndpointId> = self.keep_leaving(entries).into_iter().collect();
        for entry in entries {
            let is_reported = self.leaving_reports.contains_key(&entry.id);
            if is_reported || self.removed.contains_key(&entry.id) {
                let own_report = LeavingReport {
                    reported_by: None,
                    received_ms: now_ms,
                    precedence_until_ms: self.restore_precedence_until_ms,
                    listed_live_since: false,
                };
                self.leaving_reports.insert(entry.id.clone(), own_report);
                kept_out.insert(entry.id.clone());
            }
        }
        kept_out.into_iter().map(FleetChange::KeptOut).collect()
    }

    /// Marks entries as leaving whose endpoints an earlier list has shown as leaving. Returns the endpoints of
    /// these entries.
    pub(super) fn keep_leaving(&self, entries: &mut [ListedEndpoint]) -> Vec<EndpointId> {
        let mut kept = Vec::new();
        for entry in entries {
            let known = self.endpoints.get(&entry.id);
            let was_leaving = known.is_some_and(|it| it.phase_in_list == Phase::Leaving);
            if was_leaving && entry.phase == Phase::Live {
                entry.phase = Phase::Leaving;
                kept.push(entry.id.clone());
            }
        }
        kept
    }

    /// Records a peer's report that an endpoint is leaving or was removed. Returns whether this
    /// changed the endpoint's phase.
    pub fn apply_leaving_report(
        &mut self,
        peer: &InstanceId,
        id: &EndpointId,
        now_ms: u64,
    ) -> bool {
        let precedence_until_ms = now_ms + PEER_REPORT_PRECEDENCE_MS;
        self.leaving_reports
            .entry(id.clone())
            .or_insert(LeavingReport {
                reported_by: Some(peer.clone()),
                received_ms: now_ms,
                precedence_until_ms: precedence_until_ms.max(self.restore_precedence_until_ms),
                listed_live_since: false,
            });
        let Some(known) = self.endpoints.get_mut(id) else {
            return false;
        };
        let was_live = known.listed.phase == Phase::Live;
        known.listed.phase = Phase::Leaving;
        if was_live {
            known.provenance = Provenance {
                source: InfoSource::Heartbeat(peer.clone()),
                received_ms: now_ms,
            };
        }
        was_live
    }

    /// Drops reports that no longer apply. Returns endpoints that are in service again.
    pub(super) fn expire_leaving_reports(&mut self, now_ms: u64) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let fresh_as_of_ms = self.fresh_as_of_ms;
        self.leaving_reports.retain(|id, report| {
            let precedence_until_ms = report.precedence_until_ms;
            let Some(known) = self.endpoints.get_mut(id) else {
                return now_ms < report.received_ms + LIFETIME_RETENTION_MS;
            };
            if self.pacing.is_leaving(id) {
                return false;
            }
            // The endpoint is live again if the list has shown it in service since the report, or
            // has never shown otherwise: the peer may have seen it missing for a moment that was
            // over before the read here. A list older than the report proves nothing. A retained
            // entry does not count as in service: requests would go to endpoints that have left
            // until it is dropped.
            let is_newer = fresh_as_of_ms >= report.received_ms;
            let is_live = report.listed_live_since && is_newer && now_ms >= precedence_until_ms;
            let is_in_service = !known.is_retained() && known.phase_in_list == Phase::Live;
            let was_never_missing = fresh_as_of_ms >= precedence_until_ms && is_in_service;
            let reason = if is_live {
                LiveReason::ListedSince
            } else if was_never_missing {
                LiveReason::NeverMissing
            } else {
                return true;
            };
            known.listed.phase = Phase::Live;
            changes.push(FleetChange::LiveAgain(LiveAgain {
                endpoint: id.clone(),
                reported_by: report.reported_by.clone(),
                reported_ms: report.received_ms,
                reason,
            }));
            false
        });
        changes
    }
}
