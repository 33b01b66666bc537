//! A clock that keeps running while the machine is suspended.
//!
//! Ages of what was read and ends of leases are counted on it: the monotonic clock stands still
//! during a suspension, and a process that wakes up would take old data for fresh.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds on the boot-time clock; only differences have a meaning.
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
