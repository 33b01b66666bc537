//! Routing: selects the engines that run a stream and the replica that takes an application call.
//!
//! [`Router`] is given the known state (endpoints, engine states, cache events, tokens, faults) and
//! returns chains. It does no I/O; the time and the random seed are passed in.

mod affinity;
mod applications;
mod assembly;
mod bound;
mod call_limit;
mod chain;
mod classes;
mod endpoints;
mod estimate;
mod flow;
mod gap_history;
mod graph;
mod lanes;
mod links;
mod observations;
mod planning;
mod policy;
mod polls;
mod program;
mod rebuild;
mod route_updates;
mod router;
mod routes;
mod simplex;
mod slot_allocation;
mod slot_limit;
mod streams;

pub use endpoints::EndpointFault;
pub use policy::{
    Candidate, FlowWeighted, LeastOutstanding, Policy, PolicyKind, RandomChoice, RoundRobin,
};
pub use polls::{Poll, PollKind};
pub use router::{NoRoute, RouteRequest, Router};

#[cfg(test)]
mod tests;
