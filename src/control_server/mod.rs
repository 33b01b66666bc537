//! The driver of a control process: an actor around [`crate::control::Control`], the JSON-RPC
//! server and clients, and the platform's adapters. No decision is made here.

mod actor;
mod cli;
mod counted;
mod effects;
mod handlers;
mod peers;
mod platform;
mod run;
mod server;
#[cfg(test)]
mod tests;
mod traffic;

pub use cli::ControlCli;
pub use run::{ControlError, run};
