//! Interfaces to the platform and the engines, and their HTTP adapters. Another platform is
//! another adapter; no decision changes.
//!
//! An adapter belongs to the thread that made it. Each call has a timeout, after which the pooled
//! connections to that peer are thrown away, since open connections can go silent for good.

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
