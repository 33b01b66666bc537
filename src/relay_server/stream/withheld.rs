//! Streams of requests that are withheld from engines, or may be withheld soon.

use std::time::Duration;

use tokio::time::sleep;

use super::StreamRelay;
use crate::clock::boot_ms;
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
        match self.node.quarantine_status(self.request.digest()) {
            QuarantineStatus::Withheld => Err(RefusalCause::Withheld),
            QuarantineStatus::Allowed | QuarantineStatus::Undecided => Ok(()),
        }
    }

    /// Waits until it is known whether the engine at which the last run was interrupted has exited,
    /// if that decides whether the request is withheld. Otherwise another engine could be lost.
    pub(super) async fn wait_for_verdict(&mut self) -> Result<(), RefusalCause> {
        while self.node.quarantine_status(self.request.digest()) == QuarantineStatus::Undecided {
            sleep(Duration::from_millis(VERDICT_POLL_INTERVAL_MS)).await;
        }
        let checked = self.check_withheld();
        // Refund the retry that was taken for the run that will not be sent.
        if checked.is_err() && self.attempts.take_refund(AttemptOutcome::NotSent) {
            self.node.cancel_retry(&self.request.service);
        }
        checked
    }

    /// Records stages that exited during the current run, if the run may be the cause.
    pub(super) fn record_ended_stages(&self, unhealthy: &[EndpointId]) {
        let has_ended = |id: &&EndpointId| self.node.fleet.borrow().has_ended(id);
        let ended: Vec<&EndpointId> = unhealthy.iter().filter(has_ended).collect();
        for stage in ended {
            let head_ago_ms = self.head_ago_ms(boot_ms());
            let digest = self.request.digest();
            self.node.record_broken_run(digest, stage, head_ago_ms);
        }
    }

    /// Records that the newest run was interrupted at an engine, if the run may be the cause.
    pub(super) fn record_interrupted_run(&self, at_fault: &EndpointId, end: AttemptOutcome) {
        if end == AttemptOutcome::Lost {
            let head_ago_ms = self.head_ago_ms(boot_ms());
            let digest = self.request.digest();
            self.node.record_broken_run(digest, at_fault, head_ago_ms);
        }
    }
}
