//! Stand-in of the platform's instance list.

mod history;
mod server;
#[cfg(test)]
mod tests;

pub(crate) use server::listen;
pub use server::{RemoveInstance, SetPhase};
