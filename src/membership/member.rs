//! What is known of one peer.

use std::net::SocketAddr;

use crate::ids::ZoneName;
use crate::wire::peer::{PeerDemand, PeerPhase, PeerState};
use crate::wire::platform::{InstancePhase, InstanceRecord};

use super::beat::Beat;

/// How long a peer may be silent before it is no longer counted on.
pub(crate) const SUSPECT_MS: u64 = 2_000;
/// How long a peer may be silent before it is asked directly, on a fresh connection.
pub(crate) const PROBE_MS: u64 = 1_300;

/// What is known of one peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Member {
    /// Its record in the instance list, if it is listed.
    pub(crate) listed: Option<InstanceRecord>,
    /// Its last beat; `None` before the first.
    pub(crate) beat: Option<Beat>,
    /// When it was first known here.
    pub(crate) known_ms: u64,
    /// When its beat last moved on. A first beat at second hand does not count: it may be old.
    pub(crate) heard_ms: Option<u64>,
    /// What it says of itself. Its number is at most `beat.state`.
    pub(crate) state: Option<PeerState>,
    /// What is asked of it. Its number is at most `beat.demand`.
    pub(crate) demand: Option<PeerDemand>,
    /// Hash of the list of instances that it knows.
    pub(crate) order: Option<u32>,
    /// When it last answered a call.
    pub(crate) answered_ms: Option<u64>,
    /// Whether a call to it is under way.
    pub(crate) asked: bool,
    /// Whether the last call to it failed, so that the next takes a fresh connection.
    pub(crate) failed: bool,
    /// Earliest time of the next direct question.
    pub(crate) probe_at_ms: u64,
    /// Whether it was counted on when that was last looked at.
    pub(crate) counted_on: bool,
}

impl Member {
    /// A peer of which nothing is known but its name.
    pub(crate) fn first_known(now_ms: u64) -> Self {
        Self {
            known_ms: now_ms,
            ..Self::default()
        }
    }

    /// Whether it was heard of lately.
    pub(crate) fn is_live(&self, now_ms: u64) -> bool {
        self.silent_ms(now_ms)
            .is_some_and(|silent_ms| silent_ms <= SUSPECT_MS)
    }

    /// Time since it was last heard of; `None` if it never was.
    pub(crate) fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.heard_ms
            .map(|heard_ms| now_ms.saturating_sub(heard_ms))
    }

    /// Whether callers may be sent to it.
    pub(crate) fn is_serving(&self, now_ms: u64) -> bool {
        self.is_live(now_ms) && self.phase() == PeerPhase::Serving && !self.is_listed_leaving()
    }

    /// What it last said that it does.
    pub(crate) fn phase(&self) -> PeerPhase {
        self.state
            .as_ref()
            .map_or(PeerPhase::NotReady, |state| state.phase)
    }

    /// Whether the instance list says that it leaves.
    pub(crate) fn is_listed_leaving(&self) -> bool {
        self.listed
            .as_ref()
            .is_some_and(|record| record.phase == InstancePhase::Leaving)
    }

    /// Where callers connect.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        let said = self.state.as_ref().map(|state| state.address);
        said.or(self.listed.as_ref().map(|record| record.address))
    }

    /// Where its control listens.
    pub(crate) fn control_address(&self) -> Option<SocketAddr> {
        let listed = || self.listed.as_ref().and_then(|it| it.control_address);
        let said = self.state.as_ref().map(|state| state.control_address);
        // A peer that is silent may have been replaced under another address.
        if self.failed {
            listed().or(said)
        } else {
            said.or_else(listed)
        }
    }

    /// Its availability zone.
    pub(crate) fn zone(&self) -> Option<&ZoneName> {
        let said = self.state.as_ref().map(|state| &state.zone);
        said.or(self.listed.as_ref().map(|record| &record.zone))
    }
}
