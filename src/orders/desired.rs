//! The assignment that an engine should hold.

use indexmap::IndexMap;

use crate::document::ModelOffer;
use crate::wire::engine::{EngineAssignment, EngineState, LayerRange};

use super::view::EngineView;

/// The assignment that the engine should hold; `None` if it should not change.
pub(super) fn desired(
    models: &IndexMap<String, ModelOffer>,
    engines: &[EngineView<'_>],
    state: &EngineState,
) -> Option<EngineAssignment> {
    if let Some(offer) = models.get(&state.model) {
        let whole = LayerRange {
            first: 0,
            end: offer.layers,
        };
        if !state.layers.is_empty() && whole.covers(state.layers) {
            return Some(assignment(offer, state.layers));
        }
    }
    let offer = models.values().next()?;
    let layers = slowest_range(offer, engines)?;
    Some(assignment(offer, layers))
}

fn assignment(offer: &ModelOffer, layers: LayerRange) -> EngineAssignment {
    EngineAssignment {
        model: offer.name.clone(),
        version: offer.version.clone(),
        adapters: offer.adapters.clone(),
        layers,
    }
}

/// The range with the lowest token rate, of those that engines of the model hold.
fn slowest_range(offer: &ModelOffer, engines: &[EngineView<'_>]) -> Option<LayerRange> {
    let mut rates: IndexMap<LayerRange, f64> = IndexMap::new();
    let states = engines.iter().filter_map(|engine| engine.state);
    for state in states.filter(|state| state.model == offer.name && !state.layers.is_empty()) {
        let rate = state.layer_tokens_per_s / f64::from(state.layers.len());
        *rates.entry(state.layers).or_insert(0.0) += rate;
    }
    rates
        .into_iter()
        .min_by(|(a_range, a), (b_range, b)| a.total_cmp(b).then(a_range.cmp(b_range)))
        .map(|(range, _)| range)
}
