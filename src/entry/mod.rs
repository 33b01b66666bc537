//! The entry: authenticates, admits, routes and answers requests.
//!
//! [`Entry`] takes messages and the present time and returns effects; it does no I/O and reads
//! no clock. A driver delivers the messages and executes the effects.

mod applications;
mod arrival;
mod attempt;
mod book;
mod claimed;
mod completions;
mod config;
mod counts;
mod directory;
mod dispatch;
mod locate;
mod machine;
mod report;
mod resolve;
mod streams;
#[cfg(test)]
mod tests;
mod verdict;
mod views;

pub use config::{EntryConfig, EntryLimits, ShareSource};
pub use machine::Entry;
pub use views::ModelView;
