//! How many calls of this entry may be at one replica of an application, learnt from its times.
//!
//! The mean time of a call follows from Little's law: calls in flight, summed over time, divided by
//! the calls that ended. While that time stays near the shortest known, a limit that was reached
//! grows; when calls take far longer, they queue at the replica and the limit shrinks.

/// First limit.
const START: f64 = 4.0;
/// Most calls at one replica.
const MOST: f64 = 1_024.0;
/// Calls after which the limit is judged at the earliest.
const WINDOW_CALLS: u32 = 16;
/// Calls after which the limit is judged, in limits: calls that end together must not count as
/// short ones.
const WINDOW_LIMITS: u32 = 4;
/// Times above the shortest, as a factor, up to which the limit may grow.
const GROW_BELOW: f64 = 1.5;
/// Times above the shortest, as a factor, from which the limit shrinks.
const SHRINK_ABOVE: f64 = 2.5;
/// Part of the limit that stays when it shrinks.
const SHRINK_TO: f64 = 0.85;
/// Growth of the shortest time in each window below the limit.
const SHORTEST_DRIFT: f64 = 1.005;

/// Calls in flight at one replica, and their limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CallLimit {
    limit: f64,
    /// Shortest mean time of a window, in milliseconds; infinite if not known.
    shortest_ms: f64,
    /// Calls in flight times milliseconds since the window began.
    area_ms: f64,
    ended: u32,
    /// Whether the limit was reached in this window.
    reached: bool,
    updated_ms: u64,
}

impl Default for CallLimit {
    fn default() -> Self {
        Self {
            limit: START,
            shortest_ms: f64::INFINITY,
            area_ms: 0.0,
            ended: 0,
            reached: false,
            updated_ms: 0,
        }
    }
}

impl CallLimit {
    /// Calls that may be in flight; at least 1.
    pub(crate) fn calls(&self) -> u32 {
        self.limit as u32
    }

    /// A call begins; `outstanding` is without it.
    pub(crate) fn begin(&mut self, outstanding: u32, now_ms: u64) {
        self.advance(outstanding, now_ms);
        self.reached |= outstanding + 1 >= self.calls();
    }

    /// A call has ended; `outstanding` is still with it.
    pub(crate) fn end(&mut self, outstanding: u32, now_ms: u64) {
        self.advance(outstanding, now_ms);
        self.ended += 1;
        if self.ended >= WINDOW_CALLS.max(WINDOW_LIMITS * self.calls()) {
            self.judge();
        }
    }

    /// The replica refused a call for want of room.
    pub(crate) fn refused(&mut self) {
        self.limit = (self.limit * SHRINK_TO).max(1.0);
    }

    fn advance(&mut self, outstanding: u32, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms);
        self.area_ms += f64::from(outstanding) * passed_ms as f64;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    fn judge(&mut self) {
        // Times below a millisecond cannot be told apart.
        let mean_ms = (self.area_ms / f64::from(self.ended)).max(1.0);
        self.shortest_ms = self.shortest(mean_ms);
        if mean_ms > self.shortest_ms * SHRINK_ABOVE {
            self.limit = (self.limit * SHRINK_TO).max(1.0);
        } else if self.reached && mean_ms < self.shortest_ms * GROW_BELOW {
            self.limit = (self.limit + 1.0).min(MOST);
        }
        self.area_ms = 0.0;
        self.ended = 0;
        self.reached = false;
    }

    /// The shortest time is only forgotten while it can be seen anew: below the limit, or with one
    /// call at a time. Under lasting load it would creep up with the limit.
    fn shortest(&self, mean_ms: f64) -> f64 {
        if self.limit <= 1.0 {
            return mean_ms;
        }
        let drift = if self.reached { 1.0 } else { SHORTEST_DRIFT };
        (self.shortest_ms * drift).min(mean_ms)
    }
}
