//! Coverage of a model's layers by engines, used to give every layer as many holders as possible.

use crate::ids::{EndpointId, ZoneName};
use crate::wire::engine::LayerRange;

/// An engine from the point of view of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedEngine {
    /// Endpoint id of the engine.
    pub id: EndpointId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Kind of accelerator.
    pub kind: String,
    /// Layers that it holds or was ordered to hold.
    pub layers: Option<LayerRange>,
    /// Tokens times layers of requests in its memory. A move waits until they have ended.
    pub held_token_layers: u64,
    /// Whether it is so slow that its layers need another holder, as if it held none.
    pub is_very_slow: bool,
}

/// A range of layers and the speed of the engine that holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct HeldRange {
    pub(super) layers: LayerRange,
    /// Factor on the time of a token step; higher is slower.
    pub(super) step_factor: f64,
}

/// Holders of one layer.
#[derive(Clone, Copy, Debug)]
struct LayerHolders {
    holders: u32,
    /// Factor on the time of a token step at the fastest holder; infinite without one.
    min_step_factor: f64,
}

/// How much a window of layers needs one more holder. Fields are compared in order: a layer without
/// a holder stops every request of the zone, a slow one delays each of them, and a second holder
/// only helps when the first one is lost.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Need {
    /// Layers without a holder.
    uncovered: u32,
    /// Sum of the saved step factors, over the layers that would run much faster than now.
    saved: f64,
    /// Higher for layers with fewer holders.
    scarcity: u64,
}

/// How many times faster than a layer's fastest holder an engine must be for the layer to matter
/// more than a second holder for another one. Smaller gains are within the variation that load
/// causes between engines of the same kind.
const MIN_SPEEDUP: f64 = 1.5;

/// Holders of each layer.
#[derive(Clone, Debug)]
pub(super) struct Coverage(Vec<LayerHolders>);

impl Coverage {
    pub(super) fn of<I>(layers: u16, ranges: I) -> Self
    where
        I: IntoIterator<Item = HeldRange>,
    {
        let nothing = LayerHolders {
            holders: 0,
            min_step_factor: f64::INFINITY,
        };
        let mut coverage = Self(vec![nothing; usize::from(layers)]);
        for range in ranges {
            coverage.add(range);
        }
        coverage
    }

    pub(super) fn add(&mut self, range: HeldRange) {
        for layer in range.layers.first..range.layers.end {
            if let Some(cover) = self.0.get_mut(usize::from(layer)) {
                cover.holders += 1;
                cover.min_step_factor = cover.min_step_factor.min(range.step_factor);
            }
        }
    }

    /// Number of layers without a holder.
    pub(super) fn uncovered_layers(&self) -> u32 {
        self.0.iter().filter(|cover| cover.holders == 0).count() as u32
    }

    /// Whether some layer has no holder.
    pub(super) fn has_gap(&self) -> bool {
        self.0.iter().any(|cover| cover.holders == 0)
    }

    /// The first window of `count` layers that needs a holder with this step factor the most.
    pub(super) fn best_window(&self, count: u16, step_factor: f64) -> Option<HeldRange> {
        let total = u16::try_from(self.0.len()).ok()?;
        if count == 0 || count > total {
            return None;
        }
        let windows = (0..=total - count).map(|first| LayerRange {
            first,
            end: first + count,
        });
        let mut best: Option<(Need, LayerRange)> = None;
        for window in windows {
            let need = self.need(window, step_factor);
            if best.is_none_or(|(most, _)| need > most) {
                best = Some((need, window));
            }
        }
        let (_, layers) = best?;
        Some(HeldRange {
            layers,
            step_factor,
        })
    }

    /// The window of `count` layers inside `held` that needs a holder the most, among those outside which every
    /// layer of `held` has at least `min_holders`.
    pub(super) fn best_part(
        &self,
        held: HeldRange,
        count: u16,
        min_holders: u32,
    ) -> Option<LayerRange> {
        let LayerRange { first, end } = held.layers;
        let mut best: Option<(Need, LayerRange)> = None;
        for window_first in first..=end.checked_sub(count)? {
            let window = LayerRange {
                first: window_first,
                end: window_first + count,
            };
            let mut given_up = (first..window.first).chain(window.end..end);
            if !given_up.all(|layer| self.holders(layer) >= min_holders) {
                continue;
            }
            let need = self.need(window, held.step_factor);
            if best.is_none_or(|(most, _)| need > most) {
                best = Some((need, window));
            }
        }
        best.map(|(_, window)| window)
    }

    fn holders(&self, layer: u16) -> u32 {
        let cover = self.0.get(usize::from(layer));
        cover.map_or(0, |cover| cover.holders)
    }

    /// Whether chains would use an engine with this range: some of its layers have no other holder,
    /// or only much slower ones.
    pub(super) fn would_be_used(&self, range: HeldRange) -> bool {
        let need = self.need(range.layers, range.step_factor);
        need.uncovered > 0 || need.saved > 0.0
    }

    fn need(&self, window: LayerRange, step_factor: f64) -> Need {
        let covers = &self.0[usize::from(window.first)..usize::from(window.end)];
        let mut need = Need {
            uncovered: 0,
            saved: 0.0,
            scarcity: 0,
        };
        for cover in covers {
            if cover.holders == 0 {
                need.uncovered += 1;
            } else if cover.min_step_factor >= step_factor * MIN_SPEEDUP {
                need.saved += cover.min_step_factor - step_factor;
            }
            // Each further holder counts much less than the one before.
            need.scarcity += 1_000_000u64 >> (cover.holders * 6).min(20);
        }
        need
    }
}
