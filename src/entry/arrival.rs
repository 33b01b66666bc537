//! From a caller's request to a place in the queue, a running or recorded answer, or a refusal.

use super::attempt::{Attempt, AttemptId, Work};
use super::book::{Answer, Known, OtherDigest};
use super::machine::Entry;
use super::views::not_ready;
use crate::admission::QueueRequest;
use crate::instance::{CallerId, CallerRequest, EntryEffect};
use crate::outcome::{Refusal, RefusalCode};
use crate::routing::Policy;

/// When callers should come back to an instance that holds as many requests as it may.
const CROWDED_RETRY_MS: u64 = 1_000;
/// When callers of a stopping instance should come back; other instances serve them at once.
const STOPPING_RETRY_MS: u64 = 100;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Takes a request: queued, joined, answered from the record, or refused.
    pub(super) fn on_arrived(&mut self, caller: CallerId, request: CallerRequest, now_ms: u64) {
        self.counts.count("entry.requests.arrived");
        if let Err(refusal) = self.admit(caller, request, now_ms) {
            self.refuse_caller(caller, refusal);
        }
    }

    /// Sends a refusal to one caller.
    pub(super) fn refuse_caller(&mut self, caller: CallerId, refusal: Refusal) {
        self.counts.count("entry.requests.refused");
        self.out.push(EntryEffect::SendRefusal { caller, refusal });
    }

    fn admit(
        &mut self,
        caller: CallerId,
        request: CallerRequest,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        self.check_size(&request.body)?;
        let attempt = self.resolve(caller, request)?;
        match self.book.find(&attempt.key, &attempt.digest) {
            Err(OtherDigest) => Err(Refusal::not_run(RefusalCode::KeyReused, None)),
            Ok(Some(Known::Running(running))) => {
                let running = *running;
                self.join(caller, running)
            }
            Ok(Some(Known::Recorded(answer))) => {
                let answer = answer.clone();
                self.replay(caller, answer);
                Ok(())
            }
            Ok(None) => self.queue(attempt, now_ms),
        }
    }

    /// Lets a caller share a running answer: it gets every token from the first.
    fn join(&mut self, caller: CallerId, running: AttemptId) -> Result<(), Refusal> {
        let Some(attempt) = self.attempts.get_mut(&running) else {
            return Err(not_ready());
        };
        if attempt.callers.len() >= self.config.limits.max_joined {
            let refusal = Refusal::unknown(RefusalCode::Overloaded, Some(CROWDED_RETRY_MS));
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
                let positions = position(tokens.len());
                self.send_tokens(caller, tokens);
                self.out.push(EntryEffect::SendEnd {
                    caller,
                    positions,
                    cut_by_length,
                });
            }
            Answer::Reply(reply) => self.out.push(EntryEffect::SendReply {
                caller,
                reply,
                replayed: true,
            }),
        }
    }

    fn send_tokens(&mut self, caller: CallerId, tokens: Vec<String>) {
        for (index, text) in tokens.into_iter().enumerate() {
            self.out.push(EntryEffect::SendToken {
                caller,
                position: position(index),
                text,
            });
        }
    }

    /// Queues a request that is new to the book.
    fn queue(&mut self, attempt: Attempt, now_ms: u64) -> Result<(), Refusal> {
        if self.stopping {
            let refusal = Refusal::not_run(RefusalCode::Stopping, Some(STOPPING_RETRY_MS));
            return Err(refusal);
        }
        if self.attempts.len() >= self.config.limits.max_attempts {
            let refusal = Refusal::not_run(RefusalCode::Overloaded, Some(CROWDED_RETRY_MS));
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
            self.note_refused(&attempt, refusal, now_ms);
            return Err(refusal);
        }
        self.dispatch_due = true;
        self.book
            .open(attempt.key.clone(), attempt.digest, attempt.id);
        self.callers.insert(attempt.id.0, attempt.id);
        self.attempts.insert(attempt.id, attempt);
        Ok(())
    }
}

/// A count as a position.
pub(super) fn position(count: usize) -> u32 {
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
