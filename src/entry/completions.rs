//! Completions: starts chains and executes their effects.

use std::collections::VecDeque;

use super::attempt::{Attempt, AttemptId, Completion, Work};
use super::book::Answer;
use super::machine::{Call, Entry, Flow};
use crate::chain::{Chain, ChainEffect, ChainMessage, ChainSpec, DropCause, ExpectedTiming};
use crate::document::ModelOffer;
use crate::ids::{EndpointId, ServiceName};
use crate::instance::EntryEffect;
use crate::routing::{NoRoute, Policy, RouteRequest};
use crate::wire::engine::Stage;

impl<P> Entry<P>
where
    P: Policy,
{
    /// Starts the chain of a queued completion. Leaves the attempt unchanged if there is no route.
    pub(super) fn start_completion(
        &mut self,
        attempt: &mut Attempt,
        now_ms: u64,
    ) -> Result<Flow, NoRoute> {
        let Work::Completion(completion) = &mut attempt.work else {
            return Ok(Flow::Continue);
        };
        let (offer, stages) = self.plan_any_version(&attempt.service, completion, now_ms)?;
        completion.model = offer;
        let expected =
            self.expected_timing(&completion.model.name, &stages, completion.prompt_tokens);
        let spec = ChainSpec {
            stream: completion.stream,
            request: attempt.key.request.clone(),
            model: completion.model.name.clone(),
            version: completion.model.version.clone(),
            adapter: completion.adapter.clone(),
            prompt: completion.prompt.clone(),
            max_tokens: completion.max_tokens,
            deadline: attempt.deadline,
        };
        let (chain, effects) = Chain::begin(spec, stages, expected, now_ms);
        let prompt_tokens = completion.prompt_tokens;
        completion.chain = Some(chain);
        self.admission.charge_prompt(
            &attempt.service,
            &attempt.key.account,
            prompt_tokens,
            now_ms,
        );
        Ok(self.apply_chain_effects(attempt, effects, now_ms))
    }

    /// Plans a chain of the offered model version or, during a version change, of another version
    /// that engines still hold. The complete answer then comes from that version.
    fn plan_any_version(
        &mut self,
        service: &ServiceName,
        completion: &Completion,
        now_ms: u64,
    ) -> Result<(ModelOffer, Vec<Stage>), NoRoute> {
        let mut failure = NoRoute::Incomplete;
        for offer in self.router.loaded_offers(service, &completion.model) {
            let route_request = RouteRequest {
                stream: completion.stream,
                service,
                model: &offer,
                adapter: completion.adapter.as_deref(),
                prompt: &completion.prompt,
                previous: &[],
                exclude: &[],
            };
            match self.router.plan(&route_request, now_ms) {
                Ok(stages) => return Ok((offer, stages)),
                Err(NoRoute::Full) => failure = NoRoute::Full,
                Err(NoRoute::Incomplete) => {}
            }
        }
        Err(failure)
    }

    fn expected_timing(&self, model: &str, stages: &[Stage], tokens: u32) -> ExpectedTiming {
        let history = self.prefill.get(model).copied().unwrap_or_default();
        ExpectedTiming {
            gap_ms: self.router.expected_gap_ms(stages),
            deviation_ms: self.router.gap_deviation_ms(stages),
            first_ms: history.expected_ms(tokens),
            probe_ms: self.probe_times.expected_ms(),
        }
    }

    /// Passes a message to the chain of an attempt and executes the resulting effects.
    pub(super) fn handle_chain_message(
        &mut self,
        attempt: &mut Attempt,
        message: ChainMessage,
        now_ms: u64,
    ) -> Flow {
        let effects = match chain_of(attempt) {
            Some(chain) => chain.handle(message, now_ms),
            None => Vec::new(),
        };
        self.apply_chain_effects(attempt, effects, now_ms)
    }

    fn apply_chain_effects(
        &mut self,
        attempt: &mut Attempt,
        effects: Vec<ChainEffect>,
        now_ms: u64,
    ) -> Flow {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                ChainEffect::Plan { exclude, is_retry } => {
                    let message = self.replan(attempt, &exclude, is_retry, now_ms);
                    if let Some(chain) = chain_of(attempt) {
                        effects.extend(chain.handle(message, now_ms));
                    }
                }
                ChainEffect::Done { cut_by_length, .. } => {
                    self.complete(attempt, cut_by_length, now_ms);
                    return Flow::Ended;
                }
                ChainEffect::GiveUp { code } => {
                    self.refuse(attempt, code, now_ms);
                    return Flow::Ended;
                }
                other => self.apply_chain_effect(attempt, other, now_ms),
            }
        }
        Flow::Continue
    }

    fn apply_chain_effect(&mut self, attempt: &mut Attempt, effect: ChainEffect, now_ms: u64) {
        match effect {
            ChainEffect::Open {
                open,
                fresh_connection,
            } => self.open_stream(attempt, open, fresh_connection, now_ms),
            ChainEffect::Cancel { address, epoch } => {
                if let Some(stream) = stream_of(attempt) {
                    self.effects.push(EntryEffect::CancelStream {
                        address,
                        stream,
                        epoch,
                    });
                }
            }
            ChainEffect::Probe {
                round,
                stage,
                address,
                timeout_ms,
            } => {
                self.counts.count("entry.probes");
                let Some(stream) = stream_of(attempt) else {
                    return;
                };
                let call = self.register_call(Call::Probe {
                    attempt: attempt.id,
                    round,
                    stage,
                    sent_at_ms: now_ms,
                });
                self.effects.push(EntryEffect::ProbeStream {
                    call,
                    address,
                    stream,
                    timeout_ms,
                });
            }
            ChainEffect::Fault { endpoint, fault } => {
                self.counts.count("entry.faults");
                self.router.observe_fault(&endpoint, fault, now_ms);
                self.request_dispatch();
            }
            ChainEffect::Token {
                position,
                text,
                gap_ms,
            } => self.send_token(attempt, position, &text, gap_ms, now_ms),
            ChainEffect::Prefilled { took_ms, tokens } => {
                if let Work::Completion(completion) = &attempt.work {
                    let model = completion.model.name.clone();
                    self.prefill.entry(model).or_default().add(took_ms, tokens);
                }
            }
            ChainEffect::Dropped(cause) => self.counts.count(drop_counter_name(cause)),
            ChainEffect::Plan { .. } | ChainEffect::Done { .. } | ChainEffect::GiveUp { .. } => {}
        }
    }

    /// Plans the stages of the next epoch.
    fn replan(
        &mut self,
        attempt: &mut Attempt,
        exclude: &[EndpointId],
        is_retry: bool,
        now_ms: u64,
    ) -> ChainMessage {
        let Work::Completion(completion) = &attempt.work else {
            return ChainMessage::RetryDenied;
        };
        let Some(chain) = &completion.chain else {
            return ChainMessage::RetryDenied;
        };
        let account = &attempt.key.account;
        if is_retry && !self.admission.has_retry(&attempt.service, account, now_ms) {
            self.counts.count("entry.retries.denied");
            return ChainMessage::RetryDenied;
        }
        let route_request = RouteRequest {
            stream: completion.stream,
            service: &attempt.service,
            model: &completion.model,
            adapter: completion.adapter.as_deref(),
            prompt: &completion.prompt,
            previous: chain.stages(),
            exclude,
        };
        match self.router.plan(&route_request, now_ms) {
            Ok(stages) => {
                if is_retry {
                    // Charged only once a route exists: a retry without stages causes no load.
                    self.admission
                        .allow_retry(&attempt.service, account, now_ms);
                }
                self.counts.count("entry.rebuilds");
                let tokens = chain.tokens_to_compute();
                let expected = self.expected_timing(&completion.model.name, &stages, tokens);
                ChainMessage::Planned { stages, expected }
            }
            Err(reason) => ChainMessage::NoRoute { reason },
        }
    }

    fn complete(&mut self, attempt: &mut Attempt, cut_by_length: bool, now_ms: u64) {
        let Work::Completion(completion) = &mut attempt.work else {
            return;
        };
        let tokens = completion.chain.take().map(Chain::into_tokens);
        let tokens = tokens.unwrap_or_default();
        let positions = super::arrival::saturating_u32(tokens.len());
        for caller in &attempt.callers {
            self.effects.push(EntryEffect::SendEnd {
                caller: *caller,
                positions,
                cut_by_length,
            });
        }
        let answer = Answer::Completion {
            tokens,
            cut_by_length,
        };
        self.record_completed(attempt, now_ms);
        self.finish(attempt, Some(answer), now_ms);
    }

    /// Wakes the chains whose timers are due.
    pub(super) fn wake_chains(&mut self, now_ms: u64) {
        let is_due = |attempt: &Attempt| match &attempt.work {
            Work::Completion(completion) => {
                let wake_at_ms = completion.chain.as_ref().and_then(Chain::wake_at_ms);
                wake_at_ms.is_some_and(|at_ms| at_ms <= now_ms)
            }
            Work::Application(_) => false,
        };
        let attempts = self.attempts.values().filter(|attempt| is_due(attempt));
        let due: Vec<AttemptId> = attempts.map(|attempt| attempt.id).collect();
        for id in due {
            self.with_attempt(id, |entry, attempt| entry.wake_chain(attempt, now_ms));
        }
    }

    fn wake_chain(&mut self, attempt: &mut Attempt, now_ms: u64) -> Flow {
        let gap_ms = match chain_of(attempt) {
            Some(chain) => self.router.expected_gap_ms(chain.stages()),
            None => return Flow::Continue,
        };
        self.handle_chain_message(attempt, ChainMessage::Wake { gap_ms }, now_ms)
    }
}

fn chain_of(attempt: &mut Attempt) -> Option<&mut Chain> {
    completion_of(attempt)?.chain.as_mut()
}

fn completion_of(attempt: &mut Attempt) -> Option<&mut Completion> {
    match &mut attempt.work {
        Work::Completion(completion) => Some(completion),
        Work::Application(_) => None,
    }
}

pub(super) fn stream_of(attempt: &Attempt) -> Option<crate::ids::StreamId> {
    match &attempt.work {
        Work::Completion(completion) => Some(completion.stream),
        Work::Application(_) => None,
    }
}

fn drop_counter_name(cause: DropCause) -> &'static str {
    match cause {
        DropCause::OtherEpoch => "entry.events.other_epoch",
        DropCause::Repeated => "entry.events.repeated",
        DropCause::Ahead => "entry.events.ahead",
        DropCause::AfterEnd => "entry.events.after_end",
    }
}
