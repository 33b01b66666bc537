//! The queue of one account at one service.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::budget::RetryBudget;
use super::rate::RateMeter;
use crate::document::Priority;
use crate::instance::CallerId;
use crate::outcome::RefusalCode;
use crate::wire::local::AccountShare;

/// Time constant of what an account wants and spends.
const DEMAND_WINDOW_MS: f64 = 2_000.0;
/// Least time watched before a rate counts in full.
const DEMAND_LEAST_MS: f64 = 250.0;
/// A backlog counts as demand that wants to be served within this time.
const BACKLOG_HORIZON_S: f64 = 1.0;
/// Part of its document's weight that an account keeps, whatever its share: its demand may have
/// moved here since the share was worked out.
const LEAST_WEIGHT_PART: f64 = 0.1;
/// Time constant of how expected costs compare with what is spent.
const COST_WINDOW_MS: f64 = 20_000.0;
/// Tokens for which expected costs are believed.
const COST_PRIOR_TOKENS: f64 = 500.0;
/// Bounds of what an expected cost is multiplied with.
const COST_PARTS: (f64, f64) = (0.02, 1.0);

/// An account's part of the service at this entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    pub(crate) tokens_per_s: f64,
    /// What it could have if it asked for more; at least its share.
    pub(crate) entitled_tokens_per_s: f64,
}

impl From<&AccountShare> for Share {
    fn from(told: &AccountShare) -> Self {
        let tokens_per_s = finite(told.tokens_per_s);
        Self {
            tokens_per_s,
            entitled_tokens_per_s: finite(told.entitled_tokens_per_s).max(tokens_per_s),
        }
    }
}

fn finite(tokens_per_s: f64) -> f64 {
    match tokens_per_s.is_finite() {
        true => tokens_per_s.max(0.0),
        false => 0.0,
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) caller: CallerId,
    /// What it asked for; at least 1.
    pub(crate) asked_tokens: f64,
    /// What it is expected to cost, from what the account's requests cost before.
    pub(crate) cost_tokens: f64,
    /// When it is refused at the latest.
    pub(crate) until_ms: u64,
    /// Whether the caller named that time.
    pub(crate) has_deadline: bool,
}

impl Waiting {
    /// Why it is refused if it has to wait for `wait_ms` more.
    pub(crate) fn reason_to_refuse(&self, wait_ms: f64, now_ms: u64) -> Option<RefusalCode> {
        let left_ms = self.until_ms.saturating_sub(now_ms) as f64;
        if left_ms > 0.0 && wait_ms < left_ms {
            return None;
        }
        Some(match self.has_deadline {
            true => RefusalCode::DeadlineTooShort,
            false => RefusalCode::AccountOverloaded,
        })
    }
}

/// One account at one service.
#[derive(Debug)]
pub(crate) struct AccountQueue {
    /// Weight in the document; greater than 0.
    pub(crate) weight: f64,
    pub(crate) priority: Priority,
    pub(crate) waiting: VecDeque<Waiting>,
    /// Sum of the waiting costs.
    pub(crate) backlog_tokens: f64,
    /// What the account was charged, each charge divided by the weight it had then. Only compared
    /// with that of other accounts of the service.
    pub(crate) spent_level: f64,
    /// Decides among accounts of the same level; drawn anew each time.
    pub(crate) tie_break: f64,
    /// When its refused requests have been told to come back, the last of them.
    pub(crate) promised_ms: f64,
    pub(crate) budget: RetryBudget,
    /// This entry's part of the fair share.
    share: Option<Share>,
    /// Weight at this entry; greater than 0.
    local_weight: f64,
    /// Requests that run.
    running: IndexMap<CallerId, Waiting>,
    /// Part of the running costs charged ahead and not spent yet; at most their sum.
    ahead_tokens: f64,
    wanted: RateMeter,
    spent: RateMeter,
    /// What the finished requests asked for, and what was spent, over a longer time.
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
            spent_level: 0.0,
            tie_break: 0.0,
            promised_ms: 0.0,
            budget: RetryBudget::new(),
            share: None,
            local_weight: weight,
            running: IndexMap::new(),
            ahead_tokens: 0.0,
            wanted: RateMeter::new(DEMAND_WINDOW_MS, now_ms),
            spent: RateMeter::new(DEMAND_WINDOW_MS, now_ms),
            finished: RateMeter::new(COST_WINDOW_MS, now_ms),
            cost: RateMeter::new(COST_WINDOW_MS, now_ms),
        }
    }

    /// Takes the weight of the document.
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

    /// Sets the weight at this entry: what the account is entitled to, in units of the documents'
    /// weights. How far the account is from `level` stays the same in tokens.
    pub(crate) fn set_local_weight(&mut self, weight_per_token: f64, level: f64) {
        let least = self.weight * LEAST_WEIGHT_PART;
        let weight = match self.share {
            Some(share) => (share.entitled_tokens_per_s * weight_per_token).max(least),
            None => self.weight,
        };
        let ahead_tokens = (self.spent_level - level) * self.local_weight;
        self.spent_level = level + ahead_tokens / weight;
        self.local_weight = weight;
    }

    pub(crate) fn local_weight(&self) -> f64 {
        self.local_weight
    }

    /// The spent level once the first request that waits has gone.
    pub(crate) fn next_level(&self) -> f64 {
        let cost_tokens = self.waiting.front().map_or(0.0, |first| first.cost_tokens);
        self.spent_level + cost_tokens / self.local_weight
    }

    /// Counts a request that asks, refused or not.
    pub(crate) fn ask(&mut self, cost_tokens: f64, now_ms: u64) {
        self.wanted.advance(now_ms);
        self.wanted.add(cost_tokens);
    }

    pub(crate) fn push_back(&mut self, waiting: Waiting) {
        self.backlog_tokens += waiting.cost_tokens;
        self.waiting.push_back(waiting);
    }

    /// Takes the first request and charges its expected cost.
    pub(crate) fn pop(&mut self) -> Option<CallerId> {
        let first = self.waiting.pop_front()?;
        self.drop_backlog(first.cost_tokens);
        self.running.insert(first.caller, first);
        self.ahead_tokens += first.cost_tokens;
        self.spend(first.cost_tokens);
        Some(first.caller)
    }

    /// Undoes a [`AccountQueue::pop`]: the request waits again, before all others. False if it
    /// does not run.
    pub(crate) fn unpop(&mut self, caller: CallerId) -> bool {
        let Some(waiting) = self.stop(caller) else {
            return false;
        };
        self.backlog_tokens += waiting.cost_tokens;
        self.waiting.push_front(waiting);
        true
    }

    /// Forgets a waiting request.
    pub(crate) fn remove(&mut self, caller: CallerId) -> bool {
        let Some(at) = self
            .waiting
            .iter()
            .position(|waiting| waiting.caller == caller)
        else {
            return false;
        };
        if let Some(waiting) = self.waiting.remove(at) {
            self.drop_backlog(waiting.cost_tokens);
        }
        true
    }

    /// Ends a running request.
    pub(crate) fn finish(&mut self, caller: CallerId, now_ms: u64) {
        if let Some(waiting) = self.stop(caller) {
            self.finished.advance(now_ms);
            self.finished.add(waiting.asked_tokens);
        }
    }

    /// Takes a request out of those that run, and gives back what was charged ahead and not spent.
    fn stop(&mut self, caller: CallerId) -> Option<Waiting> {
        let waiting = self.running.swap_remove(&caller)?;
        let still_ahead = self
            .running
            .values()
            .map(|running| running.cost_tokens)
            .sum();
        let unspent = self.ahead_tokens - still_ahead;
        if unspent > 0.0 {
            self.ahead_tokens = still_ahead;
            self.spend(-unspent);
        }
        Some(waiting)
    }

    /// Charges tokens spent; those that were charged ahead are not charged again.
    pub(crate) fn charge(&mut self, tokens: f64, now_ms: u64) {
        for meter in [&mut self.spent, &mut self.cost] {
            meter.advance(now_ms);
            meter.add(tokens);
        }
        let charged_ahead = tokens.min(self.ahead_tokens);
        self.ahead_tokens -= charged_ahead;
        self.spend(tokens - charged_ahead);
    }

    /// What a request that asks for so many tokens is expected to cost.
    pub(crate) fn expected_cost(&mut self, asked_tokens: f64, now_ms: u64) -> f64 {
        self.cost.advance(now_ms);
        self.finished.advance(now_ms);
        let spent = self.cost.amount() + COST_PRIOR_TOKENS;
        let part = spent / (self.finished.amount() + COST_PRIOR_TOKENS);
        (asked_tokens * part.clamp(COST_PARTS.0, COST_PARTS.1)).max(1.0)
    }

    /// Tokens a second asked for, the backlog included.
    pub(crate) fn wanted_per_s(&mut self, now_ms: u64) -> f64 {
        self.wanted.advance(now_ms);
        self.wanted.per_s_at_least(DEMAND_LEAST_MS) + self.backlog_tokens / BACKLOG_HORIZON_S
    }

    /// Tokens a second spent.
    pub(crate) fn spent_per_s(&mut self, now_ms: u64) -> f64 {
        self.spent.advance(now_ms);
        self.spent.per_s_at_least(DEMAND_LEAST_MS)
    }

    /// Whether nothing waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    fn spend(&mut self, tokens: f64) {
        self.spent_level += tokens / self.local_weight;
    }

    fn drop_backlog(&mut self, cost_tokens: f64) {
        self.backlog_tokens = (self.backlog_tokens - cost_tokens).max(0.0);
        if self.waiting.is_empty() {
            self.backlog_tokens = 0.0;
        }
    }
}
