//! The audit trail: a bounded queue in memory, written to the table service in batches.

mod queue;
mod rows;
#[cfg(test)]
mod tests;

pub(crate) use queue::AuditQueue;
pub(crate) use rows::{accept_write, audit_page, audit_scan};
