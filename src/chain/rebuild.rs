//! Epochs: opening one, giving one up, and looking for the stages of the next.

use super::machine::{Chain, State};
use super::message::{ChainEffect, ExpectedTiming};
use super::pace::Pace;
use crate::ids::EndpointId;
use crate::instance::StreamFailure;
use crate::outcome::RefusalCode;
use crate::routing::{EndpointFault, NoRoute};
use crate::wire::WIRE_VERSION;
use crate::wire::engine::{EngineErrorCode, OpenStream, Stage};

/// Longest time without a new token before the answer is given up.
const GIVE_UP_MS: u64 = 30_000;
/// Rebuilds without a token between them that are not charged to the retry budget.
const FREE_REBUILDS: u32 = 2;
/// Age of the last epoch from which a rebuild is not charged either. The budget keeps rebuilds from
/// multiplying the load; one a second for each running answer cannot, and without it an answer
/// that met a few faults in a row stood still until it was given up (pauses of 31 s).
const UNCHARGED_AFTER_MS: u64 = 1_000;
/// Scheduling class of every stream at the engines. An engine runs a more urgent class strictly
/// first, which would take back the share that admission gave an account of a later class; classes
/// are ordered in the queue of the entry alone.
const STREAM_PRIORITY: u8 = 0;
/// How long to wait before stages are looked for again.
const REPLAN_MS: u64 = 20;
/// Longest such wait.
const REPLAN_CEILING_MS: u64 = 1_000;

impl Chain {
    pub(super) fn open(
        &mut self,
        stages: Vec<Stage>,
        expected: ExpectedTiming,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let next = self.mark_recompute(stages);
        let kept = |stage: &Stage| next.iter().any(|other| other.endpoint == stage.endpoint);
        let dropped = self.stages.iter().filter(|stage| !kept(stage));
        let dropped = dropped.map(|stage| (stage.address, self.epoch));
        self.to_cancel.extend(dropped);
        self.to_cancel
            .retain(|(address, _)| next.iter().all(|stage| stage.address != *address));
        self.stages = next;
        self.epoch += 1;
        self.state = State::Open;
        self.start = self.held();
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

    pub(super) fn open_stream(&self) -> OpenStream {
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
            priority: STREAM_PRIORITY,
        }
    }

    /// Decides which stages run the earlier positions again: each one that does not surely hold
    /// their KV state, and every stage before it, since it needs their activations.
    pub(super) fn mark_recompute(&mut self, mut stages: Vec<Stage>) -> Vec<Stage> {
        let may_import = self.may_import;
        let holding = &self.holding;
        let ready = |stage: &Stage| {
            let imports = may_import && !stage.recompute && stage.import_from.is_some();
            let held = holding.get(&stage.endpoint);
            imports || held.is_some_and(|layers| layers.covers(stage.layers))
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

    pub(super) fn on_failed(
        &mut self,
        stage: Option<EndpointId>,
        cause: EngineErrorCode,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if self.state != State::Open {
            if let (EngineErrorCode::KvMissing, Some(stage)) = (cause, stage) {
                self.holding.shift_remove(&stage);
            }
            return;
        }
        self.broken = true;
        match (cause, stage) {
            (EngineErrorCode::Malformed, _) => self.give_up(RefusalCode::EndpointFailed, effects),
            (EngineErrorCode::KvMissing, stage) => self.on_kv_missing(stage, now_ms, effects),
            (EngineErrorCode::StaleEpoch | EngineErrorCode::Cancelled, _) => {
                self.rebuild(&[], now_ms, effects);
            }
            (EngineErrorCode::StageUnreachable, Some(stage)) => {
                let mut blamed = self.repeated_accuser(&stage);
                blamed.push(stage);
                self.blame(&blamed, EndpointFault::Unreachable, now_ms, effects);
            }
            (EngineErrorCode::Draining, Some(stage)) => {
                self.blame(&[stage], EndpointFault::Draining, now_ms, effects);
            }
            (_, Some(stage)) => self.blame(&[stage], EndpointFault::Refused, now_ms, effects),
            (_, None) => self.probe(now_ms, effects),
        }
    }

    /// The KV state of a stage is not there: it recomputes, and so does every stage if that
    /// happens again before a token comes.
    pub(super) fn on_kv_missing(
        &mut self,
        stage: Option<EndpointId>,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let again = std::mem::replace(&mut self.kv_missing, true);
        self.may_import = false;
        match stage {
            Some(stage) if !again => {
                self.holding.shift_remove(&stage);
            }
            _ => self.holding.clear(),
        }
        self.rebuild(&[], now_ms, effects);
    }

    /// The stage before one that is unreachable, if it has said so of another since the last
    /// token: then it is more likely the one that reaches nobody.
    pub(super) fn repeated_accuser(&mut self, accused: &EndpointId) -> Vec<EndpointId> {
        let mut stages = self.stages.iter();
        let at = stages.position(|stage| stage.endpoint == *accused);
        let accuser = at
            .and_then(|at| at.checked_sub(1))
            .map(|at| &self.stages[at]);
        let Some(accuser) = accuser.map(|stage| stage.endpoint.clone()) else {
            return Vec::new();
        };
        if self.accusers.contains(&accuser) {
            return vec![accuser];
        }
        self.accusers.push(accuser);
        Vec::new()
    }

    pub(super) fn on_stream_failed(
        &mut self,
        epoch: u32,
        failure: StreamFailure,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if epoch != self.epoch || self.state != State::Open {
            return;
        }
        if self.is_whole() {
            // Only the end event was lost.
            self.finish(true, effects);
            return;
        }
        let first = self.stages.first().map(|stage| stage.endpoint.clone());
        match failure {
            StreamFailure::NotSent => {
                self.broken = true;
                let first: Vec<EndpointId> = first.into_iter().collect();
                self.blame(&first, EndpointFault::Unreachable, now_ms, effects);
            }
            StreamFailure::Refused { error } => {
                self.on_failed(error.stage.or(first), error.code, now_ms, effects);
            }
            StreamFailure::Broken => {
                self.broken = true;
                self.probe(now_ms, effects);
            }
        }
    }

    /// Reports stages at fault and rebuilds without them.
    pub(super) fn blame(
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
    pub(super) fn rebuild(
        &mut self,
        without: &[EndpointId],
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
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

    pub(super) fn ask_for_stages(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.is_whole() {
            self.finish(true, effects);
            return;
        }
        if self.is_out_of_time(now_ms) {
            self.give_up(RefusalCode::EndpointFailed, effects);
            return;
        }
        self.state = State::Routing {
            retry_at_ms: now_ms + REPLAN_MS,
        };
        effects.push(ChainEffect::Plan {
            exclude: self.excluded.clone(),
            is_retry: self.rebuilds > FREE_REBUILDS
                && now_ms < self.opened_at_ms + UNCHARGED_AFTER_MS,
        });
    }

    /// Whether no further epoch is worth opening.
    pub(super) fn is_out_of_time(&self, now_ms: u64) -> bool {
        self.is_late(now_ms) || now_ms.saturating_sub(self.progress_at_ms) >= GIVE_UP_MS
    }

    /// Whether the present epoch is not worth waiting for. An answer that has begun goes on after
    /// its deadline: its caller reads it and can leave.
    pub(super) fn is_hopeless(&self, now_ms: u64) -> bool {
        let late = self.is_late(now_ms) && self.tokens.is_empty();
        late || now_ms.saturating_sub(self.progress_at_ms) >= GIVE_UP_MS
    }

    fn is_late(&self, now_ms: u64) -> bool {
        self.spec.deadline.is_some_and(|it| now_ms >= it.at_ms)
    }

    pub(super) fn wait_for_route(&mut self, reason: NoRoute, now_ms: u64) {
        if let State::Open = self.state {
            // A slow chain could not be replaced: it goes on.
            self.behind = None;
            return;
        }
        if reason == NoRoute::Incomplete {
            // Better a stage that failed once than none; the router still knows what it saw.
            self.excluded.clear();
        }
        // Asks less often the longer it has found nothing.
        let wait_ms = now_ms.saturating_sub(self.progress_at_ms) / 4;
        self.state = State::Routing {
            retry_at_ms: now_ms + wait_ms.clamp(REPLAN_MS, REPLAN_CEILING_MS),
        };
    }

    pub(super) fn give_up(&mut self, code: RefusalCode, effects: &mut Vec<ChainEffect>) {
        self.state = State::Ended;
        self.cancel_stages(effects);
        effects.push(ChainEffect::GiveUp { code });
    }

    /// Cancels the stages that were replaced.
    pub(super) fn cancel_dropped(&mut self, effects: &mut Vec<ChainEffect>) {
        for (address, epoch) in self.to_cancel.drain(..) {
            effects.push(ChainEffect::Cancel { address, epoch });
        }
    }

    pub(super) fn cancel_stages(&mut self, effects: &mut Vec<ChainEffect>) {
        self.cancel_dropped(effects);
        for stage in &self.stages {
            effects.push(ChainEffect::Cancel {
                address: stage.address,
                epoch: self.epoch,
            });
        }
    }
}
