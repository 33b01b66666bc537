//! Assignment of layers to engines.
//!
//! The plan is computed from what engines hold now, so any instance arrives at the same orders, and
//! an order that was lost or carried out late simply turns out to be missing or superfluous. Layers
//! are spread inside each availability zone, since the links between zones cannot carry every
//! request's activations.

mod coverage;
mod planner;
mod sizing;
#[cfg(test)]
mod tests;

pub use coverage::PlacedEngine;
pub use planner::{PlacementOrder, PlacementPlanner};
