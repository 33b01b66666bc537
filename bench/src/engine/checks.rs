//! What is checked before a stream begins at a stage.

use fescueshore::ids::StreamId;
use fescueshore::wire::engine::{EngineError, EngineErrorCode, LayerRange, OpenStream, Stage};

use super::core::{Core, refusal};
use super::stream::{Stream, recomputes, seed_of};

impl Core {
    /// Checks everything that can be checked before anything runs.
    pub(crate) fn check_begin(
        &mut self,
        open: &OpenStream,
        index: usize,
    ) -> Result<(), EngineError> {
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
