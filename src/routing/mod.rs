//! Routing: which engines run a stream, and which replica takes an application call.
//!
//! [`Router`] is fed with what is known (endpoints, engine states, cache events, tokens, faults)
//! and asked for chains. It does no I/O; time and the seed of its draws are arguments.

mod affinity;
mod applications;
mod assembly;
mod bound;
mod calls;
mod chain;
mod classes;
mod deal;
mod endpoints;
mod estimate;
mod flow;
mod gaps;
mod graph;
mod lanes;
mod limits;
mod links;
mod observing;
mod planning;
mod policy;
mod polls;
mod program;
mod rebuild;
mod router;
mod routes;
mod simplex;
mod streams;
mod upkeep;

pub use endpoints::EndpointFault;
pub use policy::{
    Candidate, FlowWeighted, LeastOutstanding, Policy, PolicyKind, RandomChoice, RoundRobin,
};
pub use polls::{Poll, PollKind};
pub use router::{NoRoute, RouteRequest, Router};

#[cfg(test)]
mod tests;
