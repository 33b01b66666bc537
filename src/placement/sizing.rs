//! How many layers an engine holds, and how much memory that leaves for requests.

use indexmap::IndexMap;

use crate::ids::EndpointId;
use crate::route_table::{AcceleratorKind, EngineModel};

use super::PlacedEngine;

/// Usual requests for which every engine keeps room beside its layers. A zone with traffic of 24
/// requests a second, each about 3 s long, has 72 under way at every layer; when an engine is
/// lost, another one that holds its layers gets up to twice that.
const ROOM_REQUESTS: f64 = 120.0;
/// The least room, in usual requests, where a zone could not hold every layer otherwise.
const LEAST_ROOM_REQUESTS: f64 = 8.0;

/// Part of the usual room that an engine keeps where it is the second holder of its layers: the two
/// share what is there. With the whole room three small engines hold 24 of a large one's 27 layers,
/// and its loss stops the zone.
const COPY_ROOM: f64 = 0.5;

/// Most layers that fit beside room for `requests` usual requests.
fn layers_beside(model: &EngineModel, kind: &AcceleratorKind, requests: f64) -> u16 {
    let usual_tokens = (model.usual_prompt_tokens + model.usual_answer_tokens).max(1) as f64;
    let tokens = usual_tokens * requests;
    let layer_token_mb = model.token_kv_bytes / f64::from(model.layers.max(1)) / 1e6;
    let per_layer_mb = model.layer_mb + tokens * layer_token_mb;
    let count = (kind.memory_mb / per_layer_mb).floor();
    // Never above what the memory holds, whatever the figures are.
    let most = (kind.memory_mb / model.layer_mb).floor();
    let count = count.min(most).clamp(0.0, f64::from(model.layers));
    count as u16
}

/// How many layers each engine of an availability zone holds.
#[derive(Clone, Debug)]
pub(super) struct LayerCounts {
    only: IndexMap<EndpointId, u16>,
    copy: IndexMap<EndpointId, u16>,
}

impl LayerCounts {
    /// Where some of its layers have no other holder; `None` for a kind that the table does not name.
    pub(super) fn as_only_holder(&self, engine: &EndpointId) -> Option<u16> {
        self.only.get(engine).copied()
    }

    /// Where all of its layers have another holder.
    pub(super) fn as_copy(&self, engine: &EndpointId) -> Option<u16> {
        self.copy.get(engine).copied()
    }
}

/// Layers for each engine of one availability zone: as many as leave the usual room, or more
/// where the zone would not hold every layer once. A copy keeps less room and holds more layers, so
/// that fewer engines make up for the loss of a large one.
pub(super) fn layer_counts(engines: &[&PlacedEngine], model: &EngineModel) -> LayerCounts {
    let counts_for = |requests: f64| -> IndexMap<EndpointId, u16> {
        engines
            .iter()
            .filter_map(|engine| {
                let kind = model.kinds.get(&engine.kind)?;
                Some((engine.id.clone(), layers_beside(model, kind, requests)))
            })
            .collect()
    };
    let mut requests = ROOM_REQUESTS;
    loop {
        let counts = counts_for(requests);
        let sum: u32 = counts.values().map(|count| u32::from(*count)).sum();
        if sum >= u32::from(model.layers) || requests <= LEAST_ROOM_REQUESTS {
            return LayerCounts {
                only: counts,
                copy: counts_for(requests * COPY_ROOM),
            };
        }
        requests = (requests * 0.8).max(LEAST_ROOM_REQUESTS);
    }
}
