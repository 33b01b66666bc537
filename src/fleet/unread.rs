//! Prompts that were sent to engines and are not read yet.

use super::{Chain, ChainStage, Fleet};

/// A stream's prompt at the engines that have not read it, where it counts as work still to be done.
///
/// Invariant: the prompt counts in `KnownEndpoint::own_unread_token_layers` of exactly the engines in
/// `stages`, as long as they are in the fleet; [`Self::read`] must be called before it is dropped.
#[derive(Debug)]
pub(crate) struct UnreadPrompt {
    tokens: u64,
    stages: Vec<ChainStage>,
}

impl UnreadPrompt {
    /// Records that a prompt is sent to a chain.
    pub(crate) fn sent(fleet: &mut Fleet, chain: &Chain, tokens: u64) -> Self {
        let stages = chain.stages().to_vec();
        let prompt = Self { tokens, stages };
        prompt.count(fleet, u64::saturating_add);
        prompt
    }

    /// Records that the stream now uses chain `to`. Stages that `from` does not have must read the
    /// prompt; others have read what they had read.
    pub(crate) fn moved(&mut self, fleet: &mut Fleet, from: &Chain, to: &Chain) {
        self.count(fleet, u64::saturating_sub);
        let is_unread =
            |stage: &&ChainStage| self.stages.contains(stage) || !from.stages().contains(stage);
        self.stages = to.stages().iter().filter(is_unread).cloned().collect();
        self.count(fleet, u64::saturating_add);
    }

    /// Records that the prompt is read at all stages, as an event of the stream shows, or that no
    /// stage will read it any more.
    pub(crate) fn read(&mut self, fleet: &mut Fleet) {
        self.count(fleet, u64::saturating_sub);
        self.stages.clear();
    }

    /// Whether some stage has not read the prompt.
    pub(crate) fn is_pending(&self) -> bool {
        !self.stages.is_empty()
    }

    fn count<F>(&self, fleet: &mut Fleet, apply: F)
    where
        F: Fn(u64, u64) -> u64,
    {
        for stage in &self.stages {
            if let Some(known) = fleet.get_mut(&stage.endpoint) {
                let amount = self.tokens.saturating_mul(u64::from(stage.layers.len()));
                known.own_unread_token_layers = apply(known.own_unread_token_layers, amount);
            }
        }
    }
}
