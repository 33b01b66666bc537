//! Number of layers that an engine holds, and the memory that they leave for requests.

use indexmap::IndexMap;

use super::PlacedEngine;
use super::throughput::{Holding, request_bytes_per_layer, sustained_after_loss_per_s};
use crate::ids::EndpointId;
use crate::route_table::{AcceleratorKind, EngineModel};

/// Normal reserve: number of typical requests for which every engine keeps memory beside its layers.
/// A zone with 24 requests per second of about 3 s each runs 72 at every layer, and when an engine is lost,
/// another one with its layers gets up to twice as many.
const RESERVED_REQUESTS: f64 = 120.0;
/// Minimum reserve, in typical requests, for zones that could not hold every layer otherwise.
const MIN_RESERVED_REQUESTS: f64 = 8.0;

/// Fraction of the normal reserve that an engine keeps if it is the second holder of its layers,
/// since the two share the load. With the full reserve, three small engines hold 24 of a large
/// one's 27 layers, and losing the large one stops the zone.
const COPY_RESERVE_FRACTION: f64 = 0.5;

/// Factors on the normal reserve, tried in order until a zone whose engines reject requests sustains its demand. With larger ones, the hops
/// of longer chains cost more than the additional memory gains.
const RESERVE_FACTORS: [f64; 3] = [1.0, 1.25, 1.5];

/// Throughput that a zone needs after the loss of an engine, in multiples of its demand: bursts are a half
/// above the rate of the last seconds, and weights take longer to load than a burst lasts.
const DEMAND_MARGIN: f64 = 1.5;

/// Fraction of streams that engines may reject without a larger reserve. Longer chains make every stream slower,
/// so the reserve is not raised for an estimate alone.
const TOLERATED_REJECTIONS: f64 = 0.02;

/// Mean number of holders that each layer keeps after the loss of the largest engine if the reserve is
/// above normal. With fewer, a second loss stops the zone, which is worse than a lack of memory.
const MIN_HOLDERS_AFTER_LOSS: f64 = 2.0;

/// Maximum number of layers that fit beside a reserve for `requests` typical requests.
fn layers_that_fit(model: &EngineModel, kind: &AcceleratorKind, requests: f64) -> u16 {
    let per_layer_mb = model.layer_mb + requests * request_bytes_per_layer(model) / 1e6;
    let count = (kind.memory_mb / per_layer_mb).floor();
    // Never more than fit into memory, whatever the model's figures are.
    let most = (kind.memory_mb / model.layer_mb).floor();
    let count = count.min(most).clamp(0.0, f64::from(model.layers));
    count as u16
}

/// Number of layers that each engine of an availability zone holds.
#[derive(Clone, Debug)]
pub(super) struct LayerCounts {
    /// By engine, if some of its layers have no other holder.
    as_only_holder: IndexMap<EndpointId, u16>,
    /// By engine, if all of its layers have another holder.
    as_copy: IndexMap<EndpointId, u16>,
    /// Whether the reserve is above normal, because engines reject requests.
    has_raised_reserve: bool,
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

    /// Whether engines that hold more layers should give some up.
    pub(super) fn has_raised_reserve(&self) -> bool {
        self.has_raised_reserve
    }
}

/// Load of an availability zone, as recent peaks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLoad {
    /// Streams per second that callers ask for, whether or not they are served.
    pub demand_per_s: f64,
    /// Streams per second that engines reject because they lack memory or places.
    pub rejected_per_s: f64,
}

impl ZoneLoad {
    /// Whether engines reject so much that more memory for requests is worth longer chains.
    fn lacks_capacity(self) -> bool {
        self.rejected_per_s > self.demand_per_s * TOLERATED_REJECTIONS
    }
}

/// What the layer counts of an availability zone are based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneSizing {
    /// `None` if unknown.
    pub load: Option<ZoneLoad>,
    /// Streams per second that the zone's engines sustain after the loss of the one that sustains the most.
    pub sustained_per_s: f64,
    /// Factor on the normal reserve.
    pub reserve_factor: f64,
}

impl ZoneSizing {
    /// Whether the zone sustains its demand with the margin for bursts.
    pub fn is_sufficient(&self) -> bool {
        let demand_per_s = self.load.map_or(0.0, |load| load.demand_per_s);
        self.sustained_per_s >= demand_per_s * DEMAND_MARGIN
    }
}

/// Number of layers for each engine of one availability zone: as many as leave the normal reserve, or a
/// larger one where engines reject requests and the normal one does not sustain the demand. A copy keeps a
/// smaller reserve and holds more layers, so that fewer engines make up for the loss of a large one.
pub(super) fn layer_counts(
    engines: &[&PlacedEngine],
    model: &EngineModel,
    load: Option<ZoneLoad>,
) -> (LayerCounts, ZoneSizing) {
    let sized = |reserve_factor: f64| {
        let counts = counts_for_reserve(engines, model, RESERVED_REQUESTS * reserve_factor);
        let holdings = holdings(engines, &counts, model);
        let sizing = ZoneSizing {
            load,
            sustained_per_s: sustained_after_loss_per_s(holdings.iter().copied(), model),
            reserve_factor,
        };
        let is_redundant = holders_after_loss(&holdings, model) >= MIN_HOLDERS_AFTER_LOSS;
        (counts, sizing, is_redundant)
    };
    let (mut counts, mut sizing, _) = sized(RESERVE_FACTORS[0]);
    for reserve_factor in RESERVE_FACTORS.into_iter().skip(1) {
        if sizing.is_sufficient() || !load.is_some_and(ZoneLoad::lacks_capacity) {
            break;
        }
        let (larger, larger_sizing, is_redundant) = sized(reserve_factor);
        if !is_redundant {
            break;
        }
        (counts, sizing) = (larger, larger_sizing);
        counts.has_raised_reserve = true;
    }
    (counts, sizing)
}

/// Layer counts with a reserve of `reserved_requests`, or with a smaller one if the zone could not hold every
/// layer otherwise.
fn counts_for_reserve(
    engines: &[&PlacedEngine],
    model: &EngineModel,
    reserved_requests: f64,
) -> LayerCounts {
    let counts_for = |requests: f64| -> IndexMap<EndpointId, u16> {
        engines
            .iter()
            .filter_map(|engine| {
                let kind = model.kinds.get(&engine.kind)?;
                Some((engine.id.clone(), layers_that_fit(model, kind, requests)))
            })
            .collect()
    };
    let mut requests = reserved_requests;
    loop {
        let counts = counts_for(requests);
        let sum: u32 = counts.values().map(|count| u32::from(*count)).sum();
        if sum >= u32::from(model.layers) || requests <= MIN_RESERVED_REQUESTS {
            return LayerCounts {
                as_only_holder: counts,
                as_copy: counts_for(requests * COPY_RESERVE_FRACTION),
                has_raised_reserve: false,
            };
        }
        requests = (requests * 0.8).max(MIN_RESERVED_REQUESTS);
    }
}

/// What each engine holds if the fastest get their layers first, as the planner assigns them.
fn holdings<'a>(
    engines: &[&PlacedEngine],
    counts: &LayerCounts,
    model: &'a EngineModel,
) -> Vec<Holding<'a>> {
    let mut by_speed: Vec<(&EndpointId, &AcceleratorKind)> = engines
        .iter()
        .filter_map(|engine| Some((&engine.id, model.kinds.get(&engine.kind)?)))
        .collect();
    by_speed.sort_by(|(_, a), (_, b)| {
        let faster = a.step_factor.total_cmp(&b.step_factor);
        faster.then_with(|| b.memory_mb.total_cmp(&a.memory_mb))
    });
    let mut held = 0;
    let mut holdings = Vec::with_capacity(by_speed.len());
    for (id, kind) in by_speed {
        let count = if held < u32::from(model.layers) {
            counts.as_only_holder(id)
        } else {
            counts.as_copy(id)
        };
        let layers = count.unwrap_or(0);
        held += u32::from(layers);
        holdings.push(Holding { kind, layers });
    }
    holdings
}

/// Mean number of holders of a layer without the engine that holds the most.
fn holders_after_loss(holdings: &[Holding<'_>], model: &EngineModel) -> f64 {
    let layers = holdings.iter().map(|it| u32::from(it.layers));
    let largest = layers.clone().max().unwrap_or(0);
    f64::from(layers.sum::<u32>() - largest) / f64::from(model.layers.max(1))
}
