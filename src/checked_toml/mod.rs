//! Reads TOML written by people and reports every fault in it at once, each with its line.
//!
//! Documents and settings share this. A serde type stops at its first fault, so the parsed table
//! is walked instead: a [`Section`] hands out its keys to readers, collects what they refuse, and
//! at its end reports the keys that nobody asked for.

mod checker;
mod fault;
mod readers;
mod section;
#[cfg(test)]
pub(crate) mod tests;

pub(crate) use checker::{Checker, Located, check};
pub use fault::{Fault, FaultKind, Faults};
pub(crate) use readers::{
    address, base_url, flag, key_digest, name, number, one_of, secret, text, whole_number,
};
pub(crate) use section::Section;
