//! The queues of one service, with start-time fair queueing among its accounts.

use indexmap::IndexMap;

use super::QueueRequest;
use super::account::{AccountQueue, QueuedRequest, Share};
use super::budget::RetryBudget;
use super::overload::MAX_QUEUE_TIME_MS;
use super::rate::RateMeter;
use crate::document::{Account, Priority};
use crate::ids::{AccountId, ServiceName};
use crate::instance::CallerId;
use crate::outcome::Refusal;
use crate::wire::local::{AccountDemand, AccountShare};

/// Time constant of the measured drain rate.
const DRAIN_WINDOW_MS: f64 = 5_000.0;
/// Time constant of the recent drain rate, used where it is higher, as after an outage.
const RECENT_DRAIN_WINDOW_MS: f64 = 1_000.0;
/// Time constant of the ratio of charged to generated tokens.
const PROMPT_WINDOW_MS: f64 = 20_000.0;
/// Generated tokens below which the capacity is not scaled to include prompts.
const MIN_GENERATED_TOKENS: f64 = 200.0;

/// Queues and rate measurements of one service.
#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub(super) accounts: IndexMap<AccountId, AccountQueue>,
    /// Number of queued requests of all accounts.
    pub(super) queued: usize,
    /// Account of each caller with a queued or running request.
    pub(super) callers: IndexMap<CallerId, AccountId>,
    /// Lowest virtual time of the accounts with queued requests at the last dispatch; never
    /// decreases.
    pub(super) virtual_time: f64,
    pub(super) capacity_tokens_per_s: Option<f64>,
    /// Charged tokens, including prompts, and the generated tokens among them.
    charged: RateMeter,
    generated: RateMeter,
    /// Tokens spent while requests are both queued and running, over a long and a short window.
    pub(super) drain: RateMeter,
    pub(super) recent_drain: RateMeter,
    pub(super) budget: RetryBudget,
    /// State of the random number generator for jitter and tie-breaking.
    pub(super) rng_state: u64,
}

impl ServiceQueue {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            accounts: IndexMap::new(),
            queued: 0,
            callers: IndexMap::new(),
            virtual_time: 0.0,
            capacity_tokens_per_s: None,
            charged: RateMeter::new(PROMPT_WINDOW_MS, 0),
            generated: RateMeter::new(PROMPT_WINDOW_MS, 0),
            drain: RateMeter::new(DRAIN_WINDOW_MS, 0),
            recent_drain: RateMeter::new(RECENT_DRAIN_WINDOW_MS, 0),
            budget: RetryBudget::new(),
            rng_state: seed,
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

    /// Replaces the shares of all accounts; accounts not listed have none.
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

    pub(crate) fn enqueue(
        &mut self,
        request: &QueueRequest<'_>,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        self.update_drain_meters(now_ms);
        let requested_tokens = f64::from(request.cost_tokens.max(1));
        let service_virtual_time = self.virtual_time;
        let queue = self.account(request.account, now_ms);
        let cost_tokens = queue.expected_cost(requested_tokens, now_ms);
        queue.record_demand(cost_tokens, now_ms);
        if queue.waiting.is_empty() {
            // An account earns no credit while it has nothing queued.
            queue.virtual_time = queue.virtual_time.max(service_virtual_time);
        }
        let waiting = QueuedRequest {
            caller: request.caller,
            requested_tokens,
            cost_tokens,
            expires_ms: request
                .deadline
                .map_or(now_ms + MAX_QUEUE_TIME_MS, |deadline| deadline.at_ms),
            has_deadline: request.deadline.is_some(),
        };
        if let Some(code) = self.refusal_code(request.account, &waiting, now_ms) {
            let retry_after_ms = self.retry_after_ms(request.account, cost_tokens, now_ms);
            return Err(Refusal::not_run(code, Some(retry_after_ms)));
        }
        self.account(request.account, now_ms).push_back(waiting);
        self.queued += 1;
        self.callers.insert(request.caller, request.account.clone());
        Ok(())
    }

    pub(crate) fn dequeue(&mut self, now_ms: u64) -> Option<CallerId> {
        self.update_drain_meters(now_ms);
        let index = self.select_account()?;
        self.virtual_time = self.virtual_time.max(self.min_virtual_time());
        let tie_break = self.next_random();
        let (_, queue) = self.accounts.get_index_mut(index)?;
        queue.tie_break = tie_break;
        queue.budget.earn();
        self.budget.earn();
        self.queued -= 1;
        queue.pop()
    }

    /// Selects the account to dispatch from, relative to the weighted mean virtual time of the
    /// accounts with queued requests. An account is overdue if it stays at or below the mean even
    /// after its next request; the most overdue one goes first. Otherwise the priority class decides
    /// among the accounts that are not ahead of the mean, then the lowest virtual time. Priority
    /// therefore shifts an account by at most one request.
    fn select_account(&self) -> Option<usize> {
        let (mut virtual_times, mut weights) = (0.0, 0.0);
        for (_, queue) in self.waiting() {
            virtual_times += queue.virtual_time * queue.local_weight();
            weights += queue.local_weight();
        }
        let mean = virtual_times / weights;
        let overdue = self
            .waiting()
            .filter(|(_, queue)| queue.finish_tag() <= mean)
            .min_by(|(_, a), (_, b)| a.finish_tag().total_cmp(&b.finish_tag()));
        overdue
            .or_else(|| self.first_eligible(mean))
            .map(|(index, _)| index)
    }

    fn first_eligible(&self, mean: f64) -> Option<(usize, &AccountQueue)> {
        // Only rounding can put the minimum above the mean.
        let max_virtual_time = mean.max(self.min_virtual_time());
        self.waiting()
            .filter(|(_, queue)| queue.virtual_time <= max_virtual_time)
            .min_by(|(_, a), (_, b)| {
                let by_class = a.priority.cmp(&b.priority);
                by_class
                    .then(a.virtual_time.total_cmp(&b.virtual_time))
                    .then(a.tie_break.total_cmp(&b.tie_break))
            })
    }

    /// Accounts with queued requests, with their indices.
    fn waiting(&self) -> impl Iterator<Item = (usize, &AccountQueue)> {
        let accounts = self.accounts.values().enumerate();
        accounts.filter(|(_, queue)| !queue.waiting.is_empty())
    }

    fn min_virtual_time(&self) -> f64 {
        let virtual_times = self.waiting().map(|(_, queue)| queue.virtual_time);
        virtual_times.fold(f64::INFINITY, f64::min)
    }

    pub(crate) fn requeue_front(&mut self, caller: CallerId) {
        if self
            .queue_of(caller)
            .is_some_and(|queue| queue.requeue_front(caller))
        {
            self.queued += 1;
        }
    }

    pub(crate) fn remove(&mut self, caller: CallerId, now_ms: u64) {
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
        self.update_drain_meters(now_ms);
        for meter in [&mut self.charged, &mut self.generated] {
            meter.advance(now_ms);
        }
        self.charged.add(f64::from(tokens));
        if self.is_draining() {
            self.drain.add(f64::from(tokens));
            self.recent_drain.add(f64::from(tokens));
        }
        self.account(account, now_ms)
            .charge(f64::from(tokens), now_ms);
    }

    /// Counts generated tokens. They are charged separately, by [`ServiceQueue::charge`].
    pub(crate) fn count_generated(&mut self, tokens: u32) {
        self.generated.add(f64::from(tokens));
    }

    /// Capacity in charged tokens: the generation rate scaled up by the measured prompt overhead.
    pub(crate) fn charged_capacity(&self) -> Option<f64> {
        let generated = self.generated.amount();
        let per_generated = match generated >= MIN_GENERATED_TOKENS {
            true => (self.charged.amount() / generated).max(1.0),
            false => 1.0,
        };
        Some(self.capacity_tokens_per_s? * per_generated)
    }

    /// The sum of this entry's shares as a fraction of the service's capacity.
    pub(crate) fn entry_fraction(&self) -> Option<f64> {
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

    /// Advances the drain meters; time counts as observed only while the service drains.
    pub(super) fn update_drain_meters(&mut self, now_ms: u64) {
        let draining = self.is_draining();
        for meter in [&mut self.drain, &mut self.recent_drain] {
            match draining {
                true => meter.advance(now_ms),
                false => meter.skip(now_ms),
            }
        }
    }

    /// Whether requests are both queued and running. While nothing runs, as in an outage, the drain
    /// rate says nothing about the speed of the service.
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
            queue.set_local_weight(weight_per_token, self.virtual_time);
        }
    }
}
