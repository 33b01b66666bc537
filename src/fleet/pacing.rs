//! How endpoints want to be sent requests, as their own answers say.

use indexmap::IndexMap;

use crate::ids::EndpointId;

/// How long the word of an endpoint that has left the list is kept: its entry may be back when the store
/// is, which may be away for tens of seconds.
const REMEMBER_MS: u64 = 300_000;

/// What one answer says of how its endpoint wants to be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pacing {
    /// Requests a second that it takes from all instances together, if it names a limit.
    pub limit_per_s: Option<f64>,
    /// Time for which it wants no request from this instance, where it turned one away.
    pub back_off_ms: Option<u64>,
    /// It is leaving and takes no new work.
    pub is_leaving: bool,
}

/// What an answer has changed, for log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacingChange {
    /// It names another limit, or none any more.
    Limit {
        /// The limit before, in requests a second.
        before_per_s: Option<f64>,
        /// The one that holds from now on.
        now_per_s: Option<f64>,
    },
    /// It wants no request from this instance for a while.
    BackOff {
        /// For how long.
        for_ms: u64,
    },
    /// It is leaving.
    Leaving,
}

/// What is known of one endpoint.
#[derive(Clone, Debug, Default)]
struct Paced {
    limit_per_s: Option<f64>,
    back_off_until_ms: u64,
    is_leaving: bool,
    /// When it last answered or stood in the list.
    seen_ms: u64,
}

/// What endpoints have asked for. Kept beside the list of endpoints: an entry that lapses and comes back
/// is of the same process, whose word still holds.
#[derive(Clone, Debug, Default)]
pub struct PacingBook {
    endpoints: IndexMap<EndpointId, Paced>,
}

impl PacingBook {
    /// Takes what an answer of an endpoint says; returns what is new.
    pub fn hear(&mut self, id: &EndpointId, said: Pacing, now_ms: u64) -> Vec<PacingChange> {
        if said == Pacing::default() && !self.endpoints.contains_key(id) {
            return Vec::new();
        }
        let known = self.endpoints.entry(id.clone()).or_default();
        known.seen_ms = now_ms;
        let mut changes = Vec::new();
        if known.limit_per_s != said.limit_per_s {
            changes.push(PacingChange::Limit {
                before_per_s: known.limit_per_s,
                now_per_s: said.limit_per_s,
            });
            known.limit_per_s = said.limit_per_s;
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

    /// Forgets endpoints that have been gone from the list for long.
    pub(super) fn settle<F>(&mut self, is_listed: F, now_ms: u64)
    where
        F: Fn(&EndpointId) -> bool,
    {
        self.endpoints.retain(|id, known| {
            if is_listed(id) {
                known.seen_ms = now_ms;
            }
            now_ms < known.seen_ms + REMEMBER_MS
        });
    }
}
