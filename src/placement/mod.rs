//! Which layers each engine holds.
//!
//! The plan is worked out from what engines hold now, so that any instance comes to the same
//! orders and an order that was lost or carried out late is simply found missing or superfluous.
//! Layers are spread inside each availability zone, since the links between zones cannot carry
//! every request's activations.

mod coverage;
mod planner;
mod sizing;
#[cfg(test)]
mod tests;

pub use coverage::PlacedEngine;
pub use planner::{PlacementOrder, PlacementPlanner};
