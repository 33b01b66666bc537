//! An engine that takes orders and needs a while to load.

use crate::clients::EngineCallFailure;
use crate::ids::{EndpointId, Incarnation};
use crate::wire::engine::{
    EngineAssignment, EngineError, EngineErrorCode, EngineOrder, EngineState, LayerRange,
};

/// Time to load another version.
const LOAD_MS: u64 = 2_000;

/// An engine.
#[derive(Debug)]
pub(super) struct FakeEngine {
    pub(super) state: EngineState,
    pub(super) checks_fence: bool,
    loading: Option<(EngineAssignment, u64)>,
    /// Orders taken: time and fencing token.
    pub(super) taken: Vec<(u64, u64)>,
}

impl FakeEngine {
    /// An engine that holds `layers` of a model's first version.
    pub(super) fn new(name: &str, layers: LayerRange, incarnation: Incarnation) -> Self {
        Self {
            state: EngineState {
                endpoint: EndpointId::from(name),
                incarnation,
                accelerator: "a".to_owned(),
                model: "m".to_owned(),
                version: "v1".to_owned(),
                adapters: Vec::new(),
                layers,
                fence: 0,
                draining: false,
                layer_tokens_per_s: 1_000.0,
                batch_limit: 8,
                stream_limit: 0,
                running: 1,
                waiting: 0,
                load_age_ms: 0,
                links: indexmap::IndexMap::new(),
            },
            checks_fence: true,
            loading: None,
            taken: Vec::new(),
        }
    }

    /// Whether it stops or has stopped work for a change.
    pub(super) fn is_loading(&self) -> bool {
        self.loading.is_some()
    }

    /// What it holds now.
    pub(super) fn read(&mut self, now_ms: u64) -> EngineState {
        if let Some((desired, _)) = self.loading.take_if(|(_, done_ms)| *done_ms <= now_ms) {
            self.state.version = desired.version;
            self.state.adapters = desired.adapters;
            self.state.layers = desired.layers;
        }
        self.state.clone()
    }

    /// Takes an order.
    pub(super) fn order(
        &mut self,
        order: &EngineOrder,
        now_ms: u64,
    ) -> Result<EngineState, EngineCallFailure> {
        if self.checks_fence && order.fence < self.state.fence {
            let error = EngineError {
                code: EngineErrorCode::StaleFence,
                stage: None,
            };
            return Err(EngineCallFailure::Refused { error });
        }
        self.state.fence = self.state.fence.max(order.fence);
        self.taken.push((now_ms, order.fence));
        let known = self.loading.as_ref().map(|(desired, _)| desired);
        if known != Some(&order.desired) && !order.desired.matches_state(&self.state) {
            self.loading = Some((order.desired.clone(), now_ms + LOAD_MS));
        }
        Ok(self.read(now_ms))
    }
}
