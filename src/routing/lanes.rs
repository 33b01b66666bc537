//! Lanes: fixed chains with a number of slots each.
//!
//! A stream holds a slot of a batch at each engine of its chain from its first to its last token,
//! so that slots are as scarce as rates, and chains of engines picked one by one leave slots that
//! fit nothing. Lanes are picked together. A linear program over the kinds of chains finds the most
//! tokens a second under rates and slots, and its solution is rounded to slots of engines. How many
//! slots a token's queueing takes is not known beforehand, so several margins are tried; the set of
//! lanes from which mean value analysis expects most is taken, and bettered by moving single slots.
//! Every entry does this alike and owns its part of the slots.

use crate::document::ModelOffer;

use super::assembly::Assembly;
use super::chain::Run;
use super::classes::{ChainKind, Class, chain_kinds, group};
use super::endpoints::EndpointTable;
use super::estimate::{LaneLoad, tokens_per_s};
use super::graph::Graph;
use super::limits::OwnSlots;
use super::links::LinkTable;
use super::program::{Program, STEP_PART};

/// Slots that a stream is taken to need, against one without queues; the first is tried at once.
const MARGINS: [f64; 10] = [2.2, 1.0, 1.1, 1.2, 1.35, 1.5, 1.7, 1.9, 2.6, 3.0];
/// Sets of lanes looked at in all to better the best one, shared by the engines.
const LOOKS: usize = 24_000;
/// Sets looked at in one step, shared by the engines.
const STEP_LOOKS: usize = 240;
/// A set must be better by this part to be taken.
const BETTER_BY: f64 = 1e-4;

/// A chain of engines with slots of its own.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Lane {
    pub(crate) runs: Vec<Run>,
    /// Slots of all entries.
    pub(crate) slots: u32,
    /// Number of the first slot, over all lanes.
    pub(crate) first_slot: u64,
    /// Tokens a second to expect of all its slots.
    pub(crate) tokens_per_s: f64,
}

impl Lane {
    /// Slots that are an entry's own.
    pub(crate) fn owned(&self, own: OwnSlots) -> u32 {
        own.count(self.first_slot, self.slots)
    }
}

/// A search for good lanes, step by step. It holds while the endpoint table does not change.
#[derive(Clone, Debug)]
pub(crate) struct LaneSearch {
    classes: Vec<Class>,
    kinds: Vec<ChainKind>,
    program: Program,
    best: Assembly,
    /// Tokens a second expected of the best.
    most: f64,
    margins_tried: usize,
    /// Kinds of the best set of the margins.
    used: Vec<usize>,
    /// Lane whose slot is moved next, and where to.
    lane: usize,
    used_at: usize,
    /// Moves tried since the last that was better.
    in_vain: usize,
    looks_left: usize,
}

impl LaneSearch {
    /// Begins with one set of lanes; `None` if the layers are not all held.
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
            best: Assembly::new(&classes),
            most: 0.0,
            margins_tried: 0,
            used: Vec::new(),
            lane: 0,
            used_at: 0,
            in_vain: 0,
            looks_left: LOOKS / engines.max(1),
            classes,
            kinds,
        };
        search.try_margin(table, links);
        Some(search)
    }

    /// Goes on for a millisecond or so; whether there is more to do.
    pub(crate) fn step(&mut self, table: &EndpointTable, links: &LinkTable) -> bool {
        if self.margins_tried < MARGINS.len() {
            self.try_margin(table, links);
            return true;
        }
        if self.used.is_empty() {
            self.used = self.best.lanes.values().map(|(kind, _)| *kind).collect();
            self.used.sort_unstable();
            self.used.dedup();
        }
        let engines: usize = self.classes.iter().map(|class| class.engines.len()).sum();
        for _ in 0..(STEP_LOOKS / engines.max(1)).max(1) {
            let all_tried = self.in_vain > self.best.lanes.len() * self.used.len();
            if all_tried || self.looks_left == 0 {
                return false;
            }
            self.try_move(table, links);
        }
        true
    }

    /// The best lanes so far.
    pub(crate) fn lanes(&self, table: &EndpointTable, links: &LinkTable) -> Vec<Lane> {
        let mut first_slot = 0;
        self.best
            .lanes
            .iter()
            .zip(expected(table, &self.best, links))
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
        let mut assembly = Assembly::new(&self.classes);
        assembly.fill(&self.classes, &self.kinds, &needs, links);
        self.take_if_better(assembly, table, links);
    }

    /// Takes a slot from one lane, gives one to another kind, and fills what fits then.
    fn try_move(&mut self, table: &EndpointTable, links: &LinkTable) {
        if self.used_at >= self.used.len() {
            self.used_at = 0;
            self.lane += 1;
        }
        let kind = self.used[self.used_at];
        self.used_at += 1;
        self.in_vain += 1;
        self.lane %= self.best.lanes.len().max(1);
        let mut moved = self.best.clone();
        moved.take(&self.classes, &self.kinds, self.lane);
        if !moved.give(&self.classes, &self.kinds, kind, links) {
            return;
        }
        for other in &self.used {
            moved.give(&self.classes, &self.kinds, *other, links);
        }
        self.looks_left = self.looks_left.saturating_sub(1);
        self.take_if_better(moved, table, links);
    }

    fn take_if_better(&mut self, assembly: Assembly, table: &EndpointTable, links: &LinkTable) {
        let expected = expected(table, &assembly, links).iter().sum::<f64>();
        if expected > self.most * (1.0 + BETTER_BY) {
            (self.best, self.most) = (assembly, expected);
            self.in_vain = 0;
        }
    }
}

/// Tokens a second to expect of each lane when every slot is used.
fn expected(table: &EndpointTable, assembly: &Assembly, links: &LinkTable) -> Vec<f64> {
    let loads: Vec<LaneLoad> = assembly
        .lanes
        .iter()
        .map(|(runs, (_, slots))| load(table, runs, *slots, links))
        .collect();
    tokens_per_s(&loads, table.all.len())
}

fn load(table: &EndpointTable, runs: &[Run], slots: u32, links: &LinkTable) -> LaneLoad {
    let mut delay_ms = 0.0;
    let mut steps = Vec::with_capacity(runs.len());
    for (stage, run) in runs.iter().enumerate() {
        let next = runs[(stage + 1) % runs.len()];
        if next.engine != run.engine {
            delay_ms += links.transfer_ms(run.engine, next.engine);
        }
        let found = table.all.get_index(run.engine);
        let state = found.and_then(|(_, endpoint)| endpoint.state.as_ref());
        let (rate, batch) = state.map_or((1.0, 1), |s| (s.layer_tokens_per_s, s.batch_limit));
        let busy_ms = 1e3 * f64::from(run.layers.len()) / rate.max(1e-3);
        delay_ms += busy_ms * (f64::from(batch) * STEP_PART - 1.0).max(0.0);
        steps.push((run.engine, busy_ms));
    }
    LaneLoad {
        streams: f64::from(slots),
        delay_ms,
        steps,
    }
}
