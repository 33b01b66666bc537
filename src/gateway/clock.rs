//! The process clock. Drivers read it and pass the time to the state machine.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time since the process started, and the Unix time at that moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
    started_unix_ms: u64,
}

impl Clock {
    /// Starts the monotonic clock at 0.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            started: Instant::now(),
            started_unix_ms: unix.map_or(0, as_millis),
        }
    }

    /// Milliseconds since the process started.
    pub(crate) fn now_ms(self) -> u64 {
        as_millis(self.started.elapsed())
    }

    /// Milliseconds since the Unix epoch at the start of the monotonic clock.
    pub(crate) fn started_unix_ms(self) -> u64 {
        self.started_unix_ms
    }

    /// Milliseconds since the Unix epoch; never decreases.
    pub(crate) fn unix_ms(self) -> u64 {
        self.started_unix_ms + self.now_ms()
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
