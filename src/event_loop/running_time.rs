//! How long a process has run, without the time in which it stood still.

/// Minimum pause between two observations that counts as a standstill. A process whose share of the processor is used up
/// pauses for less than 100 ms.
pub(super) const MIN_STANDSTILL_MS: u64 = 250;

/// Derives standstills of a process from pauses between its observations.
///
/// Invariant: while observations are expected, they are made more often than each [`MIN_STANDSTILL_MS`] unless the
/// process does not run.
#[derive(Debug, Default)]
pub(super) struct RunningTime {
    /// The newest observation; `None` while none is expected.
    observed_ms: Option<u64>,
    /// Duration of all standstills so far.
    stood_still_ms: u64,
}

impl RunningTime {
    /// Expects observations from now on.
    pub(super) fn begin(&mut self, now_ms: u64) {
        self.observed_ms = Some(now_ms);
    }

    /// Expects no more observations.
    pub(super) fn end(&mut self) {
        self.observed_ms = None;
    }

    /// Records that the process runs. Returns the time since the observation before.
    pub(super) fn observe(&mut self, now_ms: u64) -> u64 {
        let Some(observed_ms) = self.observed_ms else {
            return 0;
        };
        let pause_ms = now_ms.saturating_sub(observed_ms);
        if pause_ms >= MIN_STANDSTILL_MS {
            self.stood_still_ms += pause_ms;
        }
        self.observed_ms = Some(now_ms.max(observed_ms));
        pause_ms
    }

    /// Duration of all standstills so far.
    pub(super) fn stood_still_ms(&self) -> u64 {
        self.stood_still_ms
    }

    /// The present time without the standstills so far; only differences are meaningful.
    pub(super) fn running_ms(&mut self, now_ms: u64) -> u64 {
        self.observe(now_ms);
        now_ms.saturating_sub(self.stood_still_ms)
    }
}
