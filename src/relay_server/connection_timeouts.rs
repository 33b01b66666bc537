//! Time limits of callers' connections, as the operator's document states them.

use crate::route_table::Limits;

/// Time limits of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Timeouts {
    /// Longest time from the first byte of a request's head to the last.
    pub(super) head_ms: u64,
    /// Longest time without a byte in either direction while no request is served.
    pub(super) idle_ms: u64,
}

impl Timeouts {
    /// Limits of an instance that knows no document, and of a document without limits.
    const DEFAULT: Self = Self {
        head_ms: 10_000,
        idle_ms: 120_000,
    };
}

impl From<&Limits> for Timeouts {
    /// A limit of 0 would close every connection, and counts as missing.
    fn from(limits: &Limits) -> Self {
        let or_default = |limit_ms: u64, default_ms: u64| match limit_ms {
            0 => default_ms,
            _ => limit_ms,
        };
        Self {
            head_ms: or_default(limits.header_timeout_ms, Self::DEFAULT.head_ms),
            idle_ms: or_default(limits.idle_timeout_ms, Self::DEFAULT.idle_ms),
        }
    }
}

/// The limits in force now, and earlier ones on which callers may still rely.
#[derive(Debug)]
pub(super) struct TimeoutHistory {
    current: Timeouts,
    /// Limits with the time until which they were in force, oldest first.
    ///
    /// Invariant: a connection may have been idle since then without exceeding them.
    earlier: Vec<(u64, Timeouts)>,
}

impl Default for TimeoutHistory {
    fn default() -> Self {
        Self {
            current: Timeouts::DEFAULT,
            earlier: Vec::new(),
        }
    }
}

impl TimeoutHistory {
    /// Records the limits of the document in force.
    pub(super) fn update(&mut self, timeouts: Timeouts, now_ms: u64) {
        self.earlier
            .retain(|(until_ms, it)| now_ms <= until_ms + it.idle_ms.max(it.head_ms));
        if timeouts != self.current {
            self.earlier.push((now_ms, self.current));
            self.current = timeouts;
        }
    }

    /// Limits for what began at `since_ms`: the longest of all that were in force since then.
    pub(super) fn since(&self, since_ms: u64) -> Timeouts {
        let earlier = self
            .earlier
            .iter()
            .filter(|(until_ms, _)| *until_ms >= since_ms);
        earlier.fold(self.current, |longest, (_, it)| Timeouts {
            head_ms: longest.head_ms.max(it.head_ms),
            idle_ms: longest.idle_ms.max(it.idle_ms),
        })
    }
}
