//! Time an engine takes for one layer of one token, learned from inter-token gaps.
//!
//! An entry observes only the inter-token gap of a whole chain. It compares the gap with the sum
//! expected of the chain's engines and corrects each of them by the same factor. Since engines take
//! part in many chains, slow engines can be told from those that merely share a chain with them.

/// Minimum weight of a new gap.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Maximum correction factor for a single gap.
const MAX_CORRECTION: f64 = 4.0;
/// Number of gaps after which the history fully replaces the rate reported by the engine.
const SETTLED_SAMPLES: u32 = 20;

/// Learned layer time of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct GapHistory {
    /// Time for one layer of one token, including queueing; 0 if unknown.
    layer_ms: f64,
    /// Mean deviation of gaps from the expected time, as a fraction of it.
    deviation: f64,
    samples: u32,
}

impl GapHistory {
    /// Returns the time for one layer of one token. Until enough gaps were observed, the larger of
    /// the learned time and `prior_ms` is blended in.
    pub(crate) fn layer_ms(&self, prior_ms: f64) -> f64 {
        if self.samples == 0 {
            return prior_ms;
        }
        let known = f64::from(self.samples.min(SETTLED_SAMPLES)) / f64::from(SETTLED_SAMPLES);
        known * self.layer_ms + (1.0 - known) * self.layer_ms.max(prior_ms)
    }

    /// Mean deviation as a fraction of the expected time.
    pub(crate) fn deviation(&self) -> f64 {
        if self.samples == 0 {
            1.0
        } else {
            self.deviation
        }
    }

    /// Records the ratio of an observed gap of a chain to the expected one.
    pub(crate) fn record(&mut self, ratio: f64, prior_ms: f64) {
        if self.samples == 0 {
            self.layer_ms = prior_ms;
            self.deviation = 0.5;
        }
        self.samples = self.samples.saturating_add(1);
        let ratio = ratio.clamp(1.0 / MAX_CORRECTION, MAX_CORRECTION);
        let gain = SMOOTHING_FACTOR.max(1.0 / f64::from(self.samples + 1));
        self.layer_ms *= 1.0 + gain * (ratio - 1.0);
        self.deviation += gain * ((ratio - 1.0).abs() - self.deviation);
    }
}
