//! Interfaces to the platform services and the model engines, and their HTTP implementations.
//! Supporting another platform means implementing these traits; routing and placement logic does
//! not change.
//!
//! A client is bound to the thread that created it. Every call has a timeout, except those that
//! open a stream. A call that fails or times out discards the pooled connections to that peer,
//! because an established connection can stop delivering data without being closed.

mod engine;
mod failure;
mod http;
mod instances;
mod objects;
mod table;
#[cfg(test)]
mod tests;

pub use engine::{EngineApi, HttpEngines};
pub use failure::{EngineCallFailure, InstanceListFailure, ObjectFailure, TableFailure};
pub(crate) use http::HttpStream;
pub use http::{HttpCall, HttpFailure, HttpPeer, HttpPeers, HttpReply};
pub use instances::{HttpInstances, InstanceSource};
pub use objects::{HttpObjects, ObjectStore};
pub(crate) use table::call_table;
pub use table::{HttpTable, TableService};
