//! The state machine of one running completion.

use indexmap::IndexMap;

use super::blame::{Blame, Round, judge};
use super::message::{ChainEffect, ChainMessage, ChainSpec, DropCause, Expected, ProbeAnswer};
use super::pace::Pace;
use crate::ids::EndpointId;
use crate::instance::StreamFailure;
use crate::outcome::RefusalCode;
use crate::routing::{EndpointFault, NoRoute};
use crate::wire::WIRE_VERSION;
use crate::wire::engine::{EndReason, EngineErrorCode, LayerRange, OpenStream, Stage, StreamEvent};

/// Longest time without a new token before the answer is given up.
const GIVE_UP_MS: u64 = 30_000;
/// Rebuilds without a token between them that are not charged to the retry budget.
const FREE_REBUILDS: u32 = 2;
/// How long to wait before stages are looked for again.
const REPLAN_MS: u64 = 20;
/// Longest such wait.
const REPLAN_CEILING_MS: u64 = 1_000;
/// Shortest time a stage has to answer a probe.
const PROBE_MS: u64 = 60;
/// Time after that before a probe whose answer the driver did not bring is taken for unanswered.
const PROBE_MARGIN_MS: u64 = 20;
/// Rounds of probes without any movement before a stage is held to be stuck.
const STUCK_ROUNDS: u32 = 2;
/// The same before the epoch's first token, which may wait in an engine's queue.
const FIRST_STUCK_ROUNDS: u32 = 4;
/// Rounds that must find the same stage behind before a slow chain is rebuilt without it.
const SLOW_ROUNDS: u32 = 3;

/// Where a chain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
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
    spec: ChainSpec,
    state: State,
    /// Only grows; 0 before the first stream was opened.
    epoch: u32,
    /// Stages of the current epoch.
    stages: Vec<Stage>,
    /// Stages that surely hold the KV state of every position in `tokens`, with their layers.
    holding: IndexMap<EndpointId, LayerRange>,
    /// Whether the next epoch may import KV state.
    may_import: bool,
    /// Tokens handed out, in order; never more than `spec.max_tokens`.
    tokens: Vec<String>,
    /// Whether the current epoch has delivered a token.
    delivered: bool,
    pace: Pace,
    opened_at_ms: u64,
    /// When the last token came, or the chain began.
    progress_at_ms: u64,
    /// When silence becomes suspicious.
    suspect_at_ms: u64,
    round: Option<Round>,
    rounds: u32,
    /// Whether the current epoch's stream has surely ended without a last word, so that it must be
    /// opened again whatever the probes say.
    broken: bool,
    /// Answers of the last round, if no token came since.
    last_answers: Option<Vec<ProbeAnswer>>,
    /// Rounds without movement since the last token.
    unmoved_rounds: u32,
    /// The stage last found behind, and in how many rounds in a row.
    behind: Option<(usize, u32)>,
    /// Rebuilds since the last token.
    rebuilds: u32,
    excluded: Vec<EndpointId>,
}

impl Chain {
    /// Starts a completion on its first stages.
    pub(crate) fn begin(
        spec: ChainSpec,
        stages: Vec<Stage>,
        expected: Expected,
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
            tokens: Vec::new(),
            delivered: false,
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
            rebuilds: 0,
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

    fn open(
        &mut self,
        stages: Vec<Stage>,
        expected: Expected,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let next = self.mark_recompute(stages);
        let kept = |stage: &Stage| next.iter().any(|other| other.endpoint == stage.endpoint);
        for stage in self.stages.iter().filter(|stage| !kept(stage)) {
            effects.push(ChainEffect::Cancel {
                address: stage.address,
                epoch: self.epoch,
            });
        }
        self.stages = next;
        self.epoch += 1;
        self.state = State::Open;
        self.delivered = false;
        self.broken = false;
        self.opened_at_ms = now_ms;
        self.pace = Pace::new(expected);
        self.forget_silence();
        let recomputes = self.stages.iter().any(|stage| stage.recompute);
        self.suspect_at_ms = now_ms + self.pace.first_timeout_ms(recomputes);
        effects.push(ChainEffect::Open {
            open: self.open_stream(),
            fresh_connection: self.epoch > 1,
        });
    }

    fn open_stream(&self) -> OpenStream {
        OpenStream {
            wire_version: WIRE_VERSION,
            stream: self.spec.stream,
            epoch: self.epoch,
            request: self.spec.request.clone(),
            model: self.spec.model.clone(),
            version: self.spec.version.clone(),
            adapter: self.spec.adapter.clone(),
            chain: self.stages.clone(),
            prompt: self.spec.prompt.clone(),
            generated: self.tokens.clone(),
            max_tokens: self.spec.max_tokens,
            priority: self.spec.priority,
        }
    }

    /// Decides which stages run the earlier positions again: each one that does not surely hold
    /// their KV state, and every stage before it, since it needs their activations.
    fn mark_recompute(&mut self, mut stages: Vec<Stage>) -> Vec<Stage> {
        let may_import = self.may_import;
        let holding = &self.holding;
        let ready = |stage: &Stage| {
            let imports = may_import && !stage.recompute && stage.import_from.is_some();
            imports || holding.get(&stage.endpoint) == Some(&stage.layers)
        };
        let first_kept = stages
            .iter()
            .rposition(|stage| !ready(stage))
            .map_or(0, |last| last + 1);
        for (index, stage) in stages.iter_mut().enumerate() {
            stage.recompute = index < first_kept;
            if stage.recompute {
                stage.import_from = None;
            }
        }
        let keeps = |endpoint: &EndpointId| {
            let mut kept = stages.iter().filter(|stage| !stage.recompute);
            kept.any(|stage| stage.endpoint == *endpoint && stage.import_from.is_none())
        };
        self.holding.retain(|endpoint, _| keeps(endpoint));
        stages
    }

    fn forget_silence(&mut self) {
        self.round = None;
        self.last_answers = None;
        self.unmoved_rounds = 0;
        self.behind = None;
    }

    fn on_event(&mut self, event: StreamEvent, now_ms: u64, effects: &mut Vec<ChainEffect>) {
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

    fn on_token(
        &mut self,
        position: u32,
        text: String,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let next = self.held();
        if position != next || next >= self.spec.max_tokens {
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
    fn note_progress(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) -> Option<u64> {
        let gap_ms = self
            .delivered
            .then(|| now_ms.saturating_sub(self.progress_at_ms));
        match gap_ms {
            Some(gap_ms) => self.pace.add_gap(gap_ms),
            None => self.note_first(now_ms, effects),
        }
        self.progress_at_ms = now_ms;
        self.rebuilds = 0;
        let behind = self.behind.filter(|_| self.pace.is_slow());
        self.forget_silence();
        self.behind = behind;
        self.suspect_at_ms = now_ms + self.pace.next_probe_ms();
        gap_ms
    }

    fn note_first(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.delivered = true;
        self.may_import = true;
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

    fn held(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    fn on_end(
        &mut self,
        positions: u32,
        reason: EndReason,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if positions != self.held() {
            // A token is missing on the way: the engines have it, the entry has not.
            effects.push(ChainEffect::Dropped(DropCause::Ahead));
            self.rebuild(&[], now_ms, effects);
            return;
        }
        self.finish(reason == EndReason::Length, effects);
    }

    fn finish(&mut self, cut_by_length: bool, effects: &mut Vec<ChainEffect>) {
        self.state = State::Ended;
        effects.push(ChainEffect::Done {
            positions: self.held(),
            cut_by_length,
        });
    }

    fn on_failed(
        &mut self,
        stage: Option<EndpointId>,
        cause: EngineErrorCode,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if self.state != State::Open {
            return;
        }
        match (cause, stage) {
            (EngineErrorCode::Malformed, _) => self.give_up(RefusalCode::EndpointFailed, effects),
            (EngineErrorCode::KvMissing, _) => {
                self.holding.clear();
                self.may_import = false;
                self.rebuild(&[], now_ms, effects);
            }
            (EngineErrorCode::StaleEpoch | EngineErrorCode::Cancelled, _) => {
                self.rebuild(&[], now_ms, effects);
            }
            (EngineErrorCode::StageUnreachable, Some(stage)) => {
                self.blame(&[stage], EndpointFault::Unreachable, now_ms, effects);
            }
            (EngineErrorCode::Draining, Some(stage)) => {
                self.blame(&[stage], EndpointFault::Draining, now_ms, effects);
            }
            (_, Some(stage)) => self.blame(&[stage], EndpointFault::Refused, now_ms, effects),
            (_, None) => self.probe_broken(now_ms, effects),
        }
    }

    fn on_stream_failed(
        &mut self,
        epoch: u32,
        failure: StreamFailure,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if epoch != self.epoch || self.state != State::Open {
            return;
        }
        if self.held() == self.spec.max_tokens {
            // Only the end event was lost.
            self.finish(true, effects);
            return;
        }
        let first = self.stages.first().map(|stage| stage.endpoint.clone());
        match failure {
            StreamFailure::NotSent => {
                let first: Vec<EndpointId> = first.into_iter().collect();
                self.blame(&first, EndpointFault::Unreachable, now_ms, effects);
            }
            StreamFailure::Refused { error } => {
                self.on_failed(error.stage.or(first), error.code, now_ms, effects);
            }
            StreamFailure::Broken => self.probe_broken(now_ms, effects),
        }
    }

    /// Reports stages at fault and rebuilds without them.
    fn blame(
        &mut self,
        stages: &[EndpointId],
        fault: EndpointFault,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        for endpoint in stages {
            effects.push(ChainEffect::Fault {
                endpoint: endpoint.clone(),
                fault,
            });
        }
        self.rebuild(stages, now_ms, effects);
    }

    /// Gives the current epoch up and asks for stages for the next.
    fn rebuild(&mut self, without: &[EndpointId], now_ms: u64, effects: &mut Vec<ChainEffect>) {
        for endpoint in without {
            if !self.excluded.contains(endpoint) {
                self.excluded.push(endpoint.clone());
            }
            self.holding.shift_remove(endpoint);
        }
        self.round = None;
        self.rebuilds += 1;
        self.ask_for_stages(now_ms, effects);
    }

    fn ask_for_stages(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.is_out_of_time(now_ms) {
            self.give_up(RefusalCode::EndpointFailed, effects);
            return;
        }
        self.state = State::Routing {
            retry_at_ms: now_ms + REPLAN_MS,
        };
        effects.push(ChainEffect::Plan {
            exclude: self.excluded.clone(),
            is_retry: self.rebuilds > FREE_REBUILDS,
        });
    }

    fn is_out_of_time(&self, now_ms: u64) -> bool {
        let late = self.spec.deadline.is_some_and(|it| now_ms >= it.at_ms);
        late || now_ms.saturating_sub(self.progress_at_ms) >= GIVE_UP_MS
    }

    fn wait_for_route(&mut self, reason: NoRoute, now_ms: u64) {
        if let State::Open = self.state {
            // A slow chain could not be replaced: it goes on.
            self.behind = None;
            return;
        }
        if reason == NoRoute::Incomplete {
            // Better a stage that failed once than none; the router still knows what it saw.
            self.excluded.clear();
        }
        let wait_ms = REPLAN_MS << self.rebuilds.min(6);
        self.state = State::Routing {
            retry_at_ms: now_ms + wait_ms.min(REPLAN_CEILING_MS),
        };
    }

    fn give_up(&mut self, code: RefusalCode, effects: &mut Vec<ChainEffect>) {
        self.state = State::Ended;
        self.cancel_stages(effects);
        effects.push(ChainEffect::GiveUp { code });
    }

    fn cancel_stages(&self, effects: &mut Vec<ChainEffect>) {
        for stage in &self.stages {
            effects.push(ChainEffect::Cancel {
                address: stage.address,
                epoch: self.epoch,
            });
        }
    }

    fn on_wake(&mut self, gap_ms: f64, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.wake_at_ms().is_none_or(|at_ms| now_ms < at_ms) {
            return;
        }
        match self.state {
            State::Routing { .. } => self.ask_for_stages(now_ms, effects),
            State::Open if self.round.is_some() => self.conclude(now_ms, effects),
            State::Open => self.suspect(gap_ms, now_ms, effects),
            State::Ended => {}
        }
    }

    /// Probes the stages, unless the engines' history now lets expect a longer silence.
    fn suspect(&mut self, gap_ms: f64, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.delivered && !self.pace.is_slow() {
            let due_ms = self.progress_at_ms + self.pace.next_timeout_ms(gap_ms);
            if now_ms < due_ms {
                self.suspect_at_ms = due_ms;
                return;
            }
        }
        self.probe(now_ms, effects);
    }

    fn probe_broken(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.broken = true;
        self.probe(now_ms, effects);
    }

    fn probe(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.round.is_some() {
            return;
        }
        self.rounds += 1;
        let until_ms = now_ms + PROBE_MS + PROBE_MARGIN_MS;
        self.round = Some(Round::new(self.rounds, self.stages.len(), until_ms));
        for (index, stage) in self.stages.iter().enumerate() {
            effects.push(ChainEffect::Probe {
                round: self.rounds,
                stage: index,
                address: stage.address,
                timeout_ms: PROBE_MS,
            });
        }
    }

    fn on_probed(
        &mut self,
        number: u32,
        stage: usize,
        answer: ProbeAnswer,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let Some(round) = &mut self.round else { return };
        if round.number != number {
            return;
        }
        round.add(stage, answer);
        if round.is_complete() {
            self.conclude(now_ms, effects);
        }
    }

    fn conclude(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        let Some(round) = self.round.take() else {
            return;
        };
        let answers = round.into_answers();
        let blame = judge(
            &answers,
            self.last_answers.as_deref(),
            self.epoch,
            self.held(),
            self.delivered,
        );
        self.last_answers = Some(answers);
        match blame {
            Blame::Dead(dead) => {
                let dead = self.endpoints(&dead);
                self.blame(&dead, EndpointFault::Silent, now_ms, effects);
            }
            Blame::Lost(lost) => {
                for endpoint in self.endpoints(&lost) {
                    self.holding.shift_remove(&endpoint);
                }
                self.rebuild(&[], now_ms, effects);
            }
            Blame::Connection => self.rebuild(&[], now_ms, effects),
            Blame::Stuck(_) | Blame::Behind(_) if self.broken => {
                self.rebuild(&[], now_ms, effects);
            }
            Blame::Stuck(stage) => self.on_stuck(stage, now_ms, effects),
            Blame::Behind(stage) => self.on_behind(stage, now_ms, effects),
        }
    }

    fn endpoints(&self, indexes: &[usize]) -> Vec<EndpointId> {
        let stages = indexes.iter().filter_map(|index| self.stages.get(*index));
        stages.map(|stage| stage.endpoint.clone()).collect()
    }

    fn on_stuck(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.unmoved_rounds += 1;
        let enough = if self.delivered {
            STUCK_ROUNDS - 1
        } else {
            FIRST_STUCK_ROUNDS - 1
        };
        if self.unmoved_rounds >= enough {
            let stuck = self.endpoints(&[stage]);
            self.blame(&stuck, EndpointFault::Silent, now_ms, effects);
            return;
        }
        self.wait_again(now_ms);
    }

    fn on_behind(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.unmoved_rounds = 0;
        let rounds = match self.behind {
            Some((other, rounds)) if other == stage => rounds + 1,
            _ => 1,
        };
        self.behind = Some((stage, rounds));
        self.wait_again(now_ms);
        if self.pace.is_slow() && rounds >= SLOW_ROUNDS {
            self.replace_slow(stage, effects);
        }
    }

    /// Asks for a chain without a stage that holds this one up. The present epoch stays open until
    /// there is one.
    fn replace_slow(&mut self, stage: usize, effects: &mut Vec<ChainEffect>) {
        let mut exclude = self.excluded.clone();
        for endpoint in self.endpoints(&[stage]) {
            effects.push(ChainEffect::Fault {
                endpoint: endpoint.clone(),
                fault: EndpointFault::Slow,
            });
            exclude.push(endpoint);
        }
        effects.push(ChainEffect::Plan {
            exclude,
            is_retry: false,
        });
    }

    /// Waits as long again as the silence has lasted, within bounds.
    fn wait_again(&mut self, now_ms: u64) {
        let since_ms = self.progress_at_ms.max(self.opened_at_ms);
        let silent_ms = now_ms.saturating_sub(since_ms);
        self.suspect_at_ms = now_ms + silent_ms.clamp(PROBE_MS, REPLAN_CEILING_MS);
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
