//! Dispatches queued requests while endpoints have capacity, and ends attempts.

use rand::RngExt;

use super::attempt::{Attempt, AttemptId, Work};
use super::book::Answer;
use super::machine::{Entry, Flow};
use crate::chain::Chain;
use crate::ids::ServiceName;
use crate::instance::{CallerId, EntryEffect};
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::{NoRoute, Policy};

/// How long a request without callers waits for one to reconnect before it is cancelled.
const REJOIN_TIMEOUT_MS: u64 = 2_000;
/// Minimum retry delay after endpoints failed or were missing; jitter up to doubles it.
const MIN_ENDPOINT_RETRY_MS: u64 = 500;
/// How long queued requests wait for a chain while no live engines cover all layers. Longer than it
/// takes to replace an engine, since a refusal costs the caller another attempt.
const INCOMPLETE_TIMEOUT_MS: u64 = 5_000;
/// Maximum retry delay, before jitter, while no live engines cover all layers.
const MAX_INCOMPLETE_RETRY_MS: u64 = 15_000;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Dispatches queued requests while the router has capacity.
    pub(super) fn dispatch(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.dispatch_due) {
            return;
        }
        for service in self.admission.backlogged_services() {
            while !self.full_services.contains(&service) && self.dispatch_one(&service, now_ms) {}
        }
    }

    /// Dispatches the next request of a service. Returns false if none can be dispatched.
    fn dispatch_one(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        let Some(caller) = self.admission.dequeue(service, now_ms) else {
            return false;
        };
        let id = AttemptId(caller);
        let mut result = Ok(());
        self.with_attempt(id, |entry, attempt| {
            let started = match attempt.work {
                Work::Completion(_) => entry.start_completion(attempt, now_ms),
                Work::Application(_) => entry.start_application(attempt, now_ms),
            };
            match started {
                Ok(flow) => flow,
                Err(reason) => {
                    result = Err(reason);
                    entry.requeue(attempt, reason, now_ms)
                }
            }
        });
        if result.is_err() {
            self.full_services.insert(service.clone());
            return false;
        }
        self.incomplete_since_ms.swap_remove(service);
        true
    }

    /// Requeues a request that could not be routed, or refuses it after a long outage.
    fn requeue(&mut self, attempt: &mut Attempt, reason: NoRoute, now_ms: u64) -> Flow {
        if reason == NoRoute::Incomplete {
            let since = self.incomplete_since_ms.entry(attempt.service.clone());
            let since_ms = *since.or_insert(now_ms);
            let age_ms = now_ms.saturating_sub(since_ms);
            if age_ms >= INCOMPLETE_TIMEOUT_MS {
                // The longer an outage has lasted, the longer it is expected to continue.
                let min_retry_ms = age_ms.min(MAX_INCOMPLETE_RETRY_MS);
                self.refuse_with_min_retry(attempt, RefusalCode::NoEndpoint, min_retry_ms, now_ms);
                return Flow::Ended;
            }
        }
        self.admission.requeue_front(attempt.id.0, now_ms);
        Flow::Continue
    }

    /// Refuses queued requests that can no longer meet their deadline.
    pub(super) fn refuse_expired(&mut self, now_ms: u64) {
        for (caller, refusal) in self.admission.expire(now_ms) {
            self.with_attempt(AttemptId(caller), |entry, attempt| {
                entry.refuse_with(attempt, refusal, now_ms);
                Flow::Ended
            });
        }
    }

    /// Ends an attempt without an answer. Its evidence determines the outcome.
    pub(super) fn refuse(&mut self, attempt: &mut Attempt, code: RefusalCode, now_ms: u64) {
        self.refuse_with_min_retry(attempt, code, MIN_ENDPOINT_RETRY_MS, now_ms);
    }

    /// Ends an attempt without an answer; callers should retry after at least `min_retry_ms`.
    fn refuse_with_min_retry(
        &mut self,
        attempt: &mut Attempt,
        code: RefusalCode,
        min_retry_ms: u64,
        now_ms: u64,
    ) {
        // Jitter, so that the callers of one endpoint do not all retry at once.
        let retry_after_ms = self.rng.random_range(min_retry_ms..2 * min_retry_ms);
        let refusal = attempt.evidence.refusal(code, Some(retry_after_ms));
        self.refuse_with(attempt, refusal, now_ms);
    }

    /// Ends an attempt with the given refusal.
    pub(super) fn refuse_with(&mut self, attempt: &mut Attempt, refusal: Refusal, now_ms: u64) {
        for caller in std::mem::take(&mut attempt.callers) {
            self.callers.swap_remove(&caller);
            self.refuse_caller(caller, refusal);
        }
        self.record_refused(attempt, refusal, now_ms);
        self.finish(attempt, None, now_ms);
    }

    /// Releases all resources of an attempt and records its answer, if any.
    pub(super) fn finish(&mut self, attempt: &mut Attempt, answer: Option<Answer>, now_ms: u64) {
        self.drop_stream(attempt);
        match &mut attempt.work {
            Work::Completion(completion) => self.router.release(completion.stream, now_ms),
            Work::Application(call) => {
                if let Some(replica) = call.replica.take() {
                    self.router.release_replica(&replica.endpoint, now_ms);
                }
            }
        }
        self.full_services.swap_remove(&attempt.service);
        self.dispatch_due = true;
        self.admission.remove(attempt.id.0, now_ms);
        for caller in &attempt.callers {
            self.callers.swap_remove(caller);
        }
        match answer {
            Some(answer) => {
                let key = attempt.key.clone();
                self.requests
                    .record_answer(key, answer, &self.config.limits, now_ms);
            }
            None => self.requests.remove(&attempt.key),
        }
    }

    /// Handles a disconnected caller. A request without callers is kept until `REJOIN_TIMEOUT_MS`.
    pub(super) fn on_caller_gone(&mut self, caller: CallerId, now_ms: u64) {
        let Some(id) = self.callers.swap_remove(&caller) else {
            return;
        };
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.callers.retain(|other| *other != caller);
            if attempt.callers.is_empty() {
                attempt.orphaned_at_ms = Some(now_ms);
            }
        }
    }

    /// Cancels requests whose callers did not reconnect in time.
    pub(super) fn cancel_orphans(&mut self, now_ms: u64) {
        let is_due = |attempt: &&Attempt| {
            let since_ms = attempt.orphaned_at_ms;
            let is_expired =
                since_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) >= REJOIN_TIMEOUT_MS);
            is_expired && !attempt.outlives_callers()
        };
        let due: Vec<AttemptId> = self
            .attempts
            .values()
            .filter(is_due)
            .map(|attempt| attempt.id)
            .collect();
        for id in due {
            self.counts.count("entry.requests.abandoned");
            self.with_attempt(id, |entry, attempt| entry.cancel(attempt, now_ms));
        }
    }

    fn cancel(&mut self, attempt: &mut Attempt, now_ms: u64) -> Flow {
        if let Work::Completion(completion) = &mut attempt.work {
            let stream = completion.stream;
            let effects = completion.chain.as_mut().map(Chain::abandon);
            for effect in effects.unwrap_or_default() {
                if let crate::chain::ChainEffect::Cancel { address, epoch } = effect {
                    self.effects.push(EntryEffect::CancelStream {
                        address,
                        stream,
                        epoch,
                    });
                }
            }
        }
        self.finish(attempt, None, now_ms);
        Flow::Ended
    }
}
