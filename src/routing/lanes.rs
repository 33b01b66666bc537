//! Lanes: fixed chains with a number of slots each.
//!
//! A stream occupies a slot on each engine of its chain from its first to its last token. Slots are
//! therefore as scarce as rates, and choosing the engines of each chain individually leaves slots
//! that do not fit together. All lanes are computed jointly instead. A linear program over the kinds
//! of chains maximizes tokens per second subject to rates and slots, and its solution is rounded to
//! slots on engines. How many slots are needed to cover queueing is not known in advance, so
//! several margins are tried. The set of lanes with the highest throughput according to mean value
//! analysis is then improved by moving single slots. Every entry computes the same lanes and owns a
//! part of the slots.

use crate::document::ModelOffer;

use super::assembly::LaneAllocation;
use super::chain::LayerRun;
use super::classes::{ChainKind, EngineClass, chain_kinds, group};
use super::endpoints::EndpointTable;
use super::estimate::{LaneLoad, tokens_per_s};
use super::graph::Graph;
use super::links::LinkTable;
use super::program::{MIN_STEP_FRACTION, Program};
use super::slot_limit::OwnSlots;

/// Slots assumed per stream, as a multiple of those needed without queueing. The first is tried
/// immediately.
const MARGINS: [f64; 10] = [2.2, 1.0, 1.1, 1.2, 1.35, 1.5, 1.7, 1.9, 2.6, 3.0];
/// Total number of lane sets evaluated to improve the best one, divided by the number of engines.
const MAX_EVALUATIONS: usize = 24_000;
/// Number of lane sets evaluated in one step, divided by the number of engines.
const STEP_EVALUATIONS: usize = 240;
/// Minimum relative improvement for a lane set to replace the best one.
const MIN_IMPROVEMENT: f64 = 1e-4;

/// A chain of engines with slots reserved for it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Lane {
    pub(crate) runs: Vec<LayerRun>,
    /// Number of slots of all entries together.
    pub(crate) slots: u32,
    /// Index of the first slot, counted over all lanes.
    pub(crate) first_slot: u64,
    /// Expected tokens per second when all slots are used.
    pub(crate) tokens_per_s: f64,
}

impl Lane {
    /// Number of slots that an entry owns.
    pub(crate) fn owned(&self, own: OwnSlots) -> u32 {
        own.count(self.first_slot, self.slots)
    }
}

/// Incremental search for good lanes. It is valid as long as the endpoint table does not change.
#[derive(Clone, Debug)]
pub(crate) struct LaneSearch {
    classes: Vec<EngineClass>,
    kinds: Vec<ChainKind>,
    program: Program,
    best: LaneAllocation,
    /// Expected tokens per second of the best lanes.
    best_tokens_per_s: f64,
    margins_tried: usize,
    /// Kinds of chains in the best set found with the margins.
    kinds_in_use: Vec<usize>,
    /// Lane from which the next move takes a slot; `next_kind` is the kind that gets one.
    next_lane: usize,
    next_kind: usize,
    /// Number of moves tried since the last improvement.
    moves_without_gain: usize,
    evaluations_left: usize,
}

impl LaneSearch {
    /// Starts with one set of lanes; `None` if some layer has no holder.
    pub(crate) fn new(
        table: &EndpointTable,
        graph: &Graph,
        model: &ModelOffer,
        links: &LinkTable,
        now_ms: u64,
    ) -> Option<Self> {
        let classes = group(table, graph, model, now_ms);
        let kinds = chain_kinds(&classes, model.layers);
        if kinds.is_empty() {
            return None;
        }
        let engines: usize = classes.iter().map(|class| class.engines.len()).sum();
        let mut search = Self {
            program: Program::new(&classes, &kinds, links),
            best: LaneAllocation::new(&classes),
            best_tokens_per_s: 0.0,
            margins_tried: 0,
            kinds_in_use: Vec::new(),
            next_lane: 0,
            next_kind: 0,
            moves_without_gain: 0,
            evaluations_left: MAX_EVALUATIONS / engines.max(1),
            classes,
            kinds,
        };
        search.try_margin(table, links);
        Some(search)
    }

    /// Searches for about a millisecond. Returns whether there is more to do.
    pub(crate) fn step(&mut self, table: &EndpointTable, links: &LinkTable) -> bool {
        if self.margins_tried < MARGINS.len() {
            self.try_margin(table, links);
            return true;
        }
        if self.kinds_in_use.is_empty() {
            self.kinds_in_use = self.best.lanes.values().map(|(kind, _)| *kind).collect();
            self.kinds_in_use.sort_unstable();
            self.kinds_in_use.dedup();
        }
        let engines: usize = self.classes.iter().map(|class| class.engines.len()).sum();
        for _ in 0..(STEP_EVALUATIONS / engines.max(1)).max(1) {
            let all_tried =
                self.moves_without_gain > self.best.lanes.len() * self.kinds_in_use.len();
            if all_tried || self.evaluations_left == 0 {
                return false;
            }
            self.try_move(table, links);
        }
        true
    }

    /// Returns the best lanes found so far.
    pub(crate) fn lanes(&self, table: &EndpointTable, links: &LinkTable) -> Vec<Lane> {
        let mut first_slot = 0;
        self.best
            .lanes
            .iter()
            .zip(expected_rates(table, &self.best, links))
            .map(|((runs, (_, slots)), tokens_per_s)| {
                let lane = Lane {
                    runs: runs.clone(),
                    slots: *slots,
                    first_slot,
                    tokens_per_s,
                };
                first_slot += u64::from(*slots);
                lane
            })
            .collect()
    }

    fn try_margin(&mut self, table: &EndpointTable, links: &LinkTable) {
        let margin = MARGINS[self.margins_tried];
        self.margins_tried += 1;
        let needs = self.program.needs(self.classes.len(), &self.kinds, margin);
        let mut allocation = LaneAllocation::new(&self.classes);
        allocation.fill(&self.classes, &self.kinds, &needs, links);
        self.replace_if_better(allocation, table, links);
    }

    /// Moves a slot from one lane to another kind, then adds slots of all kinds in use as far as
    /// they fit.
    fn try_move(&mut self, table: &EndpointTable, links: &LinkTable) {
        if self.next_kind >= self.kinds_in_use.len() {
            self.next_kind = 0;
            self.next_lane += 1;
        }
        let kind = self.kinds_in_use[self.next_kind];
        self.next_kind += 1;
        self.moves_without_gain += 1;
        self.next_lane %= self.best.lanes.len().max(1);
        let mut moved = self.best.clone();
        moved.remove_slot(&self.classes, &self.kinds, self.next_lane);
        if !moved.add_slot(&self.classes, &self.kinds, kind, links) {
            return;
        }
        for other in &self.kinds_in_use {
            moved.add_slot(&self.classes, &self.kinds, *other, links);
        }
        self.evaluations_left = self.evaluations_left.saturating_sub(1);
        self.replace_if_better(moved, table, links);
    }

    fn replace_if_better(
        &mut self,
        allocation: LaneAllocation,
        table: &EndpointTable,
        links: &LinkTable,
    ) {
        let expected = expected_rates(table, &allocation, links)
            .iter()
            .sum::<f64>();
        if expected > self.best_tokens_per_s * (1.0 + MIN_IMPROVEMENT) {
            (self.best, self.best_tokens_per_s) = (allocation, expected);
            self.moves_without_gain = 0;
        }
    }
}

/// Returns the expected tokens per second of each lane when all slots are used.
fn expected_rates(
    table: &EndpointTable,
    allocation: &LaneAllocation,
    links: &LinkTable,
) -> Vec<f64> {
    let loads: Vec<LaneLoad> = allocation
        .lanes
        .iter()
        .map(|(runs, (_, slots))| lane_load(table, runs, *slots, links))
        .collect();
    tokens_per_s(&loads, table.endpoints.len())
}

fn lane_load(table: &EndpointTable, runs: &[LayerRun], slots: u32, links: &LinkTable) -> LaneLoad {
    let mut delay_ms = 0.0;
    let mut steps = Vec::with_capacity(runs.len());
    for (stage, run) in runs.iter().enumerate() {
        let next = runs[(stage + 1) % runs.len()];
        if next.engine != run.engine {
            delay_ms += links.transfer_ms(run.engine, next.engine);
        }
        let found = table.endpoints.get_index(run.engine);
        let state = found.and_then(|(_, endpoint)| endpoint.state.as_ref());
        let (rate, batch) = state.map_or((1.0, 1), |s| (s.layer_tokens_per_s, s.batch_limit));
        let busy_ms = 1e3 * f64::from(run.layers.len()) / rate.max(1e-3);
        delay_ms += busy_ms * (f64::from(batch) * MIN_STEP_FRACTION - 1.0).max(0.0);
        steps.push((run.engine, busy_ms));
    }
    LaneLoad {
        streams: f64::from(slots),
        delay_ms,
        steps,
    }
}
