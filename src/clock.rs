//! The boot-time clock, which keeps running while the machine is suspended, and the wall clock.
//!
//! Data ages and lease expiry use the boot-time clock: the monotonic clock stops during a
//! suspension, so a resumed process would treat stale data as fresh.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds on the boot-time clock; only differences are meaningful.
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Milliseconds since the Unix epoch, for values that must survive a reboot. The wall clock may be
/// set back.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
