//! The links between the holders of a model's layers, as the engines measured them.

use super::endpoints::EndpointTable;
use super::graph::Graph;
use crate::wire::engine::LinkState;

/// Links by the indices of their ends in the endpoint table; it holds while the list does.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTable {
    /// Row and column of each endpoint among the holders; `usize::MAX` for others.
    places: Vec<usize>,
    holders: usize,
    /// Row by row, from each holder to each.
    cells: Vec<Link>,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    transfer_ms: f64,
    tokens_per_s: f64,
}

/// A link that was not measured, or within an engine.
const UNLIMITED: Link = Link {
    transfer_ms: 0.0,
    tokens_per_s: f64::INFINITY,
};

impl LinkTable {
    /// Takes the links between all holders of the graph.
    pub(crate) fn new(table: &EndpointTable, graph: &Graph, activation_bytes: u32) -> Self {
        let mut places = vec![usize::MAX; table.all.len()];
        let mut holders = Vec::new();
        for engine in graph.segments.iter().flat_map(|segment| &segment.holders) {
            if places[*engine] == usize::MAX {
                places[*engine] = holders.len();
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
            places,
        }
    }

    /// Time from the first byte of an activation sent to its last received, in milliseconds.
    /// In coarse steps, so that entries that heard slightly different figures agree.
    pub(crate) fn transfer_ms(&self, from: usize, to: usize) -> f64 {
        self.link(from, to).transfer_ms
    }

    /// Tokens a second that the link carries.
    pub(crate) fn tokens_per_s(&self, from: usize, to: usize) -> f64 {
        self.link(from, to).tokens_per_s
    }

    fn link(&self, from: usize, to: usize) -> Link {
        let (row, column) = (self.places[from], self.places[to]);
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
        transfer_ms: coarse(delay_ms + 1e3 / tokens_per_s),
        tokens_per_s,
    }
}

fn measured(table: &EndpointTable, from: usize, to: usize) -> Option<LinkState> {
    let (_, sender) = table.all.get_index(from)?;
    let (receiver, _) = table.all.get_index(to)?;
    sender.state.as_ref()?.links.get(receiver).copied()
}

/// The nearest power of the square root of two.
fn coarse(value: f64) -> f64 {
    ((value.max(1e-3).log2() * 2.0).round() / 2.0).exp2()
}
