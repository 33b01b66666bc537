//! Whether the platform's store answers this instance, by the calls that have ended.

/// How long after a failed call the store counts as away: entries that are missing from the endpoint
/// list are still held.
const AWAY_MS: u64 = 3_000;

/// What the newest calls to the store have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    /// When a call last failed, as long as the store counts as away for it.
    failed_ms: Option<u64>,
    answered_ms: Option<u64>,
    /// Whether the newest call that has ended was answered.
    answers: bool,
}

impl StoreHealth {
    /// Whether the store answered the newest call that has ended.
    pub(crate) fn is_answering(self) -> bool {
        self.answers
    }

    /// When the store last answered a call.
    pub(crate) fn last_answer_ms(self) -> Option<u64> {
        self.answered_ms
    }

    /// Whether the store failed a call shortly before: what it tells may be missing something.
    pub(crate) fn is_unavailable(self, now_ms: u64) -> bool {
        self.failed_ms.is_some_and(|at_ms| now_ms < at_ms + AWAY_MS)
    }

    /// Notes a call that failed. Returns whether the store is lost by it.
    pub(super) fn record_failure(&mut self, now_ms: u64) -> bool {
        let is_lost = !self.is_unavailable(now_ms);
        self.failed_ms = Some(now_ms);
        self.answers = false;
        is_lost
    }

    /// Notes an answer. Returns since when the store was away, where it is back by now.
    pub(super) fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        self.answers = true;
        self.answered_ms = Some(now_ms);
        if self.is_unavailable(now_ms) {
            return None;
        }
        self.failed_ms.take()
    }
}
