//! The queue's other end: dispatches while there is room, and ends attempts.

use rand::RngExt;

use super::attempt::{Attempt, AttemptId, Work};
use super::book::Answer;
use super::machine::{Entry, Flow};
use crate::chain::Chain;
use crate::ids::ServiceName;
use crate::instance::{CallerId, EntryEffect};
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::{NoRoute, Policy};

/// How long a caller that went may come back before its request is cancelled.
const REJOIN_MS: u64 = 2_000;
/// When to come back after endpoints failed or were missing; up to twice as long.
const FAILED_RETRY_MS: u64 = 500;
/// How long queued requests wait for a chain while no living engines cover the layers: longer than
/// an engine takes to be replaced, since a refusal costs another attempt.
const INCOMPLETE_WAIT_MS: u64 = 5_000;
/// Longest time to come back, before jitter, while no living engines cover the layers.
const INCOMPLETE_RETRY_LIMIT_MS: u64 = 15_000;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Dispatches queued requests while the router has room.
    pub(super) fn dispatch(&mut self, now_ms: u64) {
        if !std::mem::take(&mut self.dispatch_due) {
            return;
        }
        for service in self.admission.backlogged_services() {
            while !self.full.contains(&service) && self.dispatch_one(&service, now_ms) {}
        }
    }

    /// Dispatches the next request of a service. False if none can be.
    fn dispatch_one(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        let Some(caller) = self.admission.dequeue(service, now_ms) else {
            return false;
        };
        let id = AttemptId(caller);
        let mut room = Ok(());
        self.with_attempt(id, |entry, attempt| {
            let started = match attempt.work {
                Work::Completion(_) => entry.start_completion(attempt, now_ms),
                Work::Application(_) => entry.start_application(attempt, now_ms),
            };
            match started {
                Ok(flow) => flow,
                Err(reason) => {
                    room = Err(reason);
                    entry.put_back(attempt, reason, now_ms)
                }
            }
        });
        if room.is_err() {
            self.full.insert(service.clone());
            return false;
        }
        self.incomplete_since_ms.swap_remove(service);
        true
    }

    /// Queues a request again that found no room, or refuses it if there will be none soon.
    fn put_back(&mut self, attempt: &mut Attempt, reason: NoRoute, now_ms: u64) -> Flow {
        if reason == NoRoute::Incomplete {
            let since = self.incomplete_since_ms.entry(attempt.service.clone());
            let since_ms = *since.or_insert(now_ms);
            let age_ms = now_ms.saturating_sub(since_ms);
            if age_ms >= INCOMPLETE_WAIT_MS {
                // An outage that has lasted long will likely last as long again.
                let least_ms = age_ms.min(INCOMPLETE_RETRY_LIMIT_MS);
                self.refuse_for(attempt, RefusalCode::NoEndpoint, least_ms, now_ms);
                return Flow::Ended;
            }
        }
        self.admission.requeue_front(attempt.id.0, now_ms);
        Flow::GoesOn
    }

    /// Refuses queued requests that are known not to meet their deadline.
    pub(super) fn refuse_expired(&mut self, now_ms: u64) {
        for (caller, refusal) in self.admission.expire(now_ms) {
            self.with_attempt(AttemptId(caller), |entry, attempt| {
                entry.refuse_with(attempt, refusal, now_ms);
                Flow::Ended
            });
        }
    }

    /// Ends an attempt without an answer. Whether it ran is decided by its evidence.
    pub(super) fn refuse(&mut self, attempt: &mut Attempt, code: RefusalCode, now_ms: u64) {
        self.refuse_for(attempt, code, FAILED_RETRY_MS, now_ms);
    }

    /// Ends an attempt without an answer; its caller is to come back after `least_ms` or more.
    fn refuse_for(&mut self, attempt: &mut Attempt, code: RefusalCode, least_ms: u64, now_ms: u64) {
        // Spread, so that the callers of one endpoint do not all come back at once.
        let retry_after_ms = self.rng.random_range(least_ms..2 * least_ms);
        let refusal = attempt.evidence.refusal(code, Some(retry_after_ms));
        self.refuse_with(attempt, refusal, now_ms);
    }

    /// Ends an attempt with this refusal.
    pub(super) fn refuse_with(&mut self, attempt: &mut Attempt, refusal: Refusal, now_ms: u64) {
        for caller in std::mem::take(&mut attempt.callers) {
            self.callers.swap_remove(&caller);
            self.refuse_caller(caller, refusal);
        }
        self.note_refused(attempt, refusal, now_ms);
        self.settle(attempt, None, now_ms);
    }

    /// Gives back everything an attempt holds, and records its answer.
    pub(super) fn settle(&mut self, attempt: &mut Attempt, answer: Option<Answer>, now_ms: u64) {
        self.drop_stream(attempt);
        match &mut attempt.work {
            Work::Completion(completion) => self.router.release(completion.stream, now_ms),
            Work::Application(call) => {
                if let Some(replica) = call.replica.take() {
                    self.router.release_replica(&replica.endpoint, now_ms);
                }
            }
        }
        self.full.swap_remove(&attempt.service);
        self.dispatch_due = true;
        self.admission.remove(attempt.id.0, now_ms);
        for caller in &attempt.callers {
            self.callers.swap_remove(caller);
        }
        match answer {
            Some(answer) => {
                let key = attempt.key.clone();
                self.book.record(key, answer, &self.config.limits, now_ms);
            }
            None => self.book.forget(&attempt.key),
        }
    }

    /// Notes that a caller went; its request waits a little for it to come back.
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

    /// Cancels requests whose callers stayed away.
    pub(super) fn drop_orphans(&mut self, now_ms: u64) {
        let is_due = |attempt: &&Attempt| {
            let since_ms = attempt.orphaned_at_ms;
            let away = since_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) >= REJOIN_MS);
            away && !attempt.outlives_callers()
        };
        let due: Vec<AttemptId> = self
            .attempts
            .values()
            .filter(is_due)
            .map(|attempt| attempt.id)
            .collect();
        for id in due {
            self.counts.count("entry.requests.abandoned");
            self.with_attempt(id, |entry, attempt| entry.abandon(attempt, now_ms));
        }
    }

    fn abandon(&mut self, attempt: &mut Attempt, now_ms: u64) -> Flow {
        if let Work::Completion(completion) = &mut attempt.work {
            let stream = completion.stream;
            let effects = completion.chain.as_mut().map(Chain::abandon);
            for effect in effects.unwrap_or_default() {
                if let crate::chain::ChainEffect::Cancel { address, epoch } = effect {
                    self.out.push(EntryEffect::CancelStream {
                        address,
                        stream,
                        epoch,
                    });
                }
            }
        }
        self.settle(attempt, None, now_ms);
        Flow::Ended
    }
}
