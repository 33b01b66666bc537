//! Token rates of a set of engines, by layer.

use indexmap::IndexMap;

use crate::wire::engine::{EngineState, LayerRange};

/// Token rates of one model by version and layer.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    layers: usize,
    versions: IndexMap<String, Vec<f64>>,
}

impl Capacity {
    /// Capacity of a model with `layers` layers and no engines.
    pub(super) fn new(layers: u16) -> Self {
        Self {
            layers: usize::from(layers),
            versions: IndexMap::new(),
        }
    }

    /// Adds an engine that holds `layers` in a version.
    pub(super) fn add(&mut self, state: &EngineState, version: &str, layers: LayerRange) {
        self.change(version, layers, rate(state));
    }

    /// Removes an engine that holds `layers` in a version.
    pub(super) fn remove(&mut self, state: &EngineState, version: &str, layers: LayerRange) {
        self.change(version, layers, -rate(state));
    }

    /// Tokens per second over all versions. A token needs every layer in the same version.
    pub(super) fn usable(&self) -> f64 {
        self.versions.values().map(|rates| lowest(rates)).sum()
    }

    /// Tokens per second if all engines held the same version.
    pub(super) fn full(&self) -> f64 {
        let mut sums = vec![0.0; self.layers];
        for rates in self.versions.values() {
            for (sum, rate) in sums.iter_mut().zip(rates) {
                *sum += rate;
            }
        }
        lowest(&sums)
    }

    /// Smallest share that a version has of the capacity of any of these layers.
    pub(super) fn min_share(&self, version: &str, layers: LayerRange) -> f64 {
        let range = usize::from(layers.first)..usize::from(layers.end);
        let part = |layer: usize| {
            let total: f64 = self.versions.values().map(|rates| rates[layer]).sum();
            let own = self.versions.get(version).map_or(0.0, |rates| rates[layer]);
            if total > 0.0 { own / total } else { 0.0 }
        };
        range
            .filter(|layer| *layer < self.layers)
            .map(part)
            .fold(f64::INFINITY, f64::min)
    }

    fn change(&mut self, version: &str, layers: LayerRange, by: f64) {
        let count = self.layers;
        let rates = self.versions.entry(version.to_owned());
        let rates = rates.or_insert_with(|| vec![0.0; count]);
        let range = usize::from(layers.first)..usize::from(layers.end);
        for rate in rates.iter_mut().take(range.end).skip(range.start) {
            // Rounding errors of repeated additions must not count as capacity.
            let sum = *rate + by;
            *rate = if sum < 1e-9 { 0.0 } else { sum };
        }
    }
}

/// Tokens per second through the layers that the engine holds.
fn rate(state: &EngineState) -> f64 {
    let layers = f64::from(state.layers.len().max(1));
    state.layer_tokens_per_s.max(0.0) / layers
}

fn lowest(rates: &[f64]) -> f64 {
    let lowest = rates.iter().copied().fold(f64::INFINITY, f64::min);
    if lowest.is_finite() { lowest } else { 0.0 }
}
