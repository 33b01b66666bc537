//! Links between the holders of a model's layers, as measured by the engines.

use super::endpoints::EndpointTable;
use super::graph::Graph;
use crate::wire::engine::LinkState;

/// Links by the indices of both endpoints in the endpoint table. Valid until the list of endpoints
/// changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTable {
    /// Row and column of each endpoint in the matrix; `usize::MAX` for endpoints that are not
    /// holders.
    holder_indices: Vec<usize>,
    holders: usize,
    /// Matrix of the links between holders, in row-major order.
    cells: Vec<Link>,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    transfer_ms: f64,
    tokens_per_s: f64,
}

/// Used for a link within an engine or without a measurement.
const UNLIMITED: Link = Link {
    transfer_ms: 0.0,
    tokens_per_s: f64::INFINITY,
};

impl LinkTable {
    /// Collects the links between all holders in the graph.
    pub(crate) fn new(table: &EndpointTable, graph: &Graph, activation_bytes: u32) -> Self {
        let mut holder_indices = vec![usize::MAX; table.endpoints.len()];
        let mut holders = Vec::new();
        for engine in graph.segments.iter().flat_map(|segment| &segment.holders) {
            if holder_indices[*engine] == usize::MAX {
                holder_indices[*engine] = holders.len();
                holders.push(*engine);
            }
        }
        let cells = holders.iter().flat_map(|from| {
            let to = holders.iter();
            to.map(move |to| link(table, *from, *to, activation_bytes))
        });
        Self {
            cells: cells.collect(),
            holders: holders.len(),
            holder_indices,
        }
    }

    /// Time from sending the first byte of an activation to receiving its last, in milliseconds.
    /// Rounded coarsely, so that entries with slightly different measurements agree.
    pub(crate) fn transfer_ms(&self, from: usize, to: usize) -> f64 {
        self.link(from, to).transfer_ms
    }

    /// Tokens per second that the link carries.
    pub(crate) fn tokens_per_s(&self, from: usize, to: usize) -> f64 {
        self.link(from, to).tokens_per_s
    }

    fn link(&self, from: usize, to: usize) -> Link {
        let (row, column) = (self.holder_indices[from], self.holder_indices[to]);
        let known = row != usize::MAX && column != usize::MAX;
        if known {
            self.cells[row * self.holders + column]
        } else {
            UNLIMITED
        }
    }
}

fn link(table: &EndpointTable, from: usize, to: usize, activation_bytes: u32) -> Link {
    let Some(measured) = measured(table, from, to) else {
        return UNLIMITED;
    };
    let bytes = f64::from(activation_bytes.max(1));
    let tokens_per_s = (measured.bandwidth_bytes_per_s as f64 / bytes).max(1e-6);
    let delay_ms = measured.delay_us as f64 / 1e3;
    Link {
        transfer_ms: round_to_step(delay_ms + 1e3 / tokens_per_s),
        tokens_per_s,
    }
}

fn measured(table: &EndpointTable, from: usize, to: usize) -> Option<LinkState> {
    let (_, sender) = table.endpoints.get_index(from)?;
    let (receiver, _) = table.endpoints.get_index(to)?;
    sender.state.as_ref()?.links.get(receiver).copied()
}

/// Rounds to the nearest power of the square root of two.
fn round_to_step(value: f64) -> f64 {
    ((value.max(1e-3).log2() * 2.0).round() / 2.0).exp2()
}
