//! A recent maximum that decays.

/// Maximum of a rate. It decays linearly to the current value within `decay_ms` after `at_ms`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peak {
    max_per_s: f64,
    at_ms: u64,
    decay_ms: u64,
}

impl Peak {
    pub(super) fn new(current_per_s: f64, decay_ms: u64, now_ms: u64) -> Self {
        Self {
            max_per_s: current_per_s,
            at_ms: now_ms,
            decay_ms,
        }
    }

    /// Takes the current value into account.
    pub(super) fn observe(&mut self, current_per_s: f64, decay_ms: u64, now_ms: u64) {
        self.decay_ms = decay_ms;
        if current_per_s >= self.max_per_s || self.has_decayed(now_ms) {
            *self = Self::new(current_per_s, decay_ms, now_ms);
        }
    }

    /// The decayed maximum; never below the current value.
    pub(super) fn value_per_s(&self, current_per_s: f64, now_ms: u64) -> f64 {
        if self.has_decayed(now_ms) {
            return current_per_s;
        }
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let left = 1.0 - elapsed_ms / self.decay_ms as f64;
        current_per_s + (self.max_per_s - current_per_s).max(0.0) * left
    }

    pub(super) fn has_decayed(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) >= self.decay_ms
    }
}
