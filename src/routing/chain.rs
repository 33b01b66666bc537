//! Search of a chain: one engine for each segment, by the policy's rank, with backtracking.

use crate::wire::engine::LayerRange;

use super::graph::Graph;

/// A run of layers at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Run {
    /// Index of the engine in the endpoint table.
    pub(crate) engine: usize,
    pub(crate) layers: LayerRange,
}

/// Finds engines for all segments. `rank` gets (segment, previous engine, engine) and returns
/// `None` for one that cannot be used. No engine is used for two runs apart.
pub(crate) fn search<F>(graph: &Graph, mut rank: F) -> Option<Vec<Run>>
where
    F: FnMut(usize, Option<usize>, usize) -> Option<f64>,
{
    let mut runs: Vec<Run> = Vec::new();
    if graph.segments.is_empty() || !extend(graph, 0, &mut runs, &mut rank) {
        return None;
    }
    Some(runs)
}

fn extend<F>(graph: &Graph, at: usize, runs: &mut Vec<Run>, rank: &mut F) -> bool
where
    F: FnMut(usize, Option<usize>, usize) -> Option<f64>,
{
    let Some(segment) = graph.segments.get(at) else {
        return true;
    };
    let previous = runs.last().map(|run| run.engine);
    let mut ranked: Vec<(f64, usize)> = Vec::with_capacity(segment.holders.len());
    for &engine in &segment.holders {
        let used_before = previous != Some(engine) && runs.iter().any(|run| run.engine == engine);
        if used_before {
            continue;
        }
        if let Some(rank) = rank(at, previous, engine) {
            ranked.push((rank, engine));
        }
    }
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (_, engine) in ranked {
        let before = runs.last().copied();
        push(runs, engine, segment.layers);
        if extend(graph, at + 1, runs, rank) {
            return true;
        }
        runs.pop();
        if before.is_some_and(|run| run.engine == engine) {
            runs.extend(before);
        }
    }
    false
}

fn push(runs: &mut Vec<Run>, engine: usize, layers: LayerRange) {
    match runs.last_mut() {
        Some(run) if run.engine == engine => run.layers.end = layers.end,
        _ => runs.push(Run { engine, layers }),
    }
}
