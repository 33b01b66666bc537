//! How loads at engines change from one heartbeat of a peer to its next.

use indexmap::IndexMap;

use crate::ids::EndpointId;

/// A load that has changed at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LoadChange {
    pub(super) endpoint: EndpointId,
    /// Tokens times layers held before.
    pub(super) before: u64,
    /// Tokens times layers held now.
    pub(super) now: u64,
}

/// How loads change when a peer that held `before` holds `now`.
pub(super) fn load_changes(
    before: Vec<(EndpointId, u64)>,
    now: &[(EndpointId, u64)],
) -> Vec<LoadChange> {
    let mut before: IndexMap<EndpointId, u64> = before.into_iter().collect();
    let mut changes: Vec<LoadChange> = now
        .iter()
        .map(|(endpoint, amount)| LoadChange {
            before: before.swap_remove(endpoint).unwrap_or(0),
            endpoint: endpoint.clone(),
            now: *amount,
        })
        .collect();
    let ended = before.into_iter().map(|(endpoint, before)| LoadChange {
        endpoint,
        before,
        now: 0,
    });
    changes.extend(ended);
    changes
}
