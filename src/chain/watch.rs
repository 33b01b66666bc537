//! Failure detection for an epoch: when no token arrives, all stages are probed, and the results
//! decide whether to wait or to rebuild.

use super::blame::{Blame, EpochContext, ProbeRound, diagnose};
use super::machine::{Chain, State};
use super::message::{ChainEffect, ProbeAnswer};
use crate::ids::EndpointId;
use crate::outcome::RefusalCode;
use crate::routing::EndpointFault;

/// Shortest time between two probe rounds.
const MIN_PROBE_INTERVAL_MS: u64 = 60;
/// Longest time between two probe rounds.
const MAX_PROBE_INTERVAL_MS: u64 = 1_000;
/// Extra time after the probe timeout for the driver to report the result.
const PROBE_MARGIN_MS: u64 = 20;
/// Probe rounds without any progress before a stage counts as stalled.
const STALLED_ROUNDS: u32 = 2;
/// The same before the epoch's first token, whose work may wait in an engine's queue.
const FIRST_TOKEN_STALLED_ROUNDS: u32 = 4;
/// Consecutive epochs that may be opened on the same stages because a finished token was not
/// delivered.
const MAX_REOPENS: u32 = 1;
/// Consecutive rounds in which a stage must be lagging before a slow chain is rebuilt without it.
const LAGGING_ROUNDS: u32 = 3;

impl Chain {
    pub(super) fn reset_probing(&mut self) {
        self.probe_round = None;
        self.last_probe_answers = None;
        self.stalled_rounds = 0;
        self.lagging = None;
    }

    pub(super) fn on_wake(&mut self, gap_ms: f64, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.wake_at_ms().is_none_or(|at_ms| now_ms < at_ms) {
            return;
        }
        match self.state {
            State::Routing { .. } => self.request_stages(now_ms, effects),
            State::Open if self.probe_round.is_some() => self.finish_probe_round(now_ms, effects),
            State::Open => self.probe_if_overdue(gap_ms, now_ms, effects),
            State::Ended => {}
        }
    }

    /// Probes the stages unless the engines' current history extends the timeout.
    pub(super) fn probe_if_overdue(
        &mut self,
        gap_ms: f64,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        if self.has_delivered() && !self.pace.is_slow() {
            let due_ms = self.last_token_at_ms + self.pace.next_timeout_ms(gap_ms);
            if now_ms < due_ms {
                self.probe_at_ms = due_ms;
                return;
            }
        }
        self.probe(now_ms, effects);
    }

    pub(super) fn probe(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.probe_round.is_some() {
            return;
        }
        self.probe_rounds += 1;
        let timeout_ms = self.pace.probe_timeout_ms();
        let until_ms = now_ms + timeout_ms + PROBE_MARGIN_MS;
        self.probe_round = Some(ProbeRound::new(
            self.probe_rounds,
            self.stages.len(),
            until_ms,
        ));
        for (index, stage) in self.stages.iter().enumerate() {
            effects.push(ChainEffect::Probe {
                round: self.probe_rounds,
                stage: index,
                address: stage.address,
                timeout_ms,
            });
        }
    }

    pub(super) fn on_probed(
        &mut self,
        number: u32,
        stage: usize,
        answer: ProbeAnswer,
        now_ms: u64,
        effects: &mut Vec<ChainEffect>,
    ) {
        let Some(round) = &mut self.probe_round else {
            return;
        };
        if round.number != number {
            return;
        }
        round.add(stage, answer);
        if round.is_complete() {
            self.finish_probe_round(now_ms, effects);
        }
    }

    pub(super) fn finish_probe_round(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        let Some(round) = self.probe_round.take() else {
            return;
        };
        let answers = round.into_answers();
        let context = EpochContext {
            epoch: self.epoch,
            start_position: self.start_position,
            delivered: self.token_count(),
            previous: self.last_probe_answers.as_deref(),
        };
        let blame = diagnose(&answers, context);
        self.last_probe_answers = Some(answers);
        if self.should_abandon_epoch(now_ms) {
            self.give_up(RefusalCode::EndpointFailed, effects);
            return;
        }
        match blame {
            Blame::Unreachable(unreachable) => {
                let unreachable = self.endpoints(&unreachable);
                self.report_and_rebuild(&unreachable, EndpointFault::Silent, now_ms, effects);
            }
            Blame::StreamLost(lost) => {
                for endpoint in self.endpoints(&lost) {
                    self.kv_holders.shift_remove(&endpoint);
                }
                self.rebuild(&[], now_ms, effects);
            }
            Blame::ConnectionSilent => self.rebuild(&[], now_ms, effects),
            Blame::Undelivered => self.on_undelivered(now_ms, effects),
            Blame::Stalled(_) | Blame::LinkSilent(_) | Blame::Lagging(_) if self.stream_broken => {
                self.rebuild(&[], now_ms, effects);
            }
            Blame::Stalled(stage) => self.on_stalled(stage, now_ms, effects),
            Blame::LinkSilent(stage) => self.on_link_silent(stage, now_ms, effects),
            Blame::Lagging(stage) => self.on_lagging(stage, now_ms, effects),
        }
    }

    pub(super) fn endpoints(&self, indexes: &[usize]) -> Vec<EndpointId> {
        let stages = indexes.iter().filter_map(|index| self.stages.get(*index));
        stages.map(|stage| stage.endpoint.clone()).collect()
    }

    pub(super) fn on_stalled(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.stalled_rounds += 1;
        let required = if self.has_delivered() {
            STALLED_ROUNDS - 1
        } else {
            FIRST_TOKEN_STALLED_ROUNDS - 1
        };
        if self.stalled_rounds >= required {
            let stalled = self.endpoints(&[stage]);
            self.report_and_rebuild(&stalled, EndpointFault::Silent, now_ms, effects);
            return;
        }
        self.schedule_next_probe(now_ms);
    }

    /// Reopens the stream on the same stages, since the connection to the first stage is the likelier
    /// cause. If no token arrives then either, the last stage cannot reach the first and is replaced:
    /// when the same stages were reopened repeatedly, the answer paused until the engines closed the
    /// link 10 s later.
    fn on_undelivered(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.reopens += 1;
        match self.stages.last().map(|stage| stage.endpoint.clone()) {
            Some(last) if self.reopens > MAX_REOPENS && self.stages.len() > 1 => {
                self.report_and_rebuild(&[last], EndpointFault::Silent, now_ms, effects);
            }
            _ => self.rebuild(&[], now_ms, effects),
        }
    }

    /// Replaces a stage that receives nothing from the stage before it. This is distinguishable from a
    /// full engine, where queued work has arrived, so two rounds suffice even before the first token.
    /// The stage before it is replaced too if it has already failed to reach another stage.
    fn on_link_silent(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.stalled_rounds += 1;
        if self.stalled_rounds < STALLED_ROUNDS - 1 {
            self.schedule_next_probe(now_ms);
            return;
        }
        let Some(endpoint) = self.endpoints(&[stage]).pop() else {
            return;
        };
        let mut faulty = self.repeated_reporter(&endpoint);
        faulty.push(endpoint);
        self.report_and_rebuild(&faulty, EndpointFault::Silent, now_ms, effects);
    }

    pub(super) fn on_lagging(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.stalled_rounds = 0;
        let rounds = match self.lagging {
            Some((other, rounds)) if other == stage => rounds + 1,
            _ => 1,
        };
        self.lagging = Some((stage, rounds));
        self.schedule_next_probe(now_ms);
        if self.pace.is_slow() && rounds >= LAGGING_ROUNDS && self.slow_rebuilds_left > 0 {
            self.replace_slow(stage, effects);
        }
    }

    /// Requests a chain without the stage that slows this one down. The current epoch stays open
    /// until a replacement is found.
    pub(super) fn replace_slow(&mut self, stage: usize, effects: &mut Vec<ChainEffect>) {
        self.slow_rebuilds_left -= 1;
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

    /// Schedules the next probe round after as long as the silence has lasted, within bounds.
    pub(super) fn schedule_next_probe(&mut self, now_ms: u64) {
        let since_ms = self.last_token_at_ms.max(self.opened_at_ms);
        let silent_ms = now_ms.saturating_sub(since_ms);
        self.probe_at_ms = now_ms + silent_ms.clamp(MIN_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS);
    }
}
