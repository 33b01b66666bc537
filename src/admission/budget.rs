//! Retry budgets, which keep failures from multiplying load.

/// Fraction of a retry earned by each admitted request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of saved retries; also the initial budget.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retries that may still be made. Never below 0, never above [`MAX_SAVED_RETRIES`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget, so that retries are possible before any request was admitted.
    pub(crate) fn new() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }

    /// Adds the fraction earned by an admitted request.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Whether at least one retry is available.
    pub(crate) fn has_one(&self) -> bool {
        self.saved >= 1.0
    }

    /// Deducts one retry.
    pub(crate) fn take(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }
}
