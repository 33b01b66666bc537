//! Calls of application services.

use super::attempt::{ApplicationCall, Attempt, Replica, RetrySafety, Work};
use super::book::Answer;
use super::machine::{Call, Entry, Flow};
use crate::chain::MovingAverage;
use crate::instance::{ApplicationFailure, ApplicationReply, CallId, EntryEffect};
use crate::outcome::{Outcome, RefusalCode};
use crate::routing::{EndpointFault, NoRoute, Policy};

/// Maximum time to wait for a complete reply.
const MAX_CALL_TIMEOUT_MS: u64 = 10_000;
/// Minimum timeout of a call that may be retried.
const MIN_CALL_TIMEOUT_MS: u64 = 250;
/// Assumed duration of a call before any was measured.
const INITIAL_CALL_TIME_MS: f64 = 250.0;
/// A call that may be retried times out after this multiple of the usual call time.
const CALL_TIMEOUT_FACTOR: f64 = 4.0;
/// Statuses of a replica that could not serve the call: bad gateway, unavailable, gateway timeout.
const REPLICA_FAILURE_STATUSES: [u16; 3] = [502, 503, 504];

impl<P> Entry<P>
where
    P: Policy,
{
    /// Starts a queued call: reserves a replica's slot, then writes the claim if one is needed.
    pub(super) fn start_application(
        &mut self,
        attempt: &mut Attempt,
        now_ms: u64,
    ) -> Result<Flow, NoRoute> {
        if !self.reserve_replica(attempt, now_ms) {
            return Err(NoRoute::Full);
        }
        let Work::Application(call) = &attempt.work else {
            return Ok(Flow::Continue);
        };
        if call.retry_safety == RetrySafety::AnyReplica {
            self.send_call(attempt, now_ms);
            return Ok(Flow::Continue);
        }
        Ok(self.begin_claim(attempt, now_ms))
    }

    /// Reserves the slot of a replica that has not failed during this attempt, and releases the
    /// slot held so far.
    pub(super) fn reserve_replica(&mut self, attempt: &mut Attempt, now_ms: u64) -> bool {
        let Work::Application(call) = &mut attempt.work else {
            return false;
        };
        if let Some(replica) = call.replica.take() {
            self.router.release_replica(&replica.endpoint, now_ms);
        }
        let picked = self
            .router
            .reserve_replica(&attempt.service, &call.failed_replicas, now_ms);
        call.replica = picked.map(|(endpoint, address)| Replica { endpoint, address });
        call.replica.is_some()
    }

    /// Sends a call to the replica whose slot is reserved.
    pub(super) fn send_call(&mut self, attempt: &mut Attempt, now_ms: u64) {
        let id = attempt.id;
        self.record_routed(attempt, 0, now_ms);
        let timeout_ms = self.timeout_ms(attempt, now_ms);
        let request = attempt.key.request.clone();
        let Work::Application(work) = &mut attempt.work else {
            return;
        };
        let Some(replica) = work.replica.clone() else {
            return;
        };
        let call = self.register_call(Call::Application { attempt: id });
        attempt.evidence.record_sent(call);
        work.sent_at_ms = now_ms;
        self.effects.push(EntryEffect::CallApplication {
            call,
            address: replica.address,
            method: work.method.clone(),
            path: work.path.clone(),
            content_type: work.content_type.clone(),
            body: work.body.clone(),
            request,
            idempotency_key: work.idempotency_key.clone(),
            timeout_ms,
            // If a pooled connection broke, it would be unknown whether the call ran.
            fresh_connection: !work.failed_replicas.is_empty()
                || work.retry_safety != RetrySafety::AnyReplica,
        });
    }

    /// How long to wait for a complete reply. A non-idempotent call always gets the maximum, since
    /// giving up on it would leave its result unknown.
    fn timeout_ms(&self, attempt: &Attempt, now_ms: u64) -> u64 {
        let Work::Application(work) = &attempt.work else {
            return MAX_CALL_TIMEOUT_MS;
        };
        if work.retry_safety != RetrySafety::AnyReplica {
            return MAX_CALL_TIMEOUT_MS;
        }
        let times = self.call_times_ms.get(&attempt.service);
        let usual = times
            .copied()
            .unwrap_or_else(|| MovingAverage::new(INITIAL_CALL_TIME_MS));
        let usual_ms = usual.upper_bound(CALL_TIMEOUT_FACTOR) as u64;
        let left_ms = attempt.deadline.map(|it| it.at_ms.saturating_sub(now_ms));
        let wait_ms = usual_ms.min(left_ms.unwrap_or(MAX_CALL_TIMEOUT_MS));
        wait_ms.clamp(MIN_CALL_TIMEOUT_MS, MAX_CALL_TIMEOUT_MS)
    }

    /// Handles the result of a call.
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
                attempt.evidence.record_may_have_run(call);
                entry.on_reply(attempt, reply, now_ms)
            }
            Err(failure) => {
                match failure {
                    ApplicationFailure::NotSent => attempt.evidence.record_not_run(call),
                    ApplicationFailure::ReplyLost => attempt.evidence.record_may_have_run(call),
                }
                entry.on_call_failed(attempt, failure, now_ms)
            }
        });
    }

    fn on_reply(&mut self, attempt: &mut Attempt, reply: ApplicationReply, now_ms: u64) -> Flow {
        let unserved = REPLICA_FAILURE_STATUSES.contains(&reply.status);
        if unserved && self.retry_call(attempt, EndpointFault::Refused, now_ms) {
            return Flow::Continue;
        }
        self.record_call_time(attempt, now_ms);
        self.admission
            .charge(&attempt.service, &attempt.key.account, 1, now_ms);
        self.record_claim_reply(attempt, &reply, now_ms);
        self.send_reply(attempt, reply, false, now_ms)
    }

    fn record_call_time(&mut self, attempt: &Attempt, now_ms: u64) {
        let Work::Application(work) = &attempt.work else {
            return;
        };
        let took_ms = now_ms.saturating_sub(work.sent_at_ms) as f64;
        let times = self.call_times_ms.entry(attempt.service.clone());
        times
            .or_insert_with(|| MovingAverage::new(INITIAL_CALL_TIME_MS))
            .add(took_ms);
    }

    /// Ends an attempt with an application's reply.
    pub(super) fn send_reply(
        &mut self,
        attempt: &mut Attempt,
        reply: ApplicationReply,
        replayed: bool,
        now_ms: u64,
    ) -> Flow {
        for caller in &attempt.callers {
            self.effects.push(EntryEffect::SendReply {
                caller: *caller,
                reply: reply.clone(),
                replayed,
            });
        }
        self.record_completed(attempt, now_ms);
        self.finish(attempt, Some(Answer::Reply(reply)), now_ms);
        Flow::Ended
    }

    fn on_call_failed(
        &mut self,
        attempt: &mut Attempt,
        failure: ApplicationFailure,
        now_ms: u64,
    ) -> Flow {
        if self.retry_call(attempt, fault_of(failure), now_ms) {
            return Flow::Continue;
        }
        self.record_claim_failure(attempt, failure, now_ms);
        self.refuse(attempt, RefusalCode::EndpointFailed, now_ms);
        Flow::Ended
    }

    /// Retries a failed call on another replica if that is safe and within the retry budget.
    fn retry_call(&mut self, attempt: &mut Attempt, fault: EndpointFault, now_ms: u64) -> bool {
        let known_not_run = attempt.evidence.outcome() == Outcome::NotRun;
        let Work::Application(work) = &mut attempt.work else {
            return false;
        };
        if let Some(replica) = &work.replica {
            self.router.observe_fault(&replica.endpoint, fault, now_ms);
            work.failed_replicas.push(replica.endpoint.clone());
        }
        let in_time = attempt.deadline.is_none_or(|it| now_ms < it.at_ms);
        let retry = in_time
            && may_retry(work, known_not_run)
            && self
                .admission
                .allow_retry(&attempt.service, &attempt.key.account, now_ms)
            && self.reserve_replica(attempt, now_ms);
        if retry {
            self.counts.count("entry.calls.retried");
            self.send_call(attempt, now_ms);
        }
        retry
    }
}

/// Whether a failed call may be retried.
fn may_retry(work: &ApplicationCall, known_not_run: bool) -> bool {
    match work.retry_safety {
        RetrySafety::AnyReplica | RetrySafety::Deduplicated => true,
        RetrySafety::OnlyIfNotRun => known_not_run,
    }
}

fn fault_of(failure: ApplicationFailure) -> EndpointFault {
    match failure {
        ApplicationFailure::NotSent => EndpointFault::Unreachable,
        ApplicationFailure::ReplyLost => EndpointFault::Silent,
    }
}
