//! Chooses the chain for a run and limits the wait for one.

use std::time::Duration;

use tokio::time::sleep;

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainRequest, first_gap, plan_chain};
use crate::ids::EndpointId;
use crate::relay::{Attempts, RefusalCause};
use crate::relay_server::adapter::Adapter;

/// Maximum wait for a chain with capacity: a third of the time within which a first event is fully
/// useful. Requests end and engines return many times per second.
const CAPACITY_TIMEOUT_MS: u64 = 160;
/// Maximum wait for a chain, counted from the last event, for a request that has run. Callers leave
/// after two seconds without an event; the remainder is for processing the prompt again.
const MAX_EVENT_GAP_MS: u64 = 1_500;
/// Interval between two checks for a chain with capacity.
const CAPACITY_POLL_INTERVAL_MS: u64 = 40;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// The chain for a run, or an alternative that keeps the first stage of the current run.
    pub(super) fn plan(&self, current: Option<&Chain>) -> Option<Chain> {
        self.plan_with(&self.attempts, current)
    }

    /// Waits briefly for a chain whose engines have not rejected requests recently. Sending to a
    /// full engine would cost a retry that another request could use.
    pub(super) async fn plan_with_capacity(&self) -> Result<Chain, RefusalCause> {
        if self.has_queue() {
            return self.plan_in_turn().await;
        }
        let until_ms = self.capacity_deadline_ms(boot_ms());
        loop {
            self.check_withheld()?;
            let cause = match self.plan_for_capacity() {
                Ok(chain) => return Ok(chain),
                Err(cause) => cause,
            };
            let now_ms = boot_ms();
            let is_hopeless = self.is_futile(cause, until_ms.saturating_sub(now_ms));
            if is_hopeless || now_ms >= until_ms {
                return Err(cause);
            }
            sleep(Duration::from_millis(CAPACITY_POLL_INTERVAL_MS)).await;
        }
    }

    /// A chain whose engines have not rejected requests recently.
    pub(super) fn plan_for_capacity(&self) -> Result<Chain, RefusalCause> {
        match self.plan(None) {
            Some(chain) if self.has_capacity(&chain) => Ok(chain),
            Some(_) => Err(RefusalCause::Full),
            None => Err(self.why_no_chain()),
        }
    }

    fn why_no_chain(&self) -> RefusalCause {
        let rate_limited = self.node.rate_limit_refusal(&self.request.service);
        match rate_limited.filter(|_| self.layer_without_holder().is_none()) {
            Some(cause) => cause,
            None if !self.is_restricted() => RefusalCause::NoChain,
            // The engine that rejected this request may have been the only one.
            None => RefusalCause::Full,
        }
    }

    /// Whether some engines may not be the first to run this request, so that a missing chain says nothing about others.
    pub(super) fn is_restricted(&self) -> bool {
        !self.attempts.excluded().is_empty() || self.attempts.restricted_to().is_some()
    }

    /// Whether waiting for `remaining_ms` cannot help a request that has not run.
    pub(super) fn is_futile(&self, cause: RefusalCause, remaining_ms: u64) -> bool {
        let is_futile = match cause {
            RefusalCause::NoChain => self.layer_without_holder().is_some(),
            RefusalCause::RateLimited { wait_ms } => wait_ms.is_none_or(|it| it > remaining_ms),
            _ => false,
        };
        is_futile && !self.attempts.may_have_run()
    }

    /// Until when to wait for a chain. A request that has not run is better refused soon; one that
    /// has run cannot be refused, and its caller would lose what it has received.
    pub(super) fn capacity_deadline_ms(&self, now_ms: u64) -> u64 {
        let wait_ms = if self.attempts.may_have_run() {
            MAX_EVENT_GAP_MS.saturating_sub(self.stall.silence_ms(now_ms))
        } else {
            CAPACITY_TIMEOUT_MS
        };
        now_ms + wait_ms
    }

    /// A layer that no usable engine holds.
    fn layer_without_holder(&self) -> Option<u16> {
        let fleet = self.node.fleet.borrow();
        let ask = self.chain_ask(&self.attempts, None)?;
        first_gap(&fleet, ask, boot_ms())
    }

    fn has_capacity(&self, chain: &Chain) -> bool {
        let now_ms = boot_ms();
        let fleet = self.node.fleet.borrow();
        let is_full = |id: &EndpointId| {
            let known = fleet.get(id);
            known.is_some_and(|known| known.health.is_full(now_ms))
        };
        !chain.stages().iter().any(|stage| is_full(&stage.endpoint))
    }

    pub(super) fn plan_with(&self, attempts: &Attempts, current: Option<&Chain>) -> Option<Chain> {
        let fleet = self.node.fleet.borrow();
        let ask = self.chain_ask(attempts, current)?;
        plan_chain(&fleet, ask, boot_ms())
    }

    pub(super) fn chain_ask<'a>(
        &'a self,
        attempts: &'a Attempts,
        current: Option<&'a Chain>,
    ) -> Option<ChainRequest<'a>> {
        let service = self.request.table.services.get(&self.request.service)?;
        Some(ChainRequest {
            service: &self.request.service,
            model: service.model.as_ref()?,
            own_zone: &self.node.settings.zone,
            tokens: self.request.held_tokens(),
            excluded: attempts.excluded(),
            first_among: attempts.restricted_to(),
            first: current.map(Chain::first),
            draw: Some(self.node.random_u64()),
        })
    }

    /// Logs why no chain was found.
    pub(super) fn log_no_chain(&self, cause: RefusalCause) {
        let gap = self.layer_without_holder();
        let fleet = self.node.fleet.borrow();
        log::info!(
            request = self.request.ask.id.as_str(),
            cause = cause.name(),
            layer_without_holder = gap,
            excluded = self.attempts.excluded().len(),
            bound_to = self.attempts.restricted_to().map_or(0, indexmap::IndexSet::len),
            endpoints = fleet.iter().count();
            "no chain available"
        );
    }
}
