//! Differences between the engine loads in two consecutive heartbeats of a peer.

use indexmap::IndexMap;

use crate::fleet::EngineLoad;
use crate::ids::EndpointId;

/// A peer's load on an engine, before and after a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoadChange {
    pub(super) endpoint: EndpointId,
    pub(super) before: EngineLoad,
    pub(super) now: EngineLoad,
}

/// Compares the loads of a peer's previous heartbeat with those of its current one. An engine that is in
/// only one of them has no load in the other.
pub(super) fn load_changes(
    before: Vec<(EndpointId, EngineLoad)>,
    now: &[(EndpointId, EngineLoad)],
) -> Vec<LoadChange> {
    let mut before: IndexMap<EndpointId, EngineLoad> = before.into_iter().collect();
    let mut changes: Vec<LoadChange> = now
        .iter()
        .map(|(endpoint, load)| LoadChange {
            before: before.swap_remove(endpoint).unwrap_or_default(),
            endpoint: endpoint.clone(),
            now: *load,
        })
        .collect();
    let removed = before.into_iter().map(|(endpoint, before)| LoadChange {
        endpoint,
        before,
        now: EngineLoad::default(),
    });
    changes.extend(removed);
    changes
}
