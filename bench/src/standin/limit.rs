//! A rate limit.

/// A bucket that fills at a steady rate and holds one second's worth.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    at_us: u64,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(rate_per_s: u32, now_us: u64) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        Self {
            rate_per_s,
            level: rate_per_s,
            at_us: now_us,
        }
    }

    /// Takes `amount` if the bucket is not empty; a large amount may leave a debt.
    pub(crate) fn take(&mut self, amount: usize, now_us: u64) -> bool {
        let passed_s = now_us.saturating_sub(self.at_us) as f64 / 1e6;
        self.level = (self.level + passed_s * self.rate_per_s).min(self.rate_per_s);
        self.at_us = now_us;
        let free = self.level > 0.0;
        if free {
            self.level -= amount as f64;
        }
        free
    }
}
