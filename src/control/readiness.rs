//! Whether this instance may serve: its documents come from the store, or from peers.

use indexmap::IndexSet;

use crate::ids::InstanceId;

/// How long an instance that the store does not answer waits for the rest of its peers, once one
/// of them has answered.
const GRACE_MS: u64 = 1_500;

/// What has been heard since the start.
#[derive(Clone, Debug, Default)]
pub(super) struct Readiness {
    ready: bool,
    /// Peers that have told all their documents.
    told: IndexSet<InstanceId>,
    /// When a peer that is itself ready first did so.
    first_ready_ms: Option<u64>,
}

impl Readiness {
    /// Whether the instance may serve. Never taken back.
    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Notes that the store has been read whole.
    pub(super) fn store_read(&mut self) {
        self.ready = true;
    }

    /// Notes that a peer has told all its documents.
    pub(super) fn peer_told(&mut self, peer: InstanceId, peer_is_ready: bool, now_ms: u64) {
        self.told.insert(peer);
        if peer_is_ready {
            self.first_ready_ms.get_or_insert(now_ms);
        }
    }

    /// Whether a peer has told all its documents.
    pub(super) fn has_told(&self, peer: &InstanceId) -> bool {
        self.told.contains(peer)
    }

    /// Decides from the peers alone. `behind` says whether a live peer names a revision that is
    /// higher than the one in force here.
    pub(super) fn settle<'a, I>(&mut self, mut peers: I, behind: bool, now_ms: u64)
    where
        I: Iterator<Item = &'a InstanceId>,
    {
        let Some(first_ms) = self.first_ready_ms else {
            return;
        };
        let all_told = !behind && peers.all(|peer| self.told.contains(peer));
        self.ready |= all_told || now_ms.saturating_sub(first_ms) >= GRACE_MS;
    }
}
