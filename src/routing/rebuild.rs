//! Chains for streams that lost a stage: remaining stages are kept and lost ones are replaced.
//!
//! A kept stage retains its KV state if no stage after it recomputes. A stage that replaces an
//! engine that is leaving but still reachable imports the state from it. Otherwise every stage up
//! to the last replaced one must recompute, because it feeds that one.

use crate::document::ModelOffer;
use crate::ids::EndpointId;
use crate::wire::engine::{LayerRange, Stage};

use super::chain::{LayerRun, Step, search};
use super::endpoints::{Endpoint, EndpointTable};
use super::graph::Graph;
use super::router::RouteRequest;

/// Number of future tokens over which the inter-token gaps of two chains are weighed against the
/// cost of recomputing.
const HORIZON_TOKENS: f64 = 64.0;
/// Cost of recomputing one position relative to generating one token.
const RECOMPUTE_COST: f64 = 0.125;

/// Returns the stages of the previous chain that can be kept.
pub(crate) fn kept_stages<'a>(
    table: &EndpointTable,
    request: &RouteRequest<'a>,
    now_ms: u64,
) -> Vec<&'a Stage> {
    let stays = |stage: &&Stage| {
        let endpoint = table.endpoints.get(&stage.endpoint);
        endpoint.is_some_and(|endpoint| {
            endpoint.address == stage.address
                && endpoint.accepts_work(now_ms)
                && holds(endpoint, request.model, request.adapter, stage.layers)
        }) && !request.exclude.contains(&stage.endpoint)
    };
    request.previous.iter().filter(stays).collect()
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

/// Replaces only the lost stages. `rank` is the same as for [`search`], but it is called only for
/// replacements.
pub(crate) fn replace_lost<F>(
    table: &EndpointTable,
    request: &RouteRequest<'_>,
    kept: &[&Stage],
    mut rank: F,
) -> Option<Vec<LayerRun>>
where
    F: FnMut(Step) -> Option<f64>,
{
    let bounds = request
        .previous
        .iter()
        .flat_map(|stage| [stage.layers.first, stage.layers.end]);
    let cuts: Vec<u16> = bounds.collect();
    let graph = Graph::build(
        table,
        request.service,
        request.model,
        request.adapter,
        &cuts,
    );
    search(&graph, |step| {
        let (id, _) = table.endpoints.get_index(step.engine)?;
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

/// Decides which stages recompute and which import. On entry, all of `stages` are marked to
/// recompute.
pub(crate) fn mark_recomputed(
    table: &EndpointTable,
    request: &RouteRequest<'_>,
    stages: &mut [Stage],
) {
    let kept: Vec<bool> = stages.iter().map(|stage| is_kept(request, stage)).collect();
    let sources: Vec<_> = stages
        .iter()
        .map(|stage| import_source(table, request, stage))
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

fn is_kept(request: &RouteRequest<'_>, stage: &Stage) -> bool {
    request.previous.iter().any(|before| {
        before.endpoint == stage.endpoint
            && before.address == stage.address
            && before.layers.covers(stage.layers)
    })
}

/// Returns the address of an engine of the previous chain that is leaving but can still export the
/// KV state of the stage.
fn import_source(
    table: &EndpointTable,
    request: &RouteRequest<'_>,
    stage: &Stage,
) -> Option<std::net::SocketAddr> {
    let before = request
        .previous
        .iter()
        .find(|before| before.layers.covers(stage.layers))?;
    let endpoint = table.endpoints.get(&before.endpoint)?;
    (endpoint.address == before.address && endpoint.can_export()).then_some(before.address)
}

/// Cost of a chain in milliseconds: recomputation plus the inter-token gaps of future tokens.
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

/// Whether the request excludes an engine.
pub(crate) fn is_excluded(request: &RouteRequest<'_>, id: &EndpointId) -> bool {
    !request.exclude.is_empty() && request.exclude.contains(id)
}
