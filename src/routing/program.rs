//! Linear program over the kinds of chains that maximizes tokens per second subject to rates, slots
//! and links.

use super::classes::{ChainKind, EngineClass};
use super::links::LinkTable;
use super::simplex::{Column, maximize};
use crate::wire::engine::LayerRange;

/// Minimum duration of a step, as a fraction of the duration of a full batch.
pub(crate) const MIN_STEP_FRACTION: f64 = 0.5;
/// Cost of each stage, as a fraction of the gain of one token.
const STAGE_COST: f64 = 1e-3;
/// Cap on transfer times, so that no sum is infinite.
const MAX_TRANSFER_MS: f64 = 1e6;

/// The linear program of one model, which is solved for several margins.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    limits: Vec<f64>,
    /// Pairs of classes whose links are limiting. Their rows follow the rows of the classes.
    limiting: Vec<(usize, usize)>,
    /// Time of one token through each kind of chain without queueing.
    cycles_ms: Vec<f64>,
}

impl Program {
    /// Sets up the rows for the classes' rates and slots and for limiting links.
    pub(crate) fn new(classes: &[EngineClass], kinds: &[ChainKind], links: &LinkTable) -> Self {
        let mut limits = Vec::with_capacity(2 * classes.len());
        for class in classes {
            let engines = class.engines.len() as f64;
            limits.push(engines * class.layer_tokens_per_s);
            limits.push(engines * f64::from(class.slots));
        }
        let mut limiting = Vec::new();
        for (pair, tokens_per_s) in limiting_links(classes, links) {
            limiting.push(pair);
            limits.push(tokens_per_s);
        }
        let transfers_ms = transfers_ms(classes, links);
        let cycle = |kind: &ChainKind| cycle_ms(classes, kind, &transfers_ms);
        Self {
            limits,
            limiting,
            cycles_ms: kinds.iter().map(cycle).collect(),
        }
    }

    /// Returns the streams needed of each kind of chain without queueing, if each stream takes
    /// `margin` slots.
    pub(crate) fn needs(&self, classes: usize, kinds: &[ChainKind], margin: f64) -> Vec<f64> {
        let columns: Vec<Column> = kinds
            .iter()
            .zip(&self.cycles_ms)
            .map(|(kind, cycle_ms)| self.column(classes, kind, cycle_ms / 1e3 * margin))
            .collect();
        maximize(&columns, &self.limits)
            .iter()
            .zip(&self.cycles_ms)
            .map(|(rate, cycle_ms)| rate * cycle_ms / 1e3)
            .collect()
    }

    fn column(&self, classes: usize, kind: &ChainKind, slots: f64) -> Column {
        let mut uses = Vec::with_capacity(3 * kind.len());
        for (class, run) in kind {
            uses.push((2 * class, f64::from(run.len())));
            uses.push((2 * class + 1, slots));
        }
        for pair in kind.windows(2) {
            let link = (pair[0].0, pair[1].0);
            if let Some(row) = self.limiting.iter().position(|limiting| *limiting == link) {
                uses.push((2 * classes + row, 1.0));
            }
        }
        Column {
            gain: 1.0 - STAGE_COST * kind.len() as f64,
            uses,
        }
    }
}

fn cycle_ms(classes: &[EngineClass], kind: &ChainKind, transfers_ms: &[Vec<f64>]) -> f64 {
    let steps = kind
        .iter()
        .map(|(class, run)| step_ms(&classes[*class], *run));
    let hops = (0..kind.len()).map(|stage| {
        let (from, _) = kind[stage];
        let (to, _) = kind[(stage + 1) % kind.len()];
        transfers_ms[from][to]
    });
    steps.sum::<f64>() + hops.sum::<f64>()
}

/// Returns the fastest transfer from each class to each other.
fn transfers_ms(classes: &[EngineClass], links: &LinkTable) -> Vec<Vec<f64>> {
    let fastest = |from: &EngineClass, to: &EngineClass| {
        let times = pairs(from, to).map(|(one, other)| links.transfer_ms(one, other));
        times.fold(MAX_TRANSFER_MS, f64::min)
    };
    let row = |from: &EngineClass| classes.iter().map(|to| fastest(from, to)).collect();
    classes.iter().map(row).collect()
}

fn step_ms(class: &EngineClass, run: LayerRange) -> f64 {
    let token_ms = 1e3 * f64::from(run.len()) / class.layer_tokens_per_s.max(1e-3);
    token_ms * (f64::from(class.batch_limit) * MIN_STEP_FRACTION).max(1.0)
}

/// Returns the pairs of classes whose links together carry less than the first class could send.
fn limiting_links(classes: &[EngineClass], links: &LinkTable) -> Vec<((usize, usize), f64)> {
    let mut limiting = Vec::new();
    for (from, one) in classes.iter().enumerate() {
        for (to, other) in classes.iter().enumerate() {
            let follows = from != to
                && other.layers.first <= one.layers.end
                && other.layers.end > one.layers.first;
            if !follows {
                continue;
            }
            let carried: f64 = pairs(one, other)
                .map(|(a, b)| links.tokens_per_s(a, b))
                .sum();
            let engines = one.engines.len() as f64;
            let sent = engines * one.layer_tokens_per_s / f64::from(one.layers.len());
            if carried < sent {
                limiting.push(((from, to), carried));
            }
        }
    }
    limiting
}

fn pairs<'a>(
    from: &'a EngineClass,
    to: &'a EngineClass,
) -> impl Iterator<Item = (usize, usize)> + 'a {
    let ahead = &to.engines;
    from.engines
        .iter()
        .flat_map(move |one| ahead.iter().map(move |other| (*one, *other)))
}
