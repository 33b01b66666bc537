//! What the lease's holder knows of one engine.

use crate::ids::EndpointId;
use crate::wire::engine::{EngineAssignment, EngineState};

/// An engine as the lease's holder sees it.
#[derive(Clone, Debug)]
pub(crate) struct EngineView<'a> {
    /// Engine.
    pub(crate) endpoint: &'a EndpointId,
    /// What it last said; `None` if it did not answer.
    pub(crate) state: Option<&'a EngineState>,
    /// Whether it gets no new work for good.
    pub(crate) leaving: bool,
    /// An order that it was sent and has not fulfilled.
    pub(crate) ordered: Option<&'a EngineAssignment>,
}
