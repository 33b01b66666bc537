//! The next run of an answer under way: it waits for a chain, for room and for a repeat.

use tokio::time::sleep_until;

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::fleet::{Chain, KnownEndpoint};
use crate::relay::{Lack, RefusalCause, RetryPurpose};
use crate::relay_server::adapter::Adapter;
use crate::relay_server::request::instant_at;

/// Pause between two notes that a repeat is waited for: each counts as a need for a second.
const ASK_AGAIN_MS: u64 = 500;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// The chain for the next run of an answer under way, its repeat taken out of the budget. Comes
    /// as late as it must: the request's time and the caller's patience end the wait from outside. Fails
    /// only where the request is withheld.
    pub(super) async fn chain_to_go_on(&mut self) -> Result<Chain, RefusalCause> {
        let mut news = self.node.chain_check_signal.subscribe();
        let mut waits_for = None;
        let mut ask_due_ms = 0;
        loop {
            self.check_withheld()?;
            self.forget_ended();
            let now_ms = boot_ms();
            let lack = match self.next_run(now_ms) {
                Ok(chain) => return Ok(chain),
                Err(lack) => lack,
            };
            if waits_for != Some(lack.name()) {
                waits_for = Some(lack.name());
                self.log_wait(lack, now_ms);
            }
            if matches!(lack, Lack::RepeatPolicy { .. }) && now_ms >= ask_due_ms {
                ask_due_ms = now_ms + ASK_AGAIN_MS;
                self.ask_zone();
            }
            tokio::select! {
                () = sleep_until(instant_at(lack.look_ms(now_ms), now_ms)) => {}
                _ = news.changed() => {}
            }
        }
    }

    /// Has other instances lend a repeat: without it they would only hear of those that were refused.
    fn ask_zone(&self) {
        let service = &self.request.service;
        self.node.note_retry_demand(service, RetryPurpose::Resume);
    }

    fn next_run(&mut self, now_ms: u64) -> Result<Chain, Lack> {
        let service = &self.request.service.clone();
        // First, since it costs least to find out.
        let due_ms = self
            .node
            .next_retry_ms(service, RetryPurpose::Resume, now_ms);
        if due_ms > now_ms {
            return Err(Lack::RepeatPolicy { due_ms });
        }
        let chain = match self.plan(None) {
            Some(chain) => chain,
            None => self.plan_with_readmitted().ok_or(Lack::Chain)?,
        };
        let until_ms = self.full_until_ms(&chain);
        if until_ms > now_ms {
            return Err(Lack::Room { until_ms });
        }
        // Taken at the send and not before: what is taken early would leave the window early too.
        if !self.node.take_retry(service, RetryPurpose::Resume) {
            return Err(Lack::RepeatPolicy { due_ms: now_ms });
        }
        self.attempts.takes_repeat();
        Ok(chain)
    }

    /// A chain over engines that were left out of this request and are sound by now.
    fn plan_with_readmitted(&mut self) -> Option<Chain> {
        let fleet = self.node.fleet.borrow();
        self.attempts
            .readmit(|id| fleet.get(id).is_some_and(KnownEndpoint::accepts_work));
        drop(fleet);
        self.plan(None)
    }

    /// Until when an engine of the chain counts as full.
    fn full_until_ms(&self, chain: &Chain) -> u64 {
        let fleet = self.node.fleet.borrow();
        let stages = chain.stages().iter();
        let known = stages.filter_map(|stage| fleet.get(&stage.endpoint));
        let until_ms = known.map(|known| known.health.full_until_ms());
        until_ms.max().unwrap_or(0)
    }

    fn log_wait(&self, lack: Lack, now_ms: u64) {
        log::info!(
            request = self.request.ask.id.as_str(),
            lacks = lack.name(),
            look_in_ms = lack.look_ms(now_ms) - now_ms,
            pause_ms = self.stall.pause_ms(now_ms),
            left_ms = self.request.left_ms(now_ms),
            last_event = self.splitter.last_id();
            "answer under way waits"
        );
    }
}
