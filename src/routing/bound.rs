//! The network of one model's engines, made small.
//!
//! Engines that hold the same layers are interchangeable if no link to or from them can hold them
//! up: a flow through all of them together can be spread over them in proportion to their rates.
//! They are one node. An engine with a scarce link is a node by itself.

use indexmap::IndexMap;

use super::endpoints::EndpointTable;
use super::flow::Network;
use super::graph::Graph;
use super::links::LinkTable;

/// Most tokens a second that the engines of the graph could generate.
pub(crate) fn tokens_per_s(
    table: &EndpointTable,
    graph: &Graph,
    links: &LinkTable,
    now_ms: u64,
) -> f64 {
    super::flow::solve(&network(table, graph, links, now_ms))
}

/// What tells nodes apart: the segments held, and the engine itself if a link of it is scarce.
type NodeKey = (usize, usize, Option<usize>);

fn network(table: &EndpointTable, graph: &Graph, links: &LinkTable, now_ms: u64) -> Network {
    let rates: Vec<f64> = table
        .all
        .values()
        .map(|endpoint| match &endpoint.state {
            Some(state) if endpoint.takes_work(now_ms) => state.layer_tokens_per_s.max(0.0),
            _ => 0.0,
        })
        .collect();
    let scarce = engines_with_scarce_links(graph, &rates, links);
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
        let key = (first, last, scarce[engine].then_some(engine));
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

/// Whether each engine has a link that carries less than both of its ends could.
fn engines_with_scarce_links(graph: &Graph, rates: &[f64], links: &LinkTable) -> Vec<bool> {
    let mut scarce = vec![false; rates.len()];
    for pair in graph.segments.windows(2) {
        for from in &pair[0].holders {
            for to in &pair[1].holders {
                // A segment has a layer at least, so that no end handles more tokens than this.
                let most = rates[*from].min(rates[*to]);
                let needed = most / f64::from(pair[0].layers.len().min(pair[1].layers.len()));
                if from != to && links.tokens_per_s(*from, *to) < needed {
                    scarce[*from] = true;
                    scarce[*to] = true;
                }
            }
        }
    }
    scarce
}
