//! Hints about which engines have the start of a prompt in their prefix cache.
//!
//! Engines publish cache events late and with gaps, so hints expire and are never authoritative.
//! Hints also come from the entry's own streams: an engine that ran a prompt caches its start for a
//! while. Their benefit is measured for each engine: if the time to first token is not shorter with
//! a hint than without, hints about that engine are ignored for a while.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::wire::engine::CACHE_BLOCK_TOKENS;

/// Age at which a hint expires.
pub(crate) const HINT_TTL_MS: u64 = 60_000;
/// Maximum number of blocks in each of the two generations.
const MAX_GENERATION_BLOCKS: usize = 32_768;
/// Maximum number of hints for one block.
const MAX_HINTS_PER_BLOCK: usize = 64;
/// Number of first tokens, with and without a hint, required before the benefit of hints is
/// evaluated.
const MIN_SAMPLES: u32 = 8;
/// Minimum relative saving in time to first token for hints to stay enabled.
const MIN_SAVING: f64 = 0.05;
/// How long hints about an engine are ignored after they proved to have no benefit.
const HINT_SUSPENSION_MS: u64 = 30_000;
/// Weight of a new sample in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// An engine that probably caches a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hint {
    /// Number of the engine in the endpoint table.
    engine: u32,
    at_ms: u64,
}

/// Hints by block. Memory is bounded by two generations: when the current one is full, the previous
/// one is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixHints {
    current: IndexMap<u64, Vec<Hint>>,
    previous: IndexMap<u64, Vec<Hint>>,
}

/// Returns the hash of the first block of a prompt, or `None` if the prompt is shorter than a
/// block.
pub(crate) fn first_block(prompt: &str) -> Option<u64> {
    let tokens: Vec<&str> = prompt.split_whitespace().take(CACHE_BLOCK_TOKENS).collect();
    (tokens.len() == CACHE_BLOCK_TOKENS).then(|| xxh3_64(tokens.join(" ").as_bytes()))
}

impl PrefixHints {
    /// Records that an engine has stored or just used a block.
    pub(crate) fn add(&mut self, block: u64, engine: u32, now_ms: u64) {
        if self.current.len() >= MAX_GENERATION_BLOCKS {
            self.previous = std::mem::take(&mut self.current);
        }
        let known = self.previous.swap_remove(&block);
        let hints = self
            .current
            .entry(block)
            .or_insert_with(|| known.unwrap_or_default());
        hints.retain(|hint| hint.engine != engine);
        if hints.len() >= MAX_HINTS_PER_BLOCK {
            hints.remove(0);
        }
        hints.push(Hint {
            engine,
            at_ms: now_ms,
        });
    }

    /// Records that an engine has evicted a block.
    pub(crate) fn remove(&mut self, block: u64, engine: u32) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(hints) = generation.get_mut(&block) {
                hints.retain(|hint| hint.engine != engine);
            }
        }
    }

    /// Removes all hints about an engine.
    pub(crate) fn remove_engine(&mut self, engine: u32) {
        for hints in self.current.values_mut().chain(self.previous.values_mut()) {
            hints.retain(|hint| hint.engine != engine);
        }
    }

    /// Returns the engines that probably cache a block.
    pub(crate) fn holders(&self, block: Option<u64>, now_ms: u64) -> Vec<u32> {
        let hints = block.and_then(|block| {
            let current = self.current.get(&block);
            current.or_else(|| self.previous.get(&block))
        });
        hints
            .into_iter()
            .flatten()
            .filter(|hint| now_ms < hint.at_ms + HINT_TTL_MS)
            .map(|hint| hint.engine)
            .collect()
    }
}

/// Time to first token of one engine with and without a hint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HintBenefit {
    hinted: MovingAverage,
    unhinted: MovingAverage,
    suspended_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct MovingAverage {
    value: f64,
    samples: u32,
}

impl MovingAverage {
    fn add(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples));
        self.value += gain * (sample - self.value);
    }
}

impl HintBenefit {
    /// Records the time to first token, divided by the number of prompt tokens.
    pub(crate) fn record(&mut self, hinted: bool, ms_per_token: f64, now_ms: u64) {
        let mean = if hinted {
            &mut self.hinted
        } else {
            &mut self.unhinted
        };
        mean.add(ms_per_token);
        let judged = self.hinted.samples.min(self.unhinted.samples) >= MIN_SAMPLES;
        if judged && self.hinted.value > self.unhinted.value * (1.0 - MIN_SAVING) {
            *self = Self {
                suspended_until_ms: now_ms + HINT_SUSPENSION_MS,
                ..Self::default()
            };
        }
    }

    /// Whether hints about the engine are currently used.
    pub(crate) fn is_enabled(&self, now_ms: u64) -> bool {
        now_ms >= self.suspended_until_ms
    }
}
