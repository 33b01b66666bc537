//! Requests under which endpoints were seen to go on, in bounded memory.

use std::mem;

use indexmap::IndexMap;

use super::RequestDigest;

/// Requests of one generation. A request that is sent often stays; one in thousands that was sent once
/// is forgotten with its generation.
const GENERATION_CAPACITY: usize = 2_048;
/// Longest life of a generation.
const GENERATION_MS: u64 = 300_000;

/// When endpoints last went on under each request, over two generations: the older one is dropped whole, so
/// that nothing is ever sorted.
#[derive(Debug, Default)]
pub(super) struct Cleared {
    newer: IndexMap<RequestDigest, u64>,
    older: IndexMap<RequestDigest, u64>,
    since_ms: u64,
}

impl Cleared {
    /// Notes that an endpoint went on under a request.
    pub(super) fn record(&mut self, digest: RequestDigest, at_ms: u64, now_ms: u64) {
        let is_full = self.newer.len() >= GENERATION_CAPACITY;
        if is_full || now_ms >= self.since_ms + GENERATION_MS {
            self.older = mem::take(&mut self.newer);
            self.since_ms = now_ms;
        }
        let newest = self.newer.entry(digest).or_insert(at_ms);
        *newest = at_ms.max(*newest);
    }

    /// When an endpoint was last seen to go on under a request, if that is remembered.
    pub(super) fn at_ms(&self, digest: &RequestDigest) -> Option<u64> {
        let newer = self.newer.get(digest);
        newer.or_else(|| self.older.get(digest)).copied()
    }
}
