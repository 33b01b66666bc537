//! Streams of requests that are withheld from engines, or are about to be.

use std::time::Duration;

use tokio::time::sleep;

use super::StreamRelay;
use crate::clock::boot_ms;
use crate::ids::EndpointId;
use crate::quarantine::QuarantineStatus;
use crate::relay::{AttemptEnd, RefusalCause};
use crate::relay_server::adapter::Adapter;

/// Pause between two looks at whether an engine has ended. It is asked at once, and answers or refuses
/// within milliseconds.
const VERDICT_LOOK_MS: u64 = 5;

impl<A> StreamRelay<A>
where
    A: Adapter,
{
    /// Fails if the request is withheld.
    pub(super) fn check_withheld(&self) -> Result<(), RefusalCause> {
        match self.node.quarantine_status(self.request.digest) {
            QuarantineStatus::Withheld => Err(RefusalCause::Withheld),
            QuarantineStatus::Allowed | QuarantineStatus::Undecided => Ok(()),
        }
    }

    /// Waits until it is known whether the engine at which the last run broke off has ended, if that
    /// decides whether the request is withheld: one more engine would be lost otherwise.
    pub(super) async fn wait_for_verdict(&mut self) -> Result<(), RefusalCause> {
        while self.node.quarantine_status(self.request.digest) == QuarantineStatus::Undecided {
            sleep(Duration::from_millis(VERDICT_LOOK_MS)).await;
        }
        let checked = self.check_withheld();
        // The repeat that was taken for the run that is not to be.
        if checked.is_err() && self.attempts.gives_back(AttemptEnd::NotSent) {
            self.node.cancel_retry(&self.request.service);
        }
        checked
    }

    /// Notes which stages have ended under the present run, if that may have ended them.
    pub(super) fn note_ended_stages(&self, unsound: &[EndpointId]) {
        let has_ended = |id: &&EndpointId| self.node.fleet.borrow().has_ended(id);
        let ended: Vec<&EndpointId> = unsound.iter().filter(has_ended).collect();
        for stage in ended {
            let head_ago_ms = self.head_ago_ms(boot_ms());
            let digest = self.request.digest;
            self.node.record_broken_run(digest, stage, head_ago_ms);
        }
    }

    /// Notes that the newest run broke off at an engine, if what it ran there may have ended it.
    pub(super) fn note_broken_run(&self, at_fault: &EndpointId, end: AttemptEnd) {
        if end == AttemptEnd::Lost {
            let head_ago_ms = self.head_ago_ms(boot_ms());
            let digest = self.request.digest;
            self.node.record_broken_run(digest, at_fault, head_ago_ms);
        }
    }
}
