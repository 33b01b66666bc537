//! The endpoints as this process sees them: what the platform lists, what was learnt from calls
//! to them, and which chains of engines run all layers of a model.

mod chain;
mod evidence;
mod listing;
mod replicas;
#[cfg(test)]
mod tests;

pub use chain::{Chain, ChainAsk, ChainStage, first_gap, plan_chain, replace_stage};
pub use evidence::{Standing, Trouble};
pub use listing::{Fleet, FleetChange, KnownEndpoint, ListedEndpoint, ListingRead, Phase};
pub use replicas::pick_replica;
