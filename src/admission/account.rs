//! The queue of one account at one service.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::budget::RetryBudget;
use super::rate::RateMeter;
use crate::document::Priority;
use crate::instance::CallerId;
use crate::outcome::RefusalCode;
use crate::wire::local::AccountShare;

/// Time constant of the meters of requested and spent tokens.
const DEMAND_WINDOW_MS: f64 = 2_000.0;
/// Minimum observation time assumed when a rate is computed.
const MIN_DEMAND_OBSERVATION_MS: f64 = 250.0;
/// The backlog counts as demand to be served within this time.
const BACKLOG_HORIZON_S: f64 = 1.0;
/// Fraction of its configured weight that an account keeps whatever its share: its demand may have
/// moved to this entry since the share was computed.
const MIN_WEIGHT_FRACTION: f64 = 0.1;
/// Time constant of the ratio of spent to requested tokens.
const COST_WINDOW_MS: f64 = 20_000.0;
/// Tokens added to both sides of the cost ratio, so that it starts at 1 and little history has
/// little effect.
const COST_PRIOR_TOKENS: f64 = 500.0;
/// Bounds of the factor applied to the requested tokens to estimate the cost.
const COST_RATIO_BOUNDS: (f64, f64) = (0.02, 1.0);

/// An account's share of the service at this entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    pub(crate) tokens_per_s: f64,
    /// Rate available if the account requested more; at least its share.
    pub(crate) entitled_tokens_per_s: f64,
}

impl From<&AccountShare> for Share {
    fn from(share: &AccountShare) -> Self {
        let tokens_per_s = finite(share.tokens_per_s);
        Self {
            tokens_per_s,
            entitled_tokens_per_s: finite(share.entitled_tokens_per_s).max(tokens_per_s),
        }
    }
}

fn finite(tokens_per_s: f64) -> f64 {
    match tokens_per_s.is_finite() {
        true => tokens_per_s.max(0.0),
        false => 0.0,
    }
}

/// A queued request; also kept while the request runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) caller: CallerId,
    /// Requested tokens; at least 1.
    pub(crate) requested_tokens: f64,
    /// Estimated cost, based on the cost of the account's earlier requests.
    pub(crate) cost_tokens: f64,
    /// Time at which the request is refused if it still waits.
    pub(crate) expires_ms: u64,
    /// Whether that time was set by the caller.
    pub(crate) has_deadline: bool,
}

impl QueuedRequest {
    /// The refusal code if a further wait of `wait_ms` is too long, otherwise `None`.
    pub(crate) fn refusal_code(&self, wait_ms: f64, now_ms: u64) -> Option<RefusalCode> {
        let left_ms = self.expires_ms.saturating_sub(now_ms) as f64;
        if left_ms > 0.0 && wait_ms < left_ms {
            return None;
        }
        Some(match self.has_deadline {
            true => RefusalCode::DeadlineTooShort,
            false => RefusalCode::AccountOverloaded,
        })
    }
}

/// Queue and accounting state of one account at one service.
#[derive(Debug)]
pub(crate) struct AccountQueue {
    /// Configured weight; greater than 0.
    pub(crate) weight: f64,
    pub(crate) priority: Priority,
    pub(crate) waiting: VecDeque<QueuedRequest>,
    /// Sum of the estimated costs of the queued requests.
    pub(crate) backlog_tokens: f64,
    /// Virtual time of the account: the sum of its charges, each divided by the weight at that
    /// time. Only meaningful relative to other accounts of the service.
    pub(crate) virtual_time: f64,
    /// Breaks ties between accounts with equal virtual time; redrawn on every dispatch.
    pub(crate) tie_break: f64,
    /// Latest retry time given to a refused request of this account.
    pub(crate) last_retry_at_ms: f64,
    pub(crate) budget: RetryBudget,
    /// This entry's portion of the fair share.
    share: Option<Share>,
    /// Weight at this entry; greater than 0.
    local_weight: f64,
    /// Running requests.
    running: IndexMap<CallerId, QueuedRequest>,
    /// Estimated cost of the running requests that is charged but not spent yet; at most the sum
    /// of those estimates.
    prepaid_tokens: f64,
    wanted: RateMeter,
    spent: RateMeter,
    /// Tokens requested by finished requests, and tokens spent, over a longer window.
    finished: RateMeter,
    cost: RateMeter,
}

impl AccountQueue {
    pub(crate) fn new(weight: f64, priority: Priority, now_ms: u64) -> Self {
        Self {
            weight,
            priority,
            waiting: VecDeque::new(),
            backlog_tokens: 0.0,
            virtual_time: 0.0,
            tie_break: 0.0,
            last_retry_at_ms: 0.0,
            budget: RetryBudget::new(),
            share: None,
            local_weight: weight,
            running: IndexMap::new(),
            prepaid_tokens: 0.0,
            wanted: RateMeter::new(DEMAND_WINDOW_MS, now_ms),
            spent: RateMeter::new(DEMAND_WINDOW_MS, now_ms),
            finished: RateMeter::new(COST_WINDOW_MS, now_ms),
            cost: RateMeter::new(COST_WINDOW_MS, now_ms),
        }
    }

    /// Sets the configured weight and priority.
    pub(crate) fn set_weight(&mut self, weight: f64, priority: Priority) {
        self.weight = weight;
        self.priority = priority;
    }

    pub(crate) fn share(&self) -> Option<Share> {
        self.share
    }

    pub(crate) fn set_share(&mut self, share: Option<Share>) {
        self.share = share;
    }

    /// Sets the weight at this entry from the account's entitlement, in units of configured
    /// weights. The account's distance from the service's virtual time is preserved in tokens.
    pub(crate) fn set_local_weight(&mut self, weight_per_token: f64, service_virtual_time: f64) {
        let least = self.weight * MIN_WEIGHT_FRACTION;
        let weight = match self.share {
            Some(share) => (share.entitled_tokens_per_s * weight_per_token).max(least),
            None => self.weight,
        };
        let ahead_tokens = (self.virtual_time - service_virtual_time) * self.local_weight;
        self.virtual_time = service_virtual_time + ahead_tokens / weight;
        self.local_weight = weight;
    }

    pub(crate) fn local_weight(&self) -> f64 {
        self.local_weight
    }

    /// The virtual time after the first queued request has been charged.
    pub(crate) fn finish_tag(&self) -> f64 {
        let cost_tokens = self.waiting.front().map_or(0.0, |first| first.cost_tokens);
        self.virtual_time + cost_tokens / self.local_weight
    }

    /// Counts an arriving request as demand, whether or not it is refused.
    pub(crate) fn record_demand(&mut self, cost_tokens: f64, now_ms: u64) {
        self.wanted.advance(now_ms);
        self.wanted.add(cost_tokens);
    }

    pub(crate) fn push_back(&mut self, waiting: QueuedRequest) {
        self.backlog_tokens += waiting.cost_tokens;
        self.waiting.push_back(waiting);
    }

    /// Moves the first queued request to the running ones and charges its estimated cost.
    pub(crate) fn pop(&mut self) -> Option<CallerId> {
        let first = self.waiting.pop_front()?;
        self.subtract_backlog(first.cost_tokens);
        self.running.insert(first.caller, first);
        self.prepaid_tokens += first.cost_tokens;
        self.spend(first.cost_tokens);
        Some(first.caller)
    }

    /// Reverts an [`AccountQueue::pop`]: returns the request to the front of the queue. Returns
    /// false if it is not running.
    pub(crate) fn requeue_front(&mut self, caller: CallerId) -> bool {
        let Some(waiting) = self.remove_running(caller) else {
            return false;
        };
        self.backlog_tokens += waiting.cost_tokens;
        self.waiting.push_front(waiting);
        true
    }

    /// Removes a queued request. Returns false if it is not queued.
    pub(crate) fn remove(&mut self, caller: CallerId) -> bool {
        let Some(at) = self
            .waiting
            .iter()
            .position(|waiting| waiting.caller == caller)
        else {
            return false;
        };
        if let Some(waiting) = self.waiting.remove(at) {
            self.subtract_backlog(waiting.cost_tokens);
        }
        true
    }

    /// Ends a running request and counts it towards the cost ratio.
    pub(crate) fn finish(&mut self, caller: CallerId, now_ms: u64) {
        if let Some(waiting) = self.remove_running(caller) {
            self.finished.advance(now_ms);
            self.finished.add(waiting.requested_tokens);
        }
    }

    /// Removes a running request and refunds the prepaid tokens that were not spent.
    fn remove_running(&mut self, caller: CallerId) -> Option<QueuedRequest> {
        let waiting = self.running.swap_remove(&caller)?;
        let still_prepaid = self
            .running
            .values()
            .map(|running| running.cost_tokens)
            .sum();
        let unspent = self.prepaid_tokens - still_prepaid;
        if unspent > 0.0 {
            self.prepaid_tokens = still_prepaid;
            self.spend(-unspent);
        }
        Some(waiting)
    }

    /// Charges spent tokens; prepaid tokens are not charged again.
    pub(crate) fn charge(&mut self, tokens: f64, now_ms: u64) {
        for meter in [&mut self.spent, &mut self.cost] {
            meter.advance(now_ms);
            meter.add(tokens);
        }
        let prepaid = tokens.min(self.prepaid_tokens);
        self.prepaid_tokens -= prepaid;
        self.spend(tokens - prepaid);
    }

    /// Estimated cost of a request for `requested_tokens`.
    pub(crate) fn expected_cost(&mut self, requested_tokens: f64, now_ms: u64) -> f64 {
        self.cost.advance(now_ms);
        self.finished.advance(now_ms);
        let spent = self.cost.amount() + COST_PRIOR_TOKENS;
        let ratio = spent / (self.finished.amount() + COST_PRIOR_TOKENS);
        (requested_tokens * ratio.clamp(COST_RATIO_BOUNDS.0, COST_RATIO_BOUNDS.1)).max(1.0)
    }

    /// Requested tokens per second, including the backlog.
    pub(crate) fn wanted_per_s(&mut self, now_ms: u64) -> f64 {
        self.wanted.advance(now_ms);
        self.wanted.per_s_with_min_window(MIN_DEMAND_OBSERVATION_MS)
            + self.backlog_tokens / BACKLOG_HORIZON_S
    }

    /// Spent tokens per second.
    pub(crate) fn spent_per_s(&mut self, now_ms: u64) -> f64 {
        self.spent.advance(now_ms);
        self.spent.per_s_with_min_window(MIN_DEMAND_OBSERVATION_MS)
    }

    /// Whether no request is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    fn spend(&mut self, tokens: f64) {
        self.virtual_time += tokens / self.local_weight;
    }

    fn subtract_backlog(&mut self, cost_tokens: f64) {
        self.backlog_tokens = (self.backlog_tokens - cost_tokens).max(0.0);
        if self.waiting.is_empty() {
            self.backlog_tokens = 0.0;
        }
    }
}
