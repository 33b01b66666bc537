//! Chooses what the attempts of a request go to.

use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::timeout;

use super::PlainRelay;
use crate::clock::boot_ms;
use crate::fleet::{RepeatChoice, pick_living_replica, pick_replica};
use crate::ids::EndpointId;
use crate::relay::Attempts;
use crate::relay_server::adapter::Adapter;
use crate::relay_server::delegates::Delegate;
use crate::relay_server::delegation::DelegationReason;

/// What an attempt goes to.
pub(super) enum Target {
    Endpoint(EndpointId),
    /// Another instance.
    Delegate(Delegate),
}

impl<A> PlainRelay<'_, A>
where
    A: Adapter,
{
    /// What the next attempt goes to; `None` if nothing is left.
    pub(super) async fn choose_target(&mut self) -> Option<Target> {
        if let Some(target) = self.next_target.take() {
            return Some(target);
        }
        let is_repeat = self.attempts.sends() > 0 || self.request.is_repeat();
        if !is_repeat {
            return self.first_target(&self.attempts);
        }
        let target = self.target_of_repeat(&self.attempts, self.failed_ms);
        if self.attempts.may_have_run() {
            return target.await;
        }
        // A request that has not run is better refused soon: its caller can send it again.
        let limit = Duration::from_millis(self.request.route.objective_ms);
        timeout(limit, target).await.ok().flatten()
    }

    /// What a request goes to that no endpoint has received: another instance if this one reaches no endpoints, or
    /// none that has not been tried.
    fn first_target(&self, attempts: &Attempts) -> Option<Target> {
        if let Some(delegate) = self.choose_delegate(DelegationReason::CutOff, attempts) {
            return Some(Target::Delegate(delegate));
        }
        if let Some(endpoint) = self.pick(attempts.excluded()) {
            return Some(Target::Endpoint(endpoint));
        }
        let delegate = self.choose_delegate(DelegationReason::NoneUsable, attempts)?;
        Some(Target::Delegate(delegate))
    }

    /// The replica for a request that no endpoint but those in `tried` has received.
    pub(super) fn pick(&self, tried: &IndexSet<EndpointId>) -> Option<EndpointId> {
        let fleet = self.node.fleet.borrow();
        let zone = &self.node.settings.zone;
        pick_replica(&fleet, &self.request.service, zone, tried, boot_ms())
    }

    /// What a request goes to that endpoints have received before: a replica from which data has arrived at
    /// `heard_since_ms` or later. Waits until there is one. `None` if no replica and no other instance is left.
    pub(super) async fn target_of_repeat(
        &self,
        attempts: &Attempts,
        heard_since_ms: u64,
    ) -> Option<Target> {
        let service = self.request.table.services.get(&self.request.service);
        let Some(health_path) = service.and_then(|it| it.health_path.as_deref()) else {
            // Replicas cannot be asked for a sign of life.
            return self.first_target(attempts);
        };
        let mut is_logged = false;
        let choose = || {
            let choice = self.living_target(attempts, heard_since_ms);
            if let Err(silent) = &choice
                && !std::mem::replace(&mut is_logged, true)
            {
                self.log_wait(silent);
            }
            choice
        };
        self.node.await_life_sign(health_path, choose).await
    }

    /// The target of a repeat now, or the replicas to be asked for a sign of life.
    fn living_target(
        &self,
        attempts: &Attempts,
        heard_since_ms: u64,
    ) -> Result<Option<Target>, Vec<EndpointId>> {
        if let Some(delegate) = self.choose_delegate(DelegationReason::CutOff, attempts) {
            return Ok(Some(Target::Delegate(delegate)));
        }
        let choice = pick_living_replica(
            &self.node.fleet.borrow(),
            &self.request.service,
            &self.node.settings.zone,
            attempts.excluded(),
            heard_since_ms,
            boot_ms(),
        );
        match choice {
            RepeatChoice::Alive(endpoint) => Ok(Some(Target::Endpoint(endpoint))),
            RepeatChoice::Silent(replicas) => Err(replicas),
            RepeatChoice::None => {
                let delegate = self.choose_delegate(DelegationReason::NoneUsable, attempts);
                Ok(delegate.map(Target::Delegate))
            }
        }
    }

    fn choose_delegate(&self, reason: DelegationReason, attempts: &Attempts) -> Option<Delegate> {
        self.node
            .choose_delegate(reason, self.request, attempts, &self.tried_delegates)
    }

    fn log_wait(&self, silent: &[EndpointId]) {
        let now_ms = boot_ms();
        let heard_ms = silent.iter().map(|it| self.node.last_heard_ms(it)).max();
        let heard_ms = heard_ms.filter(|at_ms| *at_ms > 0);
        log::info!(
            request = self.request.ask.id.as_str(),
            replicas = silent.len(),
            heard_ago_ms = heard_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
            since_arrival_ms = now_ms.saturating_sub(self.request.arrived_ms),
            left_ms = self.request.remaining_ms(now_ms),
            sends = self.attempts.sends();
            "request waits for a replica to show that it is alive"
        );
    }
}
