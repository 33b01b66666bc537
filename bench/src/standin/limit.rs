//! Rate limits and lost replies of the platform's stores.

use super::faults::Fault;
use super::unix_us;

/// Rows or objects written a second unless a fault says otherwise.
const WRITES_PER_S: u32 = 300;
/// Rows or objects read a second unless a fault says otherwise.
const READS_PER_S: u32 = 2000;

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

/// What a store lets pass, and which of its replies get lost.
#[derive(Clone, Debug)]
pub(crate) struct StoreLimits {
    writes: TokenBucket,
    reads: TokenBucket,
    replies_to_lose: u32,
    /// Only replies to writes of a key that starts so get lost.
    lost_prefix: Option<String>,
    /// Calls over the rate limit.
    pub(crate) throttled: u64,
    /// Replies cut off after their write took effect.
    pub(crate) lost_replies: u64,
}

impl StoreLimits {
    /// The usual limits.
    pub(crate) fn new() -> Self {
        let now_us = unix_us();
        Self {
            writes: TokenBucket::new(WRITES_PER_S, now_us),
            reads: TokenBucket::new(READS_PER_S, now_us),
            replies_to_lose: 0,
            lost_prefix: None,
            throttled: 0,
            lost_replies: 0,
        }
    }

    /// Applies a fault; leaves faults of other kinds alone.
    pub(crate) fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Clear => {
                self.replies_to_lose = 0;
                self.set_rates(WRITES_PER_S, READS_PER_S);
            }
            Fault::LoseReplies { count, prefix } => {
                self.replies_to_lose = *count;
                self.lost_prefix.clone_from(prefix);
            }
            Fault::Limits {
                writes_per_s,
                reads_per_s,
            } => self.set_rates(*writes_per_s, *reads_per_s),
            _ => {}
        }
    }

    fn set_rates(&mut self, writes_per_s: u32, reads_per_s: u32) {
        let now_us = unix_us();
        self.writes = TokenBucket::new(writes_per_s, now_us);
        self.reads = TokenBucket::new(reads_per_s, now_us);
    }

    /// Whether this many rows or objects may be read now.
    pub(crate) fn may_read(&mut self, count: usize) -> bool {
        let free = self.reads.take(count, unix_us());
        self.throttled += u64::from(!free);
        free
    }

    /// Whether this many rows or objects may be written now.
    pub(crate) fn may_write(&mut self, count: usize) -> bool {
        let free = self.writes.take(count, unix_us());
        self.throttled += u64::from(!free);
        free
    }

    /// Whether the reply to a write of these keys that took effect gets lost.
    pub(crate) fn loses_reply(&mut self, keys: &[String]) -> bool {
        let meant = match &self.lost_prefix {
            Some(prefix) => keys.iter().any(|key| key.starts_with(prefix)),
            None => true,
        };
        let loses = meant && self.replies_to_lose > 0;
        if loses {
            self.replies_to_lose -= 1;
            self.lost_replies += 1;
        }
        loses
    }
}
