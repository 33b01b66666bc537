//! Chains: engines that together run every layer of a model once and in order.
//!
//! The cheapest chain is a shortest path over layer boundaries. An edge is a range of layers run by
//! one engine. It costs the engine's time for those layers, which rises with the use of its memory,
//! and a fixed cost for the hop. The first engine also costs more the more of its slots are in use.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::{Fleet, KnownEndpoint};
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

/// Cost of a hop, in milliseconds per token. An engine's pass and the link each take about a
/// millisecond. Keeps chains short.
const HOP_COST_MS: f64 = 1.0;
/// Cost of a hop between engines of two availability zones. Far above the link's delay, because the
/// activations of a typical prompt occupy the shared link for 14 ms.
const CROSS_ZONE_HOP_COST_MS: f64 = 30.0;
/// Cost of a chain in another availability zone than this instance's. It covers the delay of
/// requests and events, plus a margin that keeps traffic inside its zone while the zones are about
/// equally loaded.
const REMOTE_ZONE_COST_MS: f64 = 12.0;
/// Factor on an engine's cost at full memory. It grows with the square of memory use, so that
/// chains spread before any engine is full.
const FULL_MEMORY_FACTOR: f64 = 12.0;
/// Cost of an engine whose memory, as estimated here, cannot hold the request. The estimate is an
/// upper bound: answers count at their expected length from the start.
const NO_ROOM_COST_MS: f64 = 1_000.0;
/// Cost of a first engine with all slots in use, where a new request waits in its queue. Higher
/// than the extra cost of a slower engine that runs the same layers, which is up to 20 ms.
const FULL_SLOTS_COST_MS: f64 = 40.0;
/// Exponent with which the slot cost rises with the fraction of slots in use. With the fourth
/// power, half of the slots cost 2.5 ms, so a faster engine is still preferred. Memory use alone
/// does not spread requests: it may be low, and nearly all streams of a large fleet would start at
/// one engine per zone and wait there.
const SLOT_USE_EXPONENT: i32 = 4;
/// Cost of an engine that has just rejected a request for lack of room. Outweighs any estimate.
const REJECTED_COST_MS: f64 = 10_000.0;
/// Cost of an engine that is missing from the list and only retained. If it is leaving it must not
/// get new requests, and if it has ended they fail. It is used where no other engine holds its
/// layers, so that an outage of the store does not stop a service.
const UNLISTED_COST_MS: f64 = 100_000.0;

/// A range of layers and the engine that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainStage {
    /// Engine that runs the stage.
    pub endpoint: EndpointId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// Engines that together run all layers.
///
/// Invariant: the ranges of the stages follow one another without gap or overlap from layer 0 to
/// the model's last layer, and no engine appears twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    stages: Vec<ChainStage>,
}

impl std::fmt::Display for Chain {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, stage) in self.stages.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            let LayerRange { first, end } = stage.layers;
            write!(f, "{comma}{}={first}-{end}", stage.endpoint)?;
        }
        Ok(())
    }
}

impl Chain {
    /// Builds a chain from `stages`. Returns `None` unless they run each layer of `0..layers` once
    /// and in order, each on a different engine.
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

    /// The stage that receives the request.
    pub fn first(&self) -> &ChainStage {
        &self.stages[0]
    }
}

/// Requirements for a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainRequest<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Model of the service.
    pub model: &'a EngineModel,
    /// Availability zone of this instance.
    pub own_zone: &'a ZoneName,
    /// Tokens that the request will hold in every layer.
    pub tokens: u64,
    /// Engines that must not be used.
    pub excluded: &'a IndexSet<EndpointId>,
    /// If set, the request must start at one of these engines.
    pub first_among: Option<&'a IndexSet<EndpointId>>,
    /// If set, the request starts at this engine, which runs at least these layers.
    pub first: Option<&'a ChainStage>,
}

/// Finds the cheapest chain, or `None` if some layer has no usable engine.
///
/// A chain inside one availability zone, whichever zone it is, is preferred to any other: a request
/// and its events are small, whereas a prompt's activations take 21 KB per token and stage on the
/// shared link between two zones.
pub fn plan_chain(fleet: &Fleet, request: ChainRequest<'_>, now_ms: u64) -> Option<Chain> {
    let candidates = candidates(fleet, request, now_ms);
    let zones: IndexSet<&ZoneName> = candidates.iter().map(|it| &it.known.listed.zone).collect();
    let in_zones = zones.into_iter().filter_map(|zone| {
        let in_zone: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.known.listed.zone == *zone)
            .collect();
        cheapest_path(&in_zone, remaining_layers(request), request)
    });
    let in_one_zone = in_zones.min_by(|a, b| a.cost.total_cmp(&b.cost));
    let path = match in_one_zone {
        Some(path) => path,
        None if request.first.is_some() => return None,
        None => cheapest_path(
            &candidates.iter().collect::<Vec<_>>(),
            remaining_layers(request),
            request,
        )?,
    };
    let mut stages: Vec<ChainStage> = request.first.into_iter().cloned().collect();
    stages.extend(path.stages);
    Chain::checked(stages, request.model.layers)
}

/// Replaces one stage other than the first by engines of the first stage's zone. All other stages
/// stay, with the tokens that they hold in memory, even if they would not get new work. Returns
/// `None` if no usable engine outside the chain holds the layers of the lost stage.
pub fn replace_stage(
    fleet: &Fleet,
    request: ChainRequest<'_>,
    chain: &Chain,
    lost: &EndpointId,
    now_ms: u64,
) -> Option<Chain> {
    let at = chain.stages.iter().position(|it| it.endpoint == *lost)?;
    let in_chain = |id: &EndpointId| chain.stages.iter().any(|it| it.endpoint == *id);
    let request = ChainRequest {
        first: Some(chain.first()),
        ..request
    };
    let mut candidates = candidates(fleet, request, now_ms);
    candidates.retain(|candidate| !in_chain(&candidate.known.listed.id));
    let candidates: Vec<&Candidate<'_>> = candidates.iter().collect();
    let path = cheapest_path(&candidates, chain.stages[at].layers, request)?;
    let mut stages = chain.stages.clone();
    stages.splice(at..=at, path.stages);
    Chain::checked(stages, request.model.layers)
}

/// The first layer without a usable engine, for the log line of a request that got no chain.
pub fn first_gap(fleet: &Fleet, request: ChainRequest<'_>, now_ms: u64) -> Option<u16> {
    let candidates = candidates(fleet, request, now_ms);
    (0..request.model.layers).find(|layer| {
        let holds = |it: &Candidate<'_>| it.layers.first <= *layer && *layer < it.layers.end;
        !candidates.iter().any(holds)
    })
}

fn candidates<'a>(fleet: &'a Fleet, request: ChainRequest<'a>, now_ms: u64) -> Vec<Candidate<'a>> {
    let first = request.first.and_then(|first| fleet.get(&first.endpoint));
    let first_zone = first.map(|known| &known.listed.zone);
    fleet
        .of_service(request.service)
        .filter(|known| known.accepts_work() && !request.excluded.contains(&known.listed.id))
        // A chain that is already running stays in the zone of its first stage: the new stage
        // recomputes all tokens so far.
        .filter(|known| first_zone.is_none_or(|zone| known.listed.zone == *zone))
        .filter_map(|known| {
            Candidate::new(known, fleet.may_send(known.id(), now_ms), request, now_ms)
        })
        .collect()
}

/// An engine that may run some layers, with its cost.
struct Candidate<'a> {
    known: &'a KnownEndpoint,
    layers: LayerRange,
    ms_per_layer: f64,
    hop_cost_ms: f64,
    /// Additional cost of starting a request there.
    start_cost_ms: f64,
    /// Whether the engine's rate limit and back-off allow a request now.
    may_start: bool,
}

impl<'a> Candidate<'a> {
    fn new(
        known: &'a KnownEndpoint,
        may_start: bool,
        request: ChainRequest<'_>,
        now_ms: u64,
    ) -> Option<Self> {
        let layers = known.listed.layers.filter(|layers| !layers.is_empty())?;
        let kind = request.model.kinds.get(known.listed.kind.as_deref()?)?;
        let step_ms =
            request.model.step_ms * kind.step_factor / f64::from(request.model.layers.max(1));
        let fullness = memory_use(known, layers, request.model, kind.memory_mb, request.tokens);
        let slowness = known.health.slowness(now_ms);
        let crowding = slowness * (1.0 + FULL_MEMORY_FACTOR * fullness * fullness);
        let last_choice_ms = if known.is_retained() {
            UNLISTED_COST_MS
        } else if known.health.is_full(now_ms) {
            REJECTED_COST_MS
        } else if fullness > 1.0 {
            NO_ROOM_COST_MS
        } else {
            0.0
        };
        Some(Self {
            known,
            layers,
            ms_per_layer: step_ms * crowding,
            hop_cost_ms: HOP_COST_MS * crowding + last_choice_ms,
            start_cost_ms: start_cost_ms(known),
            may_start,
        })
    }
}

/// Cost of starting a request at an engine, from the fraction of its slots in use.
fn start_cost_ms(known: &KnownEndpoint) -> f64 {
    let taken = f64::from(known.requests()) + 1.0;
    let part = taken / f64::from(known.listed.slots.max(1));
    if part > 1.0 {
        NO_ROOM_COST_MS
    } else {
        FULL_SLOTS_COST_MS * part.powi(SLOT_USE_EXPONENT)
    }
}

/// Fraction of an engine's request memory that is in use once `tokens` more are held in all its
/// layers.
fn memory_use(
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
    let held = known.token_layers();
    (held as f64 + tokens as f64 * count) / room
}

struct Path {
    cost: f64,
    stages: Vec<ChainStage>,
}

/// The layers after the first stage, or all layers if the first stage is still open.
fn remaining_layers(request: ChainRequest<'_>) -> LayerRange {
    LayerRange {
        first: request.first.map_or(0, |first| first.layers.end),
        end: request.model.layers,
    }
}

/// Shortest path through a range of layers. Layer boundaries are visited in order, since every edge
/// leads to a higher one.
fn cheapest_path(
    candidates: &[&Candidate<'_>],
    span: LayerRange,
    request: ChainRequest<'_>,
) -> Option<Path> {
    let bounds = boundaries(candidates, span);
    let mut best: Vec<Option<PartialPath>> = vec![None; bounds.len()];
    best[0] = Some(PartialPath::default());
    for at in 0..bounds.len() {
        let Some(path) = best[at].clone() else {
            continue;
        };
        let is_start = path.candidates.is_empty() && request.first.is_none();
        for (index, candidate) in candidates.iter().enumerate() {
            if !can_follow(candidate, &path, index, bounds[at], request) {
                continue;
            }
            let first_ms = if is_start {
                candidate.start_cost_ms
            } else {
                0.0
            };
            let hop_ms = candidate.hop_cost_ms
                + first_ms
                + zone_cost_ms(candidate, &path, candidates, request);
            for to in at + 1..bounds.len() {
                if bounds[to] > candidate.layers.end {
                    break;
                }
                let layers = f64::from(bounds[to] - bounds[at]);
                let cost = path.cost + hop_ms + candidate.ms_per_layer * layers;
                if best[to].as_ref().is_none_or(|known| cost < known.cost) {
                    best[to] = Some(path.extended(index, bounds[to], cost));
                }
            }
        }
    }
    let complete = best.pop()??;
    Some(Path {
        cost: complete.cost,
        stages: complete.stages(candidates, span.first),
    })
}

fn can_follow(
    candidate: &Candidate<'_>,
    path: &PartialPath,
    index: usize,
    bound: u16,
    request: ChainRequest<'_>,
) -> bool {
    let id = &candidate.known.listed.id;
    let can_start = candidate.layers.first <= bound && bound < candidate.layers.end;
    let is_first = request.first.is_some_and(|first| first.endpoint == *id);
    let may_be_first = request.first_among.is_none_or(|among| among.contains(id));
    let cannot_start = bound == 0 && !(may_be_first && candidate.may_start);
    can_start && !is_first && !cannot_start && !path.candidates.contains(&index)
}

/// Cost of the link to an engine: from this instance for the first engine, otherwise from the
/// previous engine.
fn zone_cost_ms(
    candidate: &Candidate<'_>,
    path: &PartialPath,
    candidates: &[&Candidate<'_>],
    request: ChainRequest<'_>,
) -> f64 {
    let zone = &candidate.known.listed.zone;
    match path.candidates.last() {
        Some(last) if candidates[*last].known.listed.zone != *zone => CROSS_ZONE_HOP_COST_MS,
        None if request.first.is_none() && zone != request.own_zone => REMOTE_ZONE_COST_MS,
        _ => 0.0,
    }
}

/// The cheapest known path to a layer boundary: its engines, and the layer at which each one's
/// range ends.
#[derive(Clone, Debug, Default)]
struct PartialPath {
    cost: f64,
    candidates: Vec<usize>,
    ends: Vec<u16>,
}

impl PartialPath {
    fn extended(&self, candidate: usize, end: u16, cost: f64) -> Self {
        let mut next = self.clone();
        next.cost = cost;
        next.candidates.push(candidate);
        next.ends.push(end);
        next
    }

    fn stages(&self, candidates: &[&Candidate<'_>], start: u16) -> Vec<ChainStage> {
        let firsts = std::iter::once(start).chain(self.ends.iter().copied());
        let runs = self.candidates.iter().zip(firsts).zip(&self.ends);
        let stage = |((index, first), end): ((&usize, u16), &u16)| {
            let listed = &candidates[*index].known.listed;
            ChainStage {
                endpoint: listed.id.clone(),
                address: listed.address,
                layers: LayerRange { first, end: *end },
            }
        };
        runs.map(stage).collect()
    }
}

fn boundaries(candidates: &[&Candidate<'_>], span: LayerRange) -> Vec<u16> {
    let LayerRange { first: start, end } = span;
    let mut bounds: Vec<u16> = candidates
        .iter()
        .flat_map(|candidate| [candidate.layers.first, candidate.layers.end])
        .filter(|bound| *bound > start && *bound < end)
        .chain([start, end])
        .collect();
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}
