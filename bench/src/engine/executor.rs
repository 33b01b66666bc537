//! When an engine's steps are finished: a model of continuous batching.
//!
//! An engine is a server that works off `layer_tokens_per_s` units a second, a unit being one
//! layer for one token, whatever streams they belong to. A step takes at least as long as half a
//! batch of its size, so that a single stream does not get the rate of a full batch. A stream is
//! at one stage at a time: an engine holds [`SLOT_BATCHES`] batches' worth of streams, so that a
//! batch is there while the others are at other stages. A prompt's tokens cost a part of a
//! generated one's, and long prompts are cut into chunks between which other steps run. Urgent
//! classes go first.
//!
//! Time is simulated: work starts when the work before it was finished, not when a timer fired
//! late, so that the rate is exact.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use fescueshore::ids::StreamId;

/// Part of a full batch's time that the shortest step takes.
const MIN_STEP_PART: f64 = 0.5;
/// Streams that an engine holds at once, in batches.
pub const SLOT_BATCHES: u32 = 4;
/// Cost of a prompt's token against that of a generated one.
pub const PREFILL_COST: f64 = 1.0 / 16.0;
/// Prompt tokens that run without a break.
const CHUNK_TOKENS: u32 = 16;

/// A step waiting to be run or running.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Work {
    /// The stream.
    pub(crate) stream: StreamId,
    /// Chain epoch.
    pub(crate) epoch: u32,
    /// Position the step leads to.
    pub(crate) position: u32,
    /// Scheduling class; 0 is the most urgent.
    pub(crate) priority: u8,
    /// When it came, or its last chunk was finished.
    pub(crate) arrival_us: u64,
    /// Layers to run.
    pub(crate) layers: u16,
    /// Prompt tokens still to run before the step itself.
    pub(crate) prefill_tokens: u32,
}

/// Steps in the order in which they are finished.
#[derive(Debug)]
pub(crate) struct Executor {
    unit_us: f64,
    min_step_units: f64,
    slow_factor: f64,
    free_at_us: f64,
    busy_us: f64,
    queues: BTreeMap<u8, VecDeque<Work>>,
    running: BinaryHeap<Reverse<Finish>>,
    finished: u64,
}

/// A step that is finished at a known time.
#[derive(Clone, Debug)]
struct Finish {
    at_us: u64,
    number: u64,
    work: Work,
}

impl PartialEq for Finish {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Finish {}

impl PartialOrd for Finish {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Finish {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

impl Executor {
    /// An idle executor.
    pub(crate) fn new(layer_tokens_per_s: f64, batch_limit: u32) -> Self {
        Self {
            unit_us: 1e6 / layer_tokens_per_s.max(1.0),
            min_step_units: f64::from(batch_limit) * MIN_STEP_PART,
            slow_factor: 1.0,
            free_at_us: 0.0,
            busy_us: 0.0,
            queues: BTreeMap::new(),
            running: BinaryHeap::new(),
            finished: 0,
        }
    }

    /// Makes every step from now on take so many times longer.
    pub(crate) fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor.max(0.0);
    }

    /// Nothing ran until now: the engine was frozen.
    pub(crate) fn skip_to(&mut self, now_us: u64) {
        self.free_at_us = self.free_at_us.max(now_us as f64);
    }

    /// Time spent on steps so far.
    pub(crate) fn busy_us(&self) -> u64 {
        self.busy_us as u64
    }

    /// Adds a step.
    pub(crate) fn push(&mut self, work: Work) {
        self.queues
            .entry(work.priority)
            .or_default()
            .push_back(work);
    }

    /// Drops the steps of a stream that have not started.
    pub(crate) fn remove(&mut self, stream: StreamId) {
        for queue in self.queues.values_mut() {
            queue.retain(|work| work.stream != stream);
        }
    }

    /// Starts what can start and returns what is finished, with the time when it was.
    pub(crate) fn advance(&mut self, now_us: u64) -> Vec<(u64, Work)> {
        while self.free_at_us <= now_us as f64 {
            let Some(work) = self.pop() else {
                break;
            };
            self.start(work);
        }
        let mut finished = Vec::new();
        while let Some(Reverse(next)) = self.running.peek() {
            if next.at_us > now_us {
                break;
            }
            if let Some(Reverse(finish)) = self.running.pop() {
                finished.push((finish.at_us, finish.work));
            }
        }
        finished
    }

    /// When [`Self::advance`] next has something to do.
    pub(crate) fn next_wake_us(&self) -> Option<u64> {
        let waiting = self.queues.values().any(|queue| !queue.is_empty());
        let start_us = waiting.then_some(self.free_at_us.ceil() as u64);
        let finish_us = self.running.peek().map(|Reverse(next)| next.at_us);
        [start_us, finish_us].into_iter().flatten().min()
    }

    /// The most urgent step among those that are there when the server is free.
    fn pop(&mut self) -> Option<Work> {
        let fronts = self.queues.values().filter_map(|queue| queue.front());
        let earliest_us = fronts.map(|work| work.arrival_us).min()?;
        let start_us = self.free_at_us.max(earliest_us as f64);
        self.queues
            .values_mut()
            .find(|queue| {
                queue
                    .front()
                    .is_some_and(|work| work.arrival_us as f64 <= start_us)
            })
            .and_then(VecDeque::pop_front)
    }

    fn start(&mut self, mut work: Work) {
        let start_us = self.free_at_us.max(work.arrival_us as f64);
        let chunk_tokens = work.prefill_tokens.min(CHUNK_TOKENS);
        work.prefill_tokens -= chunk_tokens;
        let last_chunk = work.prefill_tokens == 0;
        let step_tokens = if last_chunk { 1.0 } else { 0.0 };
        let tokens = f64::from(chunk_tokens) * PREFILL_COST + step_tokens;
        let layer_us = self.unit_us * self.slow_factor * f64::from(work.layers);
        self.free_at_us = start_us + tokens * layer_us;
        self.busy_us += tokens * layer_us;
        if !last_chunk {
            work.arrival_us = self.free_at_us as u64;
            self.push(work);
            return;
        }
        let shortest_us = start_us + self.min_step_units * layer_us;
        self.finished += 1;
        self.running.push(Reverse(Finish {
            at_us: self.free_at_us.max(shortest_us) as u64,
            number: self.finished,
            work,
        }));
    }
}
