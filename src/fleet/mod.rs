//! Endpoints as this process knows them: the platform's endpoint list, what calls to the endpoints
//! have shown, and the chains of engines that together run all layers of a model.

mod chain;
#[cfg(test)]
mod chain_choice_tests;
mod chain_cost;
mod chain_path;
mod entry;
mod fleet_pacing;
mod health;
mod known;
#[cfg(test)]
mod known_tests;
mod last_heard;
mod leaving;
#[cfg(test)]
mod lifetime_tests;
mod listing;
mod pacing;
mod pacing_state;
#[cfg(test)]
mod pacing_tests;
#[cfg(test)]
mod peer_report_tests;
mod provenance;
#[cfg(test)]
mod provenance_tests;
mod rate_limit;
mod reach;
#[cfg(test)]
mod reach_tests;
#[cfg(test)]
mod refusal_tests;
mod replacement;
mod replicas;
#[cfg(test)]
mod retained_tests;
#[cfg(test)]
mod tests;
mod unread;
#[cfg(test)]
mod unread_tests;

pub use chain::{Chain, ChainRequest, ChainStage, Zones, first_gap, plan_chain, replace_stage};
pub use entry::{
    EntryError, FleetChange, ListedEndpoint, ListingRead, ListingScope, LiveAgain, LiveReason,
    Phase, UnusableEntry,
};
pub use health::{EndpointFailure, EndpointHealth};
pub use known::{EngineLoad, KnownEndpoint};
pub use last_heard::LastHeard;
pub use listing::Fleet;
pub use pacing::{LimitReport, Pacing, PacingChange, RateLimitUpdate};
pub(crate) use pacing_state::{PacingState, Permit};
pub use provenance::{InfoSource, Provenance};
pub(crate) use provenance::{describe_known, describe_list};
pub(crate) use reach::{ReachChange, ServiceReach};
pub use replicas::{RepeatChoice, pick_living_replica, pick_replica};
pub(crate) use unread::UnreadPrompt;
