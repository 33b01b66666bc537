//! The budget for repeats: sends of a request beyond its first.
//!
//! All instances together may repeat a fixed part of the requests of a service in a window, and a
//! fixed number besides. Each instance takes the part of its own requests and an even share of the
//! number, so that no message is needed to keep to the sum.

use std::collections::VecDeque;

use indexmap::IndexMap;

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

    /// When one more repeat will be within the budget by the passing of time; `now_ms` if one is left
    /// now. Requests that come meanwhile may make it sooner.
    pub fn next_left_ms(
        &mut self,
        service: &ServiceName,
        share: BudgetShare,
        purpose: RepeatPurpose,
        now_ms: u64,
    ) -> u64 {
        if self.has_left(service, share, purpose, now_ms) {
            return now_ms;
        }
        let window = self.window(service, share, now_ms);
        let oldest_ms = window.repeats_ms.front().copied();
        oldest_ms.unwrap_or(now_ms) + share.window_ms + 1
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

    /// Puts a repeat back that was taken and not used. Which one makes no difference beyond the time
    /// that both were under way.
    pub fn give_back(&mut self, service: &ServiceName) {
        if let Some(window) = self.services.get_mut(service) {
            window.repeats_ms.pop_back();
        }
    }

    /// Repeats within the budget that are left, for log lines.
    pub fn left(&mut self, service: &ServiceName, share: BudgetShare, now_ms: u64) -> u32 {
        let window = self.window(service, share, now_ms);
        let own_slack = share.slack / f64::from(share.instances.max(1));
        let allowed = (share.ratio * window.requests_ms.len() as f64 + own_slack) * USED_PART;
        let left = allowed - window.repeats_ms.len() as f64;
        left.max(0.0) as u32
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
