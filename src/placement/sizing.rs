//! Number of layers that an engine holds, and the memory that they leave for requests.

use indexmap::IndexMap;

use crate::ids::EndpointId;
use crate::route_table::{AcceleratorKind, EngineModel};

use super::PlacedEngine;

/// Typical requests for which every engine reserves memory beside its layers. A zone with 24
/// requests per second of about 3 s each runs 72 at every layer, and when an engine is lost,
/// another one with its layers gets up to twice as many.
const RESERVED_REQUESTS: f64 = 120.0;
/// Minimum reserve, in typical requests, for zones that could not hold every layer otherwise.
const MIN_RESERVED_REQUESTS: f64 = 8.0;

/// Fraction of the normal reserve that an engine keeps if it is the second holder of its layers,
/// since the two share the load. With the full reserve, three small engines hold 24 of a large
/// one's 27 layers, and losing the large one stops the zone.
const COPY_RESERVE_FRACTION: f64 = 0.5;

/// Maximum number of layers that fit beside a reserve for `requests` typical requests.
fn layers_that_fit(model: &EngineModel, kind: &AcceleratorKind, requests: f64) -> u16 {
    let usual_tokens = (model.usual_prompt_tokens + model.usual_answer_tokens).max(1) as f64;
    let tokens = usual_tokens * requests;
    let layer_token_mb = model.token_kv_bytes / f64::from(model.layers.max(1)) / 1e6;
    let per_layer_mb = model.layer_mb + tokens * layer_token_mb;
    let count = (kind.memory_mb / per_layer_mb).floor();
    // Never more than fit into memory, whatever the model's figures are.
    let most = (kind.memory_mb / model.layer_mb).floor();
    let count = count.min(most).clamp(0.0, f64::from(model.layers));
    count as u16
}

/// Number of layers that each engine of an availability zone holds.
#[derive(Clone, Debug)]
pub(super) struct LayerCounts {
    as_only_holder: IndexMap<EndpointId, u16>,
    as_copy: IndexMap<EndpointId, u16>,
}

impl LayerCounts {
    /// For an engine some of whose layers have no other holder; `None` for a kind that is not in
    /// the model's table.
    pub(super) fn as_only_holder(&self, engine: &EndpointId) -> Option<u16> {
        self.as_only_holder.get(engine).copied()
    }

    /// For an engine all of whose layers have another holder.
    pub(super) fn as_copy(&self, engine: &EndpointId) -> Option<u16> {
        self.as_copy.get(engine).copied()
    }
}

/// Number of layers for each engine of one availability zone: as many as leave the normal reserve,
/// or more if the zone could not hold every layer otherwise. A copy keeps a smaller reserve and
/// holds more layers, so that fewer engines make up for the loss of a large one.
pub(super) fn layer_counts(engines: &[&PlacedEngine], model: &EngineModel) -> LayerCounts {
    let counts_for = |requests: f64| -> IndexMap<EndpointId, u16> {
        engines
            .iter()
            .filter_map(|engine| {
                let kind = model.kinds.get(&engine.kind)?;
                Some((engine.id.clone(), layers_that_fit(model, kind, requests)))
            })
            .collect()
    };
    let mut requests = RESERVED_REQUESTS;
    loop {
        let counts = counts_for(requests);
        let sum: u32 = counts.values().map(|count| u32::from(*count)).sum();
        if sum >= u32::from(model.layers) || requests <= MIN_RESERVED_REQUESTS {
            return LayerCounts {
                as_only_holder: counts,
                as_copy: counts_for(requests * COPY_RESERVE_FRACTION),
            };
        }
        requests = (requests * 0.8).max(MIN_RESERVED_REQUESTS);
    }
}
