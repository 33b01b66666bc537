//! Features that endpoints are known to have survived, in bounded memory.

use std::mem;

use indexmap::IndexMap;

use super::FeatureDigest;

/// How long after a survival crashes are not attributed to the feature. Popular harmless features are
/// survived again within this time.
pub(super) const SURVIVAL_VALID_MS: u64 = 2_000;
/// Maximum number of features per generation. A feature that is not survived again expires with its
/// generation.
const GENERATION_CAPACITY: usize = 8_192;

/// When an endpoint last survived each feature. Kept in two generations, of which the older one is
/// dropped as a whole, so that no sorting is needed.
#[derive(Debug, Default)]
pub(super) struct Cleared {
    newer: IndexMap<FeatureDigest, u64>,
    older: IndexMap<FeatureDigest, u64>,
    since_ms: u64,
}

impl Cleared {
    /// Records that an endpoint survived a feature at `at_ms`.
    pub(super) fn record(&mut self, feature: FeatureDigest, at_ms: u64, now_ms: u64) {
        let is_full = self.newer.len() >= GENERATION_CAPACITY;
        if is_full || now_ms >= self.since_ms + SURVIVAL_VALID_MS {
            self.older = mem::take(&mut self.newer);
            self.since_ms = now_ms;
        }
        let newest = self.newer.entry(feature).or_insert(at_ms);
        *newest = at_ms.max(*newest);
    }

    /// When an endpoint last survived a feature, if that is still known.
    pub(super) fn at_ms(&self, feature: &FeatureDigest) -> Option<u64> {
        let [newer, older] = [&self.newer, &self.older].map(|it| it.get(feature).copied());
        newer.max(older)
    }

    /// Whether a survival rules out that a crash at `crash_ms` was caused by the feature.
    pub(super) fn excludes(&self, feature: &FeatureDigest, crash_ms: u64) -> bool {
        let survived_ms = self.at_ms(feature);
        survived_ms.is_some_and(|at_ms| excludes(at_ms, crash_ms))
    }
}

/// Whether a survival at `survived_ms` rules out that a crash at `crash_ms` had the same feature as its
/// cause.
pub(super) fn excludes(survived_ms: u64, crash_ms: u64) -> bool {
    crash_ms <= survived_ms + SURVIVAL_VALID_MS
}
