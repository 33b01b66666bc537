//! A router with a few engines, for tests of individual plans.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::document::ModelOffer;
use crate::ids::{EndpointId, Incarnation, StreamId, ZoneName};
use crate::routing::{FlowWeighted, NoRoute, RouteRequest, Router};
use crate::wire::engine::{EngineState, LayerRange, Stage};
use crate::wire::local::EndpointRecord;

use super::fleet::{self, Kind, documents, service};

pub(super) const LAYERS: u16 = 12;

pub(super) struct RouterFixture {
    pub(super) router: Router<FlowWeighted>,
    pub(super) model: ModelOffer,
    pub(super) records: Vec<EndpointRecord>,
    pub(super) states: Vec<EngineState>,
    rng: SmallRng,
}

impl RouterFixture {
    /// Creates engines `e0`, `e1`, ... with the given layers, rates and batch limits, all of which
    /// have answered.
    pub(super) fn new(engines: &[(u16, u16, f64, u32)]) -> Self {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut records = Vec::new();
        let mut states = Vec::new();
        for (number, (first, end, layer_tokens_per_s, batch_limit)) in engines.iter().enumerate() {
            let kind = Kind {
                name: "kind",
                zone: "a",
                ranges: Vec::new(),
                replicas: 1,
                layer_tokens_per_s: *layer_tokens_per_s,
                batch_limit: *batch_limit,
            };
            let id = EndpointId::from(format!("e{number}"));
            let layers = LayerRange {
                first: *first,
                end: *end,
            };
            records.push(fleet::record(&id, &kind, number));
            states.push(fleet::state(
                &id,
                &kind,
                layers,
                Incarnation::generate(&mut rng),
            ));
        }
        let model = fleet::model(LAYERS, 1_000);
        let mut router = Router::new(FlowWeighted, ZoneName::from("a"), 3);
        router.set_documents(&documents(&model));
        let mut fixture = Self {
            router,
            model,
            records,
            states,
            rng,
        };
        fixture.update_router(0);
        fixture
    }

    /// Passes all records and states to the router.
    pub(super) fn update_router(&mut self, now_ms: u64) {
        self.router.set_endpoints(&self.records, now_ms);
        for state in &self.states {
            self.router
                .set_engine_state(&state.endpoint, Some(state), now_ms);
        }
        self.router.due_polls(now_ms);
    }

    pub(super) fn stream(&mut self) -> StreamId {
        StreamId::generate(&mut self.rng)
    }

    pub(super) fn plan(&mut self, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        let stream = self.stream();
        self.plan_for(stream, &[], &[], now_ms)
    }

    pub(super) fn plan_for(
        &mut self,
        stream: StreamId,
        previous: &[Stage],
        exclude: &[EndpointId],
        now_ms: u64,
    ) -> Result<Vec<Stage>, NoRoute> {
        let prompt = "one two three";
        let ask = RouteRequest {
            stream,
            service: &service(),
            model: &self.model,
            adapter: None,
            prompt,
            previous,
            exclude,
        };
        self.router.plan(&ask, now_ms)
    }

    /// Whether every layer is run exactly once, in order, by an engine that holds it.
    pub(super) fn covers_all_layers(&self, chain: &[Stage]) -> bool {
        let mut at = 0;
        for stage in chain {
            let state = self.states.iter().find(|s| s.endpoint == stage.endpoint);
            let held = state.is_some_and(|state| state.layers.covers(stage.layers));
            if stage.layers.first != at || stage.layers.is_empty() || !held {
                return false;
            }
            at = stage.layers.end;
        }
        at == LAYERS
    }
}

pub(super) fn names(chain: &[Stage]) -> Vec<&str> {
    chain.iter().map(|stage| stage.endpoint.as_str()).collect()
}
