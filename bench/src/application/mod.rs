//! Stand-in of an application service's replicas.

mod replica;
mod server;
#[cfg(test)]
mod tests;

pub use replica::{ApplicationCounters, Echo};
pub(crate) use server::listen;
