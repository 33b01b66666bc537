//! Limit on this entry's concurrent calls to one replica of an application, adapted to measured
//! latency.
//!
//! By Little's law, the mean latency of a call is the number of calls in flight, integrated over
//! time, divided by the number of completed calls. While the latency stays near its minimum, a
//! limit that was reached grows. When calls take much longer, they are queueing at the replica and
//! the limit shrinks.

/// Initial limit.
const INITIAL_LIMIT: f64 = 4.0;
/// Maximum number of concurrent calls to one replica.
const MAX_LIMIT: f64 = 1_024.0;
/// Minimum number of completed calls in a window.
const MIN_WINDOW_CALLS: u32 = 16;
/// Minimum number of completed calls in a window, as a multiple of the limit. With fewer, calls
/// that complete together would make the mean latency look too low.
const WINDOW_LIMIT_MULTIPLE: u32 = 4;
/// The limit may grow while the latency is below this multiple of the minimum.
const GROW_BELOW_RATIO: f64 = 1.5;
/// The limit shrinks when the latency exceeds this multiple of the minimum.
const SHRINK_ABOVE_RATIO: f64 = 2.5;
/// Factor by which the limit shrinks.
const SHRINK_FACTOR: f64 = 0.85;
/// Growth factor of the minimum latency in each window in which the limit was not reached.
const MIN_LATENCY_DRIFT: f64 = 1.005;

/// Concurrency limit of one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CallLimit {
    limit: f64,
    /// Lowest mean latency of a window, in milliseconds; infinite if unknown.
    min_latency_ms: f64,
    /// Number of calls in flight, integrated over the milliseconds since the window started.
    in_flight_ms: f64,
    completed: u32,
    /// Whether the limit was reached in this window.
    limit_reached: bool,
    updated_ms: u64,
}

impl Default for CallLimit {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            min_latency_ms: f64::INFINITY,
            in_flight_ms: 0.0,
            completed: 0,
            limit_reached: false,
            updated_ms: 0,
        }
    }
}

impl CallLimit {
    /// Maximum number of calls in flight; at least 1.
    pub(crate) fn max_calls(&self) -> u32 {
        self.limit as u32
    }

    /// Records the start of a call; `outstanding` does not include it.
    pub(crate) fn begin(&mut self, outstanding: u32, now_ms: u64) {
        self.advance(outstanding, now_ms);
        self.limit_reached |= outstanding + 1 >= self.max_calls();
    }

    /// Records the end of a call; `outstanding` still includes it.
    pub(crate) fn end(&mut self, outstanding: u32, now_ms: u64) {
        self.advance(outstanding, now_ms);
        self.completed += 1;
        if self.completed >= MIN_WINDOW_CALLS.max(WINDOW_LIMIT_MULTIPLE * self.max_calls()) {
            self.update_limit();
        }
    }

    /// Records that the replica refused a call because it was at capacity.
    pub(crate) fn record_refusal(&mut self) {
        self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
    }

    fn advance(&mut self, outstanding: u32, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms);
        self.in_flight_ms += f64::from(outstanding) * passed_ms as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    fn update_limit(&mut self) {
        // Latencies below a millisecond cannot be distinguished.
        let mean_ms = (self.in_flight_ms / f64::from(self.completed)).max(1.0);
        self.min_latency_ms = self.next_min_latency(mean_ms);
        if mean_ms > self.min_latency_ms * SHRINK_ABOVE_RATIO {
            self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
        } else if self.limit_reached && mean_ms < self.min_latency_ms * GROW_BELOW_RATIO {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
        self.in_flight_ms = 0.0;
        self.completed = 0;
        self.limit_reached = false;
    }

    /// Lets the minimum latency grow only while it can be measured again: below the limit, or with
    /// one call at a time. Under sustained load it would otherwise creep up together with the
    /// limit.
    fn next_min_latency(&self, mean_ms: f64) -> f64 {
        if self.limit <= 1.0 {
            return mean_ms;
        }
        let drift = if self.limit_reached {
            1.0
        } else {
            MIN_LATENCY_DRIFT
        };
        (self.min_latency_ms * drift).min(mean_ms)
    }
}
