//! Streams of requests that are withheld from engines, or may be withheld soon.

use std::time::Duration;

use tokio::time::sleep;

use super::StreamRelay;
use crate::ids::EndpointId;
use crate::quarantine::QuarantineStatus;
use crate::relay::{AttemptOutcome, RefusalCause};
use crate::relay_server::adapter::Adapter;

/// Interval between two checks whether an engine has exited. It is probed at once and answers or
/// refuses within milliseconds.
const VERDICT_POLL_INTERVAL_MS: u64 = 5;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Fails if the request is withheld.
    pub(super) fn check_withheld(&self) -> Result<(), RefusalCause> {
        match self.quarantine_status() {
            QuarantineStatus::Withheld if !self.is_quarantine_trial => Err(RefusalCause::Withheld),
            _ => Ok(()),
        }
    }

    /// Waits until it is known whether the engine at which the last run was interrupted has exited,
    /// if that decides whether the request is withheld. Otherwise another engine could be lost.
    pub(super) async fn wait_for_verdict(&self) -> Result<(), RefusalCause> {
        while self.quarantine_status() == QuarantineStatus::Undecided {
            sleep(Duration::from_millis(VERDICT_POLL_INTERVAL_MS)).await;
        }
        self.check_withheld()
    }

    fn quarantine_status(&self) -> QuarantineStatus {
        self.node.quarantine_status(self.request.features.as_ref())
    }

    /// Records stages that exited during the current run, if the run may be the cause.
    pub(super) fn record_ended_stages(&self, unhealthy: &[EndpointId]) {
        if !self.may_crash_engines() {
            return;
        }
        let has_ended = |id: &&EndpointId| self.node.fleet.borrow().has_ended(id);
        let ended: Vec<&EndpointId> = unhealthy.iter().filter(has_ended).collect();
        for stage in ended {
            self.node
                .record_broken_run(self.request.features.as_ref(), stage);
        }
    }

    /// Records that the newest run was interrupted at an engine, if the run may be the cause.
    pub(super) fn record_interrupted_run(&mut self, at_fault: &EndpointId, end: AttemptOutcome) {
        if end == AttemptOutcome::Lost && self.may_crash_engines() {
            self.node
                .record_broken_run(self.request.features.as_ref(), at_fault);
        }
        self.is_quarantine_trial = false;
    }

    /// Whether the newest run may be the cause if an engine crashes: the engine has begun to run it, as
    /// the response's head shows, and no event has arrived. A run that is queued has no head yet; one
    /// that has delivered events was survived.
    fn may_crash_engines(&self) -> bool {
        self.head_ms.is_some() && self.run_events == 0
    }
}
