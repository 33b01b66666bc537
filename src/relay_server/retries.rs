//! The retry budget of the instance.

use std::rc::Rc;

use super::adapter::Adapter;
use super::node::Node;
use super::request::RelayedRequest;
use crate::clock::boot_ms;
use crate::ids::ServiceName;
use crate::relay::{
    AttemptLimit, AttemptOutcome, Attempts, MAX_ARRIVAL_DELAY_MS, RetryClass, RetryConditions,
    RetryId,
};

/// A retry that was taken from the budget for the next or the current send of a request.
pub(crate) struct HeldRetry<A>
where
    A: Adapter,
{
    node: Rc<Node<A>>,
    service: ServiceName,
    id: RetryId,
    /// When it has arrived at the latest, if that is known.
    arrived_by_ms: Option<u64>,
}

impl<A> HeldRetry<A>
where
    A: Adapter,
{
    /// Changes the number of engines at which the retry arrives.
    pub(crate) fn set_engines(&self, engines: u32) {
        let mut budget = self.node.budget.borrow_mut();
        budget.set_engines(&self.service, self.id, engines);
    }

    /// Ends the retry, which has arrived by then.
    pub(crate) fn end(mut self, arrived_by_ms: u64) {
        self.arrived_by_ms = Some(arrived_by_ms);
    }
}

impl<A> Drop for HeldRetry<A>
where
    A: Adapter,
{
    /// Dropped with its request, for instance because the caller has left: it may have been sent.
    fn drop(&mut self) {
        let arrived_by_ms = self.arrived_by_ms;
        let arrived_by_ms = arrived_by_ms.unwrap_or_else(|| boot_ms() + MAX_ARRIVAL_DELAY_MS);
        let mut budget = self.node.budget.borrow_mut();
        budget.record_arrival(&self.service, self.id, arrived_by_ms);
    }
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Counts a caller's request for a service.
    pub(crate) fn count_request(&self, service: &ServiceName) {
        let share = self.budget_share();
        self.budget.borrow_mut().request(service, share, boot_ms());
    }

    /// Takes one retry for a request out of the budget, if one is left.
    pub(crate) fn take_retry<C>(
        self: &Rc<Self>,
        request: &RelayedRequest,
        class: C,
    ) -> Option<HeldRetry<A>>
    where
        C: Into<RetryClass>,
    {
        let share = self.budget_share();
        let class = class.into();
        let service = &request.service;
        let mut budget = self.budget.borrow_mut();
        let id = budget.take(service, share, class, boot_ms());
        self.counters.count(if id.is_some() {
            "relay.repeats.allowed"
        } else {
            "relay.repeats.over_budget"
        });
        let usage = budget.usage(service, share, boot_ms());
        log::info!(
            request = request.ask.id.as_str(),
            service = service.as_str(),
            purpose:? = class.purpose,
            engines = class.engines,
            is_left = id.is_some(),
            repeats_left = budget.remaining(service, share, boot_ms()),
            counted_requests = usage.requests,
            own_share_milli = usage.allowed_milli,
            own_used_milli = usage.charged_milli,
            known_instances = share.instances,
            is_starting = budget.is_starting(share, boot_ms());
            "retry is taken from the budget"
        );
        id.map(|id| HeldRetry {
            node: Rc::clone(self),
            service: service.clone(),
            id,
            arrived_by_ms: None,
        })
    }

    /// Ends the retry of a send that failed, if it used one. `is_settled` means that it cannot arrive later than now.
    pub(crate) fn end_retry(
        &self,
        request: &RelayedRequest,
        attempts: &mut Attempts,
        retry: Option<HeldRetry<A>>,
        outcome: AttemptOutcome,
        is_settled: bool,
    ) {
        let arrived_by_ms = attempts.arrived_by_ms(is_settled, boot_ms());
        let is_refunded = attempts.take_refund(outcome);
        match retry {
            Some(retry) if is_refunded => self.cancel_retry(request, retry),
            Some(retry) => retry.end(arrived_by_ms),
            None => {}
        }
    }

    /// Returns a retry to the budget that was not delivered to any endpoint.
    pub(crate) fn cancel_retry(&self, request: &RelayedRequest, retry: HeldRetry<A>) {
        self.counters.count("relay.repeats.cancelled");
        self.budget.borrow_mut().refund(&request.service, retry.id);
        log::info!(
            request = request.ask.id.as_str(),
            service = request.service.as_str();
            "retry is returned to the budget"
        );
    }

    /// Whether the budget has one more retry.
    pub(crate) fn has_retry<C>(&self, service: &ServiceName, class: C) -> bool
    where
        C: Into<RetryClass>,
    {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.has_left(service, share, class, boot_ms())
    }

    /// Retries left at this instance, for log lines.
    pub(crate) fn retries_left(&self, service: &ServiceName) -> u32 {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.remaining(service, share, boot_ms())
    }

    /// Counts a request that was abandoned at a limit.
    pub(crate) fn count_given_up(&self, limit: AttemptLimit) {
        let name = format!("relay.given_up.{}", limit.name());
        self.counters.count(&name);
    }

    /// When the budget will have one more retry if only time passes; not later than `now_ms` if one
    /// is left now.
    pub(crate) fn next_retry_ms<C>(&self, service: &ServiceName, class: C, now_ms: u64) -> u64
    where
        C: Into<RetryClass>,
    {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.next_available_ms(service, share, class, now_ms)
    }

    /// Notes that a request waits for a retry, so that one is borrowed from other instances.
    pub(crate) fn note_retry_demand<C>(&self, service: &ServiceName, class: C)
    where
        C: Into<RetryClass>,
    {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.note_demand(service, share, class, boot_ms());
        self.counters.count("relay.repeats.awaited");
    }

    /// The conditions that determine when a refused request should be retried.
    pub(crate) fn retry_conditions(&self, load_ms: u64, run_ms: u64) -> RetryConditions {
        RetryConditions {
            other_instances_serve: self.peers.borrow().has_ready_peer(boot_ms()),
            load_ms,
            run_ms,
            random: self.random_u64(),
        }
    }
}
