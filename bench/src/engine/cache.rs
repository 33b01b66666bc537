//! Prefix cache of an engine, in limited memory, and the events about it.

use std::collections::{BTreeMap, VecDeque};

use fescueshore::wire::engine::{CACHE_BLOCK_TOKENS, CacheEvent, CacheEvents};
use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How late events are published.
const EVENT_DELAY_US: u64 = 200_000;
/// Every so many events one is lost.
const EVENT_GAP: u64 = 17;
/// Events kept for readers.
const MAX_EVENTS: usize = 4096;

/// A cached block: a prefix that ends with it.
#[derive(Clone, Copy, Debug)]
struct Block {
    used: u64,
    /// Hash in events; only a prompt's first block is published.
    published: Option<u64>,
}

/// Blocks of prompts whose KV state is kept, the least recently used evicted first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    blocks: IndexMap<u64, Block>,
    /// Keys by their blocks' last use; one for each block.
    by_use: BTreeMap<u64, u64>,
    capacity: usize,
    uses: u64,
    events: VecDeque<(u64, CacheEvent)>,
    last_number: u64,
}

/// One hash per whole block of a prompt, each over everything up to the block's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PrefixHashes(Vec<u64>);

impl PrefixHashes {
    /// Hashes a prompt's blocks.
    pub(crate) fn of(prompt: &str) -> Self {
        let tokens: Vec<&str> = prompt.split_whitespace().collect();
        let mut hashes: Vec<u64> = Vec::new();
        for block in tokens.chunks_exact(CACHE_BLOCK_TOKENS) {
            let text = block.join(" ");
            hashes.push(match hashes.last() {
                Some(before) => xxh3_64_with_seed(text.as_bytes(), *before),
                None => xxh3_64(text.as_bytes()),
            });
        }
        Self(hashes)
    }
}

impl PrefixCache {
    /// An empty cache.
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            blocks: IndexMap::new(),
            by_use: BTreeMap::new(),
            capacity: capacity_tokens as usize / CACHE_BLOCK_TOKENS,
            uses: 0,
            events: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Number of the prompt's first tokens that are cached for this adapter.
    pub(crate) fn cached_tokens(&mut self, prefix: &PrefixHashes, adapter: Option<&str>) -> u32 {
        let mut cached = 0;
        for hash in &prefix.0 {
            let key = key(*hash, adapter);
            let Some(block) = self.blocks.get(&key) else {
                break;
            };
            self.touch(key, block.published);
            cached += CACHE_BLOCK_TOKENS as u32;
        }
        cached
    }

    /// Stores a prompt's blocks.
    pub(crate) fn store(&mut self, prefix: &PrefixHashes, adapter: Option<&str>, now_us: u64) {
        for (index, hash) in prefix.0.iter().take(self.capacity).enumerate() {
            let published = (index == 0).then_some(*hash);
            let known = self.touch(key(*hash, adapter), published);
            if let (false, Some(hash)) = (known, published) {
                self.publish(hash, false, now_us);
            }
        }
        while self.blocks.len() > self.capacity {
            self.evict(now_us);
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self, now_us: u64) {
        while !self.blocks.is_empty() {
            self.evict(now_us);
        }
    }

    /// Events after one that a reader knows, as far as they are published.
    pub(crate) fn events(&self, after: u64, now_us: u64) -> CacheEvents {
        let published = self
            .events
            .iter()
            .take_while(|(at_us, _)| at_us + EVENT_DELAY_US <= now_us)
            .map(|(_, event)| *event);
        let events: Vec<CacheEvent> = published.filter(|event| event.number > after).collect();
        CacheEvents {
            last: events.last().map_or(after, |event| event.number),
            events,
        }
    }

    /// Makes a block the last used; returns whether it was there.
    fn touch(&mut self, key: u64, published: Option<u64>) -> bool {
        self.uses += 1;
        let block = Block {
            used: self.uses,
            published,
        };
        let before = self.blocks.insert(key, block);
        if let Some(before) = before {
            self.by_use.remove(&before.used);
        }
        self.by_use.insert(self.uses, key);
        before.is_some()
    }

    fn evict(&mut self, now_us: u64) {
        let Some((_, key)) = self.by_use.pop_first() else {
            return;
        };
        let block = self.blocks.swap_remove(&key);
        if let Some(hash) = block.and_then(|block| block.published) {
            self.publish(hash, true, now_us);
        }
    }

    fn publish(&mut self, block: u64, evicted: bool, now_us: u64) {
        self.last_number += 1;
        if self.last_number.is_multiple_of(EVENT_GAP) {
            return;
        }
        let event = CacheEvent {
            number: self.last_number,
            block,
            evicted,
        };
        self.events.push_back((now_us, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

fn key(hash: u64, adapter: Option<&str>) -> u64 {
    xxh3_64_with_seed(adapter.unwrap_or("").as_bytes(), hash)
}
