//! Shares the streams of a lost engine out to those that can take its place.
//!
//! Each stream is rerouted by its own instance, all within about 100 ms, and heartbeats report the
//! memory that they take only afterwards. Each instance therefore computes how the displaced load
//! should be spread over the engines, and draws its stream's engine with these shares as
//! probabilities. The engines are filled up to a common cost, so a slow engine gets a share only if
//! the faster ones will be as expensive once they have theirs.

use super::chain_cost::{Candidate, FULL_MEMORY_FACTOR, cost_per_answer_token, unit_fraction};
use super::{ChainRequest, ChainStage, Fleet};
use crate::wire::engine::LayerRange;

/// Number of displaced streams that are assumed at least. A lost engine that has left the endpoint
/// list takes its load figure with it; with 500 streams on 93 engines in chains of about four, one
/// engine runs about 20.
const MIN_DISPLACED_STREAMS: f64 = 16.0;
/// Steps of the search for the common cost, which narrow its interval to a millionth.
const LEVEL_SEARCH_STEPS: u32 = 20;

/// Tokens times layers of the streams that need another engine for some of `layers`, because theirs
/// is lost.
pub(super) fn displaced_token_layers(
    fleet: &Fleet,
    request: ChainRequest<'_>,
    layers: LayerRange,
) -> f64 {
    let first = request.first.and_then(|first| fleet.get(&first.endpoint));
    let zone = first.map(|known| &known.listed.zone);
    let overlaps = |held: LayerRange| held.first < layers.end && layers.first < held.end;
    let lost_token_layers: f64 = fleet
        .of_service(request.service)
        .filter(|known| known.is_lost() && zone.is_none_or(|zone| known.listed.zone == *zone))
        .filter(|known| known.listed.layers.is_some_and(overlaps))
        .map(|known| known.token_layers() as f64)
        .sum();
    lost_token_layers.max(MIN_DISPLACED_STREAMS * stage_token_layers(request, layers))
}

/// Draws the engine that runs `layers` instead of a lost one. Returns `None` if no engine that holds
/// all of them has memory left.
pub(super) fn share_out(
    candidates: &[&Candidate<'_>],
    layers: LayerRange,
    request: ChainRequest<'_>,
    displaced_token_layers: f64,
    draw: u64,
) -> Option<ChainStage> {
    let curves: Vec<CostCurve<'_>> = candidates
        .iter()
        .filter(|it| it.layers.first <= layers.first && layers.end <= it.layers.end)
        .filter(|it| it.last_choice_ms == 0.0)
        .map(|it| CostCurve::new(it, layers, request))
        .collect();
    let level_ms = common_cost_ms(&curves, displaced_token_layers);
    let shares: Vec<f64> = curves.iter().map(|it| it.addition_at(level_ms)).collect();
    let mut left = unit_fraction(draw) * shares.iter().sum::<f64>();
    let drawn = curves.iter().zip(&shares).find(|(_, share)| {
        left -= **share;
        left < 0.0
    });
    drawn.map(|(curve, _)| ChainStage {
        endpoint: curve.candidate.known.listed.id.clone(),
        address: curve.candidate.known.listed.address,
        layers,
    })
}

fn stage_token_layers(request: ChainRequest<'_>, layers: LayerRange) -> f64 {
    request.tokens as f64 * f64::from(layers.len())
}

/// Cost of an engine for a stage, as a function of the tokens times layers that are added to it:
/// `idle_ms + square_ms * (held + added)^2 + read_ms * added`.
struct CostCurve<'a> {
    candidate: &'a Candidate<'a>,
    idle_ms: f64,
    /// Milliseconds per square of a token times layer.
    square_ms: f64,
    /// Milliseconds per token times layer.
    read_ms: f64,
}

impl<'a> CostCurve<'a> {
    fn new(candidate: &'a Candidate<'a>, layers: LayerRange, request: ChainRequest<'_>) -> Self {
        let step_ms = candidate.idle.ms_per_layer * f64::from(layers.len());
        let run_ms = step_ms + candidate.idle.hop_ms;
        let room = candidate.memory.room_token_layers;
        let read_ms = cost_per_answer_token(candidate.read_ms_per_token_layer, request.model);
        Self {
            candidate,
            idle_ms: run_ms
                + read_ms * stage_token_layers(request, layers)
                + candidate.backlog_cost_ms,
            square_ms: run_ms * FULL_MEMORY_FACTOR / (room * room),
            read_ms,
        }
    }

    fn cost_ms(&self, added: f64) -> f64 {
        let held = self.candidate.memory.held_token_layers + added;
        self.idle_ms + self.square_ms * held * held + self.read_ms * added
    }

    fn free_token_layers(&self) -> f64 {
        let memory = self.candidate.memory;
        (memory.room_token_layers - memory.held_token_layers).max(0.0)
    }

    /// Tokens times layers that may be added until the cost is `level_ms`, at most the free memory.
    fn addition_at(&self, level_ms: f64) -> f64 {
        let missing_ms = level_ms - self.cost_ms(0.0);
        if missing_ms <= 0.0 {
            return 0.0;
        }
        let held = self.candidate.memory.held_token_layers;
        let linear = 2.0 * self.square_ms * held + self.read_ms;
        let root = (linear * linear + 4.0 * self.square_ms * missing_ms).sqrt();
        // Solution of the quadratic equation in the form that does not subtract nearly equal numbers.
        (2.0 * missing_ms / (linear + root)).min(self.free_token_layers())
    }
}

/// The cost in milliseconds per token of the answer that all engines with a share reach once `added` tokens
/// times layers are spread over them.
fn common_cost_ms(curves: &[CostCurve<'_>], added: f64) -> f64 {
    let starts = curves.iter().map(|it| it.cost_ms(0.0));
    let mut low_ms = starts.fold(f64::INFINITY, f64::min);
    let ends = curves.iter().map(|it| it.cost_ms(it.free_token_layers()));
    let mut high_ms = ends.fold(0.0, f64::max);
    for _ in 0..LEVEL_SEARCH_STEPS {
        let level_ms = f64::midpoint(low_ms, high_ms);
        let sum: f64 = curves.iter().map(|it| it.addition_at(level_ms)).sum();
        if sum < added {
            low_ms = level_ms;
        } else {
            high_ms = level_ms;
        }
    }
    high_ms
}
