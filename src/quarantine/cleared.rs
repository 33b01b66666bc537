//! Requests that endpoints are known to have survived, in bounded memory.

use std::mem;

use indexmap::IndexMap;

use super::FeatureDigest;

/// Maximum number of requests in a generation. A request that is sent often is recorded again; one
/// of thousands that was sent only once is dropped with its generation.
const GENERATION_CAPACITY: usize = 2_048;
/// Maximum age of a generation.
const GENERATION_TTL_MS: u64 = 300_000;

/// When an endpoint last survived each request. Kept in two generations, of which the older one is
/// dropped as a whole, so that no sorting is needed.
#[derive(Debug, Default)]
pub(super) struct Cleared {
    newer: IndexMap<FeatureDigest, u64>,
    older: IndexMap<FeatureDigest, u64>,
    since_ms: u64,
}

impl Cleared {
    /// Records that an endpoint survived a request at `at_ms`.
    pub(super) fn record(&mut self, digest: FeatureDigest, at_ms: u64, now_ms: u64) {
        let is_full = self.newer.len() >= GENERATION_CAPACITY;
        if is_full || now_ms >= self.since_ms + GENERATION_TTL_MS {
            self.older = mem::take(&mut self.newer);
            self.since_ms = now_ms;
        }
        let newest = self.newer.entry(digest).or_insert(at_ms);
        *newest = at_ms.max(*newest);
    }

    /// When an endpoint last survived a request, if that is still known.
    pub(super) fn at_ms(&self, digest: &FeatureDigest) -> Option<u64> {
        let newer = self.newer.get(digest);
        newer.or_else(|| self.older.get(digest)).copied()
    }
}
