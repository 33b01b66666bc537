//! Operator configuration of relayed requests: routes, services, client accounts and limits.
//!
//! A [`RouteTable`] is one complete accepted version. [`CurrentTable`] holds the newest known
//! version and the time at which it was last confirmed to be the newest.

mod held;
mod table;
#[cfg(test)]
mod tests;

pub use held::{CurrentTable, TableChange, TableWithSource};
pub use table::{
    AcceleratorKind, Account, EngineModel, Limits, Rejection, Resolved, RetryPolicy, Route,
    RouteTable, ServiceSpec, WeightedService,
};
