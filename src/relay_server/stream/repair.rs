//! Handles streams without events and stages that are lost during a run.

use super::{RunOutcome, StreamRelay, stage_at};
use crate::clock::boot_ms;
use crate::fleet::{Chain, EndpointFailure, Zones, first_gap, replace_stage};
use crate::ids::EndpointId;
use crate::relay::{AttemptOutcome, StallAction};
use crate::relay_server::adapter::{Adapter, OrderFailure};
use crate::relay_server::checks::{check_chain, check_chain_in_background};
use crate::relay_server::held_tokens::HeldTokens;
use crate::relay_server::reroutes::outcome_name;

/// Interval between orders of one run after a failed one. The fleet changes many times per second, and each change
/// makes a run that cannot be resumed elsewhere look for a replacement again.
const REROUTE_INTERVAL_MS: u64 = 250;
/// Maximum number of orders to change a chain after the loss of one engine, each avoiding another
/// engine without capacity.
const MAX_REROUTES: u32 = 3;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Checks a run whose silence has lasted too long.
    pub(super) async fn check_stall(&mut self, held: &mut HeldTokens<A>) -> Result<(), RunOutcome> {
        if self.stall.take_due_probe(boot_ms()) {
            // The results are acted on once the run is silent.
            check_chain_in_background(&self.node, held.chain());
        }
        match self.stall.next_action(boot_ms()) {
            StallAction::Wait => Ok(()),
            StallAction::GiveUp if self.reaches_none() || !self.can_resume(held.chain()) => {
                self.stall.chain_changed(boot_ms());
                Ok(())
            }
            StallAction::GiveUp => {
                let first = held.chain().first().endpoint.clone();
                Err(RunOutcome::Failed(
                    AttemptOutcome::Abandoned,
                    EndpointFailure::Silent,
                    first,
                ))
            }
            StallAction::Probe => {
                let repairs = self.repairs;
                self.handle_fleet_change(held).await?;
                if self.repairs > repairs {
                    return Ok(());
                }
                let now_ms = boot_ms();
                let silent_since_ms = now_ms - self.stall.silence_ms(now_ms);
                let request = &self.request.ask.id;
                let waits_for =
                    check_chain(&self.node, request, held.chain(), silent_since_ms).await;
                let Some(stage) = waits_for.and_then(|it| stage_at(held.chain(), it)) else {
                    // The result of the check arrives as a fleet update, after events that arrived
                    // in the meantime.
                    return Ok(());
                };
                self.attempts.exclude(&stage.endpoint);
                self.handle_fleet_change(held).await
            }
        }
    }

    /// Replaces stages that were found unhealthy.
    pub(super) async fn handle_fleet_change(
        &mut self,
        held: &mut HeldTokens<A>,
    ) -> Result<(), RunOutcome> {
        if self.run_events == 0 && self.check_withheld().is_err() {
            // The request may still be queued at the engine, where it can be kept from running.
            return Err(RunOutcome::Withheld);
        }
        if self.should_delegate_silent_run(boot_ms()) {
            let first = held.chain().first().endpoint.clone();
            return Err(RunOutcome::Failed(
                AttemptOutcome::Abandoned,
                EndpointFailure::Silent,
                first,
            ));
        }
        let lost = self.unhealthy_stages(held.chain());
        self.record_ended_stages(&lost);
        let Some(unhealthy) = lost.first().cloned() else {
            return Ok(());
        };
        let first = held.chain().first().endpoint.clone();
        if unhealthy == first && !self.can_resume(held.chain()) {
            return Ok(());
        }
        if unhealthy == first {
            return Err(RunOutcome::Failed(
                AttemptOutcome::Lost,
                EndpointFailure::Silent,
                first,
            ));
        }
        if self.replace_lost(held, &unhealthy).await {
            return Ok(());
        }
        // Silence alone is no reason to end a response that cannot be resumed elsewhere.
        if !self.can_resume(held.chain()) {
            return Ok(());
        }
        Err(RunOutcome::Failed(
            AttemptOutcome::Lost,
            EndpointFailure::Silent,
            unhealthy,
        ))
    }

    /// Orders a chain without the lost stages. Returns whether the run goes on.
    async fn replace_lost(&mut self, held: &mut HeldTokens<A>, unhealthy: &EndpointId) -> bool {
        if boot_ms() < self.next_reroute_ms {
            return false;
        }
        for _ in 0..MAX_REROUTES {
            // The previous order may have found a stage without capacity.
            let lost = self.unhealthy_stages(held.chain());
            if lost.is_empty() {
                // Events arrived again while the previous order was in progress.
                return true;
            }
            let Some(chain) = self.plan_around(held.chain(), &lost) else {
                self.log_no_replacement(held.chain(), unhealthy);
                break;
            };
            match self.reroute(&chain, unhealthy).await {
                Ok(()) => {
                    self.repairs += 1;
                    self.stall.chain_changed(boot_ms());
                    self.chain = Some(chain.clone());
                    held.move_to(chain);
                    return true;
                }
                // Another engine may have the capacity or the layers that this one lacks.
                Err(OrderFailure::Conflict(Some(address))) => {
                    if let Some(stage) = stage_at(&chain, address) {
                        self.attempts.exclude(&stage.endpoint);
                    }
                }
                Err(_) => break,
            }
        }
        self.next_reroute_ms = boot_ms() + REROUTE_INTERVAL_MS;
        false
    }

    async fn reroute(&self, chain: &Chain, unhealthy: &EndpointId) -> Result<(), OrderFailure> {
        let (service, request) = (&self.request.service, &self.request.ask.id);
        let rerouted = self.node.reroute(service, request, chain).await;
        log::info!(
            request = request.as_str(),
            unsound = unhealthy.as_str(),
            first = chain.first().endpoint.as_str(),
            stages = chain.stages().len(),
            silent_ms = self.stall.silence_ms(boot_ms()),
            outcome = outcome_name(rerouted);
            "chain of a running stream is changed"
        );
        rerouted
    }

    /// Whether no engine accepts connections of this instance, so that it could not send another run.
    pub(super) fn reaches_none(&self) -> bool {
        let fleet = self.node.fleet.borrow();
        fleet.reach.is_lost(&self.request.service)
    }

    /// Whether another run could resume where the current one stands.
    fn can_resume(&self, current: &Chain) -> bool {
        let Some(trial) = self.attempts.after_losing(&current.first().endpoint) else {
            return false;
        };
        if self.plan_with(&trial, None).is_none() {
            return false;
        }
        let service = &self.request.service;
        let class = self.retry_class();
        let is_left = self.node.has_retry(service, class);
        if !is_left {
            // The current run may have ended, so a retry is requested from other instances in the
            // meantime.
            self.node.note_retry_demand(service, class);
        }
        is_left
    }

    /// Logs why a lost stage is not replaced: the layers that need an engine, and the first of them that none
    /// has which the run could use.
    fn log_no_replacement(&mut self, current: &Chain, lost: &EndpointId) {
        if self.unreplaced.replace(lost.clone()).as_ref() == Some(lost) {
            return;
        }
        let stage = current.stages().iter().find(|it| it.endpoint == *lost);
        let gap = self
            .chain_ask(&self.attempts, Some(current))
            .and_then(|ask| {
                let fleet = self.node.fleet.borrow();
                first_gap(&fleet, ask, boot_ms())
            });
        log::info!(
            request = self.request.ask.id.as_str(),
            unsound = lost.as_str(),
            first = current.first().endpoint.as_str(),
            layers = stage.map(|it| format!("{}-{}", it.layers.first, it.layers.end)).as_deref(),
            layer_without_holder = gap,
            silent_ms = self.stall.silence_ms(boot_ms());
            "lost engine of a running stream has no replacement"
        );
        self.node.counters.count("relay.reroutes.no_replacement");
    }

    /// A chain without the lost stages. Engines of another zone are the last resort: another run is faster, if
    /// the request may have one.
    fn plan_around(&self, current: &Chain, lost: &[EndpointId]) -> Option<Chain> {
        let in_zone = self.replace_stages(current, lost, Zones::OfFirst);
        let planned = in_zone.or_else(|| self.plan(Some(current)));
        if planned.is_some() || self.can_resume(current) {
            return planned;
        }
        self.replace_stages(current, lost, Zones::All)
    }

    /// A chain without the lost stages that keeps as many other stages as possible, because new
    /// ones process all tokens again.
    fn replace_stages(&self, current: &Chain, lost: &[EndpointId], zones: Zones) -> Option<Chain> {
        let fleet = self.node.fleet.borrow();
        let ask = self.chain_ask(&self.attempts, None)?;
        let now_ms = boot_ms();
        let mut chain = Some(current.clone());
        for endpoint in lost {
            chain = chain.and_then(|it| replace_stage(&fleet, ask, &it, endpoint, zones, now_ms));
        }
        chain
    }

    /// Stages that have exited, are excluded for this request, or count as dead while the run is
    /// silent. A run that delivers events continues whatever others report, since its stages
    /// produce them. Otherwise a single false report of a death would end all runs of the instance
    /// over that engine at once, and the retries they take would be missing for others. While this
    /// instance reaches no engine, its probes say nothing about them.
    fn unhealthy_stages(&self, chain: &Chain) -> Vec<EndpointId> {
        let fleet = self.node.fleet.borrow();
        let first = &chain.first().endpoint;
        let is_silent = self.stall.is_silent(boot_ms()) && !self.reaches_none();
        let is_unhealthy = |id: &EndpointId| {
            let is_excluded = id != first && self.attempts.excluded().contains(id);
            let is_lost = fleet
                .get(id)
                .is_some_and(|known| is_silent && known.is_lost());
            is_excluded || is_lost || fleet.has_ended(id)
        };
        let stages = chain.stages().iter().map(|stage| &stage.endpoint);
        stages.filter(|id| is_unhealthy(id)).cloned().collect()
    }
}
