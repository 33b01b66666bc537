//! Calls of application services.

use super::attempt::{ApplicationCall, Attempt, Repeat, Replica, Work};
use super::book::Answer;
use super::machine::{Call, Entry, Flow};
use crate::chain::MovingAverage;
use crate::instance::{ApplicationFailure, ApplicationReply, CallId, EntryEffect};
use crate::outcome::{Outcome, RefusalCode};
use crate::routing::{EndpointFault, NoRoute, Policy};

/// Longest wait for a whole reply.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// Shortest wait of a call that may be sent again.
const CALL_FLOOR_MS: u64 = 250;
/// Time a call is taken for before any was measured.
const CALL_GUESS_MS: f64 = 250.0;
/// Mean call times to wait before a call that may be sent again is.
const CALL_FACTOR: f64 = 4.0;
/// Replies that say the replica could not serve the call: bad gateway, unavailable, timeout.
const UNSERVED_STATUSES: [u16; 3] = [502, 503, 504];

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

    /// Takes the slot of a replica that has not failed under this attempt, in place of the one
    /// that it holds.
    pub(super) fn take_replica(&mut self, attempt: &mut Attempt, now_ms: u64) -> bool {
        let Work::Application(call) = &mut attempt.work else {
            return false;
        };
        if let Some(replica) = call.replica.take() {
            self.router.release_replica(&replica.endpoint, now_ms);
        }
        let picked = self
            .router
            .reserve_replica(&attempt.service, &call.tried, now_ms);
        call.replica = picked.map(|(endpoint, address)| Replica { endpoint, address });
        call.replica.is_some()
    }

    /// Sends a call to the replica whose slot it holds.
    pub(super) fn send_call(&mut self, attempt: &mut Attempt, now_ms: u64) {
        let id = attempt.id;
        self.note_routed(attempt, 0, now_ms);
        let timeout_ms = self.timeout_ms(attempt, now_ms);
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
            // A pooled connection that broke would leave it unknown whether the call ran.
            fresh_connection: !work.tried.is_empty() || work.repeat != Repeat::Anywhere,
        });
    }

    /// How long to wait for a whole reply. A call that is not sent again gets all the time there
    /// is: its result would stay unknown.
    fn timeout_ms(&self, attempt: &Attempt, now_ms: u64) -> u64 {
        let Work::Application(work) = &attempt.work else {
            return CALL_TIMEOUT_MS;
        };
        if work.repeat != Repeat::Anywhere {
            return CALL_TIMEOUT_MS;
        }
        let times = self.call_times_ms.get(&attempt.service);
        let usual = times
            .copied()
            .unwrap_or_else(|| MovingAverage::new(CALL_GUESS_MS));
        let usual_ms = usual.upper_bound(CALL_FACTOR) as u64;
        let left_ms = attempt.deadline.map(|it| it.at_ms.saturating_sub(now_ms));
        let wait_ms = usual_ms.min(left_ms.unwrap_or(CALL_TIMEOUT_MS));
        wait_ms.clamp(CALL_FLOOR_MS, CALL_TIMEOUT_MS)
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
                entry.on_reply(attempt, reply, now_ms)
            }
            Err(failure) => {
                match failure {
                    ApplicationFailure::NotSent => attempt.evidence.ran_nothing(call),
                    ApplicationFailure::ReplyLost => attempt.evidence.may_have_run(call),
                }
                entry.on_call_failed(attempt, failure, now_ms)
            }
        });
    }

    fn on_reply(&mut self, attempt: &mut Attempt, reply: ApplicationReply, now_ms: u64) -> Flow {
        let unserved = UNSERVED_STATUSES.contains(&reply.status);
        if unserved && self.send_again(attempt, EndpointFault::Refused, now_ms) {
            return Flow::GoesOn;
        }
        self.note_call_time(attempt, now_ms);
        self.admission
            .charge(&attempt.service, &attempt.key.account, 1, now_ms);
        self.claim_answered(attempt, &reply, now_ms);
        self.send_reply(attempt, reply, false, now_ms)
    }

    fn note_call_time(&mut self, attempt: &Attempt, now_ms: u64) {
        let Work::Application(work) = &attempt.work else {
            return;
        };
        let took_ms = now_ms.saturating_sub(work.sent_at_ms) as f64;
        let times = self.call_times_ms.entry(attempt.service.clone());
        times
            .or_insert_with(|| MovingAverage::new(CALL_GUESS_MS))
            .add(took_ms);
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

    fn on_call_failed(
        &mut self,
        attempt: &mut Attempt,
        failure: ApplicationFailure,
        now_ms: u64,
    ) -> Flow {
        if self.send_again(attempt, fault_of(failure), now_ms) {
            return Flow::GoesOn;
        }
        self.claim_failed(attempt, failure, now_ms);
        self.refuse(attempt, RefusalCode::EndpointFailed, now_ms);
        Flow::Ended
    }

    /// Sends a failed call to another replica, where that is safe and within the retry budget.
    fn send_again(&mut self, attempt: &mut Attempt, fault: EndpointFault, now_ms: u64) -> bool {
        let surely_not_run = attempt.evidence.outcome() == Outcome::NotRun;
        let Work::Application(work) = &mut attempt.work else {
            return false;
        };
        if let Some(replica) = &work.replica {
            self.router.observe_fault(&replica.endpoint, fault, now_ms);
            work.tried.push(replica.endpoint.clone());
        }
        let in_time = attempt.deadline.is_none_or(|it| now_ms < it.at_ms);
        let again = in_time
            && may_repeat(work, surely_not_run)
            && self
                .admission
                .allow_retry(&attempt.service, &attempt.key.account, now_ms)
            && self.take_replica(attempt, now_ms);
        if again {
            self.counts.count("entry.calls.retried");
            self.send_call(attempt, now_ms);
        }
        again
    }
}

/// Whether a failed call may be sent a second time.
fn may_repeat(work: &ApplicationCall, surely_not_run: bool) -> bool {
    match work.repeat {
        Repeat::Anywhere | Repeat::Deduplicated => true,
        Repeat::Never => surely_not_run,
    }
}

fn fault_of(failure: ApplicationFailure) -> EndpointFault {
    match failure {
        ApplicationFailure::NotSent => EndpointFault::Unreachable,
        ApplicationFailure::ReplyLost => EndpointFault::Silent,
    }
}
