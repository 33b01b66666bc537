//! Shortest paths over layer boundaries.

use super::chain_cost::{CROSS_ZONE_HOP_COST_MS, Candidate, REMOTE_ZONE_COST_MS};
use super::{ChainRequest, ChainStage};
use crate::wire::engine::LayerRange;

/// A path through a range of layers.
pub(super) struct Path {
    /// Cost in milliseconds per token of the answer.
    pub(super) cost_ms: f64,
    pub(super) stages: Vec<ChainStage>,
}

/// Shortest path through a range of layers. Layer boundaries are visited in order, since every edge
/// leads to a higher one.
pub(super) fn cheapest_path(
    candidates: &[&Candidate<'_>],
    span: LayerRange,
    request: ChainRequest<'_>,
) -> Option<Path> {
    let bounds = boundaries(candidates, span);
    let mut best: Vec<Option<PartialPath>> = vec![None; bounds.len()];
    best[0] = Some(PartialPath::default());
    for at in 0..bounds.len() {
        let Some(path) = best[at].clone() else {
            continue;
        };
        for (index, candidate) in candidates.iter().enumerate() {
            if !can_follow(candidate, &path, index, bounds[at], request) {
                continue;
            }
            let hop_ms = fixed_cost_ms(candidate, &path, candidates, request);
            for to in at + 1..bounds.len() {
                if bounds[to] > candidate.layers.end {
                    break;
                }
                let layers = f64::from(bounds[to] - bounds[at]);
                let cost_ms = path.cost_ms + hop_ms + candidate.ms_per_layer * layers;
                if best[to]
                    .as_ref()
                    .is_none_or(|known| cost_ms < known.cost_ms)
                {
                    best[to] = Some(path.extended(index, bounds[to], cost_ms));
                }
            }
        }
    }
    let complete = best.pop()??;
    Some(Path {
        cost_ms: complete.cost_ms,
        stages: complete.stages(candidates, span.first),
    })
}

fn can_follow(
    candidate: &Candidate<'_>,
    path: &PartialPath,
    index: usize,
    bound: u16,
    request: ChainRequest<'_>,
) -> bool {
    let id = &candidate.known.listed.id;
    let can_start = candidate.layers.first <= bound && bound < candidate.layers.end;
    let is_first = request.first.is_some_and(|first| first.endpoint == *id);
    let may_be_first = request.first_among.is_none_or(|among| among.contains(id));
    let cannot_start = bound == 0 && !(may_be_first && candidate.may_start);
    can_start && !is_first && !cannot_start && !path.candidates.contains(&index)
}

/// The part of the cost of adding an engine to a path that does not depend on how many layers it runs.
fn fixed_cost_ms(
    candidate: &Candidate<'_>,
    path: &PartialPath,
    candidates: &[&Candidate<'_>],
    request: ChainRequest<'_>,
) -> f64 {
    let is_start = path.candidates.is_empty() && request.first.is_none();
    let start_cost_ms = if is_start {
        candidate.start_cost_ms
    } else {
        0.0
    };
    candidate.hop_cost_ms
        + candidate.backlog_cost_ms
        + candidate.last_choice_ms
        + start_cost_ms
        + zone_cost_ms(candidate, path, candidates, request)
}

/// Cost of the link to an engine: from this instance for the first engine, otherwise from the
/// previous engine.
fn zone_cost_ms(
    candidate: &Candidate<'_>,
    path: &PartialPath,
    candidates: &[&Candidate<'_>],
    request: ChainRequest<'_>,
) -> f64 {
    let zone = &candidate.known.listed.zone;
    match path.candidates.last() {
        Some(last) if candidates[*last].known.listed.zone != *zone => CROSS_ZONE_HOP_COST_MS,
        None if request.first.is_none() && zone != request.own_zone => REMOTE_ZONE_COST_MS,
        _ => 0.0,
    }
}

/// The cheapest known path to a layer boundary: its engines, and the layer at which each one's
/// range ends.
#[derive(Clone, Debug, Default)]
struct PartialPath {
    /// Cost in milliseconds per token of the answer.
    cost_ms: f64,
    /// Indices of the engines among the candidates, in the order of the path.
    candidates: Vec<usize>,
    /// For each engine, the end of the layers that it runs.
    ends: Vec<u16>,
}

impl PartialPath {
    fn extended(&self, candidate: usize, end: u16, cost_ms: f64) -> Self {
        let mut next = self.clone();
        next.cost_ms = cost_ms;
        next.candidates.push(candidate);
        next.ends.push(end);
        next
    }

    fn stages(&self, candidates: &[&Candidate<'_>], start: u16) -> Vec<ChainStage> {
        let firsts = std::iter::once(start).chain(self.ends.iter().copied());
        let runs = self.candidates.iter().zip(firsts).zip(&self.ends);
        let stage = |((index, first), end): ((&usize, u16), &u16)| {
            let listed = &candidates[*index].known.listed;
            ChainStage {
                endpoint: listed.id.clone(),
                address: listed.address,
                layers: LayerRange { first, end: *end },
            }
        };
        runs.map(stage).collect()
    }
}

fn boundaries(candidates: &[&Candidate<'_>], span: LayerRange) -> Vec<u16> {
    let LayerRange { first: start, end } = span;
    let mut bounds: Vec<u16> = candidates
        .iter()
        .flat_map(|candidate| [candidate.layers.first, candidate.layers.end])
        .filter(|bound| *bound > start && *bound < end)
        .chain([start, end])
        .collect();
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}
