//! Admission: who waits, who goes next, and who is refused at once.
//!
//! The design and what it rests on are in `docs/notes/FAIRNESS.md`.

mod account;
mod budget;
mod overload;
mod rate;
mod service;
#[cfg(test)]
mod tests;

use indexmap::IndexMap;

use crate::document::Document;
use crate::ids::{AccountId, ServiceName};
use crate::instance::{CallerId, Deadline};
use crate::outcome::Refusal;
use crate::wire::local::{AccountDemand, AccountShare};
use service::ServiceQueue;

/// A request that asks to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// The caller; not queued yet.
    pub caller: CallerId,
    /// The service asked.
    pub service: &'a ServiceName,
    /// The account that asks.
    pub account: &'a AccountId,
    /// What the request is expected to cost, prompt included.
    pub cost_tokens: u32,
    /// When its answer is of no use any more.
    pub deadline: Option<Deadline>,
}

/// The queues of one entry: for each service one, fair among its accounts.
#[derive(Debug)]
pub struct Admission {
    seed: u64,
    services: IndexMap<ServiceName, ServiceQueue>,
    /// The service of each caller that waits or runs.
    callers: IndexMap<CallerId, ServiceName>,
}

impl Admission {
    /// An admission without services. `seed` spreads the times to come back.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            services: IndexMap::new(),
            callers: IndexMap::new(),
        }
    }

    /// Takes weights and priorities from the documents in force.
    pub fn set_accounts(&mut self, documents: &IndexMap<ServiceName, Document>) {
        for (service, document) in documents {
            self.queue(service).set_accounts(&document.accounts);
        }
    }

    /// Takes this entry's part of the fair shares; replaces all earlier ones.
    pub fn set_shares(&mut self, shares: &[AccountShare], _now_ms: u64) {
        for (service, queue) in &mut self.services {
            queue.set_shares(shares.iter().filter(|share| share.service == *service));
        }
    }

    /// Takes what the service's endpoints can generate, as long as no drain rate is measured.
    pub fn set_capacity(&mut self, service: &ServiceName, tokens_per_s: f64) {
        self.queue(service).set_capacity(tokens_per_s);
    }

    /// Queues a request, or refuses it at once if it cannot be served in time.
    pub fn enqueue(&mut self, ask: QueueRequest<'_>, now_ms: u64) -> Result<(), Refusal> {
        self.queue(ask.service).offer(&ask, now_ms)?;
        self.callers.insert(ask.caller, ask.service.clone());
        Ok(())
    }

    /// Takes the next request of a service out of its queue.
    pub fn dequeue(&mut self, service: &ServiceName, now_ms: u64) -> Option<CallerId> {
        self.services.get_mut(service)?.next(now_ms)
    }

    /// Puts a request back where [`Admission::dequeue`] took it from: it found no endpoint free.
    pub fn requeue_front(&mut self, caller: CallerId, _now_ms: u64) {
        if let Some(queue) = self.queue_of(caller) {
            queue.requeue_front(caller);
        }
    }

    /// Removes the requests that are now known not to be served in time.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(CallerId, Refusal)> {
        let mut refused = Vec::new();
        for queue in self.services.values_mut() {
            queue.expire(now_ms, &mut refused);
        }
        for (caller, _) in &refused {
            self.callers.swap_remove(caller);
        }
        refused
    }

    /// Forgets a caller that is gone, refused elsewhere or answered.
    pub fn remove(&mut self, caller: CallerId, now_ms: u64) {
        if let Some(queue) = self.queue_of(caller) {
            queue.withdraw(caller, now_ms);
        }
        self.callers.swap_remove(&caller);
    }

    /// Charges an account with tokens that were generated for it.
    pub fn charge(&mut self, service: &ServiceName, account: &AccountId, tokens: u32, now_ms: u64) {
        let queue = self.queue(service);
        queue.charge(account, tokens, now_ms);
        queue.count_generated(tokens);
    }

    /// Charges an account with the tokens of a prompt.
    pub fn charge_prompt(
        &mut self,
        service: &ServiceName,
        account: &AccountId,
        tokens: u32,
        now_ms: u64,
    ) {
        self.queue(service).charge(account, tokens, now_ms);
    }

    /// What the service's endpoints can do, in the unit of the charges, prompts included.
    pub fn capacity_tokens_per_s(&self, service: &ServiceName) -> f64 {
        let queue = self.services.get(service);
        queue
            .and_then(ServiceQueue::charged_capacity)
            .unwrap_or(0.0)
    }

    /// The part of the service that this entry may use while there is contention; `None` while
    /// there are no shares. Above 0, at most 1.
    pub fn entry_fraction(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service)?.entry_part()
    }

    /// Whether a failed request may be sent once more; takes it from the retry budgets if so.
    pub fn allow_retry(&mut self, service: &ServiceName, account: &AccountId, now_ms: u64) -> bool {
        self.queue(service).allow_retry(account, now_ms)
    }

    /// Whether one more retry is within the budgets; takes none.
    pub fn has_retry(&mut self, service: &ServiceName, account: &AccountId, now_ms: u64) -> bool {
        self.queue(service).has_retry(account, now_ms)
    }

    /// What each account asks here, for the report to control.
    pub fn demands(&mut self, now_ms: u64) -> Vec<AccountDemand> {
        self.services
            .iter_mut()
            .flat_map(|(service, queue)| queue.demands(service, now_ms))
            .collect()
    }

    /// When a refused request should come back.
    pub fn retry_after_ms(
        &mut self,
        service: &ServiceName,
        account: &AccountId,
        now_ms: u64,
    ) -> u64 {
        self.queue(service).retry_after_ms(account, 1.0, now_ms)
    }

    /// Requests that wait for a service.
    pub fn queued(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, ServiceQueue::queued)
    }

    /// Services with waiting requests.
    pub fn backlogged_services(&self) -> Vec<ServiceName> {
        self.services
            .iter()
            .filter(|(_, queue)| queue.queued() > 0)
            .map(|(service, _)| service.clone())
            .collect()
    }

    fn queue(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        let seed = self.seed;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceQueue::new(seed))
    }

    fn queue_of(&mut self, caller: CallerId) -> Option<&mut ServiceQueue> {
        let service = self.callers.get(&caller)?;
        self.services.get_mut(service)
    }
}
