//! Backtracking search for a chain with one holder for each segment, in the order of the policy's
//! rank.

use crate::wire::engine::LayerRange;

use super::graph::Graph;

/// A contiguous range of layers that one engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LayerRun {
    /// Index of the engine in the endpoint table.
    pub(crate) engine: usize,
    pub(crate) layers: LayerRange,
}

/// A holder that may run the next segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) segment: usize,
    /// Position among the holders of the previous segment; `None` for the first segment.
    pub(crate) previous: Option<usize>,
    /// Position among the holders of the segment.
    pub(crate) position: usize,
    /// Whether the previous segment runs on the same engine.
    pub(crate) same_engine: bool,
    /// Index of the engine in the endpoint table.
    pub(crate) engine: usize,
}

/// Finds a holder for every segment, trying the lowest rank first; `rank` returns `None` for a
/// holder that cannot be used. No engine is used for two separate runs.
///
/// A holder from which the last segment could not be reached is not tried again. With overlapping
/// ranges this may miss a chain whose engine was used earlier in a failed attempt, but it keeps the
/// search linear in the number of links.
pub(crate) fn search<F>(graph: &Graph, rank: F) -> Option<Vec<LayerRun>>
where
    F: FnMut(Step) -> Option<f64>,
{
    if graph.segments.is_empty() {
        return None;
    }
    let mut search = Search {
        graph,
        rank,
        path: Vec::with_capacity(graph.segments.len()),
        exhausted: graph
            .segments
            .iter()
            .map(|segment| vec![false; segment.holders.len()])
            .collect(),
    };
    search.extend(0).then(|| runs(graph, &search.path))
}

struct Search<'a, F> {
    graph: &'a Graph,
    rank: F,
    /// Position of the chosen holder in each segment so far.
    path: Vec<usize>,
    exhausted: Vec<Vec<bool>>,
}

impl<F> Search<'_, F>
where
    F: FnMut(Step) -> Option<f64>,
{
    fn extend(&mut self, at: usize) -> bool {
        if at == self.graph.segments.len() {
            return true;
        }
        let mut ranked = self.ranked(at);
        while let Some((_, position)) = take_lowest(&mut ranked) {
            self.path.push(position);
            if self.extend(at + 1) {
                return true;
            }
            self.path.pop();
            self.exhausted[at][position] = true;
        }
        false
    }

    fn ranked(&mut self, at: usize) -> Vec<(f64, usize)> {
        let holders = &self.graph.segments[at].holders;
        let previous = self.path.last().copied();
        let previous_engine = previous.map(|position| self.engine(at - 1, position));
        let mut ranked = Vec::with_capacity(holders.len());
        for (position, &engine) in holders.iter().enumerate() {
            let same_engine = previous_engine == Some(engine);
            if self.exhausted[at][position] || (!same_engine && self.is_used(engine)) {
                continue;
            }
            let step = Step {
                segment: at,
                previous,
                position,
                same_engine,
                engine,
            };
            if let Some(rank) = (self.rank)(step) {
                ranked.push((rank, position));
            }
        }
        ranked
    }

    fn engine(&self, segment: usize, position: usize) -> usize {
        self.graph.segments[segment].holders[position]
    }

    fn is_used(&self, engine: usize) -> bool {
        let mut used = self.path.iter().enumerate();
        used.any(|(segment, position)| self.engine(segment, *position) == engine)
    }
}

fn take_lowest(ranked: &mut Vec<(f64, usize)>) -> Option<(f64, usize)> {
    let lowest = ranked
        .iter()
        .enumerate()
        .min_by(|(_, one), (_, other)| one.0.total_cmp(&other.0))
        .map(|(index, _)| index)?;
    Some(ranked.swap_remove(lowest))
}

fn runs(graph: &Graph, path: &[usize]) -> Vec<LayerRun> {
    let mut runs: Vec<LayerRun> = Vec::new();
    for (segment, position) in graph.segments.iter().zip(path) {
        let engine = segment.holders[*position];
        match runs.last_mut() {
            Some(run) if run.engine == engine => run.layers.end = segment.layers.end,
            _ => runs.push(LayerRun {
                engine,
                layers: segment.layers,
            }),
        }
    }
    runs
}
