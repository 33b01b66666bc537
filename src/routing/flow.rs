//! The bound on throughput: a maximum flow through the engines of one model.
//!
//! The layers are cut into segments that each holder holds whole. Every holder of a segment is a
//! node whose capacity is a part of its engine's rate; a link to a holder of the next segment
//! carries `bandwidth / activation` tokens a second, staying at the same engine any number.
//!
//! An engine that holds several segments must divide its rate among them. [`divide_rates`] does so
//! exactly for unlimited links (a bisection over transport flows from engines to segments);
//! [`grow`] then gives rate left idle where links bind to the segments of the same engine. Without
//! overlap both are no-ops and the maximum flow is exact. With overlap and scarce links together
//! a flow found so may be below the bound; networks that are not too large are then solved as a
//! linear program over the flows of their links ([`by_program`]), which is exact again.

use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, NodeIndex};

use super::simplex::{Column, maximise};

/// Capacities are integers of a thousandth of a token a second.
const MILLI: f64 = 1_000.0;
/// No capacity is above this, so that sums cannot overflow.
const UNLIMITED: u64 = 1 << 50;
/// Steps of each bisection.
const BISECTIONS: usize = 24;
/// Links of the largest network that is solved as a linear program.
const PROGRAM_LINKS: usize = 1_000;
/// Rounds in which idle rate is moved.
const GROW_ROUNDS: usize = 8;
/// The engines of one model as a network. Engines are numbered from 0.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    /// Layers in each segment; at least 1.
    pub(crate) segment_layers: Vec<f64>,
    /// Engines that hold each segment.
    pub(crate) holders: Vec<Vec<usize>>,
    /// Rate of each engine, in layers times tokens a second.
    pub(crate) rates: Vec<f64>,
    /// Tokens a second from each holder before to each behind, row by row, for each cut between two
    /// segments; infinite within an engine.
    pub(crate) links: Vec<Vec<f64>>,
}

/// Most tokens a second that the network carries; 0 if some segment has no holder.
pub(crate) fn solve(network: &Network) -> f64 {
    if network.holders.is_empty() {
        return 0.0;
    }
    let capacities = divide_rates(network);
    let routed = route(network, &capacities);
    if !network.overlaps() {
        return routed.tokens_per_s;
    }
    let grown = grow(network, routed).tokens_per_s;
    let links: usize = network.links.iter().map(Vec::len).sum();
    let sums = capacities.iter().map(|holders| holders.iter().sum());
    let without_links = sums.fold(f64::INFINITY, f64::min);
    if grown >= without_links * (1.0 - 1e-6) || links > PROGRAM_LINKS {
        return grown;
    }
    grown.max(by_program(network))
}

/// The flow as a linear program: a variable for each way into a holder, limited by what comes into
/// the holder before, by the engine's rate and by the link.
fn by_program(network: &Network) -> f64 {
    let mut limits = network.rates.clone();
    let mut node_rows = Vec::with_capacity(network.holders.len());
    for holders in &network.holders {
        node_rows.push(limits.len());
        limits.resize(limits.len() + holders.len(), 0.0);
    }
    let mut columns = Vec::new();
    for (segment, holders) in network.holders.iter().enumerate() {
        let is_last = segment + 1 == network.holders.len();
        let sources = match segment {
            0 => 1,
            _ => network.holders[segment - 1].len(),
        };
        for (number, (from, to)) in pairs(sources, holders.len()).enumerate() {
            let mut uses = vec![(holders[to], network.segment_layers[segment])];
            if !is_last {
                uses.push((node_rows[segment] + to, -1.0));
            }
            if segment > 0 {
                uses.push((node_rows[segment - 1] + from, 1.0));
                let link = network.links[segment - 1][number];
                if link.is_finite() {
                    uses.push((limits.len(), 1.0));
                    limits.push(link);
                }
            }
            let gain = if is_last { 1.0 } else { 0.0 };
            columns.push(Column { gain, uses });
        }
    }
    let flows = maximise(&columns, &limits);
    columns
        .iter()
        .zip(flows)
        .map(|(column, flow)| column.gain * flow)
        .sum()
}

fn pairs(rows: usize, columns: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..rows).flat_map(move |row| (0..columns).map(move |column| (row, column)))
}

impl Network {
    fn overlaps(&self) -> bool {
        let held: usize = self.holders.iter().map(Vec::len).sum();
        let mut seen = vec![false; self.rates.len()];
        for engine in self.holders.iter().flatten() {
            seen[*engine] = true;
        }
        held > seen.iter().filter(|is_seen| **is_seen).count()
    }
}

/// A flow of whatever shape the solver found.
#[derive(Clone, Debug)]
struct Routed {
    tokens_per_s: f64,
    nodes: Vec<Vec<f64>>,
}

/// Divides each engine's rate among its segments so that the weakest segment is as strong as
/// possible; returns tokens a second for each holder of each segment.
fn divide_rates(network: &Network) -> Vec<Vec<f64>> {
    if !network.overlaps() {
        return holder_map(network, |segment, engine| {
            network.rates[engine] / network.segment_layers[segment]
        });
    }
    let layers: f64 = network.segment_layers.iter().sum();
    let mut low = 0.0;
    let mut high = network.rates.iter().sum::<f64>() / layers;
    let mut best = holder_map(network, |_, _| 0.0);
    for _ in 0..BISECTIONS {
        let target = (low + high) / 2.0;
        match supply(network, target) {
            Some(found) => {
                best = found;
                low = target;
            }
            None => high = target,
        }
    }
    best
}

/// Finds parts of the engines' rates that give every segment `target` tokens a second.
fn supply(network: &Network, target: f64) -> Option<Vec<Vec<f64>>> {
    let mut graph = DiGraph::<(), u64>::new();
    let source = graph.add_node(());
    let sink = graph.add_node(());
    let engines: Vec<NodeIndex> = network.rates.iter().map(|_| graph.add_node(())).collect();
    for (engine, rate) in network.rates.iter().enumerate() {
        graph.add_edge(source, engines[engine], milli(*rate));
    }
    let mut wanted = 0;
    let mut first_edges = Vec::with_capacity(network.holders.len());
    for (segment, holders) in network.holders.iter().enumerate() {
        let node = graph.add_node(());
        let need = milli(target * network.segment_layers[segment]);
        wanted += need;
        graph.add_edge(node, sink, need);
        first_edges.push(graph.edge_count());
        for engine in holders {
            graph.add_edge(engines[*engine], node, UNLIMITED);
        }
    }
    let (value, flows) = dinics(&graph, source, sink);
    if value < wanted {
        return None;
    }
    let tokens = |segment: usize, position: usize| {
        flows[first_edges[segment] + position] as f64 / MILLI / network.segment_layers[segment]
    };
    Some(position_map(network, tokens))
}

/// Maximum flow from the first to the last segment under capacities of the holders.
fn route(network: &Network, capacities: &[Vec<f64>]) -> Routed {
    let mut graph = DiGraph::<(), u64>::new();
    let source = graph.add_node(());
    let sink = graph.add_node(());
    let mut before: Vec<NodeIndex> = Vec::new();
    let mut node_edges = Vec::with_capacity(capacities.len());
    for (segment, holders) in capacities.iter().enumerate() {
        let inward: Vec<NodeIndex> = holders.iter().map(|_| graph.add_node(())).collect();
        let outward: Vec<NodeIndex> = holders.iter().map(|_| graph.add_node(())).collect();
        node_edges.push(graph.edge_count());
        for (position, capacity) in holders.iter().enumerate() {
            graph.add_edge(inward[position], outward[position], milli(*capacity));
        }
        if segment == 0 {
            for node in &inward {
                graph.add_edge(source, *node, UNLIMITED);
            }
        } else {
            for (number, link) in network.links[segment - 1].iter().enumerate() {
                let from = before[number / inward.len()];
                let to = inward[number % inward.len()];
                graph.add_edge(from, to, milli(*link));
            }
        }
        before = outward;
    }
    for node in &before {
        graph.add_edge(*node, sink, UNLIMITED);
    }
    let (value, flows) = dinics(&graph, source, sink);
    Routed {
        tokens_per_s: value as f64 / MILLI,
        nodes: position_map(network, |segment, position| {
            flows[node_edges[segment] + position] as f64 / MILLI
        }),
    }
}

/// Gives the idle rate of each engine to all its segments, while that raises the flow.
fn grow(network: &Network, mut routed: Routed) -> Routed {
    for _ in 0..GROW_ROUNDS {
        let next = route(network, &with_idle_rate(network, &routed.nodes));
        if next.tokens_per_s <= routed.tokens_per_s * (1.0 + 1e-6) {
            break;
        }
        routed = next;
    }
    routed
}

fn with_idle_rate(network: &Network, used: &[Vec<f64>]) -> Vec<Vec<f64>> {
    let mut idle = network.rates.clone();
    let mut held_layers = vec![0.0; idle.len()];
    for (segment, holders) in network.holders.iter().enumerate() {
        for (position, engine) in holders.iter().enumerate() {
            idle[*engine] -= used[segment][position] * network.segment_layers[segment];
            held_layers[*engine] += network.segment_layers[segment];
        }
    }
    position_map(network, |segment, position| {
        let engine = network.holders[segment][position];
        used[segment][position] + idle[engine].max(0.0) / held_layers[engine]
    })
}

fn holder_map<F>(network: &Network, value: F) -> Vec<Vec<f64>>
where
    F: Fn(usize, usize) -> f64,
{
    position_map(network, |segment, position| {
        value(segment, network.holders[segment][position])
    })
}

fn position_map<F>(network: &Network, value: F) -> Vec<Vec<f64>>
where
    F: Fn(usize, usize) -> f64,
{
    network
        .holders
        .iter()
        .enumerate()
        .map(|(segment, holders)| (0..holders.len()).map(|p| value(segment, p)).collect())
        .collect()
}

fn milli(tokens_per_s: f64) -> u64 {
    (tokens_per_s * MILLI).clamp(0.0, UNLIMITED as f64) as u64
}
