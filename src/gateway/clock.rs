//! The time, read by drivers and passed to decisions.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The two clocks of a process.
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
            started_unix_ms: unix.map_or(0, whole_ms),
        }
    }

    /// Milliseconds since the process started.
    pub(crate) fn now_ms(self) -> u64 {
        whole_ms(self.started.elapsed())
    }

    /// Milliseconds since the Unix epoch at the start of the monotonic clock.
    pub(crate) fn started_unix_ms(self) -> u64 {
        self.started_unix_ms
    }

    /// Milliseconds since the Unix epoch; never goes back.
    pub(crate) fn unix_ms(self) -> u64 {
        self.started_unix_ms + self.now_ms()
    }
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
