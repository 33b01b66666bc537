//! Slots made chains: needs of kinds of chains rounded to whole slots of particular engines.

use indexmap::IndexMap;

use super::chain::Run;
use super::classes::{ChainKind, Class};
use super::links::LinkTable;

/// Lanes under construction, and the slots that are still free.
#[derive(Clone, Debug, Default)]
pub(crate) struct Assembly {
    /// Free slots of each engine of each class.
    free: Vec<Vec<u32>>,
    /// For each chain of engines the number of its kind and its slots.
    pub(crate) lanes: IndexMap<Vec<Run>, (usize, u32)>,
    /// Lanes that go from one engine to another.
    followers: IndexMap<(usize, usize), u32>,
}

impl Assembly {
    /// No lane yet; every slot is free.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let free = |class: &Class| vec![class.slots; class.engines.len()];
        Self {
            free: classes.iter().map(free).collect(),
            ..Self::default()
        }
    }

    /// Gives slots one by one to the kind that is furthest behind its need, until some class of
    /// each kind has no slot left. More slots than needed do not harm: a queue at the slowest
    /// engine keeps it busy.
    pub(crate) fn fill(
        &mut self,
        classes: &[Class],
        kinds: &[ChainKind],
        needs: &[f64],
        links: &LinkTable,
    ) {
        let mut given = vec![0_u32; kinds.len()];
        let mut open: Vec<usize> = (0..kinds.len())
            .filter(|kind| needs[*kind] > 1e-6)
            .collect();
        while let Some(kind) = furthest_behind(&open, &given, needs) {
            if !self.give(classes, kinds, kind, links) {
                open.retain(|other| *other != kind);
                continue;
            }
            given[kind] += 1;
        }
    }

    /// Adds one slot of a kind; whether every class of it had one left.
    pub(crate) fn give(
        &mut self,
        classes: &[Class],
        kinds: &[ChainKind],
        kind: usize,
        links: &LinkTable,
    ) -> bool {
        let used_up = |class: usize| self.free[class].iter().all(|free| *free == 0);
        if kinds[kind].iter().any(|(class, _)| used_up(*class)) {
            return false;
        }
        let mut runs: Vec<Run> = Vec::with_capacity(kinds[kind].len());
        for (class, layers) in &kinds[kind] {
            let before = runs.last().map(|run| run.engine);
            let Some(position) = self.pick(&classes[*class], &self.free[*class], before, links)
            else {
                return false;
            };
            runs.push(Run {
                engine: classes[*class].engines[position],
                layers: *layers,
            });
        }
        self.add(classes, kinds, kind, runs);
        true
    }

    fn add(&mut self, classes: &[Class], kinds: &[ChainKind], kind: usize, runs: Vec<Run>) {
        for ((class, _), run) in kinds[kind].iter().zip(&runs) {
            if let Some(position) = position(&classes[*class], run.engine) {
                self.free[*class][position] -= 1;
            }
        }
        for pair in runs.windows(2) {
            let link = (pair[0].engine, pair[1].engine);
            *self.followers.entry(link).or_insert(0) += 1;
        }
        self.lanes.entry(runs).or_insert((kind, 0)).1 += 1;
    }

    /// Takes one slot from a lane; a lane without slots goes.
    pub(crate) fn take(&mut self, classes: &[Class], kinds: &[ChainKind], lane: usize) {
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
            if let Some(count) = self.followers.get_mut(&(pair[0].engine, pair[1].engine)) {
                *count -= 1;
            }
        }
        if is_empty {
            self.lanes.shift_remove_index(lane);
        }
    }

    /// The engine with the quickest link from the one before, then the one with the most free
    /// slots, then one that follows the same engine in another lane.
    fn pick(
        &self,
        class: &Class,
        free: &[u32],
        before: Option<usize>,
        links: &LinkTable,
    ) -> Option<usize> {
        let key = |position: &usize| {
            let engine = class.engines[*position];
            let transfer_ms = before.map_or(0.0, |from| links.transfer_ms(from, engine));
            let known = before.is_some_and(|from| self.follows(from, engine));
            // Twice the time counts, a little more does not.
            let step = transfer_ms.clamp(0.1, 1e6).log2().round() as i64;
            (step, u32::MAX - free[*position], !known)
        };
        (0..class.engines.len())
            .filter(|position| free[*position] > 0)
            .min_by_key(key)
    }

    fn follows(&self, from: usize, to: usize) -> bool {
        self.followers
            .get(&(from, to))
            .is_some_and(|count| *count > 0)
    }
}

fn position(class: &Class, engine: usize) -> Option<usize> {
    class.engines.iter().position(|known| *known == engine)
}

fn furthest_behind(open: &[usize], given: &[u32], needs: &[f64]) -> Option<usize> {
    let behind = |kind: usize| needs[kind] / f64::from(given[kind] + 1);
    open.iter()
        .copied()
        .max_by(|one, other| behind(*one).total_cmp(&behind(*other)).then(other.cmp(one)))
}
