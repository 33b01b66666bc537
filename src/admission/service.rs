//! The queues of one service: start-time fair queueing among its accounts.

use indexmap::IndexMap;

use super::QueueAsk;
use super::account::{AccountQueue, Waiting};
use super::budget::RetryBudget;
use super::rate::RateMeter;
use crate::document::{Account, Priority};
use crate::ids::{AccountId, ServiceName};
use crate::instance::CallerId;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::local::AccountDemand;

/// Most requests of one account that wait.
pub(crate) const ACCOUNT_QUEUE_LIMIT: usize = 512;
/// Most requests of a service that wait.
pub(crate) const SERVICE_QUEUE_LIMIT: usize = 4_096;
/// Longest wait of a request without a deadline.
pub(crate) const WAIT_LIMIT_MS: u64 = 10_000;
/// A waiting request is refused only if it would be late at this many times the measured rate.
const DOUBT: f64 = 1.25;
/// Time constant of the measured drain rate.
const DRAIN_WINDOW_MS: f64 = 5_000.0;
/// Least time with a backlog before the drain rate counts.
const DRAIN_LEAST_MS: f64 = 300.0;
/// Shortest and longest time to come back, before jitter.
const RETRY_FLOOR_MS: f64 = 200.0;
const RETRY_LIMIT_MS: f64 = 30_000.0;
/// Time to come back while no rate is known.
const RETRY_BLIND_MS: f64 = 1_000.0;
/// Shares not renewed for this long are not used.
const SHARES_LIFE_MS: u64 = 5_000;

/// One service.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    accounts: IndexMap<AccountId, AccountQueue>,
    /// Account and request of each caller that runs.
    running: IndexMap<CallerId, (AccountId, Waiting)>,
    /// The spent level of the request that went last; never falls.
    level: f64,
    capacity_tokens_per_s: Option<f64>,
    /// What is spent while something waits.
    drain: RateMeter,
    shares_at_ms: Option<u64>,
    budget: RetryBudget,
    /// State of the jitter.
    draws: u64,
}

impl ServiceQueue {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            accounts: IndexMap::new(),
            running: IndexMap::new(),
            level: 0.0,
            capacity_tokens_per_s: None,
            drain: RateMeter::new(DRAIN_WINDOW_MS, 0),
            shares_at_ms: None,
            budget: RetryBudget::new(),
            draws: seed,
        }
    }

    pub(crate) fn set_accounts(&mut self, accounts: &IndexMap<AccountId, Account>) {
        for (name, account) in accounts {
            self.account(name, 0)
                .set_weight(account.weight, account.priority);
        }
        self.accounts
            .retain(|name, queue| accounts.contains_key(name) || !queue.is_idle());
        self.set_local_weights();
    }

    pub(crate) fn forget_shares(&mut self, now_ms: u64) {
        self.shares_at_ms = Some(now_ms);
        for queue in self.accounts.values_mut() {
            queue.set_share(None);
        }
        self.set_local_weights();
    }

    pub(crate) fn set_share(&mut self, account: &AccountId, tokens_per_s: f64) {
        if tokens_per_s.is_finite() && tokens_per_s >= 0.0 {
            self.account(account, 0).set_share(Some(tokens_per_s));
            self.set_local_weights();
        }
    }

    pub(crate) fn set_capacity(&mut self, tokens_per_s: f64) {
        self.capacity_tokens_per_s = (tokens_per_s > 0.0).then_some(tokens_per_s);
    }

    pub(crate) fn queued(&self) -> usize {
        self.accounts
            .values()
            .map(|queue| queue.waiting.len())
            .sum()
    }

    pub(crate) fn offer(&mut self, ask: &QueueAsk<'_>, now_ms: u64) -> Result<(), Refusal> {
        self.watch(now_ms);
        let cost_tokens = f64::from(ask.cost_tokens.max(1));
        let level = self.level;
        let queue = self.account(ask.account, now_ms);
        queue.ask(cost_tokens, now_ms);
        if queue.is_idle() {
            // What it did not use while it was idle is gone.
            queue.spent_level = queue.spent_level.max(level);
        }
        let waiting = Waiting {
            caller: ask.caller,
            cost_tokens,
            until_ms: ask
                .deadline
                .map_or(now_ms + WAIT_LIMIT_MS, |deadline| deadline.at_ms),
            has_deadline: ask.deadline.is_some(),
        };
        if let Some(code) = self.reason_to_refuse(ask.account, &waiting, now_ms) {
            let retry_after_ms = self.retry_after_ms(ask.account, ask.cost_tokens, now_ms);
            return Err(Refusal::not_run(code, Some(retry_after_ms)));
        }
        self.account(ask.account, now_ms).push_back(waiting);
        Ok(())
    }

    fn reason_to_refuse(
        &self,
        account: &AccountId,
        waiting: &Waiting,
        now_ms: u64,
    ) -> Option<RefusalCode> {
        let queue = self.accounts.get(account)?;
        if queue.waiting.len() >= ACCOUNT_QUEUE_LIMIT {
            return Some(RefusalCode::AccountOverloaded);
        }
        if self.queued() >= SERVICE_QUEUE_LIMIT {
            return Some(RefusalCode::Overloaded);
        }
        let wait_ms = self.wait_ms(queue, queue.backlog_tokens);
        self.is_too_late(waiting, wait_ms, now_ms)
    }

    fn is_too_late(&self, waiting: &Waiting, wait_ms: f64, now_ms: u64) -> Option<RefusalCode> {
        let left_ms = waiting.until_ms.saturating_sub(now_ms) as f64;
        if left_ms > 0.0 && wait_ms < left_ms {
            return None;
        }
        Some(match waiting.has_deadline {
            true => RefusalCode::DeadlineTooShort,
            false => RefusalCode::AccountOverloaded,
        })
    }

    /// How long a request waits that has `ahead_tokens` of its own account before it.
    fn wait_ms(&self, queue: &AccountQueue, ahead_tokens: f64) -> f64 {
        let Some(drain) = self.drain_per_s() else {
            return 0.0;
        };
        let others: f64 = self
            .accounts
            .values()
            .filter(|other| !other.waiting.is_empty())
            .map(|other| other.backlog_tokens)
            .sum::<f64>()
            - queue.backlog_tokens;
        let weights = self.waiting_weight(queue);
        let by_share_s = ahead_tokens * weights / (drain * queue.local_weight());
        // No more can go first than waits.
        let by_backlog_s = (ahead_tokens + others.max(0.0)) / drain;
        by_share_s.min(by_backlog_s) * 1_000.0
    }

    /// Sum of the weights of the accounts that wait, `queue` included.
    fn waiting_weight(&self, queue: &AccountQueue) -> f64 {
        let waiting: f64 = self
            .accounts
            .values()
            .filter(|other| !other.waiting.is_empty())
            .map(AccountQueue::local_weight)
            .sum();
        match queue.waiting.is_empty() {
            true => waiting + queue.local_weight(),
            false => waiting,
        }
    }

    /// Tokens a second that the service gets done, if known.
    fn drain_per_s(&self) -> Option<f64> {
        self.drain
            .per_s(DRAIN_LEAST_MS)
            .or(self.capacity_tokens_per_s)
            .map(|rate| rate.max(1.0))
    }

    pub(crate) fn next(&mut self, now_ms: u64) -> Option<CallerId> {
        self.watch(now_ms);
        let name = self.pick(now_ms)?;
        let queue = self.accounts.get_mut(&name)?;
        self.level = self.level.max(queue.spent_level);
        let waiting = *queue.waiting.front()?;
        let caller = queue.pop(now_ms)?;
        queue.budget.earn();
        self.budget.earn();
        self.running.insert(caller, (name, waiting));
        Some(caller)
    }

    /// Chooses the account that goes next. Those not ahead of the mean of all that wait are
    /// entitled; among them the class decides, then who has had the least. A class can so go first
    /// only with what is its accounts' own.
    fn pick(&mut self, now_ms: u64) -> Option<AccountId> {
        let fresh = self
            .shares_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < SHARES_LIFE_MS);
        let mut candidates: Vec<(&AccountId, Priority, f64, f64)> = Vec::new();
        for (name, queue) in &mut self.accounts {
            if queue.waiting.is_empty() || (fresh && queue.is_limited(now_ms)) {
                continue;
            }
            candidates.push((
                name,
                queue.priority,
                queue.spent_level,
                queue.local_weight(),
            ));
        }
        let weights: f64 = candidates.iter().map(|(_, _, _, weight)| weight).sum();
        let levels: f64 = candidates
            .iter()
            .map(|(_, _, level, weight)| level * weight)
            .sum();
        let least = candidates.iter().map(|c| c.2).fold(f64::INFINITY, f64::min);
        // The least is never above the mean but for rounding.
        let entitled = (levels / weights).max(least);
        candidates
            .into_iter()
            .filter(|(_, _, level, _)| *level <= entitled)
            .min_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)))
            .map(|(name, ..)| name.clone())
    }

    pub(crate) fn requeue_front(&mut self, caller: CallerId, now_ms: u64) {
        if let Some((name, waiting)) = self.running.swap_remove(&caller) {
            self.account(&name, now_ms).unpop(waiting, now_ms);
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64, refused: &mut Vec<(CallerId, Refusal)>) {
        self.watch(now_ms);
        for index in 0..self.accounts.len() {
            for (name, waiting, code) in self.too_late(index, now_ms) {
                self.account(&name, now_ms).remove(waiting.caller);
                let cost_tokens = waiting.cost_tokens as u32;
                let retry_after_ms = self.retry_after_ms(&name, cost_tokens, now_ms);
                refused.push((waiting.caller, Refusal::not_run(code, Some(retry_after_ms))));
            }
        }
    }

    /// Waiting requests of one account that cannot be served in time.
    fn too_late(&self, index: usize, now_ms: u64) -> Vec<(AccountId, Waiting, RefusalCode)> {
        let mut late = Vec::new();
        let Some((name, queue)) = self.accounts.get_index(index) else {
            return late;
        };
        let mut ahead_tokens = 0.0;
        for waiting in &queue.waiting {
            let wait_ms = self.wait_ms(queue, ahead_tokens) / DOUBT;
            match self.is_too_late(waiting, wait_ms, now_ms) {
                Some(code) => late.push((name.clone(), *waiting, code)),
                None => ahead_tokens += waiting.cost_tokens,
            }
        }
        late
    }

    pub(crate) fn withdraw(&mut self, caller: CallerId, now_ms: u64) {
        if let Some((name, _)) = self.running.swap_remove(&caller) {
            self.account(&name, now_ms).finish(caller, now_ms);
            return;
        }
        for queue in self.accounts.values_mut() {
            if queue.remove(caller) {
                return;
            }
        }
    }

    pub(crate) fn charge(&mut self, account: &AccountId, tokens: u32, now_ms: u64) {
        self.watch(now_ms);
        if self.queued() > 0 {
            self.drain.add(f64::from(tokens));
        }
        self.account(account, now_ms)
            .charge(f64::from(tokens), now_ms);
    }

    pub(crate) fn allow_retry(&mut self, account: &AccountId, now_ms: u64) -> bool {
        if !self.budget.has_one() || !self.account(account, now_ms).budget.has_one() {
            return false;
        }
        self.budget.take();
        self.account(account, now_ms).budget.take();
        true
    }

    pub(crate) fn demands(&mut self, service: &ServiceName, now_ms: u64) -> Vec<AccountDemand> {
        self.accounts
            .iter_mut()
            .map(|(account, queue)| AccountDemand {
                service: service.clone(),
                account: account.clone(),
                wanted_tokens_per_s: queue.wanted_per_s(now_ms),
                spent_tokens_per_s: queue.spent_per_s(now_ms),
            })
            .filter(|demand| demand.wanted_tokens_per_s + demand.spent_tokens_per_s > 0.01)
            .collect()
    }

    /// When a refused request finds room: behind what waits and what was told to come back before.
    pub(crate) fn retry_after_ms(
        &mut self,
        account: &AccountId,
        cost_tokens: u32,
        now_ms: u64,
    ) -> u64 {
        let jitter = 1.0 + 0.5 * self.draw();
        self.account(account, now_ms);
        let Some(queue) = self.accounts.get(account) else {
            return RETRY_BLIND_MS as u64;
        };
        let Some(drain) = self.drain_per_s() else {
            return (RETRY_BLIND_MS * jitter) as u64;
        };
        let rate = drain * queue.local_weight() / self.waiting_weight(queue);
        let cost_ms = f64::from(cost_tokens) * 1_000.0 / rate;
        let free_ms = now_ms as f64 + self.wait_ms(queue, queue.backlog_tokens);
        let promised_ms = queue.promised_ms.max(free_ms) + cost_ms;
        let limit_ms = now_ms as f64 + RETRY_LIMIT_MS;
        self.account(account, now_ms).promised_ms = promised_ms.min(limit_ms);
        let after_ms = promised_ms.min(limit_ms) - now_ms as f64;
        (after_ms.max(RETRY_FLOOR_MS) * jitter) as u64
    }

    fn account(&mut self, name: &AccountId, now_ms: u64) -> &mut AccountQueue {
        self.accounts
            .entry(name.clone())
            .or_insert_with(|| AccountQueue::new(1.0, Priority::Standard, now_ms))
    }

    /// Lets time pass; the drain rate is watched only while something waits.
    fn watch(&mut self, now_ms: u64) {
        match self.queued() {
            0 => self.drain.skip(now_ms),
            _ => self.drain.advance(now_ms),
        }
    }

    fn set_local_weights(&mut self) {
        let shared = self
            .accounts
            .values()
            .filter(|queue| queue.share().is_some());
        let (weight, share) = shared.fold((0.0, 0.0), |(weight, share), queue| {
            (weight + queue.weight, share + queue.share().unwrap_or(0.0))
        });
        let weight_per_share = if share > 0.0 { weight / share } else { 0.0 };
        for queue in self.accounts.values_mut() {
            queue.set_local_weight(weight_per_share);
        }
    }

    /// A number from 0 to below 1, different at each call (splitmix64).
    fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.draws;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
