//! Orders to engines: what each should hold, and which of them may change it now.
//!
//! The plan is a pure function of the documents and of what the engines say, so it is repeated
//! until they agree; a stale order is repaired by the next look.

mod capacity;
mod desired;
mod plan;
#[cfg(test)]
mod tests;
mod view;

pub(crate) use plan::plan;
pub(crate) use view::EngineView;
