//! Engines that give up layers in order to have more memory for requests.
//!
//! Giving up layers loads no weights and takes no time but that of the requests that pass through them, so it
//! follows a rise in demand within a second. Nothing is undone when demand falls: an engine that starts again
//! gets the number of layers for the demand of that time.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::coverage::{Coverage, HeldRange, PlacedEngine};
use super::planner::{PlacementOrder, PlacementPlanner, step_factor};
use super::sizing::LayerCounts;
use crate::ids::EndpointId;
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

/// Other holders that a layer must have for an engine to give it up, so that one more loss leaves it held.
const MIN_OTHER_HOLDERS: u32 = 2;

impl PlacementPlanner {
    /// Orders for engines that hold more layers than `counts` to give up those that others hold. Engines with
    /// the most tokens in memory come first.
    pub(super) fn shrink_ranges(
        &self,
        engines: &[&PlacedEngine],
        counts: &LayerCounts,
        model: &EngineModel,
    ) -> Vec<PlacementOrder> {
        let mut usable: Vec<&PlacedEngine> = engines.to_vec();
        usable.retain(|engine| !engine.is_very_slow);
        usable.sort_by_key(|engine| Reverse(engine.held_token_layers));
        let mut ranges: IndexMap<&EndpointId, HeldRange> = usable
            .iter()
            .filter_map(|engine| Some((&engine.id, self.served_range(engine, model)?)))
            .collect();
        let mut orders = Vec::new();
        for engine in usable.into_iter().filter(|it| self.can_take_order(it)) {
            let Some(own) = ranges.get(&engine.id).copied() else {
                continue;
            };
            if Some(own.layers.len()) <= counts.as_only_holder(&engine.id) {
                continue;
            }
            let others = ranges.iter().filter(|(id, _)| **id != &engine.id);
            let others = Coverage::of(model.layers, others.map(|(_, range)| *range));
            let Some(layers) = smaller_range(engine, own, &others, counts) else {
                continue;
            };
            let step_factor = step_factor(engine, model);
            let shrunk = HeldRange {
                layers,
                step_factor,
            };
            ranges.insert(&engine.id, shrunk);
            orders.push(PlacementOrder {
                endpoint: engine.id.clone(),
                layers,
            });
        }
        orders
    }

    /// The layers that an engine holds now and will go on holding. One that still loads its layers is no holder.
    fn served_range(&self, engine: &PlacedEngine, model: &EngineModel) -> Option<HeldRange> {
        let planned = self.held_range(engine, model)?;
        let held = engine.layers?;
        held.covers(planned.layers).then_some(planned)
    }
}

/// The layers that an engine keeps if it holds too many; `None` if it holds no more than `counts` or if other
/// engines lack those that it would give up.
fn smaller_range(
    engine: &PlacedEngine,
    own: HeldRange,
    others: &Coverage,
    counts: &LayerCounts,
) -> Option<LayerRange> {
    let count = if others.would_be_used(own) {
        counts.as_only_holder(&engine.id)
    } else {
        counts.as_copy(&engine.id)
    };
    let count = count.filter(|count| *count > 0 && *count < own.layers.len())?;
    others.best_part(own, count, MIN_OTHER_HOLDERS)
}
