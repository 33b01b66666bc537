//! Where in the model an engine's layers lie, so that every layer has as many holders as possible.

use crate::ids::{EndpointId, ZoneName};
use crate::wire::engine::LayerRange;

/// An engine as the placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedEngine {
    /// Engine.
    pub id: EndpointId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Kind of accelerator.
    pub kind: String,
    /// Layers that it holds or was ordered to hold.
    pub layers: Option<LayerRange>,
    /// Tokens times layers of requests that it has in memory. A move waits for them to end.
    pub held_token_layers: u64,
    /// Whether it is so slow that its layers need another holder as if it held none.
    pub is_crawling: bool,
}

/// Number of holders of each layer.
#[derive(Clone, Debug)]
pub(super) struct Coverage(Vec<u32>);

impl Coverage {
    pub(super) fn of<'a, I>(layers: u16, ranges: I) -> Self
    where
        I: IntoIterator<Item = &'a LayerRange>,
    {
        let mut coverage = Self(vec![0; usize::from(layers)]);
        for range in ranges {
            coverage.add(*range);
        }
        coverage
    }

    pub(super) fn add(&mut self, range: LayerRange) {
        for layer in range.first..range.end {
            if let Some(count) = self.0.get_mut(usize::from(layer)) {
                *count += 1;
            }
        }
    }

    pub(super) fn remove(&mut self, range: LayerRange) {
        for layer in range.first..range.end {
            if let Some(count) = self.0.get_mut(usize::from(layer)) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// Layers of a range without any holder.
    pub(super) fn holes(&self, range: LayerRange) -> u32 {
        let layers = &self.0[usize::from(range.first)..usize::from(range.end)];
        layers.iter().filter(|count| **count == 0).count() as u32
    }

    /// Whether some layer has no holder.
    pub(super) fn has_hole(&self) -> bool {
        self.0.contains(&0)
    }

    /// The window of `count` layers that needs a holder most: the one with the most layers of the
    /// fewest holders. Of equal ones the first.
    pub(super) fn neediest(&self, count: u16) -> Option<LayerRange> {
        let total = u16::try_from(self.0.len()).ok()?;
        if count == 0 || count > total {
            return None;
        }
        let windows = (0..=total - count).map(|first| LayerRange {
            first,
            end: first + count,
        });
        // A layer with no holder stops every request of the zone; each further holder is worth
        // much less than the one before.
        let need = |range: &LayerRange| -> u64 {
            let layers = &self.0[usize::from(range.first)..usize::from(range.end)];
            layers
                .iter()
                .map(|held| 1_000_000u64 >> (held * 6).min(20))
                .sum()
        };
        windows.rev().max_by_key(need)
    }
}
