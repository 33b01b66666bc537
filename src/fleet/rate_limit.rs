//! The permits of one instance at an endpoint that takes only so many requests a second.

/// Least requests a second that a limit is taken for. Where nobody sends any, nobody hears that the limit
/// has been lifted.
const MIN_LIMIT_PER_S: f64 = 0.1;

/// Part of a permit that is kept where there was no request for it, so that requests which come at random
/// use most of the limit.
const MAX_UNUSED_PERMITS: f64 = 0.5;

/// When this instance may send an endpoint its next request. Its permits are evenly spaced, so that those of
/// all instances together do not come at once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PermitSchedule {
    /// Time between two permits; `None` where other instances have all of them.
    interval_ms: Option<f64>,
    /// When the next permit is due.
    next_ms: f64,
}

impl PermitSchedule {
    /// Takes that `share_per_s` of the limit are this instance's from now on. One that had none before
    /// waits for a whole interval: another may just have used what is its own now.
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

    /// When the next permit is due; `None` if this instance has none.
    pub(super) fn next_ms(&self) -> Option<u64> {
        self.interval_ms.map(|_| self.next_ms.ceil() as u64)
    }

    /// Takes the permit if it is due.
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

    /// Puts the last permit back: nothing was sent.
    pub(super) fn put_back(&mut self) {
        self.next_ms -= self.interval_ms.unwrap_or_default();
    }
}

/// The limit to go by where an endpoint names this one.
pub(super) fn effective_per_s(named_per_s: f64) -> f64 {
    named_per_s.max(MIN_LIMIT_PER_S)
}
