//! How long a chain may be silent before its stages are probed.
//!
//! The wait follows the engines' own history, so that a slow kind of accelerator is not taken for
//! dead: the expected gap times a factor, plus a multiple of its mean deviation, as TCP's
//! retransmission timer does (RFC 6298).

use super::message::ExpectedTiming;

/// Shortest wait; below it the scheduling noise of small instances would be probed.
const FLOOR_MS: f64 = 40.0;
/// Longest wait.
const CEILING_MS: f64 = 2_000.0;
/// ExpectedTiming gaps without a token before a probe.
const GAP_FACTOR: f64 = 2.0;
/// Mean deviations added.
const DEVIATION_FACTOR: f64 = 4.0;
/// Shortest time a stage has to answer a probe.
const PROBE_FLOOR_MS: f64 = 40.0;
/// Longest time a stage has to answer a probe.
const PROBE_CEILING_MS: f64 = 250.0;
/// Time an answer to a probe is taken for before any was measured.
const PROBE_GUESS_MS: f64 = 10.0;
/// Mean times of answers to wait before a stage counts as unreachable.
const PROBE_FACTOR: f64 = 4.0;
/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// A gap this many times the planned one, and [`LATE_MS`] on top, counts as late.
const LATE_FACTOR: f64 = 4.0;
/// See [`LATE_FACTOR`].
const LATE_MS: f64 = 100.0;
/// Late gaps in a row before the chain is held to be slow.
const LATE_STREAK: u32 = 3;

/// Mean and mean deviation of a series, both exponentially weighted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    mean: f64,
    deviation: f64,
    /// Whether it is still the guess it started from.
    guessed: bool,
}

impl MovingAverage {
    /// Starts from a guess.
    pub(crate) fn new(mean: f64) -> Self {
        Self {
            mean,
            deviation: mean / 4.0,
            guessed: true,
        }
    }

    /// Adds a sample; the first one takes the place of the guess.
    pub(crate) fn add(&mut self, sample: f64) {
        if self.guessed {
            *self = Self {
                mean: sample,
                deviation: sample / 2.0,
                guessed: false,
            };
            return;
        }
        let error = sample - self.mean;
        self.mean += MEAN_GAIN * error;
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    /// The mean times a factor, and [`DEVIATION_FACTOR`] deviations.
    pub(crate) fn upper_bound(&self, factor: f64) -> f64 {
        self.mean * factor + self.deviation * DEVIATION_FACTOR
    }
}

/// The pace of one epoch of one chain.
#[derive(Clone, Debug)]
pub(crate) struct Pace {
    planned: ExpectedTiming,
    gap: MovingAverage,
    /// Late gaps since the last one that was in time.
    late_in_row: u32,
}

impl Pace {
    /// Starts from what the chosen engines let expect.
    pub(crate) fn new(planned: ExpectedTiming) -> Self {
        Self {
            planned,
            gap: MovingAverage {
                mean: planned.gap_ms,
                deviation: planned.deviation_ms,
                guessed: true,
            },
            late_in_row: 0,
        }
    }

    /// Notes the time between two tokens.
    pub(crate) fn add_gap(&mut self, gap_ms: u64) {
        let gap = gap_ms as f64;
        self.gap.add(gap);
        if gap > self.planned.gap_ms * LATE_FACTOR + LATE_MS {
            self.late_in_row += 1;
        } else {
            self.late_in_row = 0;
        }
    }

    /// Whether the last gap was far above what was planned.
    pub(crate) fn is_late(&self) -> bool {
        self.late_in_row > 0
    }

    /// Whether the last few gaps were all far above what was planned.
    pub(crate) fn is_slow(&self) -> bool {
        self.late_in_row >= LATE_STREAK
    }

    /// How long to wait for the next token of an epoch that has delivered one. `gap_ms` is what the
    /// engines' history lets expect by now: when their other streams slow down, this wait grows by
    /// the same factor.
    pub(crate) fn next_timeout_ms(&self, gap_ms: f64) -> u64 {
        let slower = (gap_ms / self.planned.gap_ms.max(1.0)).max(1.0);
        let wait = self.gap.upper_bound(GAP_FACTOR) * slower;
        wait.clamp(FLOOR_MS, CEILING_MS) as u64
    }

    /// When to look at the chain after a token: in the midst of the next gap if it is slow, to see
    /// which stage it waits for; else when the next token is overdue.
    pub(crate) fn next_probe_ms(&self) -> u64 {
        if self.is_slow() {
            return (self.gap.mean / 2.0).clamp(FLOOR_MS, CEILING_MS) as u64;
        }
        self.next_timeout_ms(0.0)
    }

    /// How long a stage has to answer a probe.
    pub(crate) fn probe_timeout_ms(&self) -> u64 {
        let wait = self.planned.probe_ms;
        wait.clamp(PROBE_FLOOR_MS, PROBE_CEILING_MS) as u64
    }

    /// How long to wait for the first token of an epoch.
    pub(crate) fn first_timeout_ms(&self, recomputes: bool) -> u64 {
        let first = if recomputes {
            self.planned.first_ms
        } else {
            self.planned.gap_ms
        };
        let wait = first + self.planned.gap_ms * GAP_FACTOR;
        wait.clamp(FLOOR_MS, CEILING_MS) as u64
    }
}

/// How long prompts took to their first token, per token of prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillHistory {
    per_token_ms: MovingAverage,
}

impl Default for PrefillHistory {
    fn default() -> Self {
        Self {
            per_token_ms: MovingAverage::new(PREFILL_MS_PER_TOKEN),
        }
    }
}

/// Time per token of prompt before anything was measured.
const PREFILL_MS_PER_TOKEN: f64 = 4.0;
/// Counted on top of a prompt's tokens: what a first token costs whatever the prompt.
const PREFILL_FIXED_TOKENS: f64 = 16.0;

impl PrefillHistory {
    /// Notes that computing `tokens` took this long.
    pub(crate) fn add(&mut self, took_ms: u64, tokens: u32) {
        let per_token = took_ms as f64 / (f64::from(tokens) + PREFILL_FIXED_TOKENS);
        self.per_token_ms.add(per_token);
    }

    /// Longest time to be expected for the first token after computing `tokens`.
    pub(crate) fn expected_ms(&self, tokens: u32) -> f64 {
        self.per_token_ms.upper_bound(1.0) * (f64::from(tokens) + PREFILL_FIXED_TOKENS)
    }
}

/// How long living stages took to answer probes. Where everything is slow, as on an overloaded
/// instance, a stage is not taken for dead because its answer is slow too.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeHistory {
    took_ms: MovingAverage,
}

impl Default for ProbeHistory {
    fn default() -> Self {
        Self {
            took_ms: MovingAverage::new(PROBE_GUESS_MS),
        }
    }
}

impl ProbeHistory {
    /// Notes how long an answer took.
    pub(crate) fn add(&mut self, took_ms: u64) {
        self.took_ms.add(took_ms as f64);
    }

    /// Longest time to be expected.
    pub(crate) fn expected_ms(&self) -> f64 {
        self.took_ms.upper_bound(PROBE_FACTOR)
    }
}
