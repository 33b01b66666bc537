//! What operators decide about relayed requests: routes, services, client accounts and limits.
//!
//! A [`RouteTable`] is one accepted version, whole. [`HeldTable`] keeps the newest one and how
//! long ago it was known to be the newest.

mod held;
mod table;
#[cfg(test)]
mod tests;

pub use held::{HeldTable, SourcedTable, TableChange};
pub use table::{
    Account, EngineKind, EngineModel, Limits, Rejection, Repeat, Resolved, Route, RouteTable,
    ServiceSpec, WeightedService,
};
