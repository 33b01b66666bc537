//! fescueshore: a router for language-model pipelines over mixed accelerators.
//!
//! Each module covers one responsibility and has its own state, messages and tests. Decision logic
//! does no I/O: a state machine takes a message and the current time and returns effects, and a
//! thin driver executes them. [`instance`] defines every message and effect of one instance.

pub mod admission;
mod audit;
mod block_buffer;
#[cfg(test)]
mod block_buffer_tests;
pub(crate) mod chain;
mod checked_toml;
pub mod claims;
pub mod clients;
pub mod clock;
pub mod control;
pub mod control_server;
pub mod ctl;
mod demand;
mod dissemination;
#[cfg(test)]
mod dissemination_tests;
pub mod document;
pub mod entry;
mod event_loop;
pub mod exit_codes;
pub mod fairness;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod instance;
pub mod invariant;
pub mod keys;
mod lease;
mod membership;
mod orders;
pub mod outcome;
pub mod placement;
pub mod quarantine;
pub mod relay;
pub mod relay_server;
mod revision;
pub mod route_table;
pub mod routing;
pub mod rpc;
pub mod settings;
mod start_queue;
pub mod telemetry;
pub mod wire;

pub use checked_toml::{Fault, FaultKind, Faults};
