//! Rates measured over a fading window.

/// Amount per second, with older amounts fading.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateMeter {
    window_ms: f64,
    /// Faded sum of what was added.
    amount: f64,
    /// Faded sum of the time that was watched, in milliseconds.
    watched_ms: f64,
    updated_ms: u64,
}

impl RateMeter {
    /// A meter that forgets with a time constant of `window_ms`, watching from `now_ms`.
    pub(crate) fn new(window_ms: f64, now_ms: u64) -> Self {
        Self {
            window_ms,
            amount: 0.0,
            watched_ms: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
        let kept = (-passed_ms / self.window_ms).exp();
        self.amount *= kept;
        self.watched_ms = self.watched_ms * kept + self.window_ms * (1.0 - kept);
    }

    /// Lets time pass without watching: nothing fades.
    pub(crate) fn skip(&mut self, now_ms: u64) {
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Adds an amount at the time last advanced to.
    pub(crate) fn add(&mut self, amount: f64) {
        self.amount += amount;
    }

    /// The faded sum of what was added.
    pub(crate) fn amount(&self) -> f64 {
        self.amount
    }

    /// The rate a second, once at least `least_ms` have been watched.
    pub(crate) fn per_s(&self, least_ms: f64) -> Option<f64> {
        (self.watched_ms >= least_ms).then(|| self.amount * 1_000.0 / self.watched_ms)
    }

    /// The rate a second, as if at least `least_ms` had been watched.
    pub(crate) fn per_s_at_least(&self, least_ms: f64) -> f64 {
        self.amount * 1_000.0 / self.watched_ms.max(least_ms)
    }
}
