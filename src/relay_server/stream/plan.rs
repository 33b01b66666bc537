//! The chain for a run, and how long one is waited for.

use std::time::Duration;

use tokio::time::sleep;

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainRequest, first_gap, plan_chain};
use crate::ids::EndpointId;
use crate::relay::{Attempts, RefusalCause};
use crate::relay_server::adapter::Adapter;

/// Longest wait for a chain with room. A third of the time within which a first event is of full
/// use; requests end, and engines come back, many times a second.
const ROOM_WAIT_MS: u64 = 160;
/// Longest wait for a chain, counted from the last event, where the request has run. Callers leave
/// after two seconds without an event; what is left is for the prompt to be read again.
const CALLER_GAP_MS: u64 = 1_500;
/// Pause between two looks for a chain with room.
const ROOM_LOOK_MS: u64 = 40;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// The chain for a run, or another one behind the first stage of the present run.
    pub(super) fn plan(&self, present: Option<&Chain>) -> Option<Chain> {
        self.plan_with(&self.attempts, present)
    }

    /// A chain whose engines have not just turned others away, if there is one soon. Sending to a
    /// full engine would cost a repeat that another request could use.
    pub(super) async fn plan_with_room(&self) -> Result<Chain, RefusalCause> {
        let until_ms = self.room_until_ms(boot_ms());
        loop {
            self.check_withheld()?;
            let cause = match self.plan(None) {
                Some(chain) if self.has_room(&chain) => return Ok(chain),
                Some(_) => RefusalCause::Full,
                None => self.why_no_chain(),
            };
            let now_ms = boot_ms();
            let is_hopeless = self.is_in_vain(cause, until_ms.saturating_sub(now_ms));
            if is_hopeless || now_ms >= until_ms {
                return Err(cause);
            }
            sleep(Duration::from_millis(ROOM_LOOK_MS)).await;
        }
    }

    fn why_no_chain(&self) -> RefusalCause {
        let rate_limited = self.node.rate_limit_refusal(&self.request.service);
        match rate_limited.filter(|_| self.layer_without_holder().is_none()) {
            Some(cause) => cause,
            None if self.attempts.excluded().is_empty() => RefusalCause::NoChain,
            // An engine that turned this request away may have been the only one.
            None => RefusalCause::Full,
        }
    }

    /// Whether a request that has not run waits in vain for so long.
    fn is_in_vain(&self, cause: RefusalCause, left_ms: u64) -> bool {
        let is_in_vain = match cause {
            RefusalCause::NoChain => self.layer_without_holder().is_some(),
            RefusalCause::RateLimited { wait_ms } => wait_ms.is_none_or(|it| it > left_ms),
            _ => false,
        };
        is_in_vain && !self.attempts.may_have_run()
    }

    /// Until when a chain is waited for. A request that has not run is better refused soon; one that
    /// has cannot be, and its caller would lose what it has.
    fn room_until_ms(&self, now_ms: u64) -> u64 {
        let wait_ms = if self.attempts.may_have_run() {
            CALLER_GAP_MS.saturating_sub(self.stall.silence_ms(now_ms))
        } else {
            ROOM_WAIT_MS
        };
        now_ms + wait_ms
    }

    /// A layer that no engine which could be used holds.
    fn layer_without_holder(&self) -> Option<u16> {
        let fleet = self.node.fleet.borrow();
        let ask = self.chain_ask(&self.attempts, None)?;
        first_gap(&fleet, ask, boot_ms())
    }

    fn has_room(&self, chain: &Chain) -> bool {
        let now_ms = boot_ms();
        let fleet = self.node.fleet.borrow();
        let is_full = |id: &EndpointId| {
            let known = fleet.get(id);
            known.is_some_and(|known| known.health.is_full(now_ms))
        };
        !chain.stages().iter().any(|stage| is_full(&stage.endpoint))
    }

    pub(super) fn plan_with(&self, attempts: &Attempts, present: Option<&Chain>) -> Option<Chain> {
        let fleet = self.node.fleet.borrow();
        let ask = self.chain_ask(attempts, present)?;
        plan_chain(&fleet, ask, boot_ms())
    }

    pub(super) fn chain_ask<'a>(
        &'a self,
        attempts: &'a Attempts,
        present: Option<&'a Chain>,
    ) -> Option<ChainRequest<'a>> {
        let service = self.request.table.services.get(&self.request.service)?;
        Some(ChainRequest {
            service: &self.request.service,
            model: service.model.as_ref()?,
            own_zone: &self.node.settings.zone,
            tokens: self.request.held_tokens(),
            excluded: attempts.excluded(),
            first_among: attempts.only_on(),
            first: present.map(Chain::first),
        })
    }

    /// Says why no chain was found.
    pub(super) fn log_no_chain(&self, cause: RefusalCause) {
        let gap = self.layer_without_holder();
        let fleet = self.node.fleet.borrow();
        log::info!(
            request = self.request.ask.id.as_str(),
            cause = cause.name(),
            layer_without_holder = gap,
            excluded = self.attempts.excluded().len(),
            bound_to = self.attempts.only_on().map_or(0, indexmap::IndexSet::len),
            endpoints = fleet.iter().count();
            "no chain was found"
        );
    }
}
