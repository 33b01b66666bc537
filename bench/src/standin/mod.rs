//! What all stand-ins share: command line, faults, listeners.

mod cli;
mod error;
pub mod faults;
mod gate;
mod limit;
mod run;
mod serve;

pub use cli::{FleetArgs, StandinArgs, StandinKind};
pub use error::StandinError;
pub(crate) use gate::{Gate, thaw_later};
pub(crate) use limit::StoreLimits;
pub use run::run;
pub(crate) use run::say_ready;
pub(crate) use serve::{cut_reply, serve};

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    unix_us() / 1000
}

/// Microseconds since the Unix epoch; the clock that engines in several processes share.
pub(crate) fn unix_us() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}
