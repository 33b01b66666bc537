//! The most that a fleet's hardware can generate: a maximum flow, found without a flow algorithm.
//!
//! An engine spends its rate, in layers times tokens a second, on the layers it holds. Cut the
//! layers into segments where a range begins or ends. A rate F is possible if the engines can be
//! split among the segments so that each segment gets F times its width. By the max-flow min-cut
//! theorem that holds if, for every set of segments, the engines that hold any of them have F
//! times the set's width together. So the bound is the least of these quotients over all sets.
//!
//! Links are left out: the bound is then that of the engines alone, and never too low.

use fescueshore::wire::engine::LayerRange;

use crate::engine::PREFILL_COST;
use crate::topology::{EngineNode, Topology};

/// Most segments whose sets are all tried.
const MOST_SEGMENTS: usize = 20;

/// Tokens a second that the engines of a topology can generate if prompts cost nothing; 0 if a
/// layer is held by nobody.
///
/// # Panics
/// Panics for more than twenty segments.
pub fn bound_tokens_per_s(topology: &Topology, layers: u16) -> f64 {
    let segments = cut(&topology.engines, layers);
    assert!(
        segments.len() <= MOST_SEGMENTS,
        "too many segments to try every set of them"
    );
    let held: Vec<u32> = topology
        .engines
        .iter()
        .map(|engine| held_segments(engine, &segments))
        .collect();
    let sets = 1..1_u32 << segments.len();
    let quotients = sets.map(|set| {
        let holders = topology.engines.iter().zip(&held);
        let rate: f64 = holders
            .filter(|(_, held)| *held & set != 0)
            .map(|(engine, _)| engine.layer_tokens_per_s)
            .sum();
        rate / width(&segments, set)
    });
    quotients.fold(f64::INFINITY, f64::min)
}

/// What requests cost the engines, in generated tokens: a prompt's tokens cost a part of one each.
pub fn cost_tokens(tokens: u64, prompt_tokens: u64) -> f64 {
    tokens as f64 + prompt_tokens as f64 * PREFILL_COST
}

/// Layers cut wherever an engine's range begins or ends.
fn cut(engines: &[EngineNode], layers: u16) -> Vec<LayerRange> {
    let mut edges: Vec<u16> = engines
        .iter()
        .flat_map(|engine| [engine.layers.first, engine.layers.end])
        .chain([0, layers])
        .filter(|layer| *layer <= layers)
        .collect();
    edges.sort_unstable();
    edges.dedup();
    edges
        .windows(2)
        .map(|pair| LayerRange {
            first: pair[0],
            end: pair[1],
        })
        .collect()
}

/// Set of the segments that an engine holds, one bit each.
fn held_segments(engine: &EngineNode, segments: &[LayerRange]) -> u32 {
    let bits = segments.iter().enumerate();
    bits.filter(|(_, segment)| engine.layers.covers(**segment))
        .fold(0, |set, (index, _)| set | 1 << index)
}

fn width(segments: &[LayerRange], set: u32) -> f64 {
    let chosen = segments.iter().enumerate();
    chosen
        .filter(|(index, _)| set & (1 << index) != 0)
        .map(|(_, segment)| f64::from(segment.len()))
        .sum()
}
