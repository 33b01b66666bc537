//! Stand-in of the model engines, many in one process.
//!
//! [`core`] decides what an engine does, without I/O; [`host`] holds it between its sockets,
//! [`server`] and [`tasks`] are the sockets, and [`lives`] begins and ends lifetimes.

mod begin;
mod cache;
mod checks;
mod core;
mod counters;
mod emissions;
mod endings;
mod executor;
mod fleet;
mod frames;
mod host;
mod kv;
mod ledger;
mod link;
mod links;
mod lives;
mod orders;
mod receive;
mod reporter;
mod server;
mod steps;
mod stream;
mod tasks;
#[cfg(test)]
mod tests;

pub use counters::EngineCounters;
pub use emissions::Emission;
pub use executor::{PREFILL_COST, SLOT_BATCHES};
pub use links::LINK_SILENCE_MS;
pub(crate) use lives::run;
