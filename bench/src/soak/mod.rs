//! A run under faults drawn by seed, with callers that retry for ever.

mod callers;
mod documents;
mod inject;
mod plan;
mod result;
mod run;

pub use result::SoakResult;
pub use run::{SoakOptions, run};

#[cfg(test)]
mod tests;
