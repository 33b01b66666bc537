//! Decisions of the entry, kept for explanations. Bounded: the oldest go first.

use std::collections::VecDeque;

use crate::wire::local::DecisionRecord;

/// Most decisions kept.
const KEPT_LIMIT: usize = 4_000;

/// The last decisions, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct KeptDecisions {
    decisions: VecDeque<DecisionRecord>,
}

impl KeptDecisions {
    /// Adds decisions, newest last.
    pub(super) fn reported(&mut self, decisions: Vec<DecisionRecord>) {
        self.decisions.extend(decisions);
        let surplus = self.decisions.len().saturating_sub(KEPT_LIMIT);
        self.decisions.drain(..surplus);
    }

    /// The decisions, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.decisions.iter()
    }
}
