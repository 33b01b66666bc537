//! Stand-in of the table service.

mod server;
mod store;
#[cfg(test)]
mod tests;

pub(crate) use server::listen;
