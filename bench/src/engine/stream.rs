//! What an engine knows of one stream.

use std::sync::Arc;

use fescueshore::wire::engine::{EndReason, LayerRange, OpenStream, Stage};

use super::cache::PrefixHashes;
use super::frames::{Activation, Frame};
use crate::answer::{AnswerKey, AnswerSeed};

/// What a stage does for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Waits for a slot; `since_us` orders those that wait.
    Waiting { since_us: u64 },
    /// Waits for KV state from another engine.
    Importing,
    /// Runs steps.
    Running,
    /// Runs nothing any more in this epoch; the KV state is kept for a while.
    Stopped,
}

/// One stream at one stage.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    /// The stream as the entry opened it.
    pub(crate) open: Arc<OpenStream>,
    /// This stage's place in the chain.
    pub(crate) index: usize,
    /// What the stage does.
    pub(crate) phase: Phase,
    /// Determines the answer.
    pub(crate) seed: AnswerSeed,
    /// Length of the whole answer and why it ends there.
    pub(crate) end: (u32, EndReason),
    /// Blocks of the prompt.
    pub(crate) prefix: PrefixHashes,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Input of the step that waits or runs; its position is the next this stage finishes.
    pub(crate) input: Activation,
    /// Whether the step of `input` is under way: a repeat of it is ignored.
    pub(crate) busy: bool,
    /// Positions whose steps are in the KV state; `None` without any.
    pub(crate) kv_positions: Option<u32>,
    /// Result of the last step, for a repeat of it.
    pub(crate) last_result: Option<Frame>,
    /// Tokens reported, those held by the entry at the start left out. First stage only.
    pub(crate) tokens: Vec<String>,
    /// Last time anything was heard of the stream.
    pub(crate) touched_us: u64,
}

impl Stream {
    /// A stream about to begin at a stage.
    pub(crate) fn new(open: Arc<OpenStream>, index: usize, input: Activation, at_us: u64) -> Self {
        let seed = seed_of(&open);
        Self {
            index,
            phase: Phase::Waiting { since_us: at_us },
            seed,
            end: seed.end(open.max_tokens),
            prefix: PrefixHashes::of(&open.prompt),
            prompt_tokens: open.prompt.split_whitespace().count() as u32,
            input,
            busy: true,
            kv_positions: None,
            last_result: None,
            tokens: Vec::new(),
            touched_us: at_us,
            open,
        }
    }

    /// This stage.
    pub(crate) fn stage(&self) -> &Stage {
        &self.open.chain[self.index]
    }

    /// The stage behind this one.
    pub(crate) fn next_stage(&self) -> Option<&Stage> {
        self.open.chain.get(self.index + 1)
    }

    /// The first stage.
    pub(crate) fn first_stage(&self) -> &Stage {
        &self.open.chain[0]
    }

    /// Layers this stage runs.
    pub(crate) fn layers(&self) -> LayerRange {
        self.stage().layers
    }

    /// Position at which the epoch began.
    pub(crate) fn start_position(&self) -> u32 {
        self.open.generated.len() as u32
    }

    /// Tokens before the next step of an epoch that begins: prompt and generated ones.
    pub(crate) fn context_tokens(&self) -> u32 {
        self.prompt_tokens + self.start_position()
    }

    /// Whether the stage has or wants a slot.
    pub(crate) fn is_active(&self) -> bool {
        self.phase != Phase::Stopped
    }

    /// Whether the stage has a slot.
    pub(crate) fn has_slot(&self) -> bool {
        matches!(self.phase, Phase::Importing | Phase::Running)
    }

    /// Tokens whose KV state is reserved.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.end.0)
    }
}

/// Seed of the answer that a stream generates.
pub(crate) fn seed_of(open: &OpenStream) -> AnswerSeed {
    AnswerKey {
        model: &open.model,
        version: &open.version,
        adapter: open.adapter.as_deref(),
        prompt: &open.prompt,
    }
    .seed()
}

/// Whether a stage must run the positions before the start again.
pub(crate) fn recomputes(stage: &Stage, start_position: u32) -> bool {
    // Before the first token there is nothing to keep.
    start_position == 0 || (stage.recompute && stage.import_from.is_none())
}
