//! What a soak showed.

use std::fmt;

use indexmap::IndexMap;

use super::plan::FaultKind;
use crate::caller::Counts;
use crate::tally::Findings;

/// Counts of a soak.
#[derive(Clone, Debug, Default)]
pub struct SoakResult {
    /// Counts of the callers.
    pub counts: Counts,
    /// Counts of the stand-ins.
    pub findings: Findings,
    /// Revisions that an instance reported below one it had reported before.
    pub reverts: u64,
    /// Changes accepted on top of a base on which another was accepted too.
    pub double_accepts: u64,
    /// Attempts cut by an entry in a planned stop.
    pub cut_by_planned_stop: u64,
    /// Planned stops that did not end by themselves.
    pub stuck_stops: u64,
    /// Faults injected, by kind.
    pub(super) faults: IndexMap<FaultKind, u64>,
}

impl SoakResult {
    /// Requests with a final word: a whole answer, the endpoint's own error, or `unknown` where
    /// nobody knows the result of a non-idempotent call.
    pub fn answered(&self) -> u64 {
        self.counts.answered + self.counts.endpoint_errors + self.counts.unknown
    }

    /// Whether every count is as it should be.
    pub fn is_good(&self) -> bool {
        let findings = &self.findings;
        let wrong = [
            findings.crossed,
            findings.layer_faults,
            findings.double_runs,
            findings.false_not_run,
            self.reverts,
            self.double_accepts,
            self.cut_by_planned_stop,
            self.stuck_stops,
            self.counts.doubled,
            self.counts.incomplete,
            self.counts.malformed,
        ];
        self.counts.asked > 0
            && self.answered() == self.counts.asked
            && wrong.iter().all(|count| *count == 0)
    }

    /// Lines for people, above the last line.
    pub fn details(&self) -> String {
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(kind, count)| format!("{kind:?}={count}"))
            .collect();
        format!(
            "faults: {}\nwords: whole={} endpoint_errors={} unknown={} refused={:?} unfinished={} doubled={} incomplete={}\n\
             attempts: all={} broken={} malformed={}\ntokens: {}\n\
             more: double_accepts={} stuck_stops={}",
            faults.join(" "),
            self.counts.answered,
            self.counts.endpoint_errors,
            self.counts.unknown,
            self.counts.refused,
            self.counts.unfinished,
            self.counts.doubled,
            self.counts.incomplete,
            self.counts.attempts,
            self.counts.broken,
            self.counts.malformed,
            self.findings.tokens,
            self.double_accepts,
            self.stuck_stops
        )
    }
}

impl fmt::Display for SoakResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "soak: asked={} answered={} crossed={} layer_faults={} double_runs={} \
             false_not_run={} reverts={} cut_by_planned_stop={}",
            self.counts.asked,
            self.answered(),
            self.findings.crossed,
            self.findings.layer_faults,
            self.findings.double_runs,
            self.findings.false_not_run,
            self.reverts,
            self.cut_by_planned_stop
        )
    }
}
