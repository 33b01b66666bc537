//! What operators decide about relayed requests: routes, services, client accounts and limits.
//!
//! A [`RouteTable`] is one accepted version, whole. [`CurrentTable`] keeps the newest one and how
//! long ago it was known to be the newest.

mod held;
mod table;
#[cfg(test)]
mod tests;

pub use held::{CurrentTable, TableChange, TableWithSource};
pub use table::{
    AcceleratorKind, Account, EngineModel, Limits, Rejection, RepeatPolicy, Resolved, Route,
    RouteTable, ServiceSpec, WeightedService,
};
