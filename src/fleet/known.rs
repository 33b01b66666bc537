//! One endpoint and what this process knows of it.

use serde::{Deserialize, Serialize};

use crate::ids::EndpointId;
use crate::wire::engine::LayerRange;

use super::{ChainStage, EndpointHealth, LastHeard, ListedEndpoint, Phase, Provenance};

/// How long the list may still show the layers that an engine held before.
const LAYERS_OVERRIDE_MS: u64 = 1_500;

/// What the requests of some instances take up at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Tokens times layers in its memory.
    pub token_layers: u64,
    /// Requests that it has as the first engine of their chains: they take up its slots.
    pub requests: u32,
}

impl EngineLoad {
    /// Both together.
    pub fn plus(self, other: Self) -> Self {
        Self {
            token_layers: self.token_layers.saturating_add(other.token_layers),
            requests: self.requests.saturating_add(other.requests),
        }
    }

    /// This one without a part of it.
    pub fn minus(self, part: Self) -> Self {
        Self {
            token_layers: self.token_layers.saturating_sub(part.token_layers),
            requests: self.requests.saturating_sub(part.requests),
        }
    }
}

/// An endpoint and what this process knows of it.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// The newest entry.
    pub listed: ListedEndpoint,
    /// How and when the newest word on it came.
    pub provenance: Provenance,
    /// What calls have shown.
    pub health: EndpointHealth,
    /// When something last came from it.
    pub last_heard: LastHeard,
    /// Requests of this process that it has now.
    pub in_flight: u32,
    /// Tokens times layers that requests of this process hold in its memory.
    pub held_token_layers: u64,
    /// What requests of other instances take up, as they told last.
    pub peers_load: EngineLoad,
    /// Until when the layers are what the engine itself has said, whatever the list has.
    reported_layers_until_ms: Option<u64>,
    /// Layers as the list has them.
    layers_in_list: Option<LayerRange>,
    /// Phase as the list has it, whatever peers say.
    pub(super) phase_in_list: Phase,
    /// When the entry was found missing, where the list was away before.
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
            in_flight: 0,
            held_token_layers: 0,
            peers_load: EngineLoad::default(),
            reported_layers_until_ms: None,
            layers_in_list,
            phase_in_list,
            missing_since_ms: None,
        }
    }

    /// The endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.listed.id
    }

    /// Takes the engine's own word on its layers, which is newer than the list for a while.
    pub fn set_reported_layers(&mut self, layers: Option<LayerRange>, now_ms: u64) {
        self.listed.layers = layers;
        self.reported_layers_until_ms = Some(now_ms + LAYERS_OVERRIDE_MS);
    }

    /// The engine with all layers that it holds, if it holds any.
    pub fn stage(&self) -> Option<ChainStage> {
        Some(ChainStage {
            endpoint: self.listed.id.clone(),
            address: self.listed.address,
            layers: self.listed.layers?,
        })
    }

    /// Whether new work may go there without doubt.
    pub fn accepts_work(&self) -> bool {
        self.listed.phase == Phase::Live && !self.health.is_unverified()
    }

    /// Whether a request can begin there: at an engine only with the first layer.
    pub(super) fn can_start_requests(&self) -> bool {
        let holds_first = |layers: LayerRange| layers.first == 0 && !layers.is_empty();
        self.listed.kind.is_none() || self.listed.layers.is_some_and(holds_first)
    }

    /// Whether its entry is missing from the list and only held, since it may have lapsed with the store.
    pub(super) fn is_retained(&self) -> bool {
        self.missing_since_ms.is_some()
    }

    /// Whether something has come from it since the question whose silence counted as its death. A
    /// process that has ended is not shown to live by what it sent before.
    pub fn heard_since_probe(&self) -> bool {
        let asked_ms = self.health.unanswered_since_ms();
        let is_heard = asked_ms.is_some_and(|asked_ms| self.last_heard.at_ms() > asked_ms);
        is_heard && !self.health.has_ended()
    }

    /// Whether what runs there is lost, as far as is known.
    pub fn is_lost(&self) -> bool {
        self.health.is_dead() && !self.heard_since_probe()
    }

    /// Takes that it has not answered a question of `asked_ms`; returns whether it is on pause from now
    /// on and was not before.
    pub fn record_unanswered(&mut self, asked_ms: u64, now_ms: u64) -> bool {
        if self.heard_since_probe() {
            self.health.clear();
        }
        self.health.record_unanswered(asked_ms, now_ms)
    }

    /// Tokens times layers in its memory, of this process and of other instances.
    pub fn token_layers(&self) -> u64 {
        self.held_token_layers
            .saturating_add(self.peers_load.token_layers)
    }

    /// Requests that it has as the first engine, of this process and of other instances.
    pub fn requests(&self) -> u32 {
        self.in_flight.saturating_add(self.peers_load.requests)
    }

    /// The entry as the list has it, without what others have told.
    pub(super) fn as_listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            phase: self.phase_in_list,
            layers: self.layers_in_list,
            ..self.listed.clone()
        }
    }

    /// Takes a newer entry of the same lifetime. `phase` is the one to go by.
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

    /// Goes by the list's layers again where the engine's own word is old by now.
    pub(super) fn expire_reported_layers(&mut self, now_ms: u64) {
        let is_over = |until| now_ms >= until;
        if self.reported_layers_until_ms.is_some_and(is_over) {
            self.reported_layers_until_ms = None;
            self.listed.layers = self.layers_in_list;
        }
    }
}
