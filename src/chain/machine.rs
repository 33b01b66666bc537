//! The state machine of one running completion.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::blame::Round;
use super::message::{
    ChainEffect, ChainMessage, ChainSpec, DropCause, ExpectedTiming, ProbeAnswer,
};
use super::pace::Pace;
use crate::ids::EndpointId;
use crate::routing::NoRoute;
use crate::wire::engine::{EndReason, LayerRange, Stage, StreamEvent};

/// Most rebuilds of one chain because it is slow.
const SLOW_REBUILDS: u32 = 2;

/// Where a chain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for stages; asks again at this time.
    Routing { retry_at_ms: u64 },
    /// The stream of the current epoch is open.
    Open,
    /// Nothing follows.
    Ended,
}

/// A running completion.
#[derive(Clone, Debug)]
pub(crate) struct Chain {
    pub(super) spec: ChainSpec,
    pub(super) state: State,
    /// Only grows; 0 before the first stream was opened.
    pub(super) epoch: u32,
    /// Stages of the current epoch.
    pub(super) stages: Vec<Stage>,
    /// Stages that surely hold the KV state of every position in `tokens`, with their layers.
    pub(super) holding: IndexMap<EndpointId, LayerRange>,
    /// Whether the next epoch may import KV state.
    pub(super) may_import: bool,
    /// Whether KV state was found missing since the last token.
    pub(super) kv_missing: bool,
    /// Tokens handed out, in order; never more than `spec.max_tokens`.
    pub(super) tokens: Vec<String>,
    /// Tokens held when the current epoch was opened.
    pub(super) start: u32,
    /// Stages of earlier epochs still to be cancelled. That waits for the first token of the epoch
    /// that replaced them: until then their KV state may be imported, and a cancelled first stage
    /// would take the state of those that stay with it.
    pub(super) to_cancel: Vec<(SocketAddr, u32)>,
    /// Stages that named another as unreachable since the last token.
    pub(super) accusers: Vec<EndpointId>,
    pub(super) pace: Pace,
    pub(super) opened_at_ms: u64,
    /// When the last token came, or the chain began.
    pub(super) progress_at_ms: u64,
    /// When silence becomes suspicious.
    pub(super) suspect_at_ms: u64,
    pub(super) round: Option<Round>,
    pub(super) rounds: u32,
    /// Whether the current epoch's stream has surely ended without a last word, so that it must be
    /// opened again whatever the probes say.
    pub(super) broken: bool,
    /// Answers of the last round, if no token came since.
    pub(super) last_answers: Option<Vec<ProbeAnswer>>,
    /// Rounds without movement since the last token.
    pub(super) unmoved_rounds: u32,
    /// The stage last found behind, and in how many rounds in a row.
    pub(super) behind: Option<(usize, u32)>,
    /// Times the chain may still be rebuilt because it is slow. Few, since recomputing adds to the
    /// load that may be what slows it.
    pub(super) slow_left: u32,
    /// Rebuilds since the last token.
    pub(super) rebuilds: u32,
    /// Epochs opened on the same stages since the last token because one did not come.
    pub(super) reopened: u32,
    pub(super) excluded: Vec<EndpointId>,
}

impl Chain {
    /// Starts a completion on its first stages.
    pub(crate) fn begin(
        spec: ChainSpec,
        stages: Vec<Stage>,
        expected: ExpectedTiming,
        now_ms: u64,
    ) -> (Self, Vec<ChainEffect>) {
        let mut chain = Self {
            spec,
            state: State::Routing {
                retry_at_ms: now_ms,
            },
            epoch: 0,
            stages: Vec::new(),
            holding: IndexMap::new(),
            may_import: true,
            kv_missing: false,
            tokens: Vec::new(),
            start: 0,
            to_cancel: Vec::new(),
            accusers: Vec::new(),
            pace: Pace::new(expected),
            opened_at_ms: now_ms,
            progress_at_ms: now_ms,
            suspect_at_ms: now_ms,
            round: None,
            rounds: 0,
            broken: false,
            last_answers: None,
            unmoved_rounds: 0,
            behind: None,
            slow_left: SLOW_REBUILDS,
            rebuilds: 0,
            reopened: 0,
            excluded: Vec::new(),
        };
        let mut effects = Vec::new();
        chain.open(stages, expected, now_ms, &mut effects);
        (chain, effects)
    }

    /// Stages of the current epoch.
    pub(crate) fn stages(&self) -> &[Stage] {
        &self.stages
    }

    /// Tokens handed out so far.
    pub(crate) fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Takes the tokens out of a chain that has ended.
    pub(crate) fn into_tokens(self) -> Vec<String> {
        self.tokens
    }

    /// When the next [`ChainMessage::Wake`] is due.
    pub(crate) fn wake_at_ms(&self) -> Option<u64> {
        match (self.state, &self.round) {
            (State::Routing { retry_at_ms }, _) => Some(retry_at_ms),
            (State::Open, Some(round)) => Some(round.until_ms),
            (State::Open, None) => Some(self.suspect_at_ms),
            (State::Ended, _) => None,
        }
    }

    /// Takes a message.
    pub(crate) fn handle(&mut self, message: ChainMessage, now_ms: u64) -> Vec<ChainEffect> {
        let mut effects = Vec::new();
        if self.state == State::Ended {
            if let ChainMessage::Event(_) = message {
                effects.push(ChainEffect::Dropped(DropCause::AfterEnd));
            }
            return effects;
        }
        match message {
            ChainMessage::Planned { stages, expected } => {
                self.open(stages, expected, now_ms, &mut effects);
            }
            ChainMessage::NoRoute { reason } => self.wait_for_route(reason, now_ms),
            ChainMessage::RetryDenied => self.wait_for_route(NoRoute::Full, now_ms),
            ChainMessage::Event(event) => self.on_event(event, now_ms, &mut effects),
            ChainMessage::StreamFailed { epoch, failure } => {
                self.on_stream_failed(epoch, failure, now_ms, &mut effects);
            }
            ChainMessage::Probed {
                round,
                stage,
                answer,
            } => self.on_probed(round, stage, answer, now_ms, &mut effects),
            ChainMessage::Wake { gap_ms } => self.on_wake(gap_ms, now_ms, &mut effects),
        }
        effects
    }

    /// Ends the chain because nobody waits for it, and cancels it at its stages.
    pub(crate) fn abandon(&mut self) -> Vec<ChainEffect> {
        let mut effects = Vec::new();
        if self.state != State::Ended {
            self.state = State::Ended;
            self.cancel_stages(&mut effects);
        }
        effects
    }

    pub(super) fn on_event(
        &mut self,
        event: StreamEvent,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if event_epoch(&event) != self.epoch {
            effects.push(ChainEffect::Dropped(DropCause::OtherEpoch));
            return;
        }
        match event {
            StreamEvent::Token { position, text, .. } => {
                self.on_token(position, text, now_ms, effects);
            }
            // Says that the first stage lives, nothing of progress: the wait goes on.
            StreamEvent::Heartbeat { .. } => {}
            StreamEvent::End {
                positions, reason, ..
            } => self.on_end(positions, reason, now_ms, effects),
            StreamEvent::Failed { stage, cause, .. } => {
                self.on_failed(stage, cause, now_ms, effects);
            }
        }
    }

    pub(super) fn on_token(
        &mut self,
        position: u32,
        text: String,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let next = self.held();
        if position != next || self.is_whole() {
            let cause = if position > next {
                DropCause::Ahead
            } else {
                DropCause::Repeated
            };
            effects.push(ChainEffect::Dropped(cause));
            return;
        }
        let gap_ms = self.note_progress(now_ms, effects);
        self.tokens.push(text.clone());
        effects.push(ChainEffect::Token {
            position,
            text,
            gap_ms,
        });
    }

    /// Notes the arrival of a token and returns the gap before it.
    pub(super) fn note_progress(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) -> u64 {
        let gap_ms = if self.has_delivered() {
            let gap_ms = now_ms.saturating_sub(self.progress_at_ms);
            self.pace.add_gap(gap_ms);
            gap_ms
        } else {
            self.note_first(now_ms, effects);
            now_ms.saturating_sub(self.opened_at_ms)
        };
        self.progress_at_ms = now_ms;
        self.rebuilds = 0;
        self.reopened = 0;
        self.accusers.clear();
        if !self.broken {
            // Also when stages for the next epoch are being looked for: this one goes on after all.
            self.state = State::Open;
        }
        let behind = self.behind.filter(|_| self.pace.is_late());
        self.forget_silence();
        self.behind = behind;
        self.suspect_at_ms = now_ms + self.pace.next_probe_ms();
        gap_ms
    }

    pub(super) fn note_first(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.cancel_dropped(effects);
        self.may_import = true;
        self.kv_missing = false;
        if self.stages.iter().all(|stage| stage.recompute) {
            effects.push(ChainEffect::Prefilled {
                took_ms: now_ms.saturating_sub(self.opened_at_ms),
                tokens: self.tokens_to_compute(),
            });
        }
        self.holding = self
            .stages
            .iter()
            .map(|stage| (stage.endpoint.clone(), stage.layers))
            .collect();
    }

    /// Tokens a chain computes that holds no KV state yet.
    pub(crate) fn tokens_to_compute(&self) -> u32 {
        let prompt = self.spec.prompt.split_whitespace().count();
        u32::try_from(prompt)
            .unwrap_or(u32::MAX)
            .saturating_add(self.held())
    }

    /// Whether the current epoch has delivered a token.
    pub(super) fn has_delivered(&self) -> bool {
        self.held() > self.start
    }

    /// Whether every token that may be generated is here, even if the end event is not.
    pub(super) fn is_whole(&self) -> bool {
        self.held() >= self.spec.max_tokens
    }

    pub(super) fn held(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn on_end(
        &mut self,
        positions: u32,
        reason: EndReason,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if positions != self.held() {
            // A token is missing on the way: the engines have it, the entry has not.
            effects.push(ChainEffect::Dropped(DropCause::Ahead));
            self.broken = true;
            self.rebuild(&[], now_ms, effects);
            return;
        }
        self.finish(reason == EndReason::Length, effects);
    }

    pub(super) fn finish(&mut self, cut_by_length: bool, effects: &mut Vec<ChainEffect>) {
        self.state = State::Ended;
        self.cancel_dropped(effects);
        effects.push(ChainEffect::Done {
            positions: self.held(),
            cut_by_length,
        });
    }
}

fn event_epoch(event: &StreamEvent) -> u32 {
    match event {
        StreamEvent::Token { epoch, .. }
        | StreamEvent::Heartbeat { epoch, .. }
        | StreamEvent::End { epoch, .. }
        | StreamEvent::Failed { epoch, .. } => *epoch,
    }
}
