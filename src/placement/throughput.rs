//! Streams per second that engines sustain with the layers that they hold.

use crate::route_table::{AcceleratorKind, EngineModel};

/// Cost of one hop of a token, in milliseconds: the engine's pass and the link.
const HOP_MS: f64 = 1.0;
/// Factor on the time of a token step that accounts for the other requests of a batch, and for prompts that
/// are read between two steps.
const BATCH_FACTOR: f64 = 1.5;

/// An engine and the number of layers that it holds or would hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Holding<'a> {
    pub(super) kind: &'a AcceleratorKind,
    pub(super) layers: u16,
}

/// Memory that a typical request takes in each layer, in bytes.
pub(super) fn request_bytes_per_layer(model: &EngineModel) -> f64 {
    let tokens = (model.usual_prompt_tokens + model.usual_answer_tokens).max(1) as f64;
    tokens * model.token_kv_bytes / f64::from(model.layers.max(1))
}

/// Streams per second that engines sustain once the engine that sustains the most is lost.
///
/// Chains prefer the fastest engines until their memory is full, so each engine counts as part of a chain of
/// its equals. A stream holds its memory for as long as it runs, which is why slow engines sustain few streams
/// in the same memory.
pub(super) fn sustained_after_loss_per_s<'a, Holdings>(
    holdings: Holdings,
    model: &EngineModel,
) -> f64
where
    Holdings: IntoIterator<Item = Holding<'a>>,
{
    let held = holdings.into_iter().filter(|it| it.layers > 0);
    let rates: Vec<f64> = held.map(|it| sustained_per_s(it, model)).collect();
    let largest = rates.iter().copied().fold(0.0, f64::max);
    rates.iter().sum::<f64>() - largest
}

/// Streams per second that an engine contributes with its layers.
fn sustained_per_s(holding: Holding<'_>, model: &EngineModel) -> f64 {
    let part = f64::from(holding.layers) / f64::from(model.layers.max(1));
    let streams = part * requests_that_fit(holding, model);
    streams * 1_000.0 / stream_ms(holding.kind, part, model)
}

/// Typical requests whose tokens fit beside an engine's layers.
fn requests_that_fit(holding: Holding<'_>, model: &EngineModel) -> f64 {
    let layers = f64::from(holding.layers);
    let free_bytes = (holding.kind.memory_mb - layers * model.layer_mb).max(0.0) * 1e6;
    free_bytes / (layers * request_bytes_per_layer(model))
}

/// Duration in milliseconds of a typical stream on a chain of engines that each hold `part` of the layers.
fn stream_ms(kind: &AcceleratorKind, part: f64, model: &EngineModel) -> f64 {
    let token_ms = BATCH_FACTOR * model.step_ms * kind.step_factor + HOP_MS / part;
    let read_tokens_per_ms = (model.read_tokens_per_s / 1_000.0).max(f64::EPSILON);
    let read_ms = model.usual_prompt_tokens as f64 * kind.read_factor / read_tokens_per_ms;
    (model.usual_answer_tokens as f64 * token_ms + read_ms).max(1.0)
}
