//! Log lines and counters of a process.

mod counters;
mod log_lines;
mod sink;
#[cfg(test)]
mod tests;

pub use counters::Counters;
pub use log_lines::{TelemetryError, init_log};
