//! Streams to engines: opening, events, probes and closing.

use super::attempt::{Attempt, Work};
use super::completions::stream_of;
use super::machine::{Call, Entry};
use crate::chain::{ChainMessage, ProbeAnswer};
use crate::instance::{CallId, EntryEffect, StreamFailure};
use crate::routing::Policy;
use crate::wire::engine::{OpenStream, StreamEvent, StreamProgress};

impl<P> Entry<P>
where
    P: Policy,
{
    pub(super) fn on_stream_event(&mut self, call: CallId, event: StreamEvent, now_ms: u64) {
        let Some(Call::Stream { attempt, .. }) = self.calls.get(&call) else {
            self.counts.count("entry.events.late");
            return;
        };
        let attempt = *attempt;
        self.with_attempt(attempt, |entry, attempt| {
            attempt.evidence.record_may_have_run(call);
            entry.handle_chain_message(attempt, ChainMessage::Event(event), now_ms)
        });
    }

    pub(super) fn on_stream_failed(&mut self, call: CallId, failure: StreamFailure, now_ms: u64) {
        let Some(Call::Stream { attempt, epoch }) = self.calls.swap_remove(&call) else {
            self.counts.count("entry.events.late");
            return;
        };
        self.with_attempt(attempt, |entry, attempt| {
            match failure {
                StreamFailure::NotSent | StreamFailure::Refused { .. } => {
                    attempt.evidence.record_not_run(call);
                }
                StreamFailure::Broken => attempt.evidence.record_may_have_run(call),
            }
            let message = ChainMessage::StreamFailed { epoch, failure };
            entry.handle_chain_message(attempt, message, now_ms)
        });
    }

    pub(super) fn on_probed(&mut self, call: CallId, answer: ProbeAnswer, now_ms: u64) {
        let Some(Call::Probe {
            attempt,
            round,
            stage,
            sent_at_ms,
        }) = self.calls.swap_remove(&call)
        else {
            return;
        };
        // Unanswered probes count too; otherwise an instance on which all answers are late would never
        // raise its probe timeout.
        self.probe_times.add(now_ms.saturating_sub(sent_at_ms));
        let message = ChainMessage::Probed {
            round,
            stage,
            answer,
        };
        self.with_attempt(attempt, |entry, attempt| {
            entry.handle_chain_message(attempt, message, now_ms)
        });
    }

    pub(super) fn open_stream(
        &mut self,
        attempt: &mut Attempt,
        open: OpenStream,
        fresh_connection: bool,
        now_ms: u64,
    ) {
        self.drop_stream(attempt);
        let Some(address) = open.chain.first().map(|stage| stage.address) else {
            return;
        };
        let call = self.register_call(Call::Stream {
            attempt: attempt.id,
            epoch: open.epoch,
        });
        attempt.evidence.record_sent(call);
        if let Work::Completion(completion) = &mut attempt.work {
            completion.stream_call = Some(call);
        }
        self.record_routed(attempt, open.epoch, now_ms);
        self.effects.push(EntryEffect::OpenStream {
            call,
            address,
            open,
            fresh_connection,
        });
    }

    /// Closes the open stream of an attempt, if any.
    pub(super) fn drop_stream(&mut self, attempt: &mut Attempt) {
        let Work::Completion(completion) = &mut attempt.work else {
            return;
        };
        if let Some(call) = completion.stream_call.take()
            && self.calls.swap_remove(&call).is_some()
        {
            self.effects.push(EntryEffect::DropStream { call });
        }
    }

    pub(super) fn send_token(
        &mut self,
        attempt: &mut Attempt,
        position: u32,
        text: &str,
        gap_ms: u64,
        now_ms: u64,
    ) {
        if let Some(stream) = stream_of(attempt) {
            self.router.observe_token(stream, gap_ms, now_ms);
        }
        self.admission
            .charge(&attempt.service, attempt.account(), 1, now_ms);
        self.counts.count("entry.tokens");
        let in_order = position == attempt.sent_tokens;
        crate::invariant::check(in_order, "entry.tokens_in_order", || {
            format!(
                "token at position {position} received after {} tokens",
                attempt.sent_tokens
            )
        });
        attempt.sent_tokens += 1;
        for caller in &attempt.callers {
            self.effects.push(EntryEffect::SendToken {
                caller: *caller,
                position,
                text: text.to_owned(),
            });
        }
    }
}

/// Converts the result of a probe of a stage.
pub(super) fn probe_answer(progress: Option<StreamProgress>, reachable: bool) -> ProbeAnswer {
    match progress {
        Some(progress) => ProbeAnswer::Progress(progress),
        None if reachable => ProbeAnswer::UnknownStream,
        None => ProbeAnswer::Unreachable,
    }
}
