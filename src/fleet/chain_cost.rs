//! Costs of engines as stages of a chain, in milliseconds per token of the answer.
//!
//! A stage costs the engine's time for its layers, which rises with the use of its memory, and a
//! fixed cost for the hop. The first engine also costs more the more of its slots are in use. The time
//! for the prompts that an engine still has to read delays the first event.

use super::{ChainRequest, KnownEndpoint};
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

/// Cost of a hop, in milliseconds per token. An engine's pass and the link each take about a
/// millisecond. Keeps chains short.
const HOP_COST_MS: f64 = 1.0;
/// Cost of a hop between engines of two availability zones. Far above the link's delay, because the
/// activations of a typical prompt occupy the shared link for 14 ms.
pub(super) const CROSS_ZONE_HOP_COST_MS: f64 = 30.0;
/// Cost of a chain in another availability zone than this instance's. It covers the delay of
/// requests and events, plus a margin that keeps traffic inside its zone while the zones are about
/// equally loaded.
pub(super) const REMOTE_ZONE_COST_MS: f64 = 12.0;
/// Factor on an engine's cost at full memory. It grows with the square of memory use, so that
/// chains spread before any engine is full.
pub(super) const FULL_MEMORY_FACTOR: f64 = 12.0;
/// Cost of an engine whose memory, as estimated here, cannot hold the request. The estimate is an
/// upper bound: answers count at their expected length from the start.
const NO_ROOM_COST_MS: f64 = 1_000.0;
/// Cost of a first engine with all slots in use, where a new request waits in its queue. Higher
/// than the extra cost of a slower engine that runs the same layers, which is up to 20 ms.
const FULL_SLOTS_COST_MS: f64 = 40.0;
/// Exponent with which the slot cost rises with the fraction of slots in use. With the fourth
/// power, half of the slots cost 2.5 ms, so a faster engine is still preferred. Memory use alone
/// does not spread requests: it may be low, and nearly all streams of a large fleet would start at
/// one engine per zone and wait there.
const SLOT_USE_EXPONENT: i32 = 4;
/// Cost of an engine that has just rejected a request for lack of room. Outweighs any estimate.
const REJECTED_COST_MS: f64 = 10_000.0;
/// Cost of an engine that is missing from the list and only retained. If it is leaving it must not
/// get new requests, and if it has ended they fail. It is used where no other engine holds its
/// layers, so that an outage of the store does not stop a service.
const UNLISTED_COST_MS: f64 = 100_000.0;

/// Largest part by which a random draw raises the cost of an engine, so that no chain is taken that
/// costs more than this beyond the cheapest. Of 90 streams a second in a zone, 22 start within a
/// heartbeat interval. If all take one engine (900 tokens, seven layers), they raise its memory use
/// by about a tenth and its cost at 40 % of the memory by a third.
const COST_SPREAD: f64 = 0.25;

/// An engine that may run some layers, with its cost.
pub(super) struct Candidate<'a> {
    pub(super) known: &'a KnownEndpoint,
    /// Layers that it holds.
    pub(super) layers: LayerRange,
    /// Cost of each layer that it runs, with its present memory use.
    pub(super) ms_per_layer: f64,
    /// Cost of one more stage, with its present memory use.
    pub(super) hop_cost_ms: f64,
    /// Cost of the wait until the engine has read the prompts that were sent to it.
    pub(super) backlog_cost_ms: f64,
    /// Additional cost of an engine that is taken only if no other can be.
    pub(super) last_choice_ms: f64,
    /// Additional cost of starting a request there.
    pub(super) start_cost_ms: f64,
    /// Whether the engine's rate limit and back-off allow a request now.
    pub(super) may_start: bool,
    /// Cost with empty memory, of which `ms_per_layer` and `hop_cost_ms` are multiples.
    pub(super) idle: IdleCost,
    pub(super) memory: RequestMemory,
    /// Time to read one prompt token in one layer.
    pub(super) read_ms_per_token_layer: f64,
}

/// Cost of an engine with empty memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleCost {
    pub(super) ms_per_layer: f64,
    pub(super) hop_ms: f64,
}

/// An engine's memory for requests, in tokens times layers.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestMemory {
    pub(super) held_token_layers: f64,
    /// All of it; at least 1.
    pub(super) room_token_layers: f64,
}

impl RequestMemory {
    fn of(known: &KnownEndpoint, layers: LayerRange, model: &EngineModel, memory_mb: f64) -> Self {
        let free_bytes = (memory_mb - f64::from(layers.len()) * model.layer_mb) * 1e6;
        let layer_token_bytes = model.token_kv_bytes / f64::from(model.layers.max(1));
        Self {
            held_token_layers: known.token_layers() as f64,
            room_token_layers: (free_bytes / layer_token_bytes).max(1.0),
        }
    }

    /// Fraction in use once `token_layers` more are held.
    fn use_with(self, token_layers: f64) -> f64 {
        (self.held_token_layers + token_layers) / self.room_token_layers
    }
}

impl<'a> Candidate<'a> {
    pub(super) fn new(
        known: &'a KnownEndpoint,
        may_start: bool,
        request: ChainRequest<'_>,
        now_ms: u64,
    ) -> Option<Self> {
        let layers = known.listed.layers.filter(|layers| !layers.is_empty())?;
        let model = request.model;
        let kind = model.kinds.get(known.listed.kind.as_deref()?)?;
        let model_layers = f64::from(model.layers.max(1));
        let slowness = known.health.slowness(now_ms);
        let idle = IdleCost {
            ms_per_layer: model.step_ms * kind.step_factor / model_layers * slowness,
            hop_ms: HOP_COST_MS * slowness,
        };
        let memory = RequestMemory::of(known, layers, model, kind.memory_mb);
        let fullness = memory.use_with(request.tokens as f64 * f64::from(layers.len()));
        let crowding = 1.0 + FULL_MEMORY_FACTOR * fullness * fullness;
        let read_ms_per_token = 1_000.0 * kind.read_factor / model.read_tokens_per_s.max(1.0);
        let read_ms_per_token_layer = read_ms_per_token / model_layers * slowness;
        let backlog_ms = read_ms_per_token_layer * known.unread_token_layers() as f64;
        Some(Self {
            known,
            layers,
            ms_per_layer: idle.ms_per_layer * crowding,
            hop_cost_ms: idle.hop_ms * crowding,
            backlog_cost_ms: cost_per_answer_token(backlog_ms, model),
            last_choice_ms: last_choice_cost_ms(known, fullness, now_ms),
            start_cost_ms: start_cost_ms(known),
            may_start,
            idle,
            memory,
            read_ms_per_token_layer,
        })
    }

    /// Raises the cost by a random part, drawn from `random`. The cost of the backlog, and those
    /// that rule an engine out where another can be used, stay as they are.
    pub(super) fn raise_cost(&mut self, random: u64) {
        let factor = 1.0 + COST_SPREAD * unit_fraction(random);
        self.ms_per_layer *= factor;
        self.hop_cost_ms *= factor;
    }

    /// Adds the time in which the engine reads the tokens of a stream that has run elsewhere. It
    /// passes once, whereas all other costs count for each token of the answer.
    pub(super) fn add_reading(&mut self, request: ChainRequest<'_>) {
        let read_ms_per_layer = self.read_ms_per_token_layer * request.tokens as f64;
        self.ms_per_layer += cost_per_answer_token(read_ms_per_layer, request.model);
    }
}

/// Converts a delay that occurs once in a stream into a cost per token of its answer. A step's time
/// passes for each token of a typical answer, a delay before the first event only once; over the whole
/// answer both then add the same time.
pub(super) fn cost_per_answer_token(delay_ms: f64, model: &EngineModel) -> f64 {
    delay_ms / model.usual_answer_tokens.max(1) as f64
}

/// Maps a random number to a fraction of at least 0 and less than 1.
pub(super) fn unit_fraction(random: u64) -> f64 {
    // As many bits as a float's mantissa holds.
    const BITS: u32 = 53;
    (random >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

/// The random number of one engine among those that one draw decides about (the SplitMix64 generator).
pub(super) fn nth_random(draw: u64, index: u64) -> u64 {
    let step = (index + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let state = draw.wrapping_add(step);
    let state = (state ^ (state >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    state ^ (state >> 31)
}

/// Additional cost of an engine that should be used only if no other can be. `fullness` is the fraction of
/// its memory in use once it holds the request.
fn last_choice_cost_ms(known: &KnownEndpoint, fullness: f64, now_ms: u64) -> f64 {
    if known.is_retained() {
        UNLISTED_COST_MS
    } else if known.health.is_full(now_ms) {
        REJECTED_COST_MS
    } else if fullness > 1.0 {
        NO_ROOM_COST_MS
    } else {
        0.0
    }
}

/// Cost of starting a request at an engine, from the fraction of its slots in use.
fn start_cost_ms(known: &KnownEndpoint) -> f64 {
    let taken = f64::from(known.requests()) + 1.0;
    let part = taken / f64::from(known.listed.slots.max(1));
    if part > 1.0 {
        NO_ROOM_COST_MS
    } else {
        FULL_SLOTS_COST_MS * part.powi(SLOT_USE_EXPONENT)
    }
}
