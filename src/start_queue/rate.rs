//! Measures how fast turns are granted while requests wait.

use std::collections::VecDeque;

use super::queue::MAX_WAIT_BOUND_MS;

/// Period over which the rate is measured. Capacity changes within seconds when engines are lost.
const WINDOW_MS: u64 = 2_000;
/// Waiting time without any grant after which the rate counts as measured: the longest wait bound.
const MIN_MEASURED_MS: u64 = MAX_WAIT_BOUND_MS;
/// Longest time between two observations that counts. The driver observes at least every 100 ms; a
/// longer gap means that the process was frozen, which says nothing about the engines, and is left
/// out.
const MAX_STEP_MS: u64 = 200;

/// The rate at which turns are granted. Only time during which requests wait counts, since an empty
/// queue grants no turns whatever the capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantRate {
    /// Ordered by `ended_ms`.
    periods: VecDeque<Period>,
    /// Waiting time since the last grant.
    open_ms: u64,
    /// Time of the last observation; `None` while nobody waits.
    observed_ms: Option<u64>,
}

/// Waiting time that ended with a grant, or because nobody waited any longer.
#[derive(Clone, Copy, Debug)]
struct Period {
    ended_ms: u64,
    waiting_ms: u64,
    has_grant: bool,
}

impl GrantRate {
    /// Advances the measurement; `is_waiting` is whether requests wait from now on.
    pub(super) fn observe(&mut self, is_waiting: bool, now_ms: u64) {
        if let Some(observed_ms) = self.observed_ms {
            self.open_ms += step_ms(observed_ms, now_ms);
        }
        self.observed_ms = is_waiting.then_some(now_ms);
        if !is_waiting && self.open_ms > 0 {
            self.end_period(false, now_ms);
        }
        let from_ms = now_ms.saturating_sub(WINDOW_MS);
        while self.periods.front().is_some_and(|it| it.ended_ms < from_ms) {
            self.periods.pop_front();
        }
    }

    /// Records that a waiting request got capacity.
    pub(super) fn record_grant(&mut self, is_waiting: bool, now_ms: u64) {
        self.observe(true, now_ms);
        self.end_period(true, now_ms);
        self.observed_ms = is_waiting.then_some(now_ms);
    }

    /// Expected time until `turns` have been granted; `None` if the rate is unknown.
    pub(super) fn expected_wait_ms(&self, turns: usize, now_ms: u64) -> Option<u64> {
        if turns == 0 {
            return Some(0);
        }
        let (grants, waiting_ms) = self.measured(now_ms);
        if grants == 0 && waiting_ms < MIN_MEASURED_MS {
            return None;
        }
        // Without a grant, the rate is at most one in the time measured.
        Some(turns as u64 * waiting_ms / grants.max(1))
    }

    /// Expected number of turns within `period_ms`; `None` if the rate is unknown.
    pub(super) fn turns_within(&self, period_ms: u64, now_ms: u64) -> Option<u64> {
        let (grants, waiting_ms) = self.measured(now_ms);
        let is_known = grants > 0 || waiting_ms >= MIN_MEASURED_MS;
        is_known.then(|| (period_ms * grants).div_ceil(waiting_ms.max(1)))
    }

    /// Grants and waiting time within the window.
    fn measured(&self, now_ms: u64) -> (u64, u64) {
        let from_ms = now_ms.saturating_sub(WINDOW_MS);
        let recent = self.periods.iter().filter(|it| it.ended_ms >= from_ms);
        let grants = recent.clone().filter(|it| it.has_grant).count() as u64;
        let ended_ms: u64 = recent.map(|it| it.waiting_ms).sum();
        let since_ms = self.observed_ms.map_or(0, |it| step_ms(it, now_ms));
        (grants, ended_ms + self.open_ms + since_ms)
    }

    fn end_period(&mut self, has_grant: bool, now_ms: u64) {
        self.periods.push_back(Period {
            ended_ms: now_ms,
            waiting_ms: std::mem::take(&mut self.open_ms),
            has_grant,
        });
    }
}

/// The time between two observations, as far as it counts.
fn step_ms(from_ms: u64, to_ms: u64) -> u64 {
    let step_ms = to_ms.saturating_sub(from_ms);
    if step_ms <= MAX_STEP_MS { step_ms } else { 0 }
}
