//! What endpoints have announced about sending requests to them, and when each may get the next
//! one.

use indexmap::IndexMap;

use super::rate_limit::{PermitSchedule, effective_per_s};
use super::{LimitReport, Pacing, PacingChange, RateLimitUpdate};
use crate::dissemination::{Rotation, UpdateQueue};
use crate::ids::EndpointId;

/// How long the announcements of an unlisted endpoint are kept. Its entry may return after an
/// outage of the store, which can last tens of seconds.
const UNLISTED_RETENTION_MS: u64 = 300_000;
/// How much newer than the endpoint's own announcement to this instance a peer's report must be,
/// since the report may have been in transit for as long.
const GOSSIP_DELAY_MARGIN_MS: u64 = 500;
/// Maximum number of changed limits in a heartbeat.
const MAX_UPDATES_PER_HEARTBEAT: usize = 32;
/// Maximum number of unchanged limits in a heartbeat, sent in rotation for instances that have
/// started since.
const MAX_ROTATED_PER_HEARTBEAT: usize = 4;
/// Age from which a limit is no longer sent in rotation. Instances that send requests to the
/// endpoint have received it themselves by then.
const ROTATION_MAX_AGE_MS: u64 = 10_000;
/// Relative change of a limit that is reported to peers at once.
const SIGNIFICANT_CHANGE: f64 = 0.25;

/// Whether this instance may send an endpoint a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// No permit is needed, as far as is known.
    NotNeeded,
    /// A permit is held.
    Held,
    /// No request may be sent: no permit is due, or the endpoint asked for a back-off.
    Missing,
}

/// Source of the current limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LimitSource {
    /// The endpoint itself.
    #[default]
    Endpoint,
    /// A peer. Such a limit is not passed on, since two instances that repeat each other's reports
    /// would keep it forever.
    Peer,
}

/// What is known about one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointPacing {
    limit_per_s: Option<f64>,
    /// When the endpoint announced the limit.
    limit_set_ms: u64,
    limit_source: LimitSource,
    permits: PermitSchedule,
    back_off_until_ms: u64,
    is_leaving: bool,
    /// When it last responded or was listed.
    seen_ms: u64,
}

impl EndpointPacing {
    /// Sets the limit. Returns whether it changed.
    fn set_limit(
        &mut self,
        limit_per_s: Option<f64>,
        source: LimitSource,
        announced_ms: u64,
    ) -> bool {
        let before_per_s = std::mem::replace(&mut self.limit_per_s, limit_per_s);
        self.limit_source = source;
        self.limit_set_ms = announced_ms;
        before_per_s != limit_per_s
    }

    fn gossiped_limit(&self, id: &EndpointId, now_ms: u64) -> LimitReport {
        LimitReport {
            endpoint: id.clone(),
            limit_per_s: self.limit_per_s,
            age_ms: now_ms.saturating_sub(self.limit_set_ms),
        }
    }

    fn is_in_rotation(&self, now_ms: u64) -> bool {
        let is_from_endpoint = self.limit_source == LimitSource::Endpoint && self.limit_set_ms > 0;
        is_from_endpoint && now_ms < self.limit_set_ms + ROTATION_MAX_AGE_MS
    }
}

/// Whether peers need to know about a change at once.
fn is_significant(before_per_s: Option<f64>, now_per_s: Option<f64>) -> bool {
    match (before_per_s, now_per_s) {
        (Some(before_per_s), Some(now_per_s)) => {
            (now_per_s - before_per_s).abs() > before_per_s * SIGNIFICANT_CHANGE
        }
        (None, None) => false,
        _ => true,
    }
}

/// What endpoints have announced. Kept apart from the endpoint list: an entry that expires and
/// returns belongs to the same process, whose announcements still apply.
#[derive(Clone, Debug, Default)]
pub(crate) struct PacingState {
    endpoints: IndexMap<EndpointId, EndpointPacing>,
    /// Endpoints with changed limits that this instance received from them.
    updates: UpdateQueue<EndpointId>,
    /// Position in the rotation of the other limits.
    rotation: Rotation,
}

impl PacingState {
    /// Applies the announcements in a response. Returns what changed.
    pub(crate) fn apply(
        &mut self,
        id: &EndpointId,
        announced: Pacing,
        now_ms: u64,
    ) -> Vec<PacingChange> {
        if !announced.has_constraints() && !self.endpoints.contains_key(id) {
            return Vec::new();
        }
        let known = self.endpoints.entry(id.clone()).or_default();
        known.seen_ms = now_ms;
        let mut changes = Vec::new();
        let before_per_s = known.limit_per_s;
        let now_per_s = announced.limit.resolve(before_per_s);
        let has_limit_update = announced.limit != RateLimitUpdate::Unchanged
            && (now_per_s, before_per_s) != (None, None);
        if has_limit_update && known.set_limit(now_per_s, LimitSource::Endpoint, now_ms) {
            if is_significant(before_per_s, now_per_s) {
                self.updates.push(id);
            }
            changes.push(PacingChange::Limit {
                before_per_s,
                now_per_s,
            });
        }
        if let Some(for_ms) = announced.back_off_ms
            && now_ms + for_ms > known.back_off_until_ms
        {
            known.back_off_until_ms = now_ms + for_ms;
            changes.push(PacingChange::BackOff { for_ms });
        }
        if announced.is_leaving && !known.is_leaving {
            known.is_leaving = true;
            changes.push(PacingChange::Leaving);
        }
        changes
    }

    /// Records a peer's report that an endpoint has announced its departure.
    pub(super) fn record_leaving(&mut self, id: &EndpointId, now_ms: u64) {
        let known = self.endpoints.entry(id.clone()).or_default();
        known.seen_ms = now_ms;
        known.is_leaving = true;
    }

    /// Whether the endpoint has announced its departure. This holds for its lifetime, whatever the
    /// list shows.
    pub(super) fn is_leaving(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|it| it.is_leaving)
    }

    /// Applies a limit reported by a peer if it is newer than the known one. Returns whether the
    /// limit changed.
    pub(crate) fn apply_reports(&mut self, report: &LimitReport, now_ms: u64) -> bool {
        let announced_ms = now_ms.saturating_sub(report.age_ms);
        let known = self.endpoints.entry(report.endpoint.clone()).or_default();
        known.seen_ms = now_ms;
        let margin_ms = match known.limit_source {
            LimitSource::Endpoint => GOSSIP_DELAY_MARGIN_MS,
            LimitSource::Peer => 0,
        };
        let is_newer = known.limit_set_ms == 0 || announced_ms > known.limit_set_ms + margin_ms;
        if is_newer {
            self.updates.remove(&report.endpoint);
        }
        is_newer && known.set_limit(report.limit_per_s, LimitSource::Peer, announced_ms)
    }

    /// Whether there is a change that peers need to know at once.
    pub(crate) fn has_unsent_updates(&self) -> bool {
        self.updates.has_unsent()
    }

    /// Limits for the next heartbeat: changed ones, each in several heartbeats, and in rotation
    /// those lately received by this instance.
    pub(crate) fn next_reports(&mut self, now_ms: u64) -> Vec<LimitReport> {
        let rotated = self.endpoints.iter().filter(|(id, it)| {
            let is_updated = self.updates.contains(id);
            !is_updated && it.is_in_rotation(now_ms)
        });
        let rotated: Vec<EndpointId> = rotated.map(|(id, _)| id.clone()).collect();
        let rotated = self
            .rotation
            .next_batch(&rotated, MAX_ROTATED_PER_HEARTBEAT);
        let changed = self.updates.next_batch(MAX_UPDATES_PER_HEARTBEAT);
        rotated
            .chain(&changed)
            .filter_map(|id| Some(self.endpoints.get(id)?.gossiped_limit(id, now_ms)))
            .collect()
    }

    /// Recomputes this instance's share of each limit. `share_per_s` maps an endpoint and its
    /// limit, in requests per second, to the share.
    pub(super) fn share_limits<F>(&mut self, share_per_s: F, now_ms: u64)
    where
        F: Fn(&EndpointId, f64) -> f64,
    {
        for (id, known) in &mut self.endpoints {
            if let Some(limit_per_s) = known.limit_per_s {
                let share_per_s = share_per_s(id, effective_per_s(limit_per_s));
                known.permits.set_share(share_per_s, now_ms);
            }
        }
    }

    /// Whether any endpoint has a limit.
    pub(crate) fn has_limits(&self) -> bool {
        self.endpoints.values().any(|it| it.limit_per_s.is_some())
    }

    /// When this instance may send the endpoint a request: 0 if nothing restricts it, `None` if
    /// other instances hold all permits.
    pub(crate) fn next_send_ms(&self, id: &EndpointId) -> Option<u64> {
        let Some(known) = self.endpoints.get(id) else {
            return Some(0);
        };
        let permit_ms = match known.limit_per_s {
            Some(_) => known.permits.next_ms()?,
            None => 0,
        };
        Some(permit_ms.max(known.back_off_until_ms))
    }

    /// Whether this instance may send the endpoint a request now.
    pub(crate) fn may_send(&self, id: &EndpointId, now_ms: u64) -> bool {
        self.next_send_ms(id).is_some_and(|at_ms| at_ms <= now_ms)
    }

    /// Acquires a permit for a request, if one is needed.
    pub(crate) fn acquire_permit(&mut self, id: &EndpointId, now_ms: u64) -> Permit {
        if self.is_backing_off(id, now_ms) {
            return Permit::Missing;
        }
        match self.endpoints.get_mut(id) {
            Some(known) if known.limit_per_s.is_some() => {
                if known.permits.take(now_ms) {
                    Permit::Held
                } else {
                    Permit::Missing
                }
            }
            _ => Permit::NotNeeded,
        }
    }

    /// Checks a permit that was acquired before the connection was established, since the endpoint
    /// may have announced something in the meantime. Returns the permit to send with.
    pub(crate) fn recheck_permit(
        &mut self,
        id: &EndpointId,
        permit: Permit,
        now_ms: u64,
    ) -> Permit {
        match permit {
            Permit::Held if !self.is_backing_off(id, now_ms) => Permit::Held,
            Permit::NotNeeded => self.acquire_permit(id, now_ms),
            Permit::Held | Permit::Missing => Permit::Missing,
        }
    }

    fn is_backing_off(&self, id: &EndpointId, now_ms: u64) -> bool {
        let known = self.endpoints.get(id);
        known.is_some_and(|it| now_ms < it.back_off_until_ms)
    }

    /// Returns an unused permit.
    pub(crate) fn return_permit(&mut self, id: &EndpointId, permit: Permit) {
        let known = self.endpoints.get_mut(id);
        if let Some(known) = known.filter(|_| permit == Permit::Held) {
            known.permits.put_back();
        }
    }

    /// Forgets endpoints that have been unlisted for long.
    pub(super) fn expire<F>(&mut self, is_listed: F, now_ms: u64)
    where
        F: Fn(&EndpointId) -> bool,
    {
        self.endpoints.retain(|id, known| {
            if is_listed(id) {
                known.seen_ms = now_ms;
            }
            now_ms < known.seen_ms + UNLISTED_RETENTION_MS
        });
    }
}
