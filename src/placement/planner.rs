//! Orders that make engines hold the layers that they should.

use std::cmp::Ordering;

use indexmap::{IndexMap, IndexSet};

use super::coverage::{Coverage, HeldRange, PlacedEngine};
use super::sizing::{LayerCounts, ZoneLoad, ZoneSizing, layer_counts};
use crate::ids::{EndpointId, ZoneName};
use crate::invariant;
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

/// Margin added to the expected load time before an order counts as lost: the list shows an
/// engine's layers with a lag of about two seconds.
const ORDER_TIMEOUT_MARGIN_MS: u64 = 4_000;
/// Delay before an engine that refused an order gets another one; until then the plan does without
/// it. About the time that an engine needs to carry out the previous order.
const REFUSAL_BACKOFF_MS: u64 = 1_500;
/// How long a zone must have lacked a layer before its engines are laid out again. Engines that
/// crashed or are very slow usually recover after two to five seconds, and other zones serve its
/// requests until then.
const RELAYOUT_DELAY_MS: u64 = 6_000;

/// An order to an engine to hold a range of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Engine that gets the order.
    pub endpoint: EndpointId,
    /// The only layers that it should hold.
    pub layers: LayerRange,
}

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    layers: LayerRange,
    /// The engine has to load layers in place of others. One that only gives layers up goes on serving the
    /// rest.
    is_move: bool,
    expires_ms: u64,
}

/// Placement of one model's layers, as managed by the process that holds the lease.
#[derive(Clone, Debug, Default)]
pub struct PlacementPlanner {
    pending: IndexMap<EndpointId, PendingOrder>,
    /// Engines that refused an order, and when they may get another one.
    refused_until_ms: IndexMap<EndpointId, u64>,
    /// Since when each availability zone has had a layer without an engine.
    uncovered_since_ms: IndexMap<ZoneName, u64>,
    /// What the newest layer counts of each availability zone are based on.
    sizings: IndexMap<ZoneName, ZoneSizing>,
}

impl PlacementPlanner {
    /// The orders to send now. [`Self::order_sent`] records those that were sent. `loads` holds the
    /// load of each availability zone where it is known.
    pub fn due_orders(
        &mut self,
        engines: &[PlacedEngine],
        model: &EngineModel,
        loads: &IndexMap<ZoneName, ZoneLoad>,
        now_ms: u64,
    ) -> Vec<PlacementOrder> {
        self.expire(engines, now_ms);
        let zones: IndexSet<&ZoneName> = engines.iter().map(|engine| &engine.zone).collect();
        let mut orders = Vec::new();
        for zone in zones {
            let in_zone: Vec<&PlacedEngine> = engines
                .iter()
                .filter(|engine| engine.zone == *zone)
                .collect();
            let load = loads.get(zone).copied();
            let (counts, sizing) = layer_counts(&in_zone, model, load);
            self.sizings.insert(zone.clone(), sizing);
            orders.extend(self.due_in_zone(zone, &in_zone, &counts, model, now_ms));
        }
        for order in &orders {
            check_memory(order, engines, model);
        }
        orders
    }

    /// Records that an order was sent and is pending. `engines` are those that it was computed
    /// from.
    pub fn order_sent(
        &mut self,
        order: PlacementOrder,
        engines: &[PlacedEngine],
        model: &EngineModel,
        now_ms: u64,
    ) {
        let engine = engines.iter().find(|engine| engine.id == order.endpoint);
        let is_move = engine
            .and_then(|engine| engine.layers)
            .is_some_and(|held| !held.covers(order.layers));
        self.add_pending(order, is_move, model, now_ms);
    }

    /// Records that an engine refused an order.
    pub fn order_refused(&mut self, endpoint: &EndpointId, now_ms: u64) {
        self.pending.shift_remove(endpoint);
        let until_ms = now_ms + REFUSAL_BACKOFF_MS;
        self.refused_until_ms.insert(endpoint.clone(), until_ms);
    }

    /// Clears the times since when layers have had no engine: another process holds the lease now,
    /// and its progress is not visible here.
    pub fn reset_uncovered_timers(&mut self) {
        self.uncovered_since_ms.clear();
    }

    /// What the newest layout of each availability zone is based on.
    pub fn sizings(&self) -> &IndexMap<ZoneName, ZoneSizing> {
        &self.sizings
    }

    /// Records an order that was sent by another process.
    pub fn order_reported(&mut self, order: PlacementOrder, model: &EngineModel, now_ms: u64) {
        self.add_pending(order, true, model, now_ms);
    }

    fn add_pending(
        &mut self,
        order: PlacementOrder,
        is_move: bool,
        model: &EngineModel,
        now_ms: u64,
    ) {
        let share = u64::from(order.layers.len()) * model.load_ms;
        let load_ms = share / u64::from(model.layers.max(1));
        let ordered = PendingOrder {
            layers: order.layers,
            is_move,
            expires_ms: now_ms + 2 * load_ms + ORDER_TIMEOUT_MARGIN_MS,
        };
        self.pending.insert(order.endpoint, ordered);
    }

    /// Drops pending orders that were carried out, whose engine is gone, or that count as lost.
    fn expire(&mut self, engines: &[PlacedEngine], now_ms: u64) {
        self.refused_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        self.pending.retain(|id, ordered| {
            let engine = engines.iter().find(|engine| engine.id == *id);
            engine.is_some_and(|it| it.layers != Some(ordered.layers))
                && now_ms < ordered.expires_ms
        });
    }

    /// The layers that an engine holds, or will hold after a pending order.
    pub(super) fn planned_layers(&self, engine: &PlacedEngine) -> Option<LayerRange> {
        let ordered = self.pending.get(&engine.id).map(|it| it.layers);
        ordered
            .or(engine.layers)
            .filter(|layers| !layers.is_empty())
    }

    fn due_in_zone(
        &mut self,
        zone: &ZoneName,
        engines: &[&PlacedEngine],
        counts: &LayerCounts,
        model: &EngineModel,
        now_ms: u64,
    ) -> Vec<PlacementOrder> {
        let healthy = engines.iter().filter(|engine| !engine.is_very_slow);
        let held = healthy.filter_map(|engine| self.held_range(engine, model));
        let mut coverage = Coverage::of(model.layers, held);
        let mut orders = self.assign_empty_engines(engines, counts, &mut coverage, model);
        if !coverage.has_gap() {
            self.uncovered_since_ms.shift_remove(zone);
            if orders.is_empty() && counts.has_raised_reserve() {
                orders = self.shrink_ranges(engines, counts, model);
            }
            return orders;
        }
        let since_ms = *self
            .uncovered_since_ms
            .entry(zone.clone())
            .or_insert(now_ms);
        if self.is_moving(engines) {
            return orders;
        }
        match self.cover_gap(engines, counts, &coverage, model) {
            Some(order) => orders.push(order),
            None if orders.is_empty() && now_ms >= since_ms + RELAYOUT_DELAY_MS => {
                orders = self.relayout(engines, counts, model);
            }
            None => {}
        }
        orders
    }

    /// Assigns layers to every empty engine. If engines of the zone already hold some, layers
    /// without an engine come first, each for the engine that has to load the least. Otherwise a
    /// zone would remain slow after its engines return from a crash, because they would get layers
    /// that are already held.
    fn assign_empty_engines(
        &self,
        engines: &[&PlacedEngine],
        counts: &LayerCounts,
        coverage: &mut Coverage,
        model: &EngineModel,
    ) -> Vec<PlacementOrder> {
        let is_empty =
            |it: &&PlacedEngine| self.planned_layers(it).is_none() && self.can_take_order(it);
        let mut empty: Vec<&PlacedEngine> = engines.iter().copied().filter(is_empty).collect();
        empty.sort_by(|a, b| placement_order(a, b, counts, model));
        let is_repair = empty.len() < engines.len();
        let mut orders = Vec::new();
        while !empty.is_empty() {
            let next = if is_repair && coverage.has_gap() {
                best_gap_filler(&empty, counts, coverage, model)
            } else {
                0
            };
            let engine = empty.remove(next);
            let step_factor = step_factor(engine, model);
            let count = counts.as_only_holder(&engine.id).unwrap_or(0);
            let mut range = coverage.best_window(count, step_factor);
            // An engine that only adds copies keeps a smaller reserve. A much faster one takes over
            // the work of the present holders, so it keeps the full reserve.
            if range.is_some_and(|range| !coverage.would_be_used(range)) {
                let count = counts.as_copy(&engine.id).unwrap_or(0);
                range = coverage.best_window(count, step_factor);
            }
            if let Some(range) = range {
                coverage.add(range);
                orders.push(PlacementOrder {
                    endpoint: engine.id.clone(),
                    layers: range.layers,
                });
            }
        }
        orders
    }

    pub(super) fn held_range(
        &self,
        engine: &PlacedEngine,
        model: &EngineModel,
    ) -> Option<HeldRange> {
        Some(HeldRange {
            layers: self.planned_layers(engine)?,
            step_factor: step_factor(engine, model),
        })
    }

    /// Moves one engine, all of whose layers are also held elsewhere, to layers without an engine.
    fn cover_gap(
        &self,
        engines: &[&PlacedEngine],
        counts: &LayerCounts,
        coverage: &Coverage,
        model: &EngineModel,
    ) -> Option<PlacementOrder> {
        let before = coverage.uncovered_layers();
        let mut best: Option<((u32, u64), PlacementOrder)> = None;
        let is_movable =
            |engine: &&&PlacedEngine| !engine.is_very_slow && self.can_take_order(engine);
        for engine in engines.iter().filter(is_movable) {
            let (Some(_), Some(count)) = (
                self.planned_layers(engine),
                counts.as_only_holder(&engine.id),
            ) else {
                continue;
            };
            let others = engines.iter().filter(|other| other.id != engine.id);
            let others = others.filter(|other| !other.is_very_slow);
            let others = others.filter_map(|other| self.held_range(other, model));
            let mut without = Coverage::of(model.layers, others);
            let Some(target) = without.best_window(count, step_factor(engine, model)) else {
                continue;
            };
            without.add(target);
            let after = without.uncovered_layers();
            let rank = (after, engine.held_token_layers);
            if after < before && best.as_ref().is_none_or(|(least, _)| rank < *least) {
                let order = PlacementOrder {
                    endpoint: engine.id.clone(),
                    layers: target.layers,
                };
                best = Some((rank, order));
            }
        }
        best.map(|(_, order)| order)
    }

    /// Computes a new layout for the engines of a zone where no single move covers a gap. Each
    /// engine stays near its present position, and only boundaries shift.
    fn relayout(
        &self,
        engines: &[&PlacedEngine],
        counts: &LayerCounts,
        model: &EngineModel,
    ) -> Vec<PlacementOrder> {
        let count_of = |engine: &PlacedEngine| counts.as_only_holder(&engine.id).unwrap_or(0);
        let mut remaining: Vec<&&PlacedEngine> = engines
            .iter()
            .filter(|engine| !engine.is_very_slow && self.can_take_order(engine))
            // An engine of a kind that is not in the model's table cannot hold any layer.
            .filter(|engine| count_of(engine) > 0)
            .collect();
        let mut orders = Vec::new();
        let mut next = 0;
        while next < model.layers {
            let overlap = |engine: &&&PlacedEngine| {
                let count = count_of(engine);
                let window = window_from(next, count, model.layers);
                let held = self.planned_layers(engine);
                (held.map_or(0, |held| overlap(held, window)), count)
            };
            let Some(best) = remaining
                .iter()
                .enumerate()
                .max_by_key(|(_, it)| overlap(it))
            else {
                // There are too few engines to hold every layer.
                return Vec::new();
            };
            let engine = remaining.swap_remove(best.0);
            let layers = window_from(next, count_of(engine), model.layers);
            next = layers.end;
            if self.planned_layers(engine) != Some(layers) {
                orders.push(PlacementOrder {
                    endpoint: engine.id.clone(),
                    layers,
                });
            }
        }
        orders
    }

    /// Whether one of these engines is being moved. Engines are moved one at a time, since a move
    /// takes layers out of service until it is done.
    fn is_moving(&self, engines: &[&PlacedEngine]) -> bool {
        let moves = |engine: &&&PlacedEngine| {
            let ordered = self.pending.get(&engine.id);
            ordered.is_some_and(|it| it.is_move)
        };
        engines.iter().any(|engine| moves(&engine))
    }

    /// Whether an engine may get an order.
    pub(super) fn can_take_order(&self, engine: &PlacedEngine) -> bool {
        !self.refused_until_ms.contains_key(&engine.id)
    }
}

/// Order in which empty engines get layers. The fastest come first, so that a chain runs as many
/// layers as possible on them, and slower engines hold the rest and the copies. Of equally fast
/// engines the largest come first, which keeps chains short. A faster stream holds its tokens in
/// memory for a shorter time: with the largest engines first, slow ones would be the only holders
/// of many layers where kinds differ much in speed, and memory would fill up under normal load.
fn placement_order(
    a: &PlacedEngine,
    b: &PlacedEngine,
    counts: &LayerCounts,
    model: &EngineModel,
) -> Ordering {
    let count = |engine: &PlacedEngine| counts.as_only_holder(&engine.id);
    let faster = step_factor(a, model).total_cmp(&step_factor(b, model));
    faster.then_with(|| count(b).cmp(&count(a)))
}

/// Factor on the time of a token step; infinite for a kind that is not in the model's table.
pub(super) fn step_factor(engine: &PlacedEngine, model: &EngineModel) -> f64 {
    let kind = model.kinds.get(&engine.kind);
    kind.map_or(f64::INFINITY, |kind| kind.step_factor)
}

/// Index of the engine that would leave the fewest layers without an engine, and among equals of
/// the one that has to load the fewest layers: a zone that lacks one layer serves nothing until it
/// is loaded.
fn best_gap_filler(
    empty: &[&PlacedEngine],
    counts: &LayerCounts,
    coverage: &Coverage,
    model: &EngineModel,
) -> usize {
    let rank = |engine: &PlacedEngine| {
        let count = counts.as_only_holder(&engine.id).unwrap_or(0);
        let mut after = coverage.clone();
        if let Some(range) = coverage.best_window(count, step_factor(engine, model)) {
            after.add(range);
        }
        (after.uncovered_layers(), count)
    };
    let ranks = empty.iter().map(|engine| rank(engine)).enumerate();
    ranks.min_by_key(|(_, rank)| *rank).map_or(0, |(at, _)| at)
}

/// The window of `count` layers that starts at `first`, moved back if it would exceed the last
/// layer.
fn window_from(first: u16, count: u16, layers: u16) -> LayerRange {
    let end = (first + count).min(layers);
    LayerRange {
        first: end.saturating_sub(count),
        end,
    }
}

fn overlap(a: LayerRange, b: LayerRange) -> u16 {
    a.end.min(b.end).saturating_sub(a.first.max(b.first))
}

fn check_memory(order: &PlacementOrder, engines: &[PlacedEngine], model: &EngineModel) {
    let kind = engines
        .iter()
        .find(|engine| engine.id == order.endpoint)
        .and_then(|engine| model.kinds.get(&engine.kind));
    let needed_mb = f64::from(order.layers.len()) * model.layer_mb;
    let fits = kind.is_some_and(|kind| needed_mb <= kind.memory_mb);
    invariant::check(fits, "layers_fit_in_memory", || order.endpoint.clone());
}
