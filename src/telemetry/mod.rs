//! Logging and metrics of a process.

mod counters;
mod log_lines;
mod sink;
mod stdout;
#[cfg(test)]
mod tests;

pub use counters::Counters;
pub use log_lines::{TelemetryError, init_log};
pub use stdout::init_stdout_log;
