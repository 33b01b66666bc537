//! Chains: engines that together run every layer of a model once and in order.
//!
//! The cheapest chain is a shortest path over layer boundaries. An edge is a run of layers at one
//! engine; it costs the engine's time for those layers, more the fuller its memory is, and a fixed
//! part for the hop. The first engine costs more the more of its slots are taken.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::{Fleet, KnownEndpoint};
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

/// Cost of a hop, in milliseconds a token: an engine's pass and the link, both of the order of a
/// millisecond. Keeps chains short.
const HOP_COST_MS: f64 = 1.0;
/// Cost of a hop between engines of two availability zones. Far above the link's delay:
/// activations of a usual prompt take 14 ms of the link that everybody shares.
const CROSS_ZONE_HOP_COST_MS: f64 = 30.0;
/// Cost of a chain in another availability zone than this instance's: the delay of requests and
/// events, and some more so that zones keep to themselves while they are about equally busy.
const REMOTE_ZONE_COST_MS: f64 = 12.0;
/// Factor on an engine's cost when its memory would be full; quadratic below, so that chains
/// spread before anything is full.
const FULL_MEMORY_FACTOR: f64 = 12.0;
/// Cost of an engine whose memory cannot take the request by what is known of it here. That is an
/// estimate from above: answers count at their expected length from the start.
const NO_ROOM_COST_MS: f64 = 1_000.0;
/// Cost of a first engine whose slots would all be taken: what comes then waits in its queue. More than
/// slower engines cost that run the same layers, up to 20 ms.
const FULL_SLOTS_COST_MS: f64 = 40.0;
/// How that cost rises with the part of the slots that is taken: by the fourth power, so that half of
/// them cost 2.5 ms and a faster engine is still preferred. Its memory may be hardly used:
/// without this cost nearly all streams of a large fleet would begin at one engine a zone, and wait there.
const SLOT_USE_EXPONENT: i32 = 4;
/// Cost of an engine that turned a request away just now: it goes before no estimate.
const REJECTED_COST_MS: f64 = 10_000.0;
/// The same for one whose entry is only held: if it is leaving it may not be sent requests any more, and if
/// it has ended they fail. It is used where nothing else holds its layers, so that an outage of the
/// store ends no service.
const UNLISTED_COST_MS: f64 = 100_000.0;

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
}

/// What a chain is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct ChainRequest<'a> {
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
///
/// Chains inside one availability zone go before all others, whichever zone it is: a request and
/// its events are small, while the activations of a prompt take 21 KB a token and stage, and
/// everybody shares the link between two zones.
pub fn plan_chain(fleet: &Fleet, ask: ChainRequest<'_>, now_ms: u64) -> Option<Chain> {
    let holders = candidates(fleet, ask, now_ms);
    let zones: IndexSet<&ZoneName> = holders.iter().map(|it| &it.known.listed.zone).collect();
    let in_zones = zones.into_iter().filter_map(|zone| {
        let of_zone: Vec<&Candidate<'_>> = holders
            .iter()
            .filter(|holder| holder.known.listed.zone == *zone)
            .collect();
        cheapest_path(&of_zone, remaining_layers(ask), ask)
    });
    let in_one_zone = in_zones.min_by(|a, b| a.cost.total_cmp(&b.cost));
    let path = match in_one_zone {
        Some(path) => path,
        None if ask.first.is_some() => return None,
        None => cheapest_path(
            &holders.iter().collect::<Vec<_>>(),
            remaining_layers(ask),
            ask,
        )?,
    };
    let mut stages: Vec<ChainStage> = ask.first.into_iter().cloned().collect();
    stages.extend(path.stages);
    Chain::checked(stages, ask.model.layers)
}

/// Replaces one stage behind the first by engines of the first one's zone; every other stage stays,
/// with the tokens that it has in memory, also where it would not get new work. `None` where no
/// usable engine outside the chain holds the stage's layers.
pub fn replace_stage(
    fleet: &Fleet,
    ask: ChainRequest<'_>,
    chain: &Chain,
    lost: &EndpointId,
    now_ms: u64,
) -> Option<Chain> {
    let at = chain.stages.iter().position(|it| it.endpoint == *lost)?;
    let in_chain = |id: &EndpointId| chain.stages.iter().any(|it| it.endpoint == *id);
    let ask = ChainRequest {
        first: Some(chain.first()),
        ..ask
    };
    let mut holders = candidates(fleet, ask, now_ms);
    holders.retain(|holder| !in_chain(&holder.known.listed.id));
    let holders: Vec<&Candidate<'_>> = holders.iter().collect();
    let path = cheapest_path(&holders, chain.stages[at].layers, ask)?;
    let mut stages = chain.stages.clone();
    stages.splice(at..=at, path.stages);
    Chain::checked(stages, ask.model.layers)
}

/// The first layer that no usable engine holds, for the log of a request that got no chain.
pub fn first_gap(fleet: &Fleet, ask: ChainRequest<'_>, now_ms: u64) -> Option<u16> {
    let holders = candidates(fleet, ask, now_ms);
    (0..ask.model.layers).find(|layer| {
        let holds = |it: &Candidate<'_>| it.layers.first <= *layer && *layer < it.layers.end;
        !holders.iter().any(holds)
    })
}

fn candidates<'a>(fleet: &'a Fleet, ask: ChainRequest<'a>, now_ms: u64) -> Vec<Candidate<'a>> {
    let first = ask.first.and_then(|first| fleet.get(&first.endpoint));
    let first_zone = first.map(|known| &known.listed.zone);
    fleet
        .of_service(ask.service)
        .filter(|known| known.accepts_work() && !ask.excluded.contains(&known.listed.id))
        // The stages behind a running first one stay in its zone: all tokens so far are read again.
        .filter(|known| first_zone.is_none_or(|zone| known.listed.zone == *zone))
        .filter_map(|known| Candidate::new(known, fleet.may_send(known.id(), now_ms), ask, now_ms))
        .collect()
}

/// An engine that may run some layers, with its cost.
struct Candidate<'a> {
    known: &'a KnownEndpoint,
    layers: LayerRange,
    ms_per_layer: f64,
    hop_cost_ms: f64,
    /// What it costs beside that to begin there.
    start_cost_ms: f64,
    /// Whether a request may begin there now, as far as the engine's own word goes.
    may_start: bool,
}

impl<'a> Candidate<'a> {
    fn new(
        known: &'a KnownEndpoint,
        may_start: bool,
        ask: ChainRequest<'_>,
        now_ms: u64,
    ) -> Option<Self> {
        let layers = known.listed.layers.filter(|layers| !layers.is_empty())?;
        let kind = ask.model.kinds.get(known.listed.kind.as_deref()?)?;
        let step_ms = ask.model.step_ms * kind.step_factor / f64::from(ask.model.layers.max(1));
        let fullness = memory_use(known, layers, ask.model, kind.memory_mb, ask.tokens);
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

/// What it costs to begin at an engine, by its slots.
fn start_cost_ms(known: &KnownEndpoint) -> f64 {
    let taken = f64::from(known.requests()) + 1.0;
    let part = taken / f64::from(known.listed.slots.max(1));
    if part > 1.0 {
        NO_ROOM_COST_MS
    } else {
        FULL_SLOTS_COST_MS * part.powi(SLOT_USE_EXPONENT)
    }
}

/// Part of an engine's memory for requests that is in use once `tokens` more are held in all its
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

/// A path and its cost.
struct Path {
    cost: f64,
    stages: Vec<ChainStage>,
}

/// The layers behind the first stage, or all where it is still open.
fn remaining_layers(ask: ChainRequest<'_>) -> LayerRange {
    LayerRange {
        first: ask.first.map_or(0, |first| first.layers.end),
        end: ask.model.layers,
    }
}

/// Shortest path through a range of layers. Layer boundaries are visited in order, since every edge
/// leads to a higher one.
fn cheapest_path(
    holders: &[&Candidate<'_>],
    span: LayerRange,
    ask: ChainRequest<'_>,
) -> Option<Path> {
    let bounds = boundaries(holders, span);
    let mut best: Vec<Option<PartialPath>> = vec![None; bounds.len()];
    best[0] = Some(PartialPath::default());
    for at in 0..bounds.len() {
        let Some(here) = best[at].clone() else {
            continue;
        };
        let is_begin = here.candidates.is_empty() && ask.first.is_none();
        for (index, holder) in holders.iter().enumerate() {
            if !can_follow(holder, &here, index, bounds[at], ask) {
                continue;
            }
            let first_ms = if is_begin { holder.start_cost_ms } else { 0.0 };
            let hop_ms = holder.hop_cost_ms + first_ms + zone_cost_ms(holder, &here, holders, ask);
            for to in at + 1..bounds.len() {
                if bounds[to] > holder.layers.end {
                    break;
                }
                let layers = f64::from(bounds[to] - bounds[at]);
                let cost = here.cost + hop_ms + holder.ms_per_layer * layers;
                if best[to].as_ref().is_none_or(|known| cost < known.cost) {
                    best[to] = Some(here.extended(index, bounds[to], cost));
                }
            }
        }
    }
    let arrival = best.pop()??;
    Some(Path {
        cost: arrival.cost,
        stages: arrival.stages(holders, span.first),
    })
}

fn can_follow(
    holder: &Candidate<'_>,
    here: &PartialPath,
    index: usize,
    bound: u16,
    ask: ChainRequest<'_>,
) -> bool {
    let id = &holder.known.listed.id;
    let can_start = holder.layers.first <= bound && bound < holder.layers.end;
    let is_first = ask.first.is_some_and(|first| first.endpoint == *id);
    let is_among = ask.first_among.is_none_or(|among| among.contains(id));
    let is_barred = bound == 0 && !(is_among && holder.may_start);
    can_start && !is_first && !is_barred && !here.candidates.contains(&index)
}

/// Cost of the link to an engine: from this instance for the first, from the last engine else.
fn zone_cost_ms(
    holder: &Candidate<'_>,
    here: &PartialPath,
    holders: &[&Candidate<'_>],
    ask: ChainRequest<'_>,
) -> f64 {
    let zone = &holder.known.listed.zone;
    match here.candidates.last() {
        Some(last) if holders[*last].known.listed.zone != *zone => CROSS_ZONE_HOP_COST_MS,
        None if ask.first.is_none() && zone != ask.own_zone => REMOTE_ZONE_COST_MS,
        _ => 0.0,
    }
}

/// The cheapest known way to a boundary: engines and where each one's run ends.
#[derive(Clone, Debug, Default)]
struct PartialPath {
    cost: f64,
    candidates: Vec<usize>,
    ends: Vec<u16>,
}

impl PartialPath {
    fn extended(&self, holder: usize, end: u16, cost: f64) -> Self {
        let mut next = self.clone();
        next.cost = cost;
        next.candidates.push(holder);
        next.ends.push(end);
        next
    }

    fn stages(&self, holders: &[&Candidate<'_>], start: u16) -> Vec<ChainStage> {
        let firsts = std::iter::once(start).chain(self.ends.iter().copied());
        let runs = self.candidates.iter().zip(firsts).zip(&self.ends);
        let stage = |((index, first), end): ((&usize, u16), &u16)| {
            let listed = &holders[*index].known.listed;
            ChainStage {
                endpoint: listed.id.clone(),
                address: listed.address,
                layers: LayerRange { first, end: *end },
            }
        };
        runs.map(stage).collect()
    }
}

fn boundaries(holders: &[&Candidate<'_>], span: LayerRange) -> Vec<u16> {
    let LayerRange { first: start, end } = span;
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
