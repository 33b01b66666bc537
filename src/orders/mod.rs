//! Orders to engines: what each engine should hold, and which engines may change now.
//!
//! The plan is a pure function of the documents and the engines' states. It is recomputed until
//! both agree, so an outdated order is corrected the next time.

mod capacity;
mod desired;
mod plan;
#[cfg(test)]
mod tests;
mod view;

pub(crate) use plan::plan;
pub(crate) use view::EngineView;
