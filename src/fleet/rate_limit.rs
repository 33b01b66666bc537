//! Permits of one instance for an endpoint with a rate limit.

/// Minimum rate that a limit is taken for, in requests per second. If no instance sent requests,
/// none would learn that the limit has been lifted.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// Fraction of a permit that is kept while there is no request for it, so that requests that arrive
/// at random can use most of the limit.
const MAX_UNUSED_PERMITS: f64 = 0.5;

/// When this instance may send an endpoint its next request. Permits are evenly spaced, so that
/// those of all instances do not coincide.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PermitSchedule {
    /// Time between two permits; `None` if other instances hold all of them.
    interval_ms: Option<f64>,
    next_ms: f64,
}

impl PermitSchedule {
    /// Sets this instance's share of the limit. An instance without a share before waits for a full
    /// interval, since another one may just have used what is now its share.
    pub(super) fn set_share(&mut self, share_per_s: f64, now_ms: u64) {
        let interval_ms = (share_per_s > 0.0).then(|| 1_000.0 / share_per_s);
        if let Some(interval_ms) = interval_ms {
            let latest_ms = now_ms as f64 + interval_ms;
            self.next_ms = match self.interval_ms {
                Some(_) => self.next_ms.min(latest_ms),
                None => self.next_ms.max(latest_ms),
            };
        }
        self.interval_ms = interval_ms;
    }

    /// When the next permit is due; `None` if this instance has no share.
    pub(super) fn next_ms(&self) -> Option<u64> {
        self.interval_ms.map(|_| self.next_ms.ceil() as u64)
    }

    /// Takes the permit if it is due. Returns whether it was.
    pub(super) fn take(&mut self, now_ms: u64) -> bool {
        let Some(interval_ms) = self.interval_ms else {
            return false;
        };
        let is_due = self.next_ms <= now_ms as f64;
        if is_due {
            let earliest_ms = now_ms as f64 - interval_ms * MAX_UNUSED_PERMITS;
            self.next_ms = self.next_ms.max(earliest_ms) + interval_ms;
        }
        is_due
    }

    /// Returns the last permit, with which nothing was sent.
    pub(super) fn put_back(&mut self) {
        self.next_ms -= self.interval_ms.unwrap_or_default();
    }
}

/// The limit to apply where an endpoint announces `named_per_s`.
pub(super) fn effective_per_s(named_per_s: f64) -> f64 {
    named_per_s.max(MIN_LIMIT_PER_S)
}
