//! Documents: one per service, written by its operators in TOML and checked whole.

mod model;

pub use model::{
    Account, Document, KeyDigest, ModelOffer, NonIdempotentRule, Operator, OperatorRole, Priority,
    ServiceKind,
};
