//! Interfaces to the platform. Another platform is another adapter; no decision changes.

mod failure;

pub use failure::TableFailure;
