//! Admission control: queues requests, selects the next one to dispatch, and refuses requests that
//! cannot be served in time.
//!
//! The design and its rationale are described in `docs/notes/FAIRNESS.md`.

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

/// A request to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueueRequest<'a> {
    /// The caller; must not be queued already.
    pub caller: CallerId,
    /// The requested service.
    pub service: &'a ServiceName,
    /// The account that is charged.
    pub account: &'a AccountId,
    /// Expected cost of the request, including the prompt.
    pub cost_tokens: u32,
    /// Time after which the caller no longer needs an answer.
    pub deadline: Option<Deadline>,
}

/// The queues of one entry: one per service, each fair among the service's accounts.
#[derive(Debug)]
pub struct Admission {
    seed: u64,
    services: IndexMap<ServiceName, ServiceQueue>,
    /// The service of each caller with a waiting or running request.
    callers: IndexMap<CallerId, ServiceName>,
}

impl Admission {
    /// Creates an instance without services. `seed` initialises the jitter of retry delays.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            services: IndexMap::new(),
            callers: IndexMap::new(),
        }
    }

    /// Applies the weights and priorities of the active documents.
    pub fn set_accounts(&mut self, documents: &IndexMap<ServiceName, Document>) {
        for (service, document) in documents {
            self.queue(service).set_accounts(&document.accounts);
        }
    }

    /// Replaces this entry's portions of the fair shares.
    pub fn set_shares(&mut self, shares: &[AccountShare], _now_ms: u64) {
        for (service, queue) in &mut self.services {
            queue.set_shares(shares.iter().filter(|share| share.service == *service));
        }
    }

    /// Sets the generation capacity of the service's endpoints, used until a drain rate is known.
    pub fn set_capacity(&mut self, service: &ServiceName, tokens_per_s: f64) {
        self.queue(service).set_capacity(tokens_per_s);
    }

    /// Queues a request, or refuses it immediately if it cannot be served in time.
    pub fn enqueue(&mut self, request: QueueRequest<'_>, now_ms: u64) -> Result<(), Refusal> {
        self.queue(request.service).enqueue(&request, now_ms)?;
        self.callers.insert(request.caller, request.service.clone());
        Ok(())
    }

    /// Removes the next request of a service from its queue and marks it running.
    pub fn dequeue(&mut self, service: &ServiceName, now_ms: u64) -> Option<CallerId> {
        self.services.get_mut(service)?.dequeue(now_ms)
    }

    /// Returns a request taken by [`Admission::dequeue`] to the front of its queue because no
    /// endpoint was free.
    pub fn requeue_front(&mut self, caller: CallerId, _now_ms: u64) {
        if let Some(queue) = self.queue_of(caller) {
            queue.requeue_front(caller);
        }
    }

    /// Removes and returns the queued requests that can no longer be served in time.
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

    /// Removes a caller that disconnected, was refused elsewhere or was answered.
    pub fn remove(&mut self, caller: CallerId, now_ms: u64) {
        if let Some(queue) = self.queue_of(caller) {
            queue.remove(caller, now_ms);
        }
        self.callers.swap_remove(&caller);
    }

    /// Charges an account for generated tokens.
    pub fn charge(&mut self, service: &ServiceName, account: &AccountId, tokens: u32, now_ms: u64) {
        let queue = self.queue(service);
        queue.charge(account, tokens, now_ms);
        queue.count_generated(tokens);
    }

    /// Charges an account for prompt tokens.
    pub fn charge_prompt(
        &mut self,
        service: &ServiceName,
        account: &AccountId,
        tokens: u32,
        now_ms: u64,
    ) {
        self.queue(service).charge(account, tokens, now_ms);
    }

    /// Capacity of the service's endpoints in charged tokens, which include prompts.
    pub fn capacity_tokens_per_s(&self, service: &ServiceName) -> f64 {
        let queue = self.services.get(service);
        queue
            .and_then(ServiceQueue::charged_capacity)
            .unwrap_or(0.0)
    }

    /// The fraction of the service that this entry may use under contention, in (0, 1]; `None`
    /// while it has no shares.
    pub fn entry_fraction(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service)?.entry_fraction()
    }

    /// Whether a failed request may be retried; if so, deducts one retry from the retry budgets.
    pub fn allow_retry(&mut self, service: &ServiceName, account: &AccountId, now_ms: u64) -> bool {
        self.queue(service).allow_retry(account, now_ms)
    }

    /// Whether the budgets allow one more retry; deducts nothing.
    pub fn has_retry(&mut self, service: &ServiceName, account: &AccountId, now_ms: u64) -> bool {
        self.queue(service).has_retry(account, now_ms)
    }

    /// Demand of each account at this entry, for the report to control.
    pub fn demands(&mut self, now_ms: u64) -> Vec<AccountDemand> {
        self.services
            .iter_mut()
            .flat_map(|(service, queue)| queue.demands(service, now_ms))
            .collect()
    }

    /// Delay after which a refused request should be retried.
    pub fn retry_after_ms(
        &mut self,
        service: &ServiceName,
        account: &AccountId,
        now_ms: u64,
    ) -> u64 {
        self.queue(service).retry_after_ms(account, 1.0, now_ms)
    }

    /// Number of requests queued for a service.
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
