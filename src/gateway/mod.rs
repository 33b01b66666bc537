//! The entry process: performs the I/O for the entry's state machine.
//!
//! HTTP workers read callers' requests and write responses; one actor on a dedicated thread owns
//! the state machine and runs each asynchronous effect as a separate task.

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
