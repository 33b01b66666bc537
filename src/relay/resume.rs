//! What an answer under way waits for between two runs, and when it looks again.

/// Longest time between two looks. Nobody is told that a request of another caller has added to the
/// budget, or that work of another instance has ended; callers notice a pause of 200 ms.
const LOOK_MS: u64 = 50;

/// What an answer under way lacks for its next run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// Some layer of the model has no usable holder.
    Chain,
    /// An engine of the best chain turned work away just now.
    Room {
        /// Until when it counts as full.
        until_ms: u64,
    },
    /// The budget has no repeat left.
    RepeatPolicy {
        /// When it will have one by the passing of time.
        due_ms: u64,
    },
}

impl Lack {
    /// Name in log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Chain => "chain",
            Self::Room { .. } => "room",
            Self::RepeatPolicy { .. } => "repeat",
        }
    }

    /// When to look again; after `now_ms`.
    pub(crate) fn look_ms(self, now_ms: u64) -> u64 {
        let latest_ms = now_ms + LOOK_MS;
        match self {
            Self::Chain => latest_ms,
            Self::Room { until_ms: due_ms } | Self::RepeatPolicy { due_ms } => {
                due_ms.clamp(now_ms + 1, latest_ms)
            }
        }
    }
}
