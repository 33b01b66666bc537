//! Chains for streams that lost a stage: living stages stay, lost ones are replaced.
//!
//! A stage that stays and has no recomputing stage behind it keeps its KV state. A stage in the
//! place of an engine that leaves but still answers imports the state from it. Otherwise every
//! stage up to the last replaced one must recompute, since it feeds that one.

use crate::document::ModelOffer;
use crate::ids::EndpointId;
use crate::wire::engine::{LayerRange, Stage};

use super::chain::{Run, Step, search};
use super::endpoints::{Endpoint, EndpointTable};
use super::graph::Graph;
use super::router::RouteRequest;

/// Tokens over which the gaps of two chains are compared with the cost of recomputing.
const HORIZON_TOKENS: f64 = 64.0;
/// Cost of recomputing a position against generating a token.
const RECOMPUTE_COST: f64 = 0.125;

/// Stages of the last chain that can stay.
pub(crate) fn kept_stages<'a>(
    table: &EndpointTable,
    ask: &RouteRequest<'a>,
    now_ms: u64,
) -> Vec<&'a Stage> {
    let stays = |stage: &&Stage| {
        let endpoint = table.all.get(&stage.endpoint);
        endpoint.is_some_and(|endpoint| {
            endpoint.address == stage.address
                && endpoint.takes_work(now_ms)
                && holds(endpoint, ask.model, ask.adapter, stage.layers)
        }) && !ask.exclude.contains(&stage.endpoint)
    };
    ask.previous.iter().filter(stays).collect()
}

fn holds(
    endpoint: &Endpoint,
    model: &ModelOffer,
    adapter: Option<&str>,
    layers: LayerRange,
) -> bool {
    endpoint.state.as_ref().is_some_and(|state| {
        state.model == model.name
            && state.version == model.version
            && adapter.is_none_or(|name| state.adapters.iter().any(|held| held == name))
            && state.layers.covers(layers)
    })
}

/// Replaces only the lost stages. `rank` is as in [`search`]; it is asked about replacements only.
pub(crate) fn replace_lost<F>(
    table: &EndpointTable,
    ask: &RouteRequest<'_>,
    kept: &[&Stage],
    mut rank: F,
) -> Option<Vec<Run>>
where
    F: FnMut(Step) -> Option<f64>,
{
    let bounds = ask
        .previous
        .iter()
        .flat_map(|stage| [stage.layers.first, stage.layers.end]);
    let cuts: Vec<u16> = bounds.collect();
    let graph = Graph::build(table, ask.service, ask.model, ask.adapter, &cuts);
    search(&graph, |step| {
        let (id, _) = table.all.get_index(step.engine)?;
        let layers = graph.segments[step.segment].layers;
        let keeper = kept.iter().find(|stage| stage.layers.covers(layers));
        let is_kept = kept.iter().any(|stage| stage.endpoint == *id);
        match keeper {
            Some(stage) => (stage.endpoint == *id).then_some(0.0),
            None if is_kept => None,
            None if step.same_engine => Some(f64::NEG_INFINITY),
            None => rank(step),
        }
    })
}

/// Decides which stages recompute and which import; `stages` say all recompute.
pub(crate) fn mark(table: &EndpointTable, ask: &RouteRequest<'_>, stages: &mut [Stage]) {
    let kept: Vec<bool> = stages.iter().map(|stage| is_kept(ask, stage)).collect();
    let sources: Vec<_> = stages
        .iter()
        .map(|stage| source(table, ask, stage))
        .collect();
    let last_recomputed = kept
        .iter()
        .zip(&sources)
        .rposition(|(kept, source)| !kept && source.is_none());
    for (index, stage) in stages.iter_mut().enumerate() {
        stage.recompute = last_recomputed.is_some_and(|last| index <= last);
        stage.import_from = match (stage.recompute, kept[index]) {
            (false, false) => sources[index],
            _ => None,
        };
    }
}

fn is_kept(ask: &RouteRequest<'_>, stage: &Stage) -> bool {
    ask.previous.iter().any(|before| {
        before.endpoint == stage.endpoint
            && before.address == stage.address
            && before.layers.covers(stage.layers)
    })
}

/// An engine of the last chain that leaves but can still hand over the stage's KV state.
fn source(
    table: &EndpointTable,
    ask: &RouteRequest<'_>,
    stage: &Stage,
) -> Option<std::net::SocketAddr> {
    let before = ask
        .previous
        .iter()
        .find(|before| before.layers.covers(stage.layers))?;
    let endpoint = table.all.get(&before.endpoint)?;
    (endpoint.address == before.address && endpoint.can_export()).then_some(before.address)
}

/// What a chain costs: recomputing, then the gaps of the tokens to come, in milliseconds.
pub(crate) fn cost_ms(stages: &[Stage], stage_ms: &[f64], positions: u32) -> f64 {
    let gap_ms: f64 = stage_ms.iter().sum();
    let recomputed_ms: f64 = stages
        .iter()
        .zip(stage_ms)
        .filter(|(stage, _)| stage.recompute)
        .map(|(_, ms)| ms * f64::from(positions) * RECOMPUTE_COST)
        .sum();
    recomputed_ms + gap_ms * HORIZON_TOKENS
}

/// Whether an engine must not be used for this ask.
pub(crate) fn is_excluded(ask: &RouteRequest<'_>, id: &EndpointId) -> bool {
    !ask.exclude.is_empty() && ask.exclude.contains(id)
}
