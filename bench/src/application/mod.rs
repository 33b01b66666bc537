//! Stand-in of an application service's replicas.

mod replica;
mod server;
#[cfg(test)]
mod tests;

pub(crate) use server::listen;
