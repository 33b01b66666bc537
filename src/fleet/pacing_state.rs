//! What endpoints have said of how they want to be sent requests, and when each may be sent the next one.

use indexmap::IndexMap;

use super::rate_limit::{PermitSchedule, effective_per_s};
use super::{LimitReport, Pacing, PacingChange, RateLimitUpdate};
use crate::dissemination::{Rotation, UpdateQueue};
use crate::ids::EndpointId;

/// How long the word of an endpoint that has left the list is kept: its entry may be back when the store
/// is, which may be away for tens of seconds.
const UNLISTED_RETENTION_MS: u64 = 300_000;
/// How much newer than an endpoint's own word here another instance's must be: it may have been on its
/// way for as long.
const GOSSIP_DELAY_MARGIN_MS: u64 = 500;
/// Most limits in a heartbeat that are news.
const MAX_UPDATES_PER_HEARTBEAT: usize = 32;
/// Limits told in turn in each heartbeat, for instances that have started since.
const MAX_ROTATED_PER_HEARTBEAT: usize = 4;
/// Age from which on a limit that was heard here is not told any more: those that send requests there
/// have heard it since.
const ROTATION_MAX_AGE_MS: u64 = 10_000;
/// Change of a limit that others are told at once, as a part of it.
const SIGNIFICANT_CHANGE: f64 = 0.25;

/// Whether an instance may send an endpoint a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// It needs no permit, as far as is known.
    NotNeeded,
    /// It holds one.
    Held,
    /// It may not: none is due, or the endpoint wants no request for a while.
    Missing,
}

/// Where the newest word on a limit came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LimitSource {
    /// The endpoint itself.
    #[default]
    Endpoint,
    /// Another instance, which is not repeated: two that handed it on would keep it for ever.
    Peer,
}

/// What is known of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointPacing {
    limit_per_s: Option<f64>,
    /// When the endpoint said so.
    limit_set_ms: u64,
    limit_source: LimitSource,
    permits: PermitSchedule,
    back_off_until_ms: u64,
    is_leaving: bool,
    /// When it last answered or stood in the list.
    seen_ms: u64,
}

impl EndpointPacing {
    /// Takes the newest word on the limit; returns whether it is another one.
    fn set_limit(&mut self, limit_per_s: Option<f64>, source: LimitSource, said_ms: u64) -> bool {
        let before_per_s = std::mem::replace(&mut self.limit_per_s, limit_per_s);
        self.limit_source = source;
        self.limit_set_ms = said_ms;
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
        let was_heard = self.limit_source == LimitSource::Endpoint && self.limit_set_ms > 0;
        was_heard && now_ms < self.limit_set_ms + ROTATION_MAX_AGE_MS
    }
}

/// Whether others are to be told of a change at once.
fn is_significant(before_per_s: Option<f64>, now_per_s: Option<f64>) -> bool {
    match (before_per_s, now_per_s) {
        (Some(before_per_s), Some(now_per_s)) => {
            (now_per_s - before_per_s).abs() > before_per_s * SIGNIFICANT_CHANGE
        }
        (None, None) => false,
        _ => true,
    }
}

/// What endpoints have asked for. Kept beside the list of endpoints: an entry that lapses and comes back
/// is of the same process, whose word still holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct PacingState {
    endpoints: IndexMap<EndpointId, EndpointPacing>,
    /// Endpoints whose limits were heard here and are news.
    updates: UpdateQueue<EndpointId>,
    /// How far the other limits have been told in turn.
    rotation: Rotation,
}

impl PacingState {
    /// Takes what an answer of an endpoint says; returns what is new.
    pub(crate) fn apply(
        &mut self,
        id: &EndpointId,
        said: Pacing,
        now_ms: u64,
    ) -> Vec<PacingChange> {
        if !said.has_constraints() && !self.endpoints.contains_key(id) {
            return Vec::new();
        }
        let known = self.endpoints.entry(id.clone()).or_default();
        known.seen_ms = now_ms;
        let mut changes = Vec::new();
        let before_per_s = known.limit_per_s;
        let now_per_s = said.limit.resolve(before_per_s);
        let says_limit =
            said.limit != RateLimitUpdate::Unchanged && (now_per_s, before_per_s) != (None, None);
        if says_limit && known.set_limit(now_per_s, LimitSource::Endpoint, now_ms) {
            if is_significant(before_per_s, now_per_s) {
                self.updates.push(id);
            }
            changes.push(PacingChange::Limit {
                before_per_s,
                now_per_s,
            });
        }
        if let Some(for_ms) = said.back_off_ms
            && now_ms + for_ms > known.back_off_until_ms
        {
            known.back_off_until_ms = now_ms + for_ms;
            changes.push(PacingChange::BackOff { for_ms });
        }
        if said.is_leaving && !known.is_leaving {
            known.is_leaving = true;
            changes.push(PacingChange::Leaving);
        }
        changes
    }

    /// Takes another instance's word that an endpoint has said that it leaves.
    pub(super) fn record_leaving(&mut self, id: &EndpointId, now_ms: u64) {
        let known = self.endpoints.entry(id.clone()).or_default();
        known.seen_ms = now_ms;
        known.is_leaving = true;
    }

    /// Whether the endpoint has said that it leaves. That holds for its lifetime, whatever the list shows.
    pub(super) fn is_leaving(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|it| it.is_leaving)
    }

    /// Takes a limit that another instance has heard, if that is newer than what is known here; returns
    /// whether it is another limit.
    pub(crate) fn apply_reports(&mut self, told: &LimitReport, now_ms: u64) -> bool {
        let said_ms = now_ms.saturating_sub(told.age_ms);
        let known = self.endpoints.entry(told.endpoint.clone()).or_default();
        known.seen_ms = now_ms;
        let margin_ms = match known.limit_source {
            LimitSource::Endpoint => GOSSIP_DELAY_MARGIN_MS,
            LimitSource::Peer => 0,
        };
        let is_newer = known.limit_set_ms == 0 || said_ms > known.limit_set_ms + margin_ms;
        if is_newer {
            self.updates.remove(&told.endpoint);
        }
        is_newer && known.set_limit(told.limit_per_s, LimitSource::Peer, said_ms)
    }

    /// Whether others are to be told something at once.
    pub(crate) fn has_unsent_updates(&self) -> bool {
        self.updates.has_unsent()
    }

    /// Limits for the next heartbeat: news a few times, and in turn what was lately heard here.
    pub(crate) fn next_reports(&mut self, now_ms: u64) -> Vec<LimitReport> {
        let in_turn = self.endpoints.iter().filter(|(id, it)| {
            let is_news = self.updates.contains(id);
            !is_news && it.is_in_rotation(now_ms)
        });
        let in_turn: Vec<EndpointId> = in_turn.map(|(id, _)| id.clone()).collect();
        let in_turn = self
            .rotation
            .next_batch(&in_turn, MAX_ROTATED_PER_HEARTBEAT);
        let news = self.updates.next_batch(MAX_UPDATES_PER_HEARTBEAT);
        in_turn
            .chain(&news)
            .filter_map(|id| Some(self.endpoints.get(id)?.gossiped_limit(id, now_ms)))
            .collect()
    }

    /// Decides anew how much of each limit is this instance's. `share_per_s` gets an endpoint and its
    /// limit, in requests a second.
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

    /// Whether any endpoint has named a limit that holds.
    pub(crate) fn has_limits(&self) -> bool {
        self.endpoints.values().any(|it| it.limit_per_s.is_some())
    }

    /// When this instance may send the endpoint a request; 0 if nothing keeps it from that, `None` if other
    /// instances have all permits there.
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

    /// Takes a permit for a request, where one is needed.
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

    /// The permit with which a request may be sent, where `permit` was taken before there was a connection:
    /// the endpoint may have said more since.
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

    /// Puts a permit back with which nothing was sent.
    pub(crate) fn return_permit(&mut self, id: &EndpointId, permit: Permit) {
        let known = self.endpoints.get_mut(id);
        if let Some(known) = known.filter(|_| permit == Permit::Held) {
            known.permits.put_back();
        }
    }

    /// Forgets endpoints that have been gone from the list for long.
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
