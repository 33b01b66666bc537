//! What this process knows about one endpoint.

use serde::{Deserialize, Serialize};

use crate::ids::EndpointId;
use crate::wire::engine::LayerRange;

use super::{ChainStage, EndpointHealth, LastHeard, ListedEndpoint, Phase, Provenance};

/// How long layers reported by an engine override the list, which may still show the previous ones.
const LAYERS_OVERRIDE_MS: u64 = 1_500;
/// How long layers that an engine was ordered to give up override the list. It reports them until the requests
/// that pass through them have ended, which takes a few seconds, and the list lags behind by about two.
const GIVEN_UP_LAYERS_OVERRIDE_MS: u64 = 8_000;

/// Load of an engine that is due to the requests of some instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Tokens times layers in its memory.
    pub token_layers: u64,
    /// Requests that start at this engine and occupy its slots.
    pub requests: u32,
    /// Prompt tokens times layers that were sent to it and that it has not read yet.
    pub unread_token_layers: u64,
}

impl EngineLoad {
    /// Sum of both loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            token_layers: self.token_layers.saturating_add(other.token_layers),
            requests: self.requests.saturating_add(other.requests),
            unread_token_layers: self
                .unread_token_layers
                .saturating_add(other.unread_token_layers),
        }
    }

    /// This load without `part`.
    pub fn minus(self, part: Self) -> Self {
        Self {
            token_layers: self.token_layers.saturating_sub(part.token_layers),
            requests: self.requests.saturating_sub(part.requests),
            unread_token_layers: self
                .unread_token_layers
                .saturating_sub(part.unread_token_layers),
        }
    }
}

/// An endpoint and what this process knows about it.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// The current entry.
    pub listed: ListedEndpoint,
    /// Source and time of the newest information.
    pub provenance: Provenance,
    /// Health as shown by calls.
    pub health: EndpointHealth,
    /// When something was last received from it. A connection does not count: the kernel accepts them for a process
    /// that is stopped.
    pub last_heard: LastHeard,
    /// When a connection to it was last found to be accepted, so that its process had not exited; 0 if never.
    pub accepted_connection_ms: u64,
    /// Requests of this process that are in flight there.
    pub in_flight: u32,
    /// Tokens times layers in its memory that belong to requests of this process.
    pub held_token_layers: u64,
    /// Prompt tokens times layers of this process that were sent to it and that it has not read yet.
    pub own_unread_token_layers: u64,
    /// Load due to requests of other instances, as last reported by them.
    pub peers_load: EngineLoad,
    /// Time until which the layers reported by the engine itself override the list.
    reported_layers_until_ms: Option<u64>,
    /// Until when the engine may still report layers that it was ordered to give up.
    gives_up_until_ms: Option<u64>,
    /// Layers according to the list.
    layers_in_list: Option<LayerRange>,
    /// Phase according to the list, without reports of peers.
    pub(super) phase_in_list: Phase,
    /// When the entry was found missing after an outage of the list.
    pub(super) missing_since_ms: Option<u64>,
}

impl KnownEndpoint {
    pub(super) fn new(listed: ListedEndpoint, provenance: Provenance) -> Self {
        let layers_in_list = listed.layers;
        let phase_in_list = listed.phase;
        Self {
            listed,
            provenance,
            health: EndpointHealth::default(),
            last_heard: LastHeard::default(),
            accepted_connection_ms: 0,
            in_flight: 0,
            held_token_layers: 0,
            own_unread_token_layers: 0,
            peers_load: EngineLoad::default(),
            reported_layers_until_ms: None,
            gives_up_until_ms: None,
            layers_in_list,
            phase_in_list,
            missing_since_ms: None,
        }
    }

    /// The endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.listed.id
    }

    /// Applies the layers that the engine itself reported; they override the list for a while.
    pub fn set_reported_layers(&mut self, layers: Option<LayerRange>, now_ms: u64) {
        let gives_up = self.gives_up_until_ms.is_some_and(|until| now_ms < until);
        let kept = self.listed.layers.filter(|_| gives_up);
        if kept.is_some_and(|kept| layers.is_some_and(|reported| reported.covers(kept))) {
            return;
        }
        self.gives_up_until_ms = None;
        self.listed.layers = layers;
        self.reported_layers_until_ms = Some(now_ms + LAYERS_OVERRIDE_MS);
    }

    /// Applies an order to hold `ordered` layers. An engine that only gives layers up goes on serving the others;
    /// one that has to load some gets no new requests until it reports them.
    pub fn set_ordered_layers(&mut self, ordered: LayerRange, now_ms: u64) {
        let only_gives_up = self.listed.layers.is_some_and(|held| held.covers(ordered));
        if only_gives_up {
            self.listed.layers = Some(ordered);
            let until_ms = now_ms + GIVEN_UP_LAYERS_OVERRIDE_MS;
            self.reported_layers_until_ms = Some(until_ms);
            self.gives_up_until_ms = Some(until_ms);
        } else {
            self.gives_up_until_ms = None;
            self.set_reported_layers(None, now_ms);
        }
    }

    /// A stage with all layers that the engine holds, if it holds any.
    pub fn stage(&self) -> Option<ChainStage> {
        Some(ChainStage {
            endpoint: self.listed.id.clone(),
            address: self.listed.address,
            layers: self.listed.layers?,
        })
    }

    /// Whether the endpoint is live and verified, so that it may get new work.
    pub fn accepts_work(&self) -> bool {
        self.listed.phase == Phase::Live && !self.health.is_unverified()
    }

    /// Whether a request can start there. An engine must hold the first layer.
    pub(super) fn can_start_requests(&self) -> bool {
        let holds_first = |layers: LayerRange| layers.first == 0 && !layers.is_empty();
        self.listed.kind.is_none() || self.listed.layers.is_some_and(holds_first)
    }

    /// Whether its entry is missing from the list and only retained, since it may have expired
    /// during an outage of the store.
    pub(super) fn is_retained(&self) -> bool {
        self.missing_since_ms.is_some()
    }

    /// When its process was last known not to have exited; 0 if never.
    pub fn last_alive_ms(&self) -> u64 {
        self.last_heard.at_ms().max(self.accepted_connection_ms)
    }

    /// Whether something was received after the failed probe was sent. Does not apply to an endpoint
    /// that refuses connections or has ended: what it sent earlier does not show that it is alive.
    pub fn heard_since_probe(&self) -> bool {
        let probe_sent_ms = self.health.unanswered_since_ms();
        let is_heard =
            probe_sent_ms.is_some_and(|probe_sent_ms| self.last_heard.at_ms() > probe_sent_ms);
        is_heard && !self.health.has_ended() && self.health.refused_ms().is_none()
    }

    /// Whether the requests that run there count as lost.
    pub fn is_lost(&self) -> bool {
        self.health.is_dead() && !self.heard_since_probe()
    }

    /// Records that a probe sent at `probe_sent_ms` got no response. Returns whether the endpoint has
    /// become paused.
    pub fn record_unanswered(&mut self, probe_sent_ms: u64, now_ms: u64) -> bool {
        if self.heard_since_probe() {
            self.health.clear();
        }
        self.health.record_unanswered(probe_sent_ms, now_ms)
    }

    /// Tokens times layers in its memory, for requests of all instances.
    pub fn token_layers(&self) -> u64 {
        self.held_token_layers
            .saturating_add(self.peers_load.token_layers)
    }

    /// Load due to requests of this process, as reported to others.
    pub fn own_load(&self) -> EngineLoad {
        EngineLoad {
            token_layers: self.held_token_layers,
            requests: self.in_flight,
            unread_token_layers: self.own_unread_token_layers,
        }
    }

    /// Prompt tokens times layers that it still has to read, for requests of all instances.
    pub fn unread_token_layers(&self) -> u64 {
        self.own_unread_token_layers
            .saturating_add(self.peers_load.unread_token_layers)
    }

    /// Requests of all instances that start at this engine.
    pub fn requests(&self) -> u32 {
        self.in_flight.saturating_add(self.peers_load.requests)
    }

    /// The entry according to the list, without reports of engines and peers.
    pub(super) fn as_listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            phase: self.phase_in_list,
            layers: self.layers_in_list,
            ..self.listed.clone()
        }
    }

    /// Applies a newer entry of the same lifetime; `phase` replaces the phase of the entry.
    pub(super) fn update(
        &mut self,
        mut entry: ListedEndpoint,
        phase: Phase,
        provenance: Provenance,
    ) {
        self.provenance = provenance;
        self.missing_since_ms = None;
        self.layers_in_list = entry.layers;
        self.phase_in_list = entry.phase;
        if self.reported_layers_until_ms.is_some() {
            entry.layers = self.listed.layers;
        }
        entry.phase = phase;
        self.listed = entry;
    }

    /// Returns to the layers of the list once the engine's report has expired.
    pub(super) fn expire_reported_layers(&mut self, now_ms: u64) {
        let is_over = |until| now_ms >= until;
        if self.reported_layers_until_ms.is_some_and(is_over) {
            self.reported_layers_until_ms = None;
            self.gives_up_until_ms = None;
            self.listed.layers = self.layers_in_list;
        }
    }
}
