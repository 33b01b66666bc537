//! Wire types: messages that cross a process boundary.
//!
//! Processes of two releases run side by side during an upgrade, so unknown fields are ignored and
//! new fields need a default.

pub mod caller;
pub mod claim;
pub mod engine;
pub mod local;
pub mod locate;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod sse;

/// Protocol version carried by messages between the processes of this system.
pub const WIRE_VERSION: u16 = 1;

#[cfg(test)]
mod tests;
