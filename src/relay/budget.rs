//! The budget for repeats: sends of a request beyond its first.
//!
//! All instances together may repeat a fixed part of the requests of a service in a window, and a
//! fixed number besides. Each instance takes the part of its own requests and an even share of the
//! number, so that no message is needed to keep to the sum.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::RepeatAmount;
use crate::ids::ServiceName;

/// Part of the allowance that is used. The rest covers requests that are counted in the window
/// of another instance, and instances that start with a fresh window.
const USED_PART: f64 = 0.7;

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPurpose {
    /// To get an answer begun.
    Begin,
    /// To go on with an answer of which the caller holds a part.
    GoOn,
}

/// What all instances together may repeat in a window, and among how many it is shared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetShare {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Instances that share the slack; at least 1.
    pub instances: u32,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests_ms: VecDeque<u64>,
    repeats_ms: VecDeque<u64>,
}

/// What this instance has sent for each service in the last window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    services: IndexMap<ServiceName, Window>,
}

impl RetryBudget {
    /// The budget of a process that starts now, perhaps in place of one that has just ended.
    pub fn starting(_now_ms: u64) -> Self {
        Self::default()
    }

    /// Notes a caller's request.
    pub fn request(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) {
        let window = self.window(service, share, now_ms);
        window.requests_ms.push_back(now_ms);
    }

    /// Whether one more repeat is within the budget.
    pub fn has_left(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        _purpose: RepeatPurpose,
        now_ms: u64,
    ) -> bool {
        let window = self.window(service, share, now_ms);
        let own_slack = share.slack / f64::from(share.instances.max(1));
        let allowed = (share.ratio * window.requests_ms.len() as f64 + own_slack) * USED_PART;
        ((window.repeats_ms.len() + 1) as f64) <= allowed
    }

    /// Takes one repeat out of the budget, if it has one left.
    pub fn take(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        purpose: RepeatPurpose,
        now_ms: u64,
    ) -> bool {
        let is_left = self.has_left(service, share, purpose, now_ms);
        if is_left {
            let window = self.window(service, share, now_ms);
            window.repeats_ms.push_back(now_ms);
        }
        is_left
    }

    /// When a repeat will be within the budget by the passing of time; `now_ms` if one is left now.
    pub fn next_left_ms(
        &mut self,
        _service: &ServiceName,
        _share: BudgetShare,
        _purpose: RepeatPurpose,
        now_ms: u64,
    ) -> u64 {
        now_ms
    }

    /// Repeats that this instance lacks, by service.
    pub fn needs(&mut self, _share: BudgetShare, _now_ms: u64) -> Vec<RepeatAmount> {
        Vec::new()
    }

    /// Grants each of what other instances want as much as this one can do without.
    pub fn lend(
        &mut self,
        wanted: &[RepeatAmount],
        _share: BudgetShare,
        _now_ms: u64,
    ) -> Vec<RepeatAmount> {
        let grant_none = |it: &RepeatAmount| RepeatAmount {
            milli_repeats: 0,
            ..it.clone()
        };
        wanted.iter().map(grant_none).collect()
    }

    /// Takes in what another instance grants in answer to needs that were told at `asked_ms`.
    pub fn borrow(
        &mut self,
        _granted: &[RepeatAmount],
        _share: BudgetShare,
        _asked_ms: u64,
        _now_ms: u64,
    ) {
    }

    fn window(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> &mut Window {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Window::default());
        }
        let window = &mut self.services[service];
        let from_ms = now_ms.saturating_sub(share.window_ms);
        drop_before(&mut window.requests_ms, from_ms);
        drop_before(&mut window.repeats_ms, from_ms);
        window
    }
}

fn drop_before(times_ms: &mut VecDeque<u64>, from_ms: u64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < from_ms) {
        times_ms.pop_front();
    }
}
