//! What is done about a stream that brings nothing, and about stages that are lost while it runs.

use super::{RunEnd, StreamRelay, stage_at};
use crate::clock::boot_ms;
use crate::fleet::{Chain, EndpointFailure, replace_stage};
use crate::ids::EndpointId;
use crate::relay::{AttemptEnd, StallStep};
use crate::relay_server::adapter::{Adapter, EngineControl, OrderFailure};
use crate::relay_server::checks::{check_chain, check_chain_beside};
use crate::relay_server::held_tokens::HeldTokens;

/// Longest wait for the answer to an order that changes a chain. Callers notice a pause of 200 ms.
const REROUTE_TIMEOUT_MS: u64 = 150;
/// Orders to change a chain at one engine's loss, each around another engine without room.
const MOST_REROUTES: u32 = 3;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Looks into a silence that has lasted too long.
    pub(super) async fn look(&mut self, held: &mut HeldTokens<A>) -> Result<(), RunEnd> {
        if self.stall.takes_ask(boot_ms()) {
            // What the checks find is acted on once the run is silent.
            check_chain_beside(&self.node, held.chain());
        }
        match self.stall.step(boot_ms()) {
            StallStep::Wait => Ok(()),
            StallStep::GiveUp if !self.can_resume(held.chain()) => {
                self.stall.repaired(boot_ms());
                Ok(())
            }
            StallStep::GiveUp => {
                let first = held.chain().first().endpoint.clone();
                Err(RunEnd::Failed(
                    AttemptEnd::Abandoned,
                    EndpointFailure::Silent,
                    first,
                ))
            }
            StallStep::Look => {
                let repairs = self.repairs;
                self.act_on_news(held).await?;
                if self.repairs > repairs {
                    return Ok(());
                }
                let now_ms = boot_ms();
                let silent_since_ms = now_ms - self.stall.silence_ms(now_ms);
                let request = &self.request.ask.id;
                let waits_for =
                    check_chain(&self.node, request, held.chain(), silent_since_ms).await;
                let Some(stage) = waits_for.and_then(|it| stage_at(held.chain(), it)) else {
                    // What the check has found comes as news, behind events that came meanwhile.
                    return Ok(());
                };
                self.attempts.exclude(&stage.endpoint);
                self.act_on_news(held).await
            }
        }
    }

    /// Replaces stages that were found unsound.
    pub(super) async fn act_on_news(&mut self, held: &mut HeldTokens<A>) -> Result<(), RunEnd> {
        if self.run_events == 0 && self.check_withheld().is_err() {
            // It may be waiting there still, and can be kept from running.
            return Err(RunEnd::Withheld);
        }
        let lost = self.unsound_stages(held.chain());
        self.note_ended_stages(&lost);
        let Some(unsound) = lost.first().cloned() else {
            return Ok(());
        };
        let first = held.chain().first().endpoint.clone();
        if unsound == first && !self.can_resume(held.chain()) {
            return Ok(());
        }
        if unsound == first {
            return Err(RunEnd::Failed(
                AttemptEnd::Lost,
                EndpointFailure::Silent,
                first,
            ));
        }
        for _ in 0..MOST_REROUTES {
            // A stage without room was found by the last order.
            let lost = self.unsound_stages(held.chain());
            if lost.is_empty() {
                // Events have come again while the last order was under way.
                return Ok(());
            }
            let Some(chain) = self.plan_around(held.chain(), &lost) else {
                break;
            };
            match self.reroute(&chain, &unsound).await {
                Ok(()) => {
                    self.repairs += 1;
                    self.stall.repaired(boot_ms());
                    self.chain = Some(chain.clone());
                    held.move_to(chain);
                    return Ok(());
                }
                // Another engine may have the room or the layers that this one has not.
                Err(OrderFailure::Conflict(Some(address))) => {
                    if let Some(stage) = stage_at(&chain, address) {
                        self.attempts.exclude(&stage.endpoint);
                    }
                }
                Err(_) => break,
            }
        }
        // Silence alone is no reason to end an answer that cannot be gone on with elsewhere.
        if !self.can_resume(held.chain()) {
            return Ok(());
        }
        Err(RunEnd::Failed(
            AttemptEnd::Lost,
            EndpointFailure::Silent,
            unsound,
        ))
    }

    /// Whether another run could go on where the present one stands.
    fn can_resume(&self, present: &Chain) -> bool {
        let Some(trial) = self.attempts.after_losing(&present.first().endpoint) else {
            return false;
        };
        if self.plan_with(&trial, None).is_none() {
            return false;
        }
        let service = &self.request.service;
        let purpose = self.repeat_purpose();
        let is_left = self.node.has_retry(service, purpose);
        if !is_left {
            // The present run may have ended: others are asked for a repeat while it is waited for.
            self.node.note_retry_demand(service, purpose);
        }
        is_left
    }

    async fn reroute(&self, chain: &Chain, unsound: &EndpointId) -> Result<(), OrderFailure> {
        let id = self.request.ask.id.as_str();
        let engines = self.node.adapter.engines();
        let rerouted = engines.reroute(id, chain, REROUTE_TIMEOUT_MS).await;
        let outcome = match &rerouted {
            Ok(()) => "taken".to_owned(),
            Err(failure) => failure.to_string(),
        };
        log::info!(
            request = id,
            unsound = unsound.as_str(),
            first = chain.first().endpoint.as_str(),
            stages = chain.stages().len(),
            silent_ms = self.stall.silence_ms(boot_ms()),
            outcome = outcome.as_str();
            "chain is changed while the stream runs"
        );
        self.node.counters.count("relay.reroutes");
        rerouted
    }

    /// A chain without these stages that keeps as many others as it can: new ones read all tokens
    /// again.
    fn plan_around(&self, present: &Chain, lost: &[EndpointId]) -> Option<Chain> {
        let fleet = self.node.fleet.borrow();
        let ask = self.chain_ask(&self.attempts, None)?;
        let now_ms = boot_ms();
        let mut chain = Some(present.clone());
        for endpoint in lost {
            chain = chain.and_then(|it| replace_stage(&fleet, ask, &it, endpoint, now_ms));
        }
        drop(fleet);
        chain.or_else(|| self.plan(Some(present)))
    }

    /// Stages that have ended, are excluded for this request, or count as dead while nothing comes.
    /// A run whose events come goes on, whatever others say: its stages bring them. Without this, one
    /// false death ends all runs of the instance over that engine at once, and the repeats that they take
    /// are missing for others.
    fn unsound_stages(&self, chain: &Chain) -> Vec<EndpointId> {
        let fleet = self.node.fleet.borrow();
        let first = &chain.first().endpoint;
        let is_silent = self.stall.is_silent(boot_ms());
        let is_unsound = |id: &EndpointId| {
            let is_excluded = id != first && self.attempts.excluded().contains(id);
            let is_lost = fleet
                .get(id)
                .is_some_and(|known| known.health.has_ended() || is_silent && known.is_lost());
            is_excluded || is_lost || fleet.has_ended(id)
        };
        let stages = chain.stages().iter().map(|stage| &stage.endpoint);
        stages.filter(|id| is_unsound(id)).cloned().collect()
    }
}
