//! What blocks resuming a partial response between two runs, and when to check again.

/// Maximum time between two checks. There is no notification when another caller's request adds to
/// the budget or when another instance's request ends; callers notice a pause of 200 ms.
const MAX_RECHECK_INTERVAL_MS: u64 = 50;

/// What prevents the next run of a partial response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeBlocker {
    /// Some layer of the model has no usable engine that holds it.
    Chain,
    /// An engine of the best chain has recently rejected a request.
    Capacity {
        /// How long the engine counts as full.
        until_ms: u64,
    },
    /// The budget has no retry left.
    Retry {
        /// When a retry becomes available by the passage of time.
        due_ms: u64,
    },
}

impl ResumeBlocker {
    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Chain => "chain",
            Self::Capacity { .. } => "room",
            Self::Retry { .. } => "repeat",
        }
    }

    /// When to check again; later than `now_ms`.
    pub(crate) fn recheck_at_ms(self, now_ms: u64) -> u64 {
        let latest_ms = now_ms + MAX_RECHECK_INTERVAL_MS;
        match self {
            Self::Chain => latest_ms,
            Self::Capacity { until_ms: due_ms } | Self::Retry { due_ms } => {
                due_ms.clamp(now_ms + 1, latest_ms)
            }
        }
    }
}
