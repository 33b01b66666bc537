//! How long a chain may be silent before its stages are probed.
//!
//! The timeout adapts to the engines' measured history, so that slow accelerators are not mistaken
//! for dead ones: the expected gap times a factor, plus a multiple of its mean deviation, as in
//! TCP's retransmission timer (RFC 6298).

use super::message::ExpectedTiming;

/// Shortest timeout; below it, scheduling jitter on small instances would trigger probes.
const MIN_WAIT_MS: f64 = 40.0;
/// Longest timeout.
const MAX_WAIT_MS: f64 = 2_000.0;
/// Number of expected gaps without a token before a probe.
const GAP_FACTOR: f64 = 2.0;
/// Number of mean deviations added to the timeout.
const DEVIATION_FACTOR: f64 = 4.0;
/// Lower bound of the probe timeout.
const MIN_PROBE_TIMEOUT_MS: f64 = 40.0;
/// Upper bound of the probe timeout.
const MAX_PROBE_TIMEOUT_MS: f64 = 250.0;
/// Assumed probe response time before the first measurement.
const INITIAL_PROBE_MS: f64 = 10.0;
/// Number of mean response times before a probed stage counts as unreachable.
const PROBE_FACTOR: f64 = 4.0;
/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// A gap longer than this many expected gaps plus [`LATE_MS`] counts as late.
const LATE_FACTOR: f64 = 4.0;
/// See [`LATE_FACTOR`].
const LATE_MS: f64 = 100.0;
/// Consecutive late gaps before the chain counts as slow.
const SLOW_LATE_GAPS: u32 = 3;

/// Exponentially weighted moving average and mean deviation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    mean: f64,
    deviation: f64,
    /// Whether no sample has been added yet.
    is_initial: bool,
}

impl MovingAverage {
    /// Creates an average with an assumed initial mean.
    pub(crate) fn new(mean: f64) -> Self {
        Self {
            mean,
            deviation: mean / 4.0,
            is_initial: true,
        }
    }

    /// Adds a sample; the first one replaces the initial value.
    pub(crate) fn add(&mut self, sample: f64) {
        if self.is_initial {
            *self = Self {
                mean: sample,
                deviation: sample / 2.0,
                is_initial: false,
            };
            return;
        }
        let error = sample - self.mean;
        self.mean += MEAN_GAIN * error;
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    /// Returns the mean times `factor` plus [`DEVIATION_FACTOR`] mean deviations.
    pub(crate) fn upper_bound(&self, factor: f64) -> f64 {
        self.mean * factor + self.deviation * DEVIATION_FACTOR
    }
}

/// Token timing of one epoch of a chain.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    expected: ExpectedTiming,
    gap: MovingAverage,
    /// Number of late gaps since the last timely one.
    consecutive_late: u32,
}

impl Pace {
    /// Starts with the timing expected of the selected engines.
    pub(crate) fn new(expected: ExpectedTiming) -> Self {
        Self {
            expected,
            gap: MovingAverage {
                mean: expected.gap_ms,
                deviation: expected.deviation_ms,
                is_initial: true,
            },
            consecutive_late: 0,
        }
    }

    /// Records the time between two tokens.
    pub(crate) fn add_gap(&mut self, gap_ms: u64) {
        let gap = gap_ms as f64;
        self.gap.add(gap);
        if gap > self.expected.gap_ms * LATE_FACTOR + LATE_MS {
            self.consecutive_late += 1;
        } else {
            self.consecutive_late = 0;
        }
    }

    /// Whether the last gap was far longer than expected.
    pub(crate) fn is_late(&self) -> bool {
        self.consecutive_late > 0
    }

    /// Whether the last [`SLOW_LATE_GAPS`] gaps were all far longer than expected.
    pub(crate) fn is_slow(&self) -> bool {
        self.consecutive_late >= SLOW_LATE_GAPS
    }

    /// Timeout for the next token of an epoch that has delivered one. `gap_ms` is the gap currently
    /// expected from the engines' history: when their other streams slow down, the timeout grows by
    /// the same factor.
    pub(crate) fn next_timeout_ms(&self, gap_ms: f64) -> u64 {
        let slower = (gap_ms / self.expected.gap_ms.max(1.0)).max(1.0);
        let wait = self.gap.upper_bound(GAP_FACTOR) * slower;
        wait.clamp(MIN_WAIT_MS, MAX_WAIT_MS) as u64
    }

    /// Delay from a token to the next probe: half a gap if the chain is slow, to see which stage it
    /// waits for; otherwise the timeout for the next token.
    pub(crate) fn next_probe_ms(&self) -> u64 {
        if self.is_slow() {
            return (self.gap.mean / 2.0).clamp(MIN_WAIT_MS, MAX_WAIT_MS) as u64;
        }
        self.next_timeout_ms(0.0)
    }

    /// Timeout for a stage to answer a probe.
    pub(crate) fn probe_timeout_ms(&self) -> u64 {
        let wait = self.expected.probe_ms;
        wait.clamp(MIN_PROBE_TIMEOUT_MS, MAX_PROBE_TIMEOUT_MS) as u64
    }

    /// Timeout for the first token of an epoch.
    pub(crate) fn first_timeout_ms(&self, recomputes: bool) -> u64 {
        let first = if recomputes {
            self.expected.first_ms
        } else {
            self.expected.gap_ms
        };
        let wait = first + self.expected.gap_ms * GAP_FACTOR;
        wait.clamp(MIN_WAIT_MS, MAX_WAIT_MS) as u64
    }
}

/// Measured prefill time per prompt token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillHistory {
    per_token_ms: MovingAverage,
}

impl Default for PrefillHistory {
    fn default() -> Self {
        Self {
            per_token_ms: MovingAverage::new(INITIAL_PREFILL_MS_PER_TOKEN),
        }
    }
}

/// Assumed prefill time per prompt token before the first measurement.
const INITIAL_PREFILL_MS_PER_TOKEN: f64 = 4.0;
/// Fixed cost of a first token, independent of the prompt length, expressed in prompt tokens.
const PREFILL_FIXED_TOKENS: f64 = 16.0;

impl PrefillHistory {
    /// Records the time taken to compute `tokens`.
    pub(crate) fn add(&mut self, took_ms: u64, tokens: u32) {
        let per_token = took_ms as f64 / (f64::from(tokens) + PREFILL_FIXED_TOKENS);
        self.per_token_ms.add(per_token);
    }

    /// Upper estimate of the time to the first token when computing `tokens`.
    pub(crate) fn expected_ms(&self, tokens: u32) -> f64 {
        self.per_token_ms.upper_bound(1.0) * (f64::from(tokens) + PREFILL_FIXED_TOKENS)
    }
}

/// Measured probe response times of live stages. They keep a stage from being mistaken for dead when
/// all responses are slow, as on an overloaded instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeHistory {
    took_ms: MovingAverage,
}

impl Default for ProbeHistory {
    fn default() -> Self {
        Self {
            took_ms: MovingAverage::new(INITIAL_PROBE_MS),
        }
    }
}

impl ProbeHistory {
    /// Records a response time.
    pub(crate) fn add(&mut self, took_ms: u64) {
        self.took_ms.add(took_ms as f64);
    }

    /// Upper estimate of the response time.
    pub(crate) fn expected_ms(&self) -> f64 {
        self.took_ms.upper_bound(PROBE_FACTOR)
    }
}
