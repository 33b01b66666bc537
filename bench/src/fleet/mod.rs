//! Runs a fleet of real processes on loopback: starts, kills, freezes and replaces them by id.

mod address;
mod documents;
mod entry_program;
mod error;
mod name;
mod process;
mod program;
mod running;
mod settings;
mod standin;
#[cfg(test)]
mod tests;
mod wait;

pub use address::AddressBook;
pub use documents::{accept_request, accept_text, connect_control, operator_key, repository_root};
pub use entry_program::EntryProgram;
pub use error::FleetError;
pub use name::ProcessName;
pub use process::Process;
pub use program::program;
pub use running::Fleet;
pub use standin::StandinClient;
pub use wait::wait_until;
