//! Upper bound on throughput: a maximum flow through the engines of one model.
//!
//! The layers are split into segments such that each holder holds its segments completely. Every
//! holder of a segment is a node whose capacity is a share of its engine's rate. A link to a holder
//! of the next segment carries `bandwidth / activation` tokens per second; staying on the same
//! engine is unlimited.
//!
//! An engine that holds several segments must divide its rate among them. [`divide_rates`] does so
//! exactly for unlimited links, by bisection over transport flows from engines to segments.
//! [`reuse_idle_rate`] then gives the rate that limiting links leave idle to other segments of the
//! same engine. Without overlap both have no effect and the maximum flow is exact. With both
//! overlap and limiting links, the flow found this way may be below the bound; networks that are
//! not too large are then solved as a linear program over the flows of their links
//! ([`solve_linear_program`]), which is exact again.

use petgraph::algo::dinics;
use petgraph::graph::{DiGraph, NodeIndex};

use super::simplex::{Column, maximize};

/// Capacities are integers in thousandths of a token per second.
const MILLI: f64 = 1_000.0;
/// Upper bound on capacities, so that sums cannot overflow.
const UNLIMITED: u64 = 1 << 50;
/// Steps of each bisection.
const BISECTION_STEPS: usize = 24;
/// Maximum number of links for which a network is solved as a linear program.
const MAX_PROGRAM_LINKS: usize = 1_000;
/// Maximum number of rounds in which idle rate is reassigned.
const MAX_REUSE_ROUNDS: usize = 8;

/// The engines of one model as a flow network. Engines are numbered from 0.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network {
    /// Number of layers in each segment; at least 1.
    pub(crate) segment_layers: Vec<f64>,
    /// Engines that hold each segment.
    pub(crate) holders: Vec<Vec<usize>>,
    /// Rate of each engine, in layers × tokens per second.
    pub(crate) rates: Vec<f64>,
    /// For each pair of consecutive segments, the tokens per second from each holder of the first
    /// to each holder of the second, in row-major order; infinite within an engine.
    pub(crate) links: Vec<Vec<f64>>,
}

/// Returns the maximum number of tokens per second that the network carries; 0 if a segment has no
/// holder.
pub(crate) fn solve(network: &Network) -> f64 {
    if network.holders.is_empty() {
        return 0.0;
    }
    let capacities = divide_rates(network);
    let routed = route(network, &capacities);
    if !network.overlaps() {
        return routed.tokens_per_s;
    }
    let improved = reuse_idle_rate(network, routed).tokens_per_s;
    let links: usize = network.links.iter().map(Vec::len).sum();
    let sums = capacities.iter().map(|holders| holders.iter().sum());
    let without_links = sums.fold(f64::INFINITY, f64::min);
    if improved >= without_links * (1.0 - 1e-6) || links > MAX_PROGRAM_LINKS {
        return improved;
    }
    improved.max(solve_linear_program(network))
}

/// Solves the flow as a linear program with one variable for each link into a holder, constrained
/// by the flow into the previous holder, by the engine's rate and by the link's capacity.
fn solve_linear_program(network: &Network) -> f64 {
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
    let flows = maximize(&columns, &limits);
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

/// A maximum flow found by the solver, which need not be unique.
#[derive(Clone, Debug)]
struct Flow {
    tokens_per_s: f64,
    nodes: Vec<Vec<f64>>,
}

/// Divides each engine's rate among its segments so that the capacity of the weakest segment is
/// maximal. Returns tokens per second for each holder of each segment.
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
    for _ in 0..BISECTION_STEPS {
        let target = (low + high) / 2.0;
        match find_allocation(network, target) {
            Some(found) => {
                best = found;
                low = target;
            }
            None => high = target,
        }
    }
    best
}

/// Finds a division of the engines' rates that gives every segment `target` tokens per second.
fn find_allocation(network: &Network, target: f64) -> Option<Vec<Vec<f64>>> {
    let mut graph = DiGraph::<(), u64>::new();
    let source = graph.add_node(());
    let sink = graph.add_node(());
    let engines: Vec<NodeIndex> = network.rates.iter().map(|_| graph.add_node(())).collect();
    for (engine, rate) in network.rates.iter().enumerate() {
        graph.add_edge(source, engines[engine], to_capacity(*rate));
    }
    let mut wanted = 0;
    let mut first_edges = Vec::with_capacity(network.holders.len());
    for (segment, holders) in network.holders.iter().enumerate() {
        let node = graph.add_node(());
        let need = to_capacity(target * network.segment_layers[segment]);
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

/// Returns the maximum flow from the first to the last segment under the capacities of the holders.
fn route(network: &Network, capacities: &[Vec<f64>]) -> Flow {
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
            graph.add_edge(inward[position], outward[position], to_capacity(*capacity));
        }
        if segment == 0 {
            for node in &inward {
                graph.add_edge(source, *node, UNLIMITED);
            }
        } else {
            for (number, link) in network.links[segment - 1].iter().enumerate() {
                let from = before[number / inward.len()];
                let to = inward[number % inward.len()];
                graph.add_edge(from, to, to_capacity(*link));
            }
        }
        before = outward;
    }
    for node in &before {
        graph.add_edge(*node, sink, UNLIMITED);
    }
    let (value, flows) = dinics(&graph, source, sink);
    Flow {
        tokens_per_s: value as f64 / MILLI,
        nodes: position_map(network, |segment, position| {
            flows[node_edges[segment] + position] as f64 / MILLI
        }),
    }
}

/// Offers the idle rate of each engine to all its segments, for as long as that increases the flow.
fn reuse_idle_rate(network: &Network, mut routed: Flow) -> Flow {
    for _ in 0..MAX_REUSE_ROUNDS {
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

fn to_capacity(tokens_per_s: f64) -> u64 {
    (tokens_per_s * MILLI).clamp(0.0, UNLIMITED as f64) as u64
}
