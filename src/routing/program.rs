//! The linear program over kinds of chains: most tokens a second under rates, slots and links.

use super::classes::{ChainKind, Class};
use super::links::LinkTable;
use super::simplex::{Column, maximise};
use crate::wire::engine::LayerRange;

/// A step is taken to last at least this part of a full batch's time.
pub(crate) const STEP_PART: f64 = 0.5;
/// What a stage more costs, as a part of a token.
const STAGE_COST: f64 = 1e-3;
/// Transfer times above this are taken for this, so that no sum is infinite.
const MOST_TRANSFER_MS: f64 = 1e6;

/// The program of one model; solved for several margins.
#[derive(Clone, Debug)]
pub(crate) struct Program {
    limits: Vec<f64>,
    /// Pairs of classes whose links are scarce; their rows follow those of the classes.
    scarce: Vec<(usize, usize)>,
    /// Time of one token's way through each kind of chain without any queue.
    cycles_ms: Vec<f64>,
}

impl Program {
    /// Sets up rows for the classes' rates and slots and for scarce links.
    pub(crate) fn new(classes: &[Class], kinds: &[ChainKind], links: &LinkTable) -> Self {
        let mut limits = Vec::with_capacity(2 * classes.len());
        for class in classes {
            let engines = class.engines.len() as f64;
            limits.push(engines * class.layer_tokens_per_s);
            limits.push(engines * f64::from(class.slots));
        }
        let mut scarce = Vec::new();
        for (pair, tokens_per_s) in scarce_links(classes, links) {
            scarce.push(pair);
            limits.push(tokens_per_s);
        }
        let transfers_ms = transfers_ms(classes, links);
        let cycle = |kind: &ChainKind| cycle_ms(classes, kind, &transfers_ms);
        Self {
            limits,
            scarce,
            cycles_ms: kinds.iter().map(cycle).collect(),
        }
    }

    /// Streams that each kind of chain needs without queues, when each stream takes `margin` slots.
    pub(crate) fn needs(&self, classes: usize, kinds: &[ChainKind], margin: f64) -> Vec<f64> {
        let columns: Vec<Column> = kinds
            .iter()
            .zip(&self.cycles_ms)
            .map(|(kind, cycle_ms)| self.column(classes, kind, cycle_ms / 1e3 * margin))
            .collect();
        maximise(&columns, &self.limits)
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
            if let Some(row) = self.scarce.iter().position(|scarce| *scarce == link) {
                uses.push((2 * classes + row, 1.0));
            }
        }
        Column {
            gain: 1.0 - STAGE_COST * kind.len() as f64,
            uses,
        }
    }
}

fn cycle_ms(classes: &[Class], kind: &ChainKind, transfers_ms: &[Vec<f64>]) -> f64 {
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

/// Quickest transfer from each class to each.
fn transfers_ms(classes: &[Class], links: &LinkTable) -> Vec<Vec<f64>> {
    let quickest = |from: &Class, to: &Class| {
        let times = pairs(from, to).map(|(one, other)| links.transfer_ms(one, other));
        times.fold(MOST_TRANSFER_MS, f64::min)
    };
    let row = |from: &Class| classes.iter().map(|to| quickest(from, to)).collect();
    classes.iter().map(row).collect()
}

fn step_ms(class: &Class, run: LayerRange) -> f64 {
    let token_ms = 1e3 * f64::from(run.len()) / class.layer_tokens_per_s.max(1e-3);
    token_ms * (f64::from(class.batch_limit) * STEP_PART).max(1.0)
}

/// Pairs of classes whose links together carry less than the first class could send.
fn scarce_links(classes: &[Class], links: &LinkTable) -> Vec<((usize, usize), f64)> {
    let mut scarce = Vec::new();
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
                scarce.push(((from, to), carried));
            }
        }
    }
    scarce
}

fn pairs<'a>(from: &'a Class, to: &'a Class) -> impl Iterator<Item = (usize, usize)> + 'a {
    let ahead = &to.engines;
    from.engines
        .iter()
        .flat_map(move |one| ahead.iter().map(move |other| (*one, *other)))
}
