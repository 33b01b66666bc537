//! How loads at engines change from one heartbeat of a peer to its next.

use indexmap::IndexMap;

use crate::fleet::EngineLoad;
use crate::ids::EndpointId;

/// A load that has changed at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoadChange {
    pub(super) endpoint: EndpointId,
    pub(super) before: EngineLoad,
    pub(super) now: EngineLoad,
}

/// How loads change when a peer that held `before` holds `now`.
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
    let ended = before.into_iter().map(|(endpoint, before)| LoadChange {
        endpoint,
        before,
        now: EngineLoad::default(),
    });
    changes.extend(ended);
    changes
}
