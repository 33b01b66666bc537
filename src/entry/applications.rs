//! Calls of application services.

use super::attempt::{ApplicationCall, Attempt, Repeat, Replica, Work};
use super::book::Answer;
use super::machine::{Call, Entry, Flow};
use crate::instance::{ApplicationFailure, ApplicationReply, CallId, EntryEffect};
use crate::outcome::RefusalCode;
use crate::routing::{EndpointFault, NoRoute, Policy};

/// Longest wait for a whole reply.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// Shortest wait, however close the deadline.
const CALL_FLOOR_MS: u64 = 100;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Starts a queued call: takes a replica's slot, then writes the claim if one is needed.
    pub(super) fn start_application(
        &mut self,
        attempt: &mut Attempt,
        now_ms: u64,
    ) -> Result<Flow, NoRoute> {
        if !self.take_replica(attempt, now_ms) {
            return Err(NoRoute::Full);
        }
        let Work::Application(call) = &attempt.work else {
            return Ok(Flow::GoesOn);
        };
        if call.repeat == Repeat::Anywhere {
            self.send_call(attempt, now_ms);
            return Ok(Flow::GoesOn);
        }
        Ok(self.begin_claim(attempt, now_ms))
    }

    /// Takes the slot of a replica that has not failed under this attempt.
    pub(super) fn take_replica(&mut self, attempt: &mut Attempt, now_ms: u64) -> bool {
        let Work::Application(call) = &mut attempt.work else {
            return false;
        };
        if let Some(replica) = call.replica.take() {
            self.router.release_application(&replica.endpoint, now_ms);
        }
        let picked = self
            .router
            .pick_application(&attempt.service, &call.tried, now_ms);
        call.replica = picked.map(|(endpoint, address)| Replica { endpoint, address });
        call.replica.is_some()
    }

    /// Sends a call to the replica whose slot it holds.
    pub(super) fn send_call(&mut self, attempt: &mut Attempt, now_ms: u64) {
        let id = attempt.id;
        let timeout_ms = timeout_ms(attempt, now_ms);
        let request = attempt.key.request.clone();
        let Work::Application(work) = &mut attempt.work else {
            return;
        };
        let Some(replica) = work.replica.clone() else {
            return;
        };
        let call = self.open_call(Call::Application { attempt: id });
        attempt.evidence.sent(call);
        work.sent_at_ms = now_ms;
        self.out.push(EntryEffect::CallApplication {
            call,
            address: replica.address,
            method: work.method.clone(),
            path: work.path.clone(),
            content_type: work.content_type.clone(),
            body: work.body.clone(),
            request,
            idempotency_key: work.idempotency_key.clone(),
            timeout_ms,
            fresh_connection: !work.tried.is_empty() || work.repeat != Repeat::Anywhere,
        });
    }

    /// Takes what became of a call.
    pub(super) fn on_application_answered(
        &mut self,
        call: CallId,
        result: Result<ApplicationReply, ApplicationFailure>,
        now_ms: u64,
    ) {
        let Some(Call::Application { attempt }) = self.calls.swap_remove(&call) else {
            self.counts.count("entry.events.late");
            return;
        };
        self.with_attempt(attempt, |entry, attempt| match result {
            Ok(reply) => {
                attempt.evidence.may_have_run(call);
                entry.answer_call(attempt, reply, now_ms)
            }
            Err(failure) => {
                match failure {
                    ApplicationFailure::NotSent => attempt.evidence.ran_nothing(call),
                    ApplicationFailure::ReplyLost => attempt.evidence.may_have_run(call),
                }
                entry.retry_call(attempt, failure, now_ms)
            }
        });
    }

    fn answer_call(&mut self, attempt: &mut Attempt, reply: ApplicationReply, now_ms: u64) -> Flow {
        self.admission
            .charge(&attempt.service, &attempt.key.account, 1, now_ms);
        self.claim_answered(attempt, &reply, now_ms);
        self.send_reply(attempt, reply, false, now_ms)
    }

    /// Ends an attempt with an application's answer.
    pub(super) fn send_reply(
        &mut self,
        attempt: &mut Attempt,
        reply: ApplicationReply,
        replayed: bool,
        now_ms: u64,
    ) -> Flow {
        for caller in &attempt.callers {
            self.out.push(EntryEffect::SendReply {
                caller: *caller,
                reply: reply.clone(),
                replayed,
            });
        }
        self.note_completed(attempt, now_ms);
        self.settle(attempt, Some(Answer::Reply(reply)), now_ms);
        Flow::Ended
    }

    /// Sends a failed call again where that is safe and within the retry budget.
    fn retry_call(
        &mut self,
        attempt: &mut Attempt,
        failure: ApplicationFailure,
        now_ms: u64,
    ) -> Flow {
        let Work::Application(work) = &mut attempt.work else {
            return Flow::GoesOn;
        };
        if let Some(replica) = &work.replica {
            self.router
                .observe_fault(&replica.endpoint, fault_of(failure), now_ms);
        }
        if may_repeat(work, failure) && self.find_again(attempt, failure, now_ms) {
            self.counts.count("entry.calls.retried");
            self.send_call(attempt, now_ms);
            return Flow::GoesOn;
        }
        self.claim_failed(attempt, failure, now_ms);
        self.refuse(attempt, RefusalCode::EndpointFailed, now_ms);
        Flow::Ended
    }

    /// Finds a replica for a second send.
    fn find_again(
        &mut self,
        attempt: &mut Attempt,
        failure: ApplicationFailure,
        now_ms: u64,
    ) -> bool {
        let late = attempt.deadline.is_some_and(|it| now_ms >= it.at_ms);
        if late
            || !self
                .admission
                .allow_retry(&attempt.service, &attempt.key.account, now_ms)
        {
            return false;
        }
        let Work::Application(work) = &mut attempt.work else {
            return false;
        };
        if work.repeat == Repeat::SameReplica && failure == ApplicationFailure::ReplyLost {
            return true;
        }
        if let Some(replica) = &work.replica {
            work.tried.push(replica.endpoint.clone());
        }
        self.take_replica(attempt, now_ms)
    }
}

/// Whether a failed call may be sent a second time: never where it may have run, unless it is
/// idempotent or the endpoint deduplicates.
fn may_repeat(work: &ApplicationCall, failure: ApplicationFailure) -> bool {
    match (failure, work.repeat) {
        (ApplicationFailure::NotSent, _) => true,
        (ApplicationFailure::ReplyLost, Repeat::Anywhere | Repeat::SameReplica) => true,
        (ApplicationFailure::ReplyLost, Repeat::Never) => false,
    }
}

fn fault_of(failure: ApplicationFailure) -> EndpointFault {
    match failure {
        ApplicationFailure::NotSent => EndpointFault::Unreachable,
        ApplicationFailure::ReplyLost => EndpointFault::Silent,
    }
}

/// How long to wait for a whole reply: until the deadline, within bounds.
fn timeout_ms(attempt: &Attempt, now_ms: u64) -> u64 {
    let left_ms = attempt.deadline.map(|it| it.at_ms.saturating_sub(now_ms));
    left_ms.map_or(CALL_TIMEOUT_MS, |left_ms| {
        left_ms.clamp(CALL_FLOOR_MS, CALL_TIMEOUT_MS)
    })
}
