//! Engines that are alike, and the kinds of chains that can be made of them.

use indexmap::IndexMap;

use crate::document::ModelOffer;
use crate::wire::engine::LayerRange;

use super::endpoints::EndpointTable;
use super::graph::Graph;

/// Kinds of chains looked at; those of fewer stages come first.
const MOST_KINDS: usize = 2_048;
/// Stages of the longest kind beyond the shortest one.
const MORE_STAGES: usize = 3;
/// Chains of up to this many stages are looked for.
const MOST_STAGES: usize = 32;

/// Engines with the same layers, rate, batch and place.
#[derive(Clone, Debug)]
pub(crate) struct Class {
    pub(crate) layers: LayerRange,
    pub(crate) layer_tokens_per_s: f64,
    pub(crate) batch_limit: u32,
    /// Streams that one engine holds at once.
    pub(crate) slots: u32,
    /// Indices in the endpoint table, in the order of their ids.
    pub(crate) engines: Vec<usize>,
}

/// A kind of chain: for each stage a class and the layers it runs.
pub(crate) type ChainKind = Vec<(usize, LayerRange)>;

/// Groups the holders of the graph that take work. The result depends on what engines say of
/// themselves only, not on the order of lists, so that all entries come to the same.
pub(crate) fn group(
    table: &EndpointTable,
    graph: &Graph,
    model: &ModelOffer,
    now_ms: u64,
) -> Vec<Class> {
    let mut holders: Vec<usize> = graph
        .segments
        .iter()
        .flat_map(|segment| segment.holders.iter().copied())
        .collect();
    holders.sort_by(|one, other| id(table, *one).cmp(&id(table, *other)));
    holders.dedup();
    let mut classes: IndexMap<(LayerRange, String, String, u32, u32, u64), Class> = IndexMap::new();
    for engine in holders {
        let Some((_, endpoint)) = table.all.get_index(engine) else {
            continue;
        };
        let Some(state) = endpoint
            .state
            .as_ref()
            .filter(|_| endpoint.takes_work(now_ms))
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
            rate_step(state.layer_tokens_per_s),
        );
        let class = classes.entry(key).or_insert_with(|| Class {
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
    table.all.get_index(engine).map(|(id, _)| id.as_str())
}

/// Rates within about a tenth of one another fall into one step, mostly.
fn rate_step(layer_tokens_per_s: f64) -> u64 {
    (layer_tokens_per_s.max(1.0).ln() * 10.0).round() as u64
}

/// Kinds of chains that cover all layers, fewest stages first. A stage is left only where its
/// layers end or where those of the next begin; no class is used twice.
pub(crate) fn chain_kinds(classes: &[Class], layers: u16) -> Vec<ChainKind> {
    let mut kinds = Vec::new();
    let mut shortest = None;
    for stages in 1..=MOST_STAGES.min(classes.len()) {
        let before = kinds.len();
        extend(classes, layers, stages, &mut Vec::new(), &mut kinds);
        if kinds.len() > before && shortest.is_none() {
            shortest = Some(stages);
        }
        let long_enough = shortest.is_some_and(|shortest| stages >= shortest + MORE_STAGES);
        if kinds.len() >= MOST_KINDS || long_enough {
            break;
        }
    }
    kinds
}

fn extend(
    classes: &[Class],
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
    if stages_left == 0 || at == layers || kinds.len() >= MOST_KINDS {
        return;
    }
    for (number, class) in classes.iter().enumerate() {
        let holds = class.layers.first <= at && at < class.layers.end;
        if !holds || chain.iter().any(|(used, _)| *used == number) {
            continue;
        }
        for end in ends(classes, class, at, chain) {
            chain.push((number, LayerRange { first: at, end }));
            extend(classes, layers, stages_left - 1, chain, kinds);
            chain.pop();
        }
    }
}

/// Layers at which a run from `at` may end.
fn ends(classes: &[Class], class: &Class, at: u16, chain: &ChainKind) -> Vec<u16> {
    // A run that begins inside its class's layers must be there because the run before had to end.
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
