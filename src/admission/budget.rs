//! Retry budgets: failures must not multiply load.

/// Part of a retry that each admitted request earns.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Most retries saved up; also what a new budget begins with.
const SAVED_LIMIT: f64 = 10.0;

/// Retries that may still be made. Never below 0, never above [`SAVED_LIMIT`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// A budget that allows a few retries from the start.
    pub(crate) fn new() -> Self {
        Self { saved: SAVED_LIMIT }
    }

    /// An admitted request earns its part.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(SAVED_LIMIT);
    }

    /// Whether a retry is left.
    pub(crate) fn has_one(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes a retry.
    pub(crate) fn take(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }
}
