//! The endpoints as this process sees them: what the platform lists, what was learnt from calls
//! to them, and which chains of engines run all layers of a model.

mod chain;
mod entry;
mod evidence;
mod heard;
#[cfg(test)]
mod held_tests;
mod known;
#[cfg(test)]
mod known_tests;
#[cfg(test)]
mod lifetime_tests;
mod listing;
mod pacing;
mod pacing_book;
mod pacing_of_fleet;
#[cfg(test)]
mod pacing_tests;
mod provenance;
#[cfg(test)]
mod provenance_tests;
mod rate_limit;
mod replicas;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod told_tests;

pub use chain::{Chain, ChainAsk, ChainStage, first_gap, plan_chain, replace_stage};
pub use entry::{
    EntryFault, FleetChange, ListedEndpoint, ListingRead, ListingScope, LiveAgain, LiveReason,
    Phase, UnusableEntry,
};
pub use evidence::{Standing, Trouble};
pub use heard::Heard;
pub use known::{EngineLoad, KnownEndpoint};
pub use listing::Fleet;
pub use pacing::{LimitWord, Pacing, PacingChange, ToldLimit};
pub(crate) use pacing_book::{PacingBook, Permit};
pub use provenance::{InfoPath, Provenance};
pub(crate) use provenance::{describe_known, describe_list};
pub use replicas::pick_replica;
