//! The queues of one service: start-time fair queueing among its accounts.

use indexmap::IndexMap;

use super::QueueRequest;
use super::account::{AccountQueue, Share, Waiting};
use super::budget::RetryBudget;
use super::overload::KEEP_LIMIT_MS;
use super::rate::RateMeter;
use crate::document::{Account, Priority};
use crate::ids::{AccountId, ServiceName};
use crate::instance::CallerId;
use crate::outcome::Refusal;
use crate::wire::local::{AccountDemand, AccountShare};

/// Time constant of the measured drain rate.
const DRAIN_WINDOW_MS: f64 = 5_000.0;
/// The same for the present rate, which counts where it is higher: after an outage.
const DRAIN_NOW_WINDOW_MS: f64 = 1_000.0;
/// Time constant of how much of what is charged is generated.
const PROMPT_WINDOW_MS: f64 = 20_000.0;
/// Generated tokens below which prompts are not counted into the capacity.
const PROMPT_LEAST_TOKENS: f64 = 200.0;

/// One service.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub(super) accounts: IndexMap<AccountId, AccountQueue>,
    /// Requests that wait, of all accounts.
    pub(super) queued: usize,
    /// Account of each caller that waits or runs.
    pub(super) callers: IndexMap<CallerId, AccountId>,
    /// The least spent level of the accounts that waited when a request last went; never falls.
    pub(super) level: f64,
    pub(super) capacity_tokens_per_s: Option<f64>,
    /// What is charged, prompts included, and the part of it that was generated.
    charged: RateMeter,
    generated: RateMeter,
    /// What is spent while something waits and something runs, over a long and a short time.
    pub(super) drain: RateMeter,
    pub(super) drain_now: RateMeter,
    pub(super) budget: RetryBudget,
    /// State of the jitter.
    pub(super) draws: u64,
}

impl ServiceQueue {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            accounts: IndexMap::new(),
            queued: 0,
            callers: IndexMap::new(),
            level: 0.0,
            capacity_tokens_per_s: None,
            charged: RateMeter::new(PROMPT_WINDOW_MS, 0),
            generated: RateMeter::new(PROMPT_WINDOW_MS, 0),
            drain: RateMeter::new(DRAIN_WINDOW_MS, 0),
            drain_now: RateMeter::new(DRAIN_NOW_WINDOW_MS, 0),
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

    /// Takes the shares of the accounts; those not named have none.
    pub(crate) fn set_shares<'a, I>(&mut self, shares: I)
    where
        I: Iterator<Item = &'a AccountShare>,
    {
        for queue in self.accounts.values_mut() {
            queue.set_share(None);
        }
        for share in shares {
            if let Some(queue) = self.accounts.get_mut(&share.account) {
                queue.set_share(Some(Share::from(share)));
            }
        }
        self.set_local_weights();
    }

    pub(crate) fn set_capacity(&mut self, tokens_per_s: f64) {
        self.capacity_tokens_per_s = (tokens_per_s > 0.0).then_some(tokens_per_s);
    }

    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    pub(crate) fn offer(&mut self, ask: &QueueRequest<'_>, now_ms: u64) -> Result<(), Refusal> {
        self.watch(now_ms);
        let asked_tokens = f64::from(ask.cost_tokens.max(1));
        let level = self.level;
        let queue = self.account(ask.account, now_ms);
        let cost_tokens = queue.expected_cost(asked_tokens, now_ms);
        queue.ask(cost_tokens, now_ms);
        if queue.waiting.is_empty() {
            // What it did not use while nothing of it waited is gone.
            queue.spent_level = queue.spent_level.max(level);
        }
        let waiting = Waiting {
            caller: ask.caller,
            asked_tokens,
            cost_tokens,
            until_ms: ask
                .deadline
                .map_or(now_ms + KEEP_LIMIT_MS, |deadline| deadline.at_ms),
            has_deadline: ask.deadline.is_some(),
        };
        if let Some(code) = self.reason_to_refuse(ask.account, &waiting, now_ms) {
            let retry_after_ms = self.retry_after_ms(ask.account, cost_tokens, now_ms);
            return Err(Refusal::not_run(code, Some(retry_after_ms)));
        }
        self.account(ask.account, now_ms).push_back(waiting);
        self.queued += 1;
        self.callers.insert(ask.caller, ask.account.clone());
        Ok(())
    }

    pub(crate) fn next(&mut self, now_ms: u64) -> Option<CallerId> {
        self.watch(now_ms);
        let index = self.pick()?;
        self.level = self.level.max(self.least_level());
        let tie_break = self.draw();
        let (_, queue) = self.accounts.get_index_mut(index)?;
        queue.tie_break = tie_break;
        queue.budget.earn();
        self.budget.earn();
        self.queued -= 1;
        queue.pop()
    }

    /// Chooses the account that goes next, by the weighted mean level of those that wait. One that
    /// is behind it by its next request or more is overdue, and goes first. Else the class decides
    /// among those that are not ahead, then who has had the least. A class so only changes the
    /// order within a request of each account.
    fn pick(&self) -> Option<usize> {
        let (mut levels, mut weights) = (0.0, 0.0);
        for (_, queue) in self.waiting() {
            levels += queue.spent_level * queue.local_weight();
            weights += queue.local_weight();
        }
        let mean = levels / weights;
        let overdue = self
            .waiting()
            .filter(|(_, queue)| queue.next_level() <= mean)
            .min_by(|(_, a), (_, b)| a.next_level().total_cmp(&b.next_level()));
        overdue
            .or_else(|| self.first_entitled(mean))
            .map(|(index, _)| index)
    }

    fn first_entitled(&self, mean: f64) -> Option<(usize, &AccountQueue)> {
        // The least is never above the mean but for rounding.
        let entitled_level = mean.max(self.least_level());
        self.waiting()
            .filter(|(_, queue)| queue.spent_level <= entitled_level)
            .min_by(|(_, a), (_, b)| {
                let by_class = a.priority.cmp(&b.priority);
                by_class
                    .then(a.spent_level.total_cmp(&b.spent_level))
                    .then(a.tie_break.total_cmp(&b.tie_break))
            })
    }

    /// The accounts that wait, with their indices.
    fn waiting(&self) -> impl Iterator<Item = (usize, &AccountQueue)> {
        let accounts = self.accounts.values().enumerate();
        accounts.filter(|(_, queue)| !queue.waiting.is_empty())
    }

    fn least_level(&self) -> f64 {
        let levels = self.waiting().map(|(_, queue)| queue.spent_level);
        levels.fold(f64::INFINITY, f64::min)
    }

    pub(crate) fn requeue_front(&mut self, caller: CallerId) {
        if self
            .queue_of(caller)
            .is_some_and(|queue| queue.unpop(caller))
        {
            self.queued += 1;
        }
    }

    pub(crate) fn withdraw(&mut self, caller: CallerId, now_ms: u64) {
        if let Some(queue) = self.queue_of(caller) {
            if queue.remove(caller) {
                self.queued -= 1;
            } else {
                queue.finish(caller, now_ms);
            }
        }
        self.callers.swap_remove(&caller);
    }

    fn queue_of(&mut self, caller: CallerId) -> Option<&mut AccountQueue> {
        let account = self.callers.get(&caller)?;
        self.accounts.get_mut(account)
    }

    pub(crate) fn charge(&mut self, account: &AccountId, tokens: u32, now_ms: u64) {
        self.watch(now_ms);
        for meter in [&mut self.charged, &mut self.generated] {
            meter.advance(now_ms);
        }
        self.charged.add(f64::from(tokens));
        if self.is_draining() {
            self.drain.add(f64::from(tokens));
            self.drain_now.add(f64::from(tokens));
        }
        self.account(account, now_ms)
            .charge(f64::from(tokens), now_ms);
    }

    /// Counts tokens that were generated; [`ServiceQueue::charge`] charges them.
    pub(crate) fn count_generated(&mut self, tokens: u32) {
        self.generated.add(f64::from(tokens));
    }

    /// The capacity in the unit of the charges: each generated token brings its prompt along.
    pub(crate) fn charged_capacity(&self) -> Option<f64> {
        let generated = self.generated.amount();
        let per_generated = match generated >= PROMPT_LEAST_TOKENS {
            true => (self.charged.amount() / generated).max(1.0),
            false => 1.0,
        };
        Some(self.capacity_tokens_per_s? * per_generated)
    }

    /// The part of the service that this entry's shares come to.
    pub(crate) fn entry_part(&self) -> Option<f64> {
        let shares = self.accounts.values().filter_map(AccountQueue::share);
        let shared: f64 = shares.map(|share| share.tokens_per_s).sum();
        let part = shared / self.charged_capacity()?;
        (shared > 0.0).then(|| part.min(1.0))
    }

    pub(crate) fn has_retry(&mut self, account: &AccountId, now_ms: u64) -> bool {
        self.budget.has_one() && self.account(account, now_ms).budget.has_one()
    }

    pub(crate) fn allow_retry(&mut self, account: &AccountId, now_ms: u64) -> bool {
        if !self.has_retry(account, now_ms) {
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

    pub(super) fn account(&mut self, name: &AccountId, now_ms: u64) -> &mut AccountQueue {
        self.accounts
            .entry(name.clone())
            .or_insert_with(|| AccountQueue::new(1.0, Priority::Standard, now_ms))
    }

    /// Lets time pass; the drain rate is watched only while the service drains.
    pub(super) fn watch(&mut self, now_ms: u64) {
        let draining = self.is_draining();
        for meter in [&mut self.drain, &mut self.drain_now] {
            match draining {
                true => meter.advance(now_ms),
                false => meter.skip(now_ms),
            }
        }
    }

    /// Whether something waits and something runs. While nothing runs, as in an outage, nothing is
    /// learnt of how fast the service is.
    fn is_draining(&self) -> bool {
        self.queued > 0 && self.callers.len() > self.queued
    }

    fn set_local_weights(&mut self) {
        let (mut weight, mut entitled) = (0.0, 0.0);
        for queue in self.accounts.values() {
            if let Some(share) = queue.share() {
                weight += queue.weight;
                entitled += share.entitled_tokens_per_s;
            }
        }
        let weight_per_token = if entitled > 0.0 {
            weight / entitled
        } else {
            0.0
        };
        for queue in self.accounts.values_mut() {
            queue.set_local_weight(weight_per_token, self.level);
        }
    }
}
