//! Documents: one per service, written by its operators in TOML and checked whole.

mod changes;
mod digest;
mod duplicates;
mod model;
mod parse;
mod plain_path;
mod queries;
mod sections;
#[cfg(test)]
mod tests;

pub use changes::{Change, ChangeKind};
pub use digest::{DocumentDigest, digest};
pub use model::{
    Account, Document, KeyDigest, ModelOffer, NonIdempotentRule, Operator, OperatorRole, Priority,
    ServiceKind,
};
pub use parse::MAX_DOCUMENT_BYTES;

pub use crate::checked_toml::Faults as DocumentFaults;
