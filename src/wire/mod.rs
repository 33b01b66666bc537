//! Wire types: what crosses a process boundary. Every type here is read tolerantly
//! (unknown fields are ignored, new fields have defaults), since two releases always meet.

pub mod caller;
pub mod claim;
pub mod engine;
pub mod local;
pub mod locate;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod sse;

/// Version carried by messages between this system's own processes.
pub const WIRE_VERSION: u16 = 1;

#[cfg(test)]
mod tests;
