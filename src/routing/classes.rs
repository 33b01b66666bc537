//! Groups similar engines into classes and enumerates the kinds of chains they can form.

use indexmap::IndexMap;

use crate::document::ModelOffer;
use crate::wire::engine::LayerRange;

use super::endpoints::EndpointTable;
use super::graph::Graph;

/// Maximum number of kinds of chains; kinds with fewer stages come first.
const MAX_KINDS: usize = 2_048;
/// Maximum number of stages beyond those of the shortest kind.
const MAX_EXTRA_STAGES: usize = 3;
/// Maximum number of stages in a chain.
const MAX_STAGES: usize = 32;

/// Engines with the same layers, accelerator, zone, slots and batch limit, and with similar rates.
#[derive(Clone, Debug)]
pub(crate) struct EngineClass {
    pub(crate) layers: LayerRange,
    pub(crate) layer_tokens_per_s: f64,
    pub(crate) batch_limit: u32,
    /// Maximum number of concurrent streams on one engine.
    pub(crate) slots: u32,
    /// Indices in the endpoint table, ordered by endpoint id.
    pub(crate) engines: Vec<usize>,
}

/// A kind of chain: for each stage, the index of a class and the layers that it runs.
pub(crate) type ChainKind = Vec<(usize, LayerRange)>;

/// Groups the holders in the graph that accept work. The result depends only on what the engines
/// report, not on the order of lists, so that all entries compute the same classes.
pub(crate) fn group(
    table: &EndpointTable,
    graph: &Graph,
    model: &ModelOffer,
    now_ms: u64,
) -> Vec<EngineClass> {
    let mut holders: Vec<usize> = graph
        .segments
        .iter()
        .flat_map(|segment| segment.holders.iter().copied())
        .collect();
    holders.sort_by(|one, other| id(table, *one).cmp(&id(table, *other)));
    holders.dedup();
    let mut classes: IndexMap<(LayerRange, String, String, u32, u32, u64), EngineClass> =
        IndexMap::new();
    for engine in holders {
        let Some((_, endpoint)) = table.endpoints.get_index(engine) else {
            continue;
        };
        let Some(state) = endpoint
            .state
            .as_ref()
            .filter(|_| endpoint.accepts_work(now_ms))
        else {
            continue;
        };
        let layers = LayerRange {
            first: state.layers.first,
            end: state.layers.end.min(model.layers),
        };
        let key = (
            layers,
            state.accelerator.clone(),
            endpoint.zone.to_string(),
            state.slots(),
            state.batch_limit,
            rate_bucket(state.layer_tokens_per_s),
        );
        let class = classes.entry(key).or_insert_with(|| EngineClass {
            layers,
            layer_tokens_per_s: state.layer_tokens_per_s,
            batch_limit: state.batch_limit,
            slots: state.slots(),
            engines: Vec::new(),
        });
        class.engines.push(engine);
    }
    classes.sort_by(|one, _, other, _| one.cmp(other));
    classes.into_values().collect()
}

fn id(table: &EndpointTable, engine: usize) -> Option<&str> {
    table.endpoints.get_index(engine).map(|(id, _)| id.as_str())
}

/// Maps rates that differ by less than about 10 % to the same bucket in most cases.
fn rate_bucket(layer_tokens_per_s: f64) -> u64 {
    (layer_tokens_per_s.max(1.0).ln() * 10.0).round() as u64
}

/// Enumerates the kinds of chains that cover all layers, those with the fewest stages first. A
/// stage ends only where its class's layers end or where those of another class begin; no class is
/// used twice.
pub(crate) fn chain_kinds(classes: &[EngineClass], layers: u16) -> Vec<ChainKind> {
    let mut kinds = Vec::new();
    let mut shortest = None;
    for stages in 1..=MAX_STAGES.min(classes.len()) {
        let before = kinds.len();
        extend(classes, layers, stages, &mut Vec::new(), &mut kinds);
        if kinds.len() > before && shortest.is_none() {
            shortest = Some(stages);
        }
        let long_enough = shortest.is_some_and(|shortest| stages >= shortest + MAX_EXTRA_STAGES);
        if kinds.len() >= MAX_KINDS || long_enough {
            break;
        }
    }
    kinds
}

fn extend(
    classes: &[EngineClass],
    layers: u16,
    stages_left: usize,
    chain: &mut ChainKind,
    kinds: &mut Vec<ChainKind>,
) {
    let at = chain.last().map_or(0, |(_, run)| run.end);
    if at == layers && stages_left == 0 {
        kinds.push(chain.clone());
        return;
    }
    if stages_left == 0 || at == layers || kinds.len() >= MAX_KINDS {
        return;
    }
    for (number, class) in classes.iter().enumerate() {
        let holds = class.layers.first <= at && at < class.layers.end;
        if !holds || chain.iter().any(|(used, _)| *used == number) {
            continue;
        }
        for end in possible_ends(classes, class, at, chain) {
            chain.push((number, LayerRange { first: at, end }));
            extend(classes, layers, stages_left - 1, chain, kinds);
            chain.pop();
        }
    }
}

/// Returns the layers at which a run that starts at `at` may end.
fn possible_ends(
    classes: &[EngineClass],
    class: &EngineClass,
    at: u16,
    chain: &ChainKind,
) -> Vec<u16> {
    // A run may start inside its class's layers only where the previous class's layers end.
    let begins_inside = class.layers.first < at;
    let before_ended = chain
        .last()
        .is_none_or(|(number, run)| classes[*number].layers.end == run.end);
    if begins_inside && !before_ended {
        return Vec::new();
    }
    let mut ends: Vec<u16> = classes
        .iter()
        .map(|other| other.layers.first)
        .filter(|first| at < *first && *first < class.layers.end)
        .chain([class.layers.end])
        .collect();
    ends.sort_unstable();
    ends.dedup();
    ends
}
