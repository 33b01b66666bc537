//! Whether the platform's store answers this instance, judged by the calls that have ended.

/// How long the store counts as unavailable after a failed call. Meanwhile, entries that are missing from
/// the endpoint list are kept.
const UNAVAILABLE_MS: u64 = 3_000;

/// Results of the most recent calls to the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreHealth {
    /// When a call last failed; cleared by the first answer after the outage.
    failed_ms: Option<u64>,
    answered_ms: Option<u64>,
    is_answering: bool,
}

impl StoreHealth {
    /// Whether the most recently ended call was answered.
    pub(crate) fn is_answering(self) -> bool {
        self.is_answering
    }

    /// When the store last answered a call.
    pub(crate) fn last_answer_ms(self) -> Option<u64> {
        self.answered_ms
    }

    /// Whether a call failed recently. What the store returns may then be incomplete.
    pub(crate) fn is_unavailable(self, now_ms: u64) -> bool {
        self.failed_ms
            .is_some_and(|at_ms| now_ms < at_ms + UNAVAILABLE_MS)
    }

    /// Records a failed call. Returns whether the store became unavailable with it.
    pub(super) fn record_failure(&mut self, now_ms: u64) -> bool {
        let is_new_outage = !self.is_unavailable(now_ms);
        self.failed_ms = Some(now_ms);
        self.is_answering = false;
        is_new_outage
    }

    /// Records an answer. If it ends an outage, returns when a call last failed.
    pub(super) fn record_answer(&mut self, now_ms: u64) -> Option<u64> {
        self.is_answering = true;
        self.answered_ms = Some(now_ms);
        if self.is_unavailable(now_ms) {
            return None;
        }
        self.failed_ms.take()
    }
}
