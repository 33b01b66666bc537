//! Hints about which engines cache the start of a prompt.
//!
//! Engines publish cache events late and with gaps, so a hint has an age and is never truth. It is
//! also learnt from the entry's own streams: an engine that ran a prompt caches its start for a
//! while. Whether hints are worth following is measured: an engine whose first tokens are no
//! sooner where a hint promised them loses its hints for a time.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::wire::engine::CACHE_BLOCK_TOKENS;

/// Age at which a hint is dropped.
pub(crate) const HINT_LIFE_MS: u64 = 60_000;
/// Blocks kept in each of two generations.
const GENERATION_BLOCKS: usize = 32_768;
/// Hints kept for one block.
const MOST_HINTS: usize = 64;
/// First tokens of each kind after which the worth of hints is judged.
const JUDGED_SAMPLES: u32 = 8;
/// A hint is worth it if it saves at least this part of the first token's time.
const LEAST_SAVING: f64 = 0.05;
/// How long hints about an engine are ignored after they proved worthless.
const IGNORED_MS: u64 = 30_000;
/// Weight of a new sample.
const GAIN: f64 = 0.1;

/// An engine that likely caches a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hint {
    /// The engine's number in the endpoint table.
    engine: u32,
    at_ms: u64,
}

/// Hints by block, in bounded memory: when a generation is full, the one before is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixHints {
    young: IndexMap<u64, Vec<Hint>>,
    old: IndexMap<u64, Vec<Hint>>,
}

/// Hash of a prompt's first block; `None` if the prompt is shorter.
pub(crate) fn first_block(prompt: &str) -> Option<u64> {
    let tokens: Vec<&str> = prompt.split_whitespace().take(CACHE_BLOCK_TOKENS).collect();
    (tokens.len() == CACHE_BLOCK_TOKENS).then(|| xxh3_64(tokens.join(" ").as_bytes()))
}

impl PrefixHints {
    /// Notes that an engine stored a block, or used it just now.
    pub(crate) fn store(&mut self, block: u64, engine: u32, now_ms: u64) {
        if self.young.len() >= GENERATION_BLOCKS {
            self.old = std::mem::take(&mut self.young);
        }
        let known = self.old.swap_remove(&block);
        let hints = self
            .young
            .entry(block)
            .or_insert_with(|| known.unwrap_or_default());
        hints.retain(|hint| hint.engine != engine);
        if hints.len() >= MOST_HINTS {
            hints.remove(0);
        }
        hints.push(Hint {
            engine,
            at_ms: now_ms,
        });
    }

    /// Notes that an engine evicted a block.
    pub(crate) fn evict(&mut self, block: u64, engine: u32) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(hints) = generation.get_mut(&block) {
                hints.retain(|hint| hint.engine != engine);
            }
        }
    }

    /// Forgets everything about an engine.
    pub(crate) fn forget(&mut self, engine: u32) {
        for hints in self.young.values_mut().chain(self.old.values_mut()) {
            hints.retain(|hint| hint.engine != engine);
        }
    }

    /// Engines that likely cache a block.
    pub(crate) fn holders(&self, block: Option<u64>, now_ms: u64) -> Vec<u32> {
        let hints = block.and_then(|block| {
            let young = self.young.get(&block);
            young.or_else(|| self.old.get(&block))
        });
        hints
            .into_iter()
            .flatten()
            .filter(|hint| now_ms < hint.at_ms + HINT_LIFE_MS)
            .map(|hint| hint.engine)
            .collect()
    }
}

/// What following hints about one engine has brought.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HintWorth {
    hinted: Mean,
    plain: Mean,
    ignored_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.value += gain * (sample - self.value);
    }
}

impl HintWorth {
    /// Takes the time to a first token, for each token of the prompt.
    pub(crate) fn learn(&mut self, hinted: bool, ms_per_token: f64, now_ms: u64) {
        let mean = if hinted {
            &mut self.hinted
        } else {
            &mut self.plain
        };
        mean.add(ms_per_token);
        let judged = self.hinted.samples.min(self.plain.samples) >= JUDGED_SAMPLES;
        if judged && self.hinted.value > self.plain.value * (1.0 - LEAST_SAVING) {
            *self = Self {
                ignored_until_ms: now_ms + IGNORED_MS,
                ..Self::default()
            };
        }
    }

    /// Whether hints about the engine are followed now.
    pub(crate) fn is_followed(&self, now_ms: u64) -> bool {
        now_ms >= self.ignored_until_ms
    }
}
