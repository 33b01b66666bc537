//! The next run of a partial response, which waits for a chain, for capacity and for a retry.

use tokio::time::sleep_until;

use super::{RunTarget, StreamRelay};
use crate::clock::boot_ms;
use crate::fleet::{Chain, KnownEndpoint};
use crate::ids::EndpointId;
use crate::relay::{RefusalCause, ResumeBlocker, RetryClass};
use crate::relay_server::adapter::Adapter;
use crate::relay_server::capacity_queue::{QueuePlace, QueueWake};
use crate::relay_server::delegation::DelegationReason;
use crate::relay_server::request::instant_at;

/// Interval between two reports of demand for a retry: each counts as demand for a second.
const DEMAND_REPORT_INTERVAL_MS: u64 = 500;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Waits for a chain on which to resume a partial response, or for another instance that can, and
    /// takes a retry from the budget for it. It waits as long as necessary: the request's deadline or
    /// the caller's departure ends it from outside. Fails only if the request is withheld.
    pub(super) async fn target_to_resume(&mut self) -> Result<RunTarget, RefusalCause> {
        let mut signal = self.node.chain_check_signal.subscribe();
        let mut reported = None;
        let mut demand_due_ms = 0;
        let mut place = None;
        loop {
            self.check_withheld()?;
            self.forget_gone();
            let now_ms = boot_ms();
            let has_turn = place
                .as_ref()
                .is_some_and(|it: &QueuePlace| it.wake(now_ms) == QueueWake::Turn);
            let blocker = match self.try_next_run(now_ms) {
                Ok(target) => {
                    if let Some(place) = &place {
                        place.record_served(now_ms);
                    }
                    return Ok(target);
                }
                Err(blocker) => blocker,
            };
            self.update_place(&mut place, blocker, has_turn, now_ms);
            if reported != Some(blocker.name()) {
                reported = Some(blocker.name());
                self.log_wait(blocker, now_ms);
            }
            if matches!(blocker, ResumeBlocker::Retry { .. }) && now_ms >= demand_due_ms {
                demand_due_ms = now_ms + DEMAND_REPORT_INTERVAL_MS;
                self.request_loan();
            }
            tokio::select! {
                () = sleep_until(instant_at(blocker.recheck_at_ms(now_ms), now_ms)) => {}
                _ = signal.changed() => {}
                () = notified(place.as_ref()) => {}
            }
        }
    }

    /// Keeps a place in the queue of the service, if it has one, as long as the stream lacks capacity:
    /// it goes before all that have not run.
    fn update_place(
        &self,
        place: &mut Option<QueuePlace>,
        blocker: ResumeBlocker,
        has_turn: bool,
        now_ms: u64,
    ) {
        let lacks_capacity = !matches!(blocker, ResumeBlocker::Retry { .. });
        if !self.has_queue() || !lacks_capacity {
            *place = None;
            return;
        }
        let is_new = place.is_none();
        if is_new {
            let (service, until_ms) = (&self.request.service, self.request.deadline_ms);
            let queues = &self.node.capacity_queues;
            // Streams that have run are never refused.
            *place = queues.join(service, self.rank(true), until_ms, now_ms).ok();
        }
        if let Some(place) = place.as_ref().filter(|_| is_new || has_turn) {
            self.record_failed_turn(place, now_ms);
        }
    }

    /// Asks other instances to lend a retry. Without this they would learn only of refused
    /// requests.
    fn request_loan(&self) {
        let service = &self.request.service;
        self.node.note_retry_demand(service, self.retry_class());
    }

    fn try_next_run(&mut self, now_ms: u64) -> Result<RunTarget, ResumeBlocker> {
        // Checked first because it is cheapest.
        self.check_retry(self.retry_class(), now_ms)?;
        let target = self.target_with_capacity(now_ms)?;
        if let RunTarget::Chain(chain) = &target {
            self.chain_engines = chain.engines();
        }
        let class = self.retry_class();
        self.check_retry(class, now_ms)?;
        // Taken only now that the run can be sent: a retry taken earlier would also leave the
        // window earlier.
        self.retry = self.node.take_retry(&self.request, class);
        if self.retry.is_none() {
            return Err(ResumeBlocker::Retry { due_ms: now_ms });
        }
        self.attempts.hold_retry();
        Ok(target)
    }

    /// Fails with the time at which the budget will have a retry of a class, unless it has one now.
    fn check_retry(&self, class: RetryClass, now_ms: u64) -> Result<(), ResumeBlocker> {
        let service = &self.request.service;
        let due_ms = self.node.next_retry_ms(service, class, now_ms);
        if due_ms > now_ms {
            return Err(ResumeBlocker::Retry { due_ms });
        }
        Ok(())
    }

    fn target_with_capacity(&mut self, now_ms: u64) -> Result<RunTarget, ResumeBlocker> {
        if let Some(delegate) = self.choose_delegate(DelegationReason::CutOff) {
            return Ok(RunTarget::Delegate(delegate));
        }
        let Some(chain) = self
            .plan(None)
            .or_else(|| self.plan_with_readmitted(now_ms))
        else {
            let delegate = self.choose_delegate(DelegationReason::NoneUsable);
            return delegate
                .map(RunTarget::Delegate)
                .ok_or(ResumeBlocker::Chain);
        };
        let until_ms = self.full_until_ms(&chain);
        if until_ms > now_ms {
            return Err(ResumeBlocker::Capacity { until_ms });
        }
        Ok(RunTarget::Chain(chain))
    }

    /// A chain that includes engines which were excluded from this request and are healthy again.
    fn plan_with_readmitted(&mut self, now_ms: u64) -> Option<Chain> {
        let fleet = self.node.fleet.borrow();
        let is_healthy = |id: &EndpointId| fleet.get(id).is_some_and(KnownEndpoint::accepts_work);
        self.attempts.readmit(is_healthy, now_ms);
        drop(fleet);
        self.plan(None)
    }

    /// How long an engine of the chain counts as full.
    fn full_until_ms(&self, chain: &Chain) -> u64 {
        let fleet = self.node.fleet.borrow();
        let stages = chain.stages().iter();
        let known = stages.filter_map(|stage| fleet.get(&stage.endpoint));
        let until_ms = known.map(|known| known.health.full_until_ms());
        until_ms.max().unwrap_or(0)
    }

    fn log_wait(&self, blocker: ResumeBlocker, now_ms: u64) {
        log::info!(
            request = self.request.ask.id.as_str(),
            lacks = blocker.name(),
            look_in_ms = blocker.recheck_at_ms(now_ms) - now_ms,
            pause_ms = self.stall.pause_ms(now_ms),
            left_ms = self.request.remaining_ms(now_ms),
            last_event = self.splitter.last_id();
            "stream waits to resume"
        );
    }
}

/// Waits for a signal to a request that has a place.
async fn notified(place: Option<&QueuePlace>) {
    match place {
        Some(place) => place.notified().await,
        None => std::future::pending().await,
    }
}
