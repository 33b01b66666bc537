//! Splits the layers of a model into segments and finds the engines that hold each.

use crate::document::ModelOffer;
use crate::ids::ServiceName;
use crate::wire::engine::LayerRange;

use super::endpoints::{Endpoint, EndpointTable};

/// The segments of one model. No engine holds only a part of a segment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Graph {
    /// Segments in layer order; empty if some layer has no holder.
    pub(crate) segments: Vec<Segment>,
}

/// A range of layers that each of its holders holds completely.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) layers: LayerRange,
    /// Indices of the engines in the endpoint table.
    pub(crate) holders: Vec<usize>,
}

impl Graph {
    /// Splits the layers of `model` wherever a holder's range begins or ends, and at each of
    /// `cuts`.
    pub(crate) fn build(
        table: &EndpointTable,
        service: &ServiceName,
        model: &ModelOffer,
        adapter: Option<&str>,
        cuts: &[u16],
    ) -> Self {
        let holders: Vec<(usize, LayerRange)> = table
            .endpoints
            .values()
            .enumerate()
            .filter_map(|(index, endpoint)| {
                held_layers(endpoint, service, model, adapter).map(|layers| (index, layers))
            })
            .collect();
        let mut edges: Vec<u16> = holders
            .iter()
            .flat_map(|(_, layers)| [layers.first, layers.end])
            .chain(cuts.iter().copied())
            .chain([0, model.layers])
            .filter(|layer| *layer <= model.layers)
            .collect();
        edges.sort_unstable();
        edges.dedup();
        let segments: Vec<Segment> = edges
            .windows(2)
            .map(|pair| {
                segment(
                    LayerRange {
                        first: pair[0],
                        end: pair[1],
                    },
                    &holders,
                )
            })
            .collect();
        if segments.iter().any(|segment| segment.holders.is_empty()) {
            return Self::default();
        }
        Self { segments }
    }
}

fn segment(layers: LayerRange, holders: &[(usize, LayerRange)]) -> Segment {
    Segment {
        layers,
        holders: holders
            .iter()
            .filter(|(_, held)| held.covers(layers))
            .map(|(index, _)| *index)
            .collect(),
    }
}

/// Returns the layers of a model that an engine holds, clipped to the model; `None` if it holds
/// none.
fn held_layers(
    endpoint: &Endpoint,
    service: &ServiceName,
    model: &ModelOffer,
    adapter: Option<&str>,
) -> Option<LayerRange> {
    let state = endpoint.state.as_ref()?;
    let holds = endpoint.service == *service
        && state.model == model.name
        && state.version == model.version
        && adapter.is_none_or(|name| state.adapters.iter().any(|held| held == name));
    let layers = LayerRange {
        first: state.layers.first,
        end: state.layers.end.min(model.layers),
    };
    (holds && !layers.is_empty()).then_some(layers)
}
