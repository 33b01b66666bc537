//! Epoch changes: opening an epoch, abandoning it, and requesting stages for the next.

use super::machine::{Chain, State};
use super::message::{ChainEffect, ExpectedTiming};
use super::pace::Pace;
use crate::ids::EndpointId;
use crate::instance::StreamFailure;
use crate::outcome::RefusalCode;
use crate::routing::{EndpointFault, NoRoute};
use crate::wire::WIRE_VERSION;
use crate::wire::engine::{EngineErrorCode, OpenStream, Stage};

/// Longest time without a new token before the chain fails.
const NO_TOKEN_TIMEOUT_MS: u64 = 30_000;
/// Consecutive rebuilds without a token that are not charged to the retry budget.
const UNCHARGED_REBUILDS: u32 = 2;
/// Age of the last epoch from which a rebuild is not charged to the retry budget either. The budget
/// keeps rebuilds from multiplying the load, which one rebuild per second and answer cannot do.
/// Without this exception, an answer that hit several faults in a row stalled until it was given up
/// (pauses of 31 s).
const UNCHARGED_AFTER_MS: u64 = 1_000;
/// Scheduling class of every stream at the engines. Engines give strict precedence to more urgent
/// classes, which would override the share that admission granted to accounts of less urgent ones;
/// only the entry's queue orders by class.
const STREAM_PRIORITY: u8 = 0;
/// Shortest interval between two requests for stages.
const REPLAN_INTERVAL_MS: u64 = 20;
/// Longest interval between two requests for stages.
const MAX_REPLAN_INTERVAL_MS: u64 = 1_000;

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
        self.uncancelled.extend(dropped);
        self.uncancelled
            .retain(|(address, _)| next.iter().all(|stage| stage.address != *address));
        self.stages = next;
        self.epoch += 1;
        self.state = State::Open;
        self.start_position = self.token_count();
        self.stream_broken = false;
        self.opened_at_ms = now_ms;
        self.pace = Pace::new(expected);
        self.reset_probing();
        let recomputes = self.stages.iter().any(|stage| stage.recompute);
        self.probe_at_ms = now_ms + self.pace.first_timeout_ms(recomputes);
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

    /// Marks the stages that recompute the earlier positions: each stage not known to hold their KV
    /// state, and every stage before it, since it needs their activations.
    pub(super) fn mark_recompute(&mut self, mut stages: Vec<Stage>) -> Vec<Stage> {
        let may_import = self.may_import;
        let kv_holders = &self.kv_holders;
        let ready = |stage: &Stage| {
            let imports = may_import && !stage.recompute && stage.import_from.is_some();
            let held = kv_holders.get(&stage.endpoint);
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
        self.kv_holders.retain(|endpoint, _| keeps(endpoint));
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
                self.kv_holders.shift_remove(&stage);
            }
            return;
        }
        self.stream_broken = true;
        match (cause, stage) {
            (EngineErrorCode::Malformed, _) => self.give_up(RefusalCode::EndpointFailed, effects),
            (EngineErrorCode::KvMissing, stage) => self.on_kv_missing(stage, now_ms, effects),
            (EngineErrorCode::StaleEpoch | EngineErrorCode::Cancelled, _) => {
                self.rebuild(&[], now_ms, effects);
            }
            (EngineErrorCode::StageUnreachable, Some(stage)) => {
                let mut faulty = self.repeated_reporter(&stage);
                faulty.push(stage);
                self.report_and_rebuild(&faulty, EndpointFault::Unreachable, now_ms, effects);
            }
            (EngineErrorCode::Draining, Some(stage)) => {
                self.report_and_rebuild(&[stage], EndpointFault::Draining, now_ms, effects);
            }
            (_, Some(stage)) => {
                self.report_and_rebuild(&[stage], EndpointFault::Refused, now_ms, effects)
            }
            (_, None) => self.probe(now_ms, effects),
        }
    }

    /// Handles missing KV state at a stage: the stage recomputes, or every stage does if this
    /// happens again before the next token.
    pub(super) fn on_kv_missing(
        &mut self,
        stage: Option<EndpointId>,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let is_repeated = std::mem::replace(&mut self.kv_missing, true);
        self.may_import = false;
        match stage {
            Some(stage) if !is_repeated => {
                self.kv_holders.shift_remove(&stage);
            }
            _ => self.kv_holders.clear(),
        }
        self.rebuild(&[], now_ms, effects);
    }

    /// Returns the stage before an unreachable one if it has already reported another stage as
    /// unreachable since the last token: its own connectivity is then the likelier cause. Otherwise
    /// records its report and returns nothing.
    pub(super) fn repeated_reporter(&mut self, unreachable: &EndpointId) -> Vec<EndpointId> {
        let mut stages = self.stages.iter();
        let at = stages.position(|stage| stage.endpoint == *unreachable);
        let reporter = at
            .and_then(|at| at.checked_sub(1))
            .map(|at| &self.stages[at]);
        let Some(reporter) = reporter.map(|stage| stage.endpoint.clone()) else {
            return Vec::new();
        };
        if self.unreachable_reporters.contains(&reporter) {
            return vec![reporter];
        }
        self.unreachable_reporters.push(reporter);
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
        if self.is_complete() {
            // Only the end event was lost.
            self.finish(true, effects);
            return;
        }
        let first = self.stages.first().map(|stage| stage.endpoint.clone());
        match failure {
            StreamFailure::NotSent => {
                self.stream_broken = true;
                let first: Vec<EndpointId> = first.into_iter().collect();
                self.report_and_rebuild(&first, EndpointFault::Unreachable, now_ms, effects);
            }
            StreamFailure::Refused { error } => {
                self.on_failed(error.stage.or(first), error.code, now_ms, effects);
            }
            StreamFailure::Broken => {
                self.stream_broken = true;
                self.probe(now_ms, effects);
            }
        }
    }

    /// Reports faulty stages and rebuilds the chain without them.
    pub(super) fn report_and_rebuild(
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

    /// Abandons the current epoch and requests stages for the next one.
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
            self.kv_holders.shift_remove(endpoint);
        }
        self.probe_round = None;
        self.rebuilds += 1;
        self.request_stages(now_ms, effects);
    }

    pub(super) fn request_stages(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.is_complete() {
            self.finish(true, effects);
            return;
        }
        if self.should_give_up(now_ms) {
            self.give_up(RefusalCode::EndpointFailed, effects);
            return;
        }
        self.state = State::Routing {
            retry_at_ms: now_ms + REPLAN_INTERVAL_MS,
        };
        effects.push(ChainEffect::Plan {
            exclude: self.excluded.clone(),
            is_retry: self.rebuilds > UNCHARGED_REBUILDS
                && now_ms < self.opened_at_ms + UNCHARGED_AFTER_MS,
        });
    }

    /// Whether it is too late to open another epoch.
    pub(super) fn should_give_up(&self, now_ms: u64) -> bool {
        self.is_past_deadline(now_ms)
            || now_ms.saturating_sub(self.last_token_at_ms) >= NO_TOKEN_TIMEOUT_MS
    }

    /// Whether to stop waiting for the current epoch. An answer that has started continues past its
    /// deadline: its caller is reading it and can disconnect.
    pub(super) fn should_abandon_epoch(&self, now_ms: u64) -> bool {
        let expired = self.is_past_deadline(now_ms) && self.tokens.is_empty();
        expired || now_ms.saturating_sub(self.last_token_at_ms) >= NO_TOKEN_TIMEOUT_MS
    }

    fn is_past_deadline(&self, now_ms: u64) -> bool {
        self.spec
            .deadline
            .is_some_and(|deadline| now_ms >= deadline.at_ms)
    }

    pub(super) fn wait_for_route(&mut self, reason: NoRoute, now_ms: u64) {
        if let State::Open = self.state {
            // A slow chain could not be replaced: it continues on its current stages.
            self.lagging = None;
            return;
        }
        if reason == NoRoute::Incomplete {
            // A stage that failed once is better than none, and the router still has the
            // reported faults.
            self.excluded.clear();
        }
        // Back off in proportion to the time without a token.
        let wait_ms = now_ms.saturating_sub(self.last_token_at_ms) / 4;
        self.state = State::Routing {
            retry_at_ms: now_ms + wait_ms.clamp(REPLAN_INTERVAL_MS, MAX_REPLAN_INTERVAL_MS),
        };
    }

    pub(super) fn give_up(&mut self, code: RefusalCode, effects: &mut Vec<ChainEffect>) {
        self.state = State::Ended;
        self.cancel_stages(effects);
        effects.push(ChainEffect::GiveUp { code });
    }

    /// Cancels the replaced stages of earlier epochs.
    pub(super) fn cancel_replaced(&mut self, effects: &mut Vec<ChainEffect>) {
        for (address, epoch) in self.uncancelled.drain(..) {
            effects.push(ChainEffect::Cancel { address, epoch });
        }
    }

    pub(super) fn cancel_stages(&mut self, effects: &mut Vec<ChainEffect>) {
        self.cancel_replaced(effects);
        for stage in &self.stages {
            effects.push(ChainEffect::Cancel {
                address: stage.address,
                epoch: self.epoch,
            });
        }
    }
}
