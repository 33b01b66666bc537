//! Chains: engines that together run every layer of a model once and in order.
//!
//! The cheapest chain is a shortest path over layer boundaries. An edge is a run of layers at one
//! engine; it costs the engine's time for those layers, more the fuller its memory is, and a fixed
//! part for the hop.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::{Fleet, KnownEndpoint};
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

/// Cost of a hop, in milliseconds a token: an engine's pass and the link, both of the order of a
/// millisecond. Keeps chains short.
const HOP_MS: f64 = 1.0;
/// Cost of a hop into another availability zone. Far above the link's delay: activations of a
/// prompt share the link between zones with everybody else's.
const OTHER_ZONE_MS: f64 = 30.0;
/// Factor on an engine's cost when its memory would be full; quadratic below, so that chains
/// spread before anything is full.
const FULL_FACTOR: f64 = 12.0;
/// Cost of an engine whose memory cannot take the request, which then would be preempted.
const NO_ROOM_MS: f64 = 1_000.0;

/// One stage of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainStage {
    /// Engine.
    pub endpoint: EndpointId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// Engines that together run all layers. Invariant: the stages' ranges follow one another without
/// gap or overlap from 0 to the model's last layer, and no engine stands twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    stages: Vec<ChainStage>,
}

impl Chain {
    /// Checks that the stages run each layer of `0..layers` once and in order, each at an engine
    /// of its own.
    pub fn checked(stages: Vec<ChainStage>, layers: u16) -> Option<Self> {
        let mut next = 0;
        let mut engines = IndexSet::new();
        for stage in &stages {
            let follows = stage.layers.first == next && !stage.layers.is_empty();
            if !follows || !engines.insert(&stage.endpoint) {
                return None;
            }
            next = stage.layers.end;
        }
        (next == layers && !stages.is_empty()).then_some(Self { stages })
    }

    /// The stages in order; never empty.
    pub fn stages(&self) -> &[ChainStage] {
        &self.stages
    }

    /// The stage that takes the request.
    pub fn first(&self) -> &ChainStage {
        &self.stages[0]
    }

    /// Whether an engine has a stage.
    pub fn contains(&self, endpoint: &EndpointId) -> bool {
        self.stages.iter().any(|it| it.endpoint == *endpoint)
    }
}

/// What a chain is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct ChainAsk<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Its model.
    pub model: &'a EngineModel,
    /// Availability zone of this instance.
    pub own_zone: &'a ZoneName,
    /// Tokens that the request will hold in every layer.
    pub tokens: u64,
    /// Engines that must not be used.
    pub excluded: &'a IndexSet<EndpointId>,
    /// Engines of which one must take the request, if any.
    pub first_among: Option<&'a IndexSet<EndpointId>>,
    /// Engine that must take the request and the layers that it must run at least, if any.
    pub first: Option<&'a ChainStage>,
}

/// Finds the cheapest chain, or `None` where some layer has no usable holder.
pub fn plan_chain(fleet: &Fleet, ask: ChainAsk<'_>) -> Option<Chain> {
    let holders: Vec<Holder<'_>> = fleet
        .of_service(ask.service)
        .filter(|known| known.takes_work() && !ask.excluded.contains(&known.listed.id))
        .filter_map(|known| Holder::new(known, ask))
        .collect();
    let start = match ask.first {
        Some(first) => first.layers.end,
        None => 0,
    };
    let path = cheapest(&holders, start, ask)?;
    let mut stages: Vec<ChainStage> = ask.first.into_iter().cloned().collect();
    stages.extend(path);
    Chain::checked(stages, ask.model.layers)
}

/// An engine that may run some layers, with its cost.
struct Holder<'a> {
    known: &'a KnownEndpoint,
    layers: LayerRange,
    ms_per_layer: f64,
    hop_ms: f64,
}

impl<'a> Holder<'a> {
    fn new(known: &'a KnownEndpoint, ask: ChainAsk<'_>) -> Option<Self> {
        let layers = known.listed.layers.filter(|layers| !layers.is_empty())?;
        let kind = ask.model.kinds.get(known.listed.kind.as_deref()?)?;
        let step_ms = ask.model.step_ms * kind.step_factor / f64::from(ask.model.layers.max(1));
        let fullness = fullness(known, layers, ask.model, kind.memory_mb, ask.tokens);
        let crowding = 1.0 + FULL_FACTOR * fullness * fullness;
        let no_room_ms = if fullness > 1.0 { NO_ROOM_MS } else { 0.0 };
        let zone_ms = if known.listed.zone == *ask.own_zone {
            0.0
        } else {
            OTHER_ZONE_MS
        };
        Some(Self {
            known,
            layers,
            ms_per_layer: step_ms * crowding,
            hop_ms: HOP_MS * crowding + zone_ms + no_room_ms,
        })
    }
}

/// Part of an engine's memory for requests that is in use once `tokens` more are held in all its
/// layers.
fn fullness(
    known: &KnownEndpoint,
    layers: LayerRange,
    model: &EngineModel,
    memory_mb: f64,
    tokens: u64,
) -> f64 {
    let count = f64::from(layers.len());
    let free_bytes = (memory_mb - count * model.layer_mb) * 1e6;
    let layer_token_bytes = model.token_kv_bytes / f64::from(model.layers.max(1));
    let room = (free_bytes / layer_token_bytes).max(1.0);
    let held = known.held_token_layers + known.peers_token_layers;
    (held as f64 + tokens as f64 * count) / room
}

/// Shortest path from layer `start` to the last one. Layer boundaries are visited in order, since
/// every edge leads to a higher one.
fn cheapest(holders: &[Holder<'_>], start: u16, ask: ChainAsk<'_>) -> Option<Vec<ChainStage>> {
    let end = ask.model.layers;
    let bounds = boundaries(holders, start, end);
    let mut best: Vec<Option<Arrival>> = vec![None; bounds.len()];
    best[0] = Some(Arrival::default());
    for at in 0..bounds.len() {
        let Some(here) = best[at].clone() else {
            continue;
        };
        for (index, holder) in holders.iter().enumerate() {
            let can_start = holder.layers.first <= bounds[at] && bounds[at] < holder.layers.end;
            let is_first = ask
                .first
                .is_some_and(|it| it.endpoint == holder.known.listed.id);
            let id = &holder.known.listed.id;
            let is_barred = bounds[at] == 0 && ask.first_among.is_some_and(|it| !it.contains(id));
            if !can_start || is_first || is_barred || here.holders.contains(&index) {
                continue;
            }
            for to in at + 1..bounds.len() {
                if bounds[to] > holder.layers.end {
                    break;
                }
                let layers = f64::from(bounds[to] - bounds[at]);
                let cost = here.cost + holder.hop_ms + holder.ms_per_layer * layers;
                if best[to].as_ref().is_none_or(|known| cost < known.cost) {
                    best[to] = Some(here.extended(index, bounds[to], cost));
                }
            }
        }
    }
    let arrival = best.pop()??;
    let mut first = start;
    let stages = arrival
        .holders
        .iter()
        .zip(&arrival.ends)
        .map(|(index, end)| {
            let listed = &holders[*index].known.listed;
            let layers = LayerRange { first, end: *end };
            first = *end;
            ChainStage {
                endpoint: listed.id.clone(),
                address: listed.address,
                layers,
            }
        });
    Some(stages.collect())
}

/// The cheapest known way to a boundary: engines and where each one's run ends.
#[derive(Clone, Debug, Default)]
struct Arrival {
    cost: f64,
    holders: Vec<usize>,
    ends: Vec<u16>,
}

impl Arrival {
    fn extended(&self, holder: usize, end: u16, cost: f64) -> Self {
        let mut next = self.clone();
        next.cost = cost;
        next.holders.push(holder);
        next.ends.push(end);
        next
    }
}

fn boundaries(holders: &[Holder<'_>], start: u16, end: u16) -> Vec<u16> {
    let mut bounds: Vec<u16> = holders
        .iter()
        .flat_map(|holder| [holder.layers.first, holder.layers.end])
        .filter(|bound| *bound > start && *bound < end)
        .chain([start, end])
        .collect();
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}
