//! The state machine of one running completion.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::blame::ProbeRound;
use super::message::{
    ChainEffect, ChainMessage, ChainSpec, DropCause, ExpectedTiming, ProbeAnswer,
};
use super::pace::Pace;
use crate::ids::EndpointId;
use crate::routing::NoRoute;
use crate::wire::engine::{EndReason, LayerRange, Stage, StreamEvent};

/// Maximum number of times one chain is rebuilt for slowness.
const MAX_SLOW_REBUILDS: u32 = 2;

/// Lifecycle state of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for stages; requests them again at `retry_at_ms`.
    Routing { retry_at_ms: u64 },
    /// The stream of the current epoch is open.
    Open,
    /// Terminal state.
    Ended,
}

/// A running completion.
#[derive(Clone, Debug)]
pub(crate) struct Chain {
    pub(super) spec: ChainSpec,
    pub(super) state: State,
    /// Increases with each opened stream; 0 before the first one.
    pub(super) epoch: u32,
    /// Stages of the current epoch.
    pub(super) stages: Vec<Stage>,
    /// Stages known to hold the KV state of every position in `tokens`, with their layers.
    pub(super) kv_holders: IndexMap<EndpointId, LayerRange>,
    /// Whether the next epoch may import KV state.
    pub(super) may_import: bool,
    /// Whether missing KV state was reported since the last token.
    pub(super) kv_missing: bool,
    /// Delivered tokens in order; never more than `spec.max_tokens`.
    pub(super) tokens: Vec<String>,
    /// Number of tokens delivered before the current epoch was opened.
    pub(super) start_position: u32,
    /// Replaced stages of earlier epochs that are still to be cancelled. They are cancelled at the
    /// first token of the epoch that replaced them: until then their KV state may be imported, and
    /// cancelling a first stage would also discard the state of the stages that are kept.
    pub(super) uncancelled: Vec<(SocketAddr, u32)>,
    /// Stages that reported another stage as unreachable since the last token.
    pub(super) unreachable_reporters: Vec<EndpointId>,
    pub(super) pace: Pace,
    pub(super) opened_at_ms: u64,
    /// When the last token arrived, or the chain started.
    pub(super) last_token_at_ms: u64,
    /// When to probe the stages if no token has arrived.
    pub(super) probe_at_ms: u64,
    pub(super) probe_round: Option<ProbeRound>,
    pub(super) probe_rounds: u32,
    /// Whether the current epoch's stream has ended without an end event, so that a new one must be
    /// opened regardless of the probe results.
    pub(super) stream_broken: bool,
    /// Answers of the last probe round, if no token has arrived since.
    pub(super) last_probe_answers: Option<Vec<ProbeAnswer>>,
    /// Probe rounds without progress at any stage since the last token.
    pub(super) stalled_rounds: u32,
    /// The stage last found lagging, and in how many consecutive rounds.
    pub(super) lagging: Option<(usize, u32)>,
    /// Remaining rebuilds for slowness. Limited because recomputation adds to the load that may be
    /// the cause of the slowness.
    pub(super) slow_rebuilds_left: u32,
    /// Rebuilds since the last token.
    pub(super) rebuilds: u32,
    /// Epochs opened on the same stages since the last token because a finished token was not
    /// delivered.
    pub(super) reopens: u32,
    pub(super) excluded: Vec<EndpointId>,
}

impl Chain {
    /// Starts a completion on its initial stages.
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
            kv_holders: IndexMap::new(),
            may_import: true,
            kv_missing: false,
            tokens: Vec::new(),
            start_position: 0,
            uncancelled: Vec::new(),
            unreachable_reporters: Vec::new(),
            pace: Pace::new(expected),
            opened_at_ms: now_ms,
            last_token_at_ms: now_ms,
            probe_at_ms: now_ms,
            probe_round: None,
            probe_rounds: 0,
            stream_broken: false,
            last_probe_answers: None,
            stalled_rounds: 0,
            lagging: None,
            slow_rebuilds_left: MAX_SLOW_REBUILDS,
            rebuilds: 0,
            reopens: 0,
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

    /// Tokens delivered so far.
    pub(crate) fn tokens(&self) -> &[String] {
        &self.tokens
    }

    pub(crate) fn into_tokens(self) -> Vec<String> {
        self.tokens
    }

    /// When the next [`ChainMessage::Wake`] is due.
    pub(crate) fn wake_at_ms(&self) -> Option<u64> {
        match (self.state, &self.probe_round) {
            (State::Routing { retry_at_ms }, _) => Some(retry_at_ms),
            (State::Open, Some(round)) => Some(round.until_ms),
            (State::Open, None) => Some(self.probe_at_ms),
            (State::Ended, _) => None,
        }
    }

    /// Processes a message and returns the resulting effects.
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

    /// Ends the chain because no caller waits for it, and cancels it at its stages.
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
            // Shows that the first stage is alive, not that it makes progress: the timeout stays.
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
        let next = self.token_count();
        if position != next || self.is_complete() {
            let cause = if position > next {
                DropCause::Ahead
            } else {
                DropCause::Repeated
            };
            effects.push(ChainEffect::Dropped(cause));
            return;
        }
        let gap_ms = self.record_token_arrival(now_ms, effects);
        self.tokens.push(text.clone());
        effects.push(ChainEffect::Token {
            position,
            text,
            gap_ms,
        });
    }

    /// Updates the state for an arrived token and returns the time since the previous one.
    pub(super) fn record_token_arrival(
        &mut self,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) -> u64 {
        let gap_ms = if self.has_delivered() {
            let gap_ms = now_ms.saturating_sub(self.last_token_at_ms);
            self.pace.add_gap(gap_ms);
            gap_ms
        } else {
            self.record_first_token(now_ms, effects);
            now_ms.saturating_sub(self.opened_at_ms)
        };
        self.last_token_at_ms = now_ms;
        self.rebuilds = 0;
        self.reopens = 0;
        self.unreachable_reporters.clear();
        if !self.stream_broken {
            // Also applies while stages for the next epoch are being selected: the current epoch
            // has recovered and continues.
            self.state = State::Open;
        }
        let lagging = self.lagging.filter(|_| self.pace.is_late());
        self.reset_probing();
        self.lagging = lagging;
        self.probe_at_ms = now_ms + self.pace.next_probe_ms();
        gap_ms
    }

    pub(super) fn record_first_token(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.cancel_replaced(effects);
        self.may_import = true;
        self.kv_missing = false;
        if self.stages.iter().all(|stage| stage.recompute) {
            effects.push(ChainEffect::Prefilled {
                took_ms: now_ms.saturating_sub(self.opened_at_ms),
                tokens: self.tokens_to_compute(),
            });
        }
        self.kv_holders = self
            .stages
            .iter()
            .map(|stage| (stage.endpoint.clone(), stage.layers))
            .collect();
    }

    /// Number of tokens to compute when no stage holds KV state.
    pub(crate) fn tokens_to_compute(&self) -> u32 {
        let prompt = self.spec.prompt.split_whitespace().count();
        u32::try_from(prompt)
            .unwrap_or(u32::MAX)
            .saturating_add(self.token_count())
    }

    /// Whether the current epoch has delivered a token.
    pub(super) fn has_delivered(&self) -> bool {
        self.token_count() > self.start_position
    }

    /// Whether `max_tokens` tokens have been delivered, even if the end event is missing.
    pub(super) fn is_complete(&self) -> bool {
        self.token_count() >= self.spec.max_tokens
    }

    pub(super) fn token_count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn on_end(
        &mut self,
        positions: u32,
        reason: EndReason,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if positions != self.token_count() {
            // The engines generated a token that the entry has not received.
            effects.push(ChainEffect::Dropped(DropCause::Ahead));
            self.stream_broken = true;
            self.rebuild(&[], now_ms, effects);
            return;
        }
        self.finish(reason == EndReason::Length, effects);
    }

    pub(super) fn finish(&mut self, cut_by_length: bool, effects: &mut Vec<ChainEffect>) {
        self.state = State::Ended;
        self.cancel_replaced(effects);
        effects.push(ChainEffect::Done {
            positions: self.token_count(),
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
