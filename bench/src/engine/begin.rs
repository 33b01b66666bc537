//! Streams begin at a stage: checks, slots, KV state.

use std::sync::Arc;

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{EngineError, OpenStream, StreamEvent};

use super::core::Core;
use super::executor::{SLOT_BATCHES, Work};
use super::frames::Activation;
use super::kv::kept_positions;
use super::stream::{Phase, Stream, recomputes, seed_of};

impl Core {
    /// Opens a stream whose first stage this engine is, or attaches to it again.
    pub(crate) fn open(&mut self, open: OpenStream, now_us: u64) -> Result<(), EngineError> {
        if self.attach(&open) {
            return Ok(());
        }
        self.check_begin(&open, 0)?;
        self.counters.streams_opened += 1;
        let start = open.generated.len() as u32;
        let (id, epoch) = (open.stream, open.epoch);
        let (positions, reason) = seed_of(&open).end(open.max_tokens);
        if start >= positions {
            self.raise_floor(id, epoch.saturating_add(1));
            self.emit(
                id,
                epoch,
                StreamEvent::End {
                    epoch,
                    positions,
                    reason,
                },
            );
            return Ok(());
        }
        let input = Activation::start(id, epoch, start);
        self.begin(Arc::new(open), 0, input, now_us);
        Ok(())
    }

    /// Whether the call is a repeat of one that runs; its tokens are reported again.
    fn attach(&mut self, open: &OpenStream) -> bool {
        let Some(stream) = self.streams.get(&open.stream) else {
            return false;
        };
        if *stream.open != *open || stream.index != 0 || !stream.is_active() {
            return false;
        }
        let start = stream.start_position();
        let tokens = stream.tokens.clone();
        for (position, text) in (start..).zip(tokens) {
            let epoch = open.epoch;
            let event = StreamEvent::Token {
                epoch,
                position,
                text,
            };
            self.emit(open.stream, epoch, event);
        }
        true
    }

    /// A stream begins here as a later stage.
    pub(crate) fn begin_later(
        &mut self,
        from: &EndpointId,
        open: OpenStream,
        index: usize,
        input: Activation,
        at_us: u64,
    ) {
        match self.check_begin(&open, index) {
            Ok(()) => self.begin(Arc::new(open), index, input, at_us),
            Err(error) => self.send_fault(from, open.stream, open.epoch, error.code, at_us),
        }
    }

    fn begin(&mut self, open: Arc<OpenStream>, index: usize, input: Activation, at_us: u64) {
        let id = open.stream;
        let before = self.streams.swap_remove(&id);
        self.executor.remove(id);
        let mut stream = Stream::new(open, index, input, at_us);
        stream.kv_positions = before.and_then(|before| kept_positions(&before, &stream));
        self.counters.stages_begun += 1;
        self.streams.insert(id, stream);
        self.admit(at_us);
    }

    /// Gives free slots to those that wait: urgent classes first, then rebuilt streams.
    pub(crate) fn admit(&mut self, at_us: u64) {
        while let Some(id) = self.next_to_admit() {
            self.start(id, at_us);
        }
    }

    fn next_to_admit(&self) -> Option<StreamId> {
        let (running, waiting) = self.occupancy();
        if waiting == 0 || running >= self.node.batch_limit * SLOT_BATCHES {
            return None;
        }
        let with_slot = self.streams.values().filter(|stream| stream.has_slot());
        let reserved: u64 = with_slot.map(Stream::reserved_tokens).sum();
        let first = self.streams.iter().filter_map(|(id, stream)| {
            let Phase::Waiting { since_us } = stream.phase else {
                return None;
            };
            let rebuilt = stream.open.epoch > 0;
            Some(((stream.open.priority, !rebuilt, since_us), *id, stream))
        });
        let (_, id, stream) = first.min_by_key(|(order, ..)| *order)?;
        // A stream larger than the memory runs alone.
        let fits = reserved + stream.reserved_tokens() <= self.node.kv_capacity_tokens;
        (fits || running == 0).then_some(id)
    }

    fn start(&mut self, id: StreamId, at_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.phase = Phase::Running;
        stream.touched_us = at_us;
        let start = stream.start_position();
        if recomputes(stream.stage(), start) {
            self.push_prefill(id, at_us);
        } else if stream.kv_positions.is_some_and(|held| held >= start) {
            self.counters.kv_reused += 1;
            self.push_step(id, 0, at_us);
        } else {
            self.import(id, at_us);
        }
    }

    fn push_prefill(&mut self, id: StreamId, at_us: u64) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let adapter = stream.open.adapter.as_deref();
        let cached = self.cache.cached_tokens(&stream.prefix, adapter);
        let tokens = stream.context_tokens() - cached;
        self.counters.cached_tokens += u64::from(cached);
        self.counters.prefill_tokens += u64::from(tokens);
        self.push_step(id, tokens, at_us);
    }

    /// Queues the step of a stream's input.
    pub(crate) fn push_step(&mut self, id: StreamId, prefill_tokens: u32, at_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.busy = true;
        self.executor.push(Work {
            stream: id,
            epoch: stream.open.epoch,
            position: stream.input.position,
            priority: stream.open.priority,
            arrival_us: at_us,
            layers: stream.layers().len(),
            prefill_tokens,
        });
    }
}
