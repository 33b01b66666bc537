//! The answer a model gives: a function of what was asked, so that anyone can check one.

#[cfg(test)]
mod tests;

use fescueshore::wire::engine::EndReason;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Fewest tokens of an answer that is not cut by `max_tokens`.
const SHORTEST_TOKENS: u32 = 24;
/// Range of natural lengths above the shortest.
const LENGTH_SPREAD_TOKENS: u64 = 200;

const ONSETS: [&str; 16] = [
    "b", "d", "f", "g", "h", "k", "l", "m", "n", "p", "r", "s", "t", "v", "y", "z",
];
const VOWELS: [&str; 4] = ["a", "e", "i", "o"];

/// What determines an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerKey<'a> {
    /// Model name.
    pub model: &'a str,
    /// Model version.
    pub version: &'a str,
    /// Adapter, if any.
    pub adapter: Option<&'a str>,
    /// The prompt.
    pub prompt: &'a str,
}

impl AnswerKey<'_> {
    /// Returns the seed of every token of the answer.
    pub fn seed(&self) -> AnswerSeed {
        let fields = [
            self.model,
            self.version,
            self.adapter.unwrap_or(""),
            self.prompt,
        ];
        let seed = fields
            .iter()
            .fold(0, |seed, field| xxh3_64_with_seed(field.as_bytes(), seed));
        AnswerSeed(seed)
    }
}

/// Seed of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSeed(u64);

impl AnswerSeed {
    /// Returns token `position`; never empty, without white space.
    pub fn token(self, position: u32) -> String {
        let hash = xxh3_64_with_seed(&position.to_le_bytes(), self.0);
        let mut word = String::with_capacity(8);
        for syllable in 0..4 {
            let bits = (hash >> (6 * syllable)) as usize;
            word.push_str(ONSETS[bits & 15]);
            word.push_str(VOWELS[(bits >> 4) & 3]);
        }
        word
    }

    /// Returns the tokens of the answer if nothing cuts it.
    pub fn natural_tokens(self) -> u32 {
        let hash = xxh3_64(&self.0.to_le_bytes());
        SHORTEST_TOKENS + (hash % LENGTH_SPREAD_TOKENS) as u32
    }

    /// Returns the length of the answer and why it ends there.
    pub fn end(self, max_tokens: u32) -> (u32, EndReason) {
        let natural = self.natural_tokens();
        if natural <= max_tokens {
            (natural, EndReason::Stop)
        } else {
            (max_tokens, EndReason::Length)
        }
    }

    /// Returns the whole answer.
    pub fn answer(self, max_tokens: u32) -> Vec<String> {
        let (tokens, _) = self.end(max_tokens);
        (0..tokens).map(|position| self.token(position)).collect()
    }
}
