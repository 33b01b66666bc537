//! Reduces the engines of one model to a smaller flow network.
//!
//! Engines that hold the same layers are interchangeable if none of their links limits them: a flow
//! through all of them can be split in proportion to their rates. Such engines form one node. An
//! engine with a limiting link is a node of its own.

use indexmap::IndexMap;

use super::endpoints::EndpointTable;
use super::flow::Network;
use super::graph::Graph;
use super::links::LinkTable;

/// Returns the maximum number of tokens per second that the engines of the graph could generate.
pub(crate) fn tokens_per_s(
    table: &EndpointTable,
    graph: &Graph,
    links: &LinkTable,
    now_ms: u64,
) -> f64 {
    super::flow::solve(&network(table, graph, links, now_ms))
}

/// Identifies a node: the first and last segment held, and the engine itself if one of its links is
/// limiting.
type NodeKey = (usize, usize, Option<usize>);

fn network(table: &EndpointTable, graph: &Graph, links: &LinkTable, now_ms: u64) -> Network {
    let rates: Vec<f64> = table
        .endpoints
        .values()
        .map(|endpoint| match &endpoint.state {
            Some(state) if endpoint.accepts_work(now_ms) => state.layer_tokens_per_s.max(0.0),
            _ => 0.0,
        })
        .collect();
    let limiting = engines_with_limiting_links(graph, &rates, links);
    let mut nodes: IndexMap<NodeKey, Vec<usize>> = IndexMap::new();
    for (engine, rate) in rates.iter().enumerate() {
        let held = graph
            .segments
            .iter()
            .map(|segment| segment.holders.contains(&engine));
        let held: Vec<bool> = held.collect();
        let Some(first) = held.iter().position(|held| *held).filter(|_| *rate > 0.0) else {
            continue;
        };
        let last = held.iter().rposition(|held| *held).unwrap_or(first);
        let key = (first, last, limiting[engine].then_some(engine));
        nodes.entry(key).or_default().push(engine);
    }
    let holders: Vec<Vec<usize>> = (0..graph.segments.len())
        .map(|segment| {
            let holds = |(first, last, _): &NodeKey| (*first..=*last).contains(&segment);
            (0..nodes.len())
                .filter(|node| nodes.get_index(*node).is_some_and(|(key, _)| holds(key)))
                .collect()
        })
        .collect();
    let members = |node: usize| nodes.get_index(node).map(|(_, engines)| engines.as_slice());
    let link = |from: usize, to: usize| {
        if from == to {
            return f64::INFINITY;
        }
        let (from, to) = (members(from).unwrap_or(&[]), members(to).unwrap_or(&[]));
        let pairs = from
            .iter()
            .flat_map(|one| to.iter().map(move |other| (*one, *other)));
        pairs
            .map(|(one, other)| links.tokens_per_s(one, other))
            .sum()
    };
    Network {
        segment_layers: graph
            .segments
            .iter()
            .map(|segment| f64::from(segment.layers.len()))
            .collect(),
        links: holders
            .windows(2)
            .map(|pair| {
                let rows = pair[0].iter();
                rows.flat_map(|from| pair[1].iter().map(|to| link(*from, *to)))
                    .collect()
            })
            .collect(),
        rates: nodes
            .values()
            .map(|engines| engines.iter().map(|engine| rates[*engine]).sum())
            .collect(),
        holders,
    }
}

/// For each engine, whether it has a link that carries less than both of its ends could process.
fn engines_with_limiting_links(graph: &Graph, rates: &[f64], links: &LinkTable) -> Vec<bool> {
    let mut limiting = vec![false; rates.len()];
    for pair in graph.segments.windows(2) {
        for from in &pair[0].holders {
            for to in &pair[1].holders {
                // A segment has at least one layer, so neither end can process more tokens than
                // this.
                let max_rate = rates[*from].min(rates[*to]);
                let needed = max_rate / f64::from(pair[0].layers.len().min(pair[1].layers.len()));
                if from != to && links.tokens_per_s(*from, *to) < needed {
                    limiting[*from] = true;
                    limiting[*to] = true;
                }
            }
        }
    }
    limiting
}
