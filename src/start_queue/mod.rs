//! Decides in which order the streams of a service get capacity that becomes available, and which
//! are refused because their turn would come too late.

mod queue;
mod rate;
mod recent_service;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod tests;

pub(crate) use queue::{Joined, Rank, StartQueue, TurnOutcome, wait_bound_ms};
