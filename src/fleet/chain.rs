//! Chains: engines that together run every layer of a model once and in order.
//!
//! The cheapest chain is a shortest path over layer boundaries ([`super::chain_path`]). An edge is a
//! range of layers run by one engine; [`super::chain_cost`] says what it costs. Instances whose
//! figures are equally old do not all choose the cheapest chain: costs are raised by a random part,
//! and replacements of a lost stage are shared out by [`super::replacement`].

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::Fleet;
use super::chain_cost::{Candidate, nth_random};
use super::chain_path::cheapest_path;
use super::replacement::{displaced_token_layers, share_out};
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::route_table::EngineModel;
use crate::wire::engine::LayerRange;

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

    /// Number of engines, one for each stage.
    pub(crate) fn engines(&self) -> u32 {
        u32::try_from(self.stages.len()).unwrap_or(u32::MAX)
    }

    /// Number of engines up to and including one of them; `None` if it is not in the chain.
    pub(crate) fn engines_until(&self, last: &EndpointId) -> Option<u32> {
        let position = self.stages.iter().position(|it| it.endpoint == *last)?;
        u32::try_from(position + 1).ok()
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
    /// Random number that decides among chains of nearly equal cost; `None` takes the cheapest.
    pub draw: Option<u64>,
}

/// Availability zones whose engines may join a running chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Zones {
    /// That of the first engine. A new stage reads all tokens so far, and their activations would occupy the link
    /// between two zones.
    OfFirst,
    /// All zones.
    All,
}

/// Finds the cheapest chain or, with a draw, one of nearly the same cost. Returns `None` if some layer has
/// no usable engine.
///
/// A chain inside one availability zone, whichever zone it is, is preferred to any other: a request
/// and its events are small, whereas a prompt's activations take 21 KB per token and stage on the
/// shared link between two zones.
pub fn plan_chain(fleet: &Fleet, request: ChainRequest<'_>, now_ms: u64) -> Option<Chain> {
    let candidates = candidates(fleet, request, Zones::OfFirst, now_ms);
    let zones: IndexSet<&ZoneName> = candidates.iter().map(|it| &it.known.listed.zone).collect();
    let in_zones = zones.into_iter().filter_map(|zone| {
        let in_zone: Vec<&Candidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.known.listed.zone == *zone)
            .collect();
        cheapest_path(&in_zone, remaining_layers(request), request)
    });
    let in_one_zone = in_zones.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
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

/// Replaces one stage other than the first. All other stages stay, with the tokens that they hold in memory,
/// even if they would not get new work. Returns `None` if no usable engine of `zones` outside the chain holds
/// the layers of the lost stage.
///
/// All streams of the lost engine choose at the same moment, and none knows yet what the others take.
/// Where one engine can run the stage, it is therefore drawn from all that the displaced streams
/// should be shared out to.
pub fn replace_stage(
    fleet: &Fleet,
    request: ChainRequest<'_>,
    chain: &Chain,
    lost: &EndpointId,
    zones: Zones,
    now_ms: u64,
) -> Option<Chain> {
    let at = chain.stages.iter().position(|it| it.endpoint == *lost)?;
    let request = ChainRequest {
        first: Some(chain.first()),
        ..request
    };
    let layers = chain.stages[at].layers;
    let candidates = replacements(fleet, request, zones, chain, now_ms);
    let replacing = replacement_stages(fleet, request, layers, &candidates)?;
    let mut stages = chain.stages.clone();
    stages.splice(at..=at, replacing);
    Chain::checked(stages, request.model.layers)
}

/// Engines outside a chain that may replace one of its stages.
fn replacements<'a>(
    fleet: &'a Fleet,
    request: ChainRequest<'a>,
    zones: Zones,
    chain: &Chain,
    now_ms: u64,
) -> Vec<Candidate<'a>> {
    let in_chain = |id: &EndpointId| chain.stages.iter().any(|it| it.endpoint == *id);
    let mut candidates = candidates(fleet, request, zones, now_ms);
    candidates.retain(|candidate| !in_chain(&candidate.known.listed.id));
    for candidate in &mut candidates {
        candidate.add_reading(request);
    }
    candidates
}

/// The stages that replace a lost one.
fn replacement_stages(
    fleet: &Fleet,
    request: ChainRequest<'_>,
    layers: LayerRange,
    candidates: &[Candidate<'_>],
) -> Option<Vec<ChainStage>> {
    let candidates: Vec<&Candidate<'_>> = candidates.iter().collect();
    let path = cheapest_path(&candidates, layers, request)?;
    let draw = request.draw.filter(|_| path.stages.len() == 1);
    let drawn = draw.and_then(|draw| {
        let displaced = displaced_token_layers(fleet, request, layers);
        share_out(&candidates, layers, request, displaced, draw)
    });
    Some(drawn.map_or(path.stages, |stage| vec![stage]))
}

/// The first layer without a usable engine, for the log line of a request that got no chain.
pub fn first_gap(fleet: &Fleet, request: ChainRequest<'_>, now_ms: u64) -> Option<u16> {
    let candidates = candidates(fleet, request, Zones::OfFirst, now_ms);
    (0..request.model.layers).find(|layer| {
        let holds = |it: &Candidate<'_>| it.layers.first <= *layer && *layer < it.layers.end;
        !candidates.iter().any(holds)
    })
}

fn candidates<'a>(
    fleet: &'a Fleet,
    request: ChainRequest<'a>,
    zones: Zones,
    now_ms: u64,
) -> Vec<Candidate<'a>> {
    let first = request.first.filter(|_| zones == Zones::OfFirst);
    let first = first.and_then(|first| fleet.get(&first.endpoint));
    let first_zone = first.map(|known| &known.listed.zone);
    let mut candidates: Vec<Candidate<'_>> = fleet
        .of_service(request.service)
        .filter(|known| known.accepts_work() && !request.excluded.contains(&known.listed.id))
        .filter(|known| first_zone.is_none_or(|zone| known.listed.zone == *zone))
        .filter_map(|known| {
            Candidate::new(known, fleet.may_send(known.id(), now_ms), request, now_ms)
        })
        .collect();
    if let Some(draw) = request.draw {
        for (candidate, index) in candidates.iter_mut().zip(0..) {
            candidate.raise_cost(nth_random(draw, index));
        }
    }
    candidates
}

/// The layers after the first stage, or all layers if the first stage is still open.
fn remaining_layers(request: ChainRequest<'_>) -> LayerRange {
    LayerRange {
        first: request.first.map_or(0, |first| first.layers.end),
        end: request.model.layers,
    }
}
