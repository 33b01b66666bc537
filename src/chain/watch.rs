//! Watching an epoch: silence is answered by probes of all stages, and probes by a verdict.

use super::blame::{Blame, Known, Round, judge};
use super::machine::{Chain, State};
use super::message::{ChainEffect, ProbeAnswer};
use crate::ids::EndpointId;
use crate::outcome::RefusalCode;
use crate::routing::EndpointFault;

/// Shortest time between two rounds of probes.
const WAIT_FLOOR_MS: u64 = 60;
/// Longest time between two rounds of probes.
const WAIT_CEILING_MS: u64 = 1_000;
/// Time after its timeout before a probe that the driver did not answer counts as unanswered.
const PROBE_MARGIN_MS: u64 = 20;
/// Rounds of probes without any movement before a stage is held to be stuck.
const STUCK_ROUNDS: u32 = 2;
/// The same before the epoch's first token, which may wait in an engine's queue.
const FIRST_STUCK_ROUNDS: u32 = 4;
/// Epochs in a row that may be opened on the same stages because a token was made and did not come.
const MOST_REOPENED: u32 = 1;
/// Rounds that must find the same stage behind before a slow chain is rebuilt without it.
const SLOW_ROUNDS: u32 = 3;

impl Chain {
    pub(super) fn forget_silence(&mut self) {
        self.round = None;
        self.last_answers = None;
        self.unmoved_rounds = 0;
        self.behind = None;
    }

    pub(super) fn on_wake(&mut self, gap_ms: f64, now_ms: u64, effects: &mut Vec<ChainEffect>) {
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
    pub(super) fn suspect(&mut self, gap_ms: f64, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.has_delivered() && !self.pace.is_slow() {
            let due_ms = self.progress_at_ms + self.pace.next_timeout_ms(gap_ms);
            if now_ms < due_ms {
                self.suspect_at_ms = due_ms;
                return;
            }
        }
        self.probe(now_ms, effects);
    }

    pub(super) fn probe(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        if self.round.is_some() {
            return;
        }
        self.rounds += 1;
        let timeout_ms = self.pace.probe_timeout_ms();
        let until_ms = now_ms + timeout_ms + PROBE_MARGIN_MS;
        self.round = Some(Round::new(self.rounds, self.stages.len(), until_ms));
        for (index, stage) in self.stages.iter().enumerate() {
            effects.push(ChainEffect::Probe {
                round: self.rounds,
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
        let Some(round) = &mut self.round else { return };
        if round.number != number {
            return;
        }
        round.add(stage, answer);
        if round.is_complete() {
            self.conclude(now_ms, effects);
        }
    }

    pub(super) fn conclude(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        let Some(round) = self.round.take() else {
            return;
        };
        let answers = round.into_answers();
        let known = Known {
            epoch: self.epoch,
            start: self.start,
            held: self.held(),
            before: self.last_answers.as_deref(),
        };
        let blame = judge(&answers, known);
        self.last_answers = Some(answers);
        if self.is_hopeless(now_ms) {
            self.give_up(RefusalCode::EndpointFailed, effects);
            return;
        }
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
            Blame::Undelivered => self.on_undelivered(now_ms, effects),
            Blame::Stuck(_) | Blame::Unreached(_) | Blame::Behind(_) if self.broken => {
                self.rebuild(&[], now_ms, effects);
            }
            Blame::Stuck(stage) => self.on_stuck(stage, now_ms, effects),
            Blame::Unreached(stage) => self.on_unreached(stage, now_ms, effects),
            Blame::Behind(stage) => self.on_behind(stage, now_ms, effects),
        }
    }

    pub(super) fn endpoints(&self, indexes: &[usize]) -> Vec<EndpointId> {
        let stages = indexes.iter().filter_map(|index| self.stages.get(*index));
        stages.map(|stage| stage.endpoint.clone()).collect()
    }

    pub(super) fn on_stuck(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.unmoved_rounds += 1;
        let enough = if self.has_delivered() {
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

    /// Opens the same stages again, since the connection to the first is the likelier cause. If that
    /// brings no token either, the last stage does not reach the first: where it was opened again and
    /// again on the same stages, an answer paused until the engines gave the link up, 10 s later.
    fn on_undelivered(&mut self, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.reopened += 1;
        match self.stages.last().map(|stage| stage.endpoint.clone()) {
            Some(last) if self.reopened > MOST_REOPENED && self.stages.len() > 1 => {
                self.blame(&[last], EndpointFault::Silent, now_ms, effects);
            }
            _ => self.rebuild(&[], now_ms, effects),
        }
    }

    /// A link that brings nothing is told from a full engine: work that waits there has arrived. So it
    /// is blamed after two rounds also before the first token, and together with the stage before it
    /// once that one has been unable to reach another.
    fn on_unreached(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.unmoved_rounds += 1;
        if self.unmoved_rounds < STUCK_ROUNDS - 1 {
            self.wait_again(now_ms);
            return;
        }
        let Some(unreached) = self.endpoints(&[stage]).pop() else {
            return;
        };
        let mut blamed = self.repeated_accuser(&unreached);
        blamed.push(unreached);
        self.blame(&blamed, EndpointFault::Silent, now_ms, effects);
    }

    pub(super) fn on_behind(&mut self, stage: usize, now_ms: u64, effects: &mut Vec<ChainEffect>) {
        self.unmoved_rounds = 0;
        let rounds = match self.behind {
            Some((other, rounds)) if other == stage => rounds + 1,
            _ => 1,
        };
        self.behind = Some((stage, rounds));
        self.wait_again(now_ms);
        if self.pace.is_slow() && rounds >= SLOW_ROUNDS && self.slow_left > 0 {
            self.replace_slow(stage, effects);
        }
    }

    /// Asks for a chain without a stage that holds this one up. The present epoch stays open until
    /// there is one.
    pub(super) fn replace_slow(&mut self, stage: usize, effects: &mut Vec<ChainEffect>) {
        self.slow_left -= 1;
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
    pub(super) fn wait_again(&mut self, now_ms: u64) {
        let since_ms = self.progress_at_ms.max(self.opened_at_ms);
        let silent_ms = now_ms.saturating_sub(since_ms);
        self.suspect_at_ms = now_ms + silent_ms.clamp(WAIT_FLOOR_MS, WAIT_CEILING_MS);
    }
}
