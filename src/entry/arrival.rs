//! Admission of callers' requests: each is queued, joined to a running answer, answered from the
//! record, or refused.

use super::attempt::{Attempt, AttemptId, Work};
use super::book::{Answer, DigestMismatch, RequestState};
use super::machine::Entry;
use super::views::not_ready;
use crate::admission::QueueRequest;
use crate::instance::{CallerId, CallerRequest, EntryEffect};
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::Policy;

/// Retry delay sent by an instance that has reached its request or caller limit.
const OVERLOADED_RETRY_MS: u64 = 1_000;
/// Retry delay sent by a stopping instance; short, since other instances can serve at once.
const STOPPING_RETRY_MS: u64 = 100;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Handles a new request from a caller.
    pub(super) fn on_arrived(&mut self, caller: CallerId, request: CallerRequest, now_ms: u64) {
        self.counts.count("entry.requests.arrived");
        if let Err(refusal) = self.admit(caller, request, now_ms) {
            self.refuse_caller(caller, refusal);
        }
    }

    /// Sends a refusal to one caller.
    pub(super) fn refuse_caller(&mut self, caller: CallerId, refusal: Refusal) {
        self.counts.count("entry.requests.refused");
        self.effects
            .push(EntryEffect::SendRefusal { caller, refusal });
    }

    fn admit(
        &mut self,
        caller: CallerId,
        request: CallerRequest,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        self.check_size(&request.body)?;
        let attempt = self.resolve(caller, request)?;
        match self.requests.find(&attempt.key, &attempt.digest) {
            Err(DigestMismatch) => Err(Refusal::not_run(RefusalCode::KeyReused, None)),
            Ok(Some(RequestState::Running(running))) => {
                let running = *running;
                self.join(caller, running)
            }
            Ok(Some(RequestState::Recorded(answer))) => {
                let answer = answer.clone();
                self.replay(caller, answer);
                Ok(())
            }
            Ok(None) => self.queue(attempt, now_ms),
        }
    }

    /// Adds a caller to a running answer and sends it all tokens from the first.
    fn join(&mut self, caller: CallerId, running: AttemptId) -> Result<(), Refusal> {
        let Some(attempt) = self.attempts.get_mut(&running) else {
            return Err(not_ready());
        };
        if attempt.callers.len() >= self.config.limits.max_callers_per_request {
            let refusal = Refusal::unknown(RefusalCode::Overloaded, Some(OVERLOADED_RETRY_MS));
            return Err(refusal);
        }
        attempt.callers.push(caller);
        attempt.orphaned_at_ms = None;
        self.callers.insert(caller, running);
        self.counts.count("entry.requests.joined");
        if let Work::Completion(completion) = &attempt.work
            && let Some(chain) = &completion.chain
        {
            let tokens = chain.tokens().to_vec();
            self.send_tokens(caller, tokens);
        }
        Ok(())
    }

    /// Sends a recorded answer.
    fn replay(&mut self, caller: CallerId, answer: Answer) {
        self.counts.count("entry.requests.replayed");
        match answer {
            Answer::Completion {
                tokens,
                cut_by_length,
            } => {
                let positions = saturating_u32(tokens.len());
                self.send_tokens(caller, tokens);
                self.effects.push(EntryEffect::SendEnd {
                    caller,
                    positions,
                    cut_by_length,
                });
            }
            Answer::Reply(reply) => self.effects.push(EntryEffect::SendReply {
                caller,
                reply,
                replayed: true,
            }),
        }
    }

    fn send_tokens(&mut self, caller: CallerId, tokens: Vec<String>) {
        for (index, text) in tokens.into_iter().enumerate() {
            self.effects.push(EntryEffect::SendToken {
                caller,
                position: saturating_u32(index),
                text,
            });
        }
    }

    /// Queues a request that is not registered yet.
    fn queue(&mut self, attempt: Attempt, now_ms: u64) -> Result<(), Refusal> {
        if self.stopping {
            let refusal = Refusal::not_run(RefusalCode::Stopping, Some(STOPPING_RETRY_MS));
            return Err(refusal);
        }
        if self.attempts.len() >= self.config.limits.max_attempts {
            let refusal = Refusal::not_run(RefusalCode::Overloaded, Some(OVERLOADED_RETRY_MS));
            return Err(refusal);
        }
        let ask = QueueRequest {
            caller: attempt.id.0,
            service: &attempt.service,
            account: attempt.account(),
            cost_tokens: cost_tokens(&attempt.work),
            deadline: attempt.deadline,
        };
        if let Err(refusal) = self.admission.enqueue(ask, now_ms) {
            self.record_refused(&attempt, refusal, now_ms);
            return Err(refusal);
        }
        self.dispatch_due = true;
        self.requests
            .insert_running(attempt.key.clone(), attempt.digest, attempt.id);
        self.callers.insert(attempt.id.0, attempt.id);
        self.attempts.insert(attempt.id, attempt);
        Ok(())
    }
}

/// Converts a count to `u32`, saturating.
pub(super) fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn cost_tokens(work: &Work) -> u32 {
    match work {
        Work::Completion(completion) => completion
            .prompt_tokens
            .saturating_add(completion.max_tokens),
        Work::Application(_) => 1,
    }
}
