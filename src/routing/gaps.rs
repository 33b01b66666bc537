//! How long an engine takes for a layer of one token, learnt from the gaps of streams.
//!
//! An entry sees the gap between two tokens of a whole chain only. It compares the gap with the
//! sum expected of the chain's engines and corrects each of them by the same factor; as engines
//! meet in many chains, an engine that is slow is told from those that merely run beside it.

/// Weight of a new gap.
const GAIN: f64 = 0.05;
/// Largest correction by one gap.
const MOST_CORRECTION: f64 = 4.0;
/// Gaps after which the history outweighs what the engine says of itself.
const SETTLED_SAMPLES: u32 = 20;

/// Learnt time of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct GapHistory {
    /// Time for one layer of one token, queues included; 0 if not known.
    layer_ms: f64,
    /// Mean deviation of gaps from what was expected, as a part of it.
    deviation: f64,
    samples: u32,
}

impl GapHistory {
    /// Time for one layer of one token; `prior_ms` while too little is learnt.
    pub(crate) fn layer_ms(&self, prior_ms: f64) -> f64 {
        if self.samples == 0 {
            return prior_ms;
        }
        let known = f64::from(self.samples.min(SETTLED_SAMPLES)) / f64::from(SETTLED_SAMPLES);
        known * self.layer_ms + (1.0 - known) * self.layer_ms.max(prior_ms)
    }

    /// Mean deviation as a part of the expected time.
    pub(crate) fn deviation(&self) -> f64 {
        if self.samples == 0 {
            1.0
        } else {
            self.deviation
        }
    }

    /// Takes the ratio of a chain's gap to what was expected of it.
    pub(crate) fn learn(&mut self, ratio: f64, prior_ms: f64) {
        if self.samples == 0 {
            self.layer_ms = prior_ms;
            self.deviation = 0.5;
        }
        self.samples = self.samples.saturating_add(1);
        let ratio = ratio.clamp(1.0 / MOST_CORRECTION, MOST_CORRECTION);
        let gain = GAIN.max(1.0 / f64::from(self.samples + 1));
        self.layer_ms *= 1.0 + gain * (ratio - 1.0);
        self.deviation += gain * ((ratio - 1.0).abs() - self.deviation);
    }
}
