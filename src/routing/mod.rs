//! Routing: which engines run a stream, and which replica takes an application call.
//!
//! [`Router`] is fed with what is known (endpoints, engine states, cache events, tokens, faults)
//! and asked for chains. It does no I/O; time and the seed of its draws are arguments.

mod applications;
mod chain;
mod endpoints;
mod graph;
mod policy;
mod router;

pub use endpoints::EndpointFault;
pub use policy::{Candidate, FlowWeighted, LeastOutstanding, Policy, RandomChoice, RoundRobin};
pub use router::{NoRoute, Poll, PollKind, RouteAsk, Router};
