//! Exponentially decaying rate measurement.

/// Amount per second; older amounts decay exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateMeter {
    window_ms: f64,
    /// Decayed sum of the added amounts.
    amount: f64,
    /// Decayed observation time, in milliseconds.
    observed_ms: f64,
    updated_ms: u64,
}

impl RateMeter {
    /// Creates a meter with time constant `window_ms` that observes from `now_ms`.
    pub(crate) fn new(window_ms: f64, now_ms: u64) -> Self {
        Self {
            window_ms,
            amount: 0.0,
            observed_ms: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Advances to `now_ms` and decays both sums.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        let kept = (-passed_ms / self.window_ms).exp();
        self.amount *= kept;
        self.observed_ms = self.observed_ms * kept + self.window_ms * (1.0 - kept);
    }

    /// Advances to `now_ms` without observing; nothing decays.
    pub(crate) fn skip(&mut self, now_ms: u64) {
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Adds an amount at the time last advanced to.
    pub(crate) fn add(&mut self, amount: f64) {
        self.amount += amount;
    }

    /// The decayed sum of the added amounts.
    pub(crate) fn amount(&self) -> f64 {
        self.amount
    }

    /// The rate per second, or `None` before `min_observed_ms` have been observed.
    pub(crate) fn per_s(&self, min_observed_ms: f64) -> Option<f64> {
        (self.observed_ms >= min_observed_ms).then(|| self.amount * 1_000.0 / self.observed_ms)
    }

    /// The rate per second over an observation time of at least `min_observed_ms`.
    pub(crate) fn per_s_with_min_window(&self, min_observed_ms: f64) -> f64 {
        self.amount * 1_000.0 / self.observed_ms.max(min_observed_ms)
    }
}
