//! The entry process: everything that does I/O around the entry's state machine.
//!
//! HTTP workers read callers' requests and write answers; one actor, on a thread of its own, owns
//! the state machine and carries out its effects with one task each.

mod actor;
mod answer;
mod application_call;
mod caller;
mod calls;
mod chunk;
mod claim_call;
pub mod cli;
mod clock;
mod control_link;
mod effects;
mod handlers;
mod messages;
mod pages;
mod process;
mod reply;
mod request;
mod server;
mod signals;
mod state;
mod stream_call;
mod tally;
#[cfg(test)]
mod tests;

pub use process::EntryVariant;
