//! What the lease holder knows about one engine.

use crate::ids::EndpointId;
use crate::wire::engine::{EngineAssignment, EngineState};

/// An engine from the point of view of the lease holder.
#[derive(Clone, Debug)]
pub(crate) struct EngineView<'a> {
    pub(crate) endpoint: &'a EndpointId,
    /// Last reported state; `None` if it did not respond.
    pub(crate) state: Option<&'a EngineState>,
    /// Whether it is leaving and gets no new work.
    pub(crate) leaving: bool,
    /// A pending order, which it has not yet carried out.
    pub(crate) ordered: Option<&'a EngineAssignment>,
}
