//! Streams begin at a stage: checks, slots, KV state.

use std::sync::Arc;

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{
    EngineError, EngineErrorCode, LayerRange, OpenStream, Stage, StreamEvent,
};

use super::core::{Core, refusal};
use super::executor::{SLOT_BATCHES, Work};
use super::frames::{Activation, Frame};
use super::stream::{Phase, Stream, recomputes, seed_of};

/// Bytes of KV state for one token and layer, against those of an activation.
const KV_PARTS: u64 = 4;

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

    /// Checks everything that can be checked before anything runs.
    fn check_begin(&mut self, open: &OpenStream, index: usize) -> Result<(), EngineError> {
        if open.epoch < self.floor(open.stream) || self.knows(open.stream, open.epoch) {
            self.counters.stale_epochs += 1;
            return Err(refusal(EngineErrorCode::StaleEpoch));
        }
        let stage = open.chain.get(index);
        let Some(stage) = stage.filter(|stage| stage.endpoint == self.node.name) else {
            return Err(refusal(EngineErrorCode::Malformed));
        };
        if !self.holds(open, stage.layers) {
            return Err(refusal(EngineErrorCode::NotHeld));
        }
        let model_layers = self.model_layers.get(&open.model).copied();
        if !covers_model(&open.chain, model_layers) || !feeds_recomputing(open) {
            return Err(refusal(EngineErrorCode::Malformed));
        }
        if self.is_draining() {
            return Err(refusal(EngineErrorCode::Draining));
        }
        self.check_tokens(open)?;
        self.check_room(open)
    }

    fn knows(&self, id: StreamId, epoch: u32) -> bool {
        let stream = self.streams.get(&id);
        stream.is_some_and(|stream| stream.open.epoch == epoch)
    }

    fn holds(&self, open: &OpenStream, layers: LayerRange) -> bool {
        let adapter = open.adapter.as_ref();
        open.model == self.held.model
            && open.version == self.held.version
            && adapter.is_none_or(|adapter| self.held.adapters.contains(adapter))
            && !layers.is_empty()
            && self.held.layers.covers(layers)
    }

    fn check_tokens(&mut self, open: &OpenStream) -> Result<(), EngineError> {
        let seed = seed_of(open);
        let own = (0..)
            .zip(&open.generated)
            .all(|(position, text)| seed.token(position) == *text);
        if own {
            return Ok(());
        }
        self.counters.foreign_tokens += 1;
        Err(refusal(EngineErrorCode::Malformed))
    }

    fn check_room(&mut self, open: &OpenStream) -> Result<(), EngineError> {
        let (_, waiting) = self.occupancy();
        let replaces = self
            .streams
            .get(&open.stream)
            .is_some_and(Stream::is_active);
        let full = waiting >= self.node.queue_limit.max(1) && !replaces;
        if full || self.faults.refuse {
            self.counters.overloaded += 1;
            return Err(refusal(EngineErrorCode::Overloaded));
        }
        Ok(())
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

    /// Asks another engine for the KV state of a stream.
    fn import(&mut self, id: StreamId, at_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let source = stream.stage().import_from.and_then(|address| {
            let found = self.peers.iter().find(|(_, peer)| peer.address == address);
            found.map(|(name, _)| name.clone())
        });
        let Some(source) = source else {
            self.counters.kv_missing += 1;
            return self.fail(id, None, EngineErrorCode::KvMissing, at_us);
        };
        stream.phase = Phase::Importing;
        let ask = Frame::KvAsk {
            stream: id,
            epoch: stream.open.epoch,
            layers: stream.layers(),
            positions: stream.start_position(),
        };
        self.send(&source, ask, 0, at_us);
    }

    /// Another engine asks for the KV state of a stream.
    pub(crate) fn export(
        &mut self,
        asker: &EndpointId,
        id: StreamId,
        epoch: u32,
        layers: LayerRange,
        positions: u32,
        at_us: u64,
    ) {
        let held = self.streams.get(&id).filter(|stream| {
            let enough = stream.kv_positions.is_some_and(|held| held >= positions);
            enough && stream.layers().covers(layers)
        });
        let tokens = held.map(|stream| u64::from(stream.prompt_tokens + positions));
        let token_bytes = u64::from(self.node.activation_bytes) / KV_PARTS;
        let bytes = tokens.unwrap_or(0) * u64::from(layers.len()) * token_bytes;
        let reply = Frame::KvReply {
            stream: id,
            epoch,
            found: tokens.is_some(),
        };
        self.send(asker, reply, bytes, at_us);
    }

    /// KV state came, or is not there.
    pub(crate) fn imported(&mut self, id: StreamId, epoch: u32, found: bool, at_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.open.epoch != epoch || stream.phase != Phase::Importing {
            return;
        }
        if !found {
            self.counters.kv_missing += 1;
            return self.fail(id, None, EngineErrorCode::KvMissing, at_us);
        }
        stream.phase = Phase::Running;
        stream.kv_positions = Some(stream.start_position());
        self.counters.kv_imported += 1;
        self.push_step(id, 0, at_us);
    }
}

/// Positions in the KV state of an earlier epoch that a later one may go on with.
fn kept_positions(before: &Stream, now: &Stream) -> Option<u32> {
    let same_model = before.open.model == now.open.model
        && before.open.version == now.open.version
        && before.open.adapter == now.open.adapter
        && before.open.prompt == now.open.prompt;
    let kept = same_model && before.layers().covers(now.layers());
    before.kv_positions.filter(|_| kept)
}

/// Whether the stages cover every layer of the model exactly once, in order.
fn covers_model(chain: &[Stage], model_layers: Option<u16>) -> bool {
    let mut reached = 0;
    for stage in chain {
        if stage.layers.first != reached || stage.layers.is_empty() {
            return false;
        }
        reached = stage.layers.end;
    }
    Some(reached) == model_layers
}

/// Whether every stage that runs earlier positions again gets their activations from the stage
/// before, which must then run them again too.
fn feeds_recomputing(open: &OpenStream) -> bool {
    let start = open.generated.len() as u32;
    open.chain
        .is_sorted_by_key(|stage| !recomputes(stage, start))
}
