//! Rounds the fractional demand for each kind of chain to whole slots on specific engines.

use indexmap::IndexMap;

use super::chain::LayerRun;
use super::classes::{ChainKind, EngineClass};
use super::links::LinkTable;

/// Lanes allocated so far, and the slots that are still free.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneAllocation {
    /// Free slots of each engine of each class.
    free: Vec<Vec<u32>>,
    /// For each chain of engines, the index of its kind and its number of slots.
    pub(crate) lanes: IndexMap<Vec<LayerRun>, (usize, u32)>,
    /// Number of lane slots that pass from one engine directly to another.
    transition_counts: IndexMap<(usize, usize), u32>,
}

impl LaneAllocation {
    /// Creates an allocation without lanes, in which every slot is free.
    pub(crate) fn new(classes: &[EngineClass]) -> Self {
        let free = |class: &EngineClass| vec![class.slots; class.engines.len()];
        Self {
            free: classes.iter().map(free).collect(),
            ..Self::default()
        }
    }

    /// Assigns slots one at a time to the kind that is furthest below its demand, until every kind
    /// has a class without free slots. Assigning more slots than needed does no harm: a queue at
    /// the slowest engine keeps it busy.
    pub(crate) fn fill(
        &mut self,
        classes: &[EngineClass],
        kinds: &[ChainKind],
        needs: &[f64],
        links: &LinkTable,
    ) {
        let mut assigned = vec![0_u32; kinds.len()];
        let mut open: Vec<usize> = (0..kinds.len())
            .filter(|kind| needs[*kind] > 1e-6)
            .collect();
        while let Some(kind) = largest_deficit(&open, &assigned, needs) {
            if !self.add_slot(classes, kinds, kind, links) {
                open.retain(|other| *other != kind);
                continue;
            }
            assigned[kind] += 1;
        }
    }

    /// Adds one slot of a kind. Returns `false` if one of its classes has no free slot.
    pub(crate) fn add_slot(
        &mut self,
        classes: &[EngineClass],
        kinds: &[ChainKind],
        kind: usize,
        links: &LinkTable,
    ) -> bool {
        let used_up = |class: usize| self.free[class].iter().all(|free| *free == 0);
        if kinds[kind].iter().any(|(class, _)| used_up(*class)) {
            return false;
        }
        let mut runs: Vec<LayerRun> = Vec::with_capacity(kinds[kind].len());
        for (class, layers) in &kinds[kind] {
            let previous = runs.last().map(|run| run.engine);
            let Some(position) =
                self.select_engine(&classes[*class], &self.free[*class], previous, links)
            else {
                return false;
            };
            runs.push(LayerRun {
                engine: classes[*class].engines[position],
                layers: *layers,
            });
        }
        self.add(classes, kinds, kind, runs);
        true
    }

    fn add(
        &mut self,
        classes: &[EngineClass],
        kinds: &[ChainKind],
        kind: usize,
        runs: Vec<LayerRun>,
    ) {
        for ((class, _), run) in kinds[kind].iter().zip(&runs) {
            if let Some(position) = position(&classes[*class], run.engine) {
                self.free[*class][position] -= 1;
            }
        }
        for pair in runs.windows(2) {
            let link = (pair[0].engine, pair[1].engine);
            *self.transition_counts.entry(link).or_insert(0) += 1;
        }
        self.lanes.entry(runs).or_insert((kind, 0)).1 += 1;
    }

    /// Removes one slot from a lane, and the lane itself if it has no slots left.
    pub(crate) fn remove_slot(
        &mut self,
        classes: &[EngineClass],
        kinds: &[ChainKind],
        lane: usize,
    ) {
        let Some((runs, (kind, slots))) = self.lanes.get_index_mut(lane) else {
            return;
        };
        *slots -= 1;
        let is_empty = *slots == 0;
        for ((class, _), run) in kinds[*kind].iter().zip(runs) {
            if let Some(position) = position(&classes[*class], run.engine) {
                self.free[*class][position] += 1;
            }
        }
        for pair in runs.windows(2) {
            if let Some(count) = self
                .transition_counts
                .get_mut(&(pair[0].engine, pair[1].engine))
            {
                *count -= 1;
            }
        }
        if is_empty {
            self.lanes.shift_remove_index(lane);
        }
    }

    /// Prefers the engine with the fastest link from the previous one, then the one with the most
    /// free slots, then one that already follows the previous engine in another lane.
    fn select_engine(
        &self,
        class: &EngineClass,
        free: &[u32],
        previous: Option<usize>,
        links: &LinkTable,
    ) -> Option<usize> {
        let key = |position: &usize| {
            let engine = class.engines[*position];
            let transfer_ms = previous.map_or(0.0, |from| links.transfer_ms(from, engine));
            let known = previous.is_some_and(|from| self.has_transition(from, engine));
            // Rounded to powers of two, so that small differences in transfer time are ignored.
            let step = transfer_ms.clamp(0.1, 1e6).log2().round() as i64;
            (step, u32::MAX - free[*position], !known)
        };
        (0..class.engines.len())
            .filter(|position| free[*position] > 0)
            .min_by_key(key)
    }

    fn has_transition(&self, from: usize, to: usize) -> bool {
        self.transition_counts
            .get(&(from, to))
            .is_some_and(|count| *count > 0)
    }
}

fn position(class: &EngineClass, engine: usize) -> Option<usize> {
    class.engines.iter().position(|known| *known == engine)
}

fn largest_deficit(open: &[usize], assigned: &[u32], needs: &[f64]) -> Option<usize> {
    let behind = |kind: usize| needs[kind] / f64::from(assigned[kind] + 1);
    open.iter()
        .copied()
        .max_by(|one, other| behind(*one).total_cmp(&behind(*other)).then(other.cmp(one)))
}
