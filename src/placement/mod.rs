//! Assignment of layers to engines.
//!
//! The plan is computed from what engines hold now, so any instance arrives at the same orders, and
//! an order that was lost or carried out late simply turns out to be missing or superfluous. Layers
//! are spread inside each availability zone, since the links between zones cannot carry every
//! request's activations.
//!
//! How much memory an engine keeps for requests depends on the demand of its zone and on the requests that
//! engines reject; see `sizing`.

mod coverage;
mod planner;
mod shrink;
#[cfg(test)]
mod shrink_tests;
mod sizing;
#[cfg(test)]
mod tests;
mod throughput;

pub use coverage::PlacedEngine;
pub use planner::{PlacementOrder, PlacementPlanner};
pub use sizing::{ZoneLoad, ZoneSizing};
