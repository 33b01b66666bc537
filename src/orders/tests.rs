//! Plans keep complete chains and the capacity in use, and finish.

use indexmap::IndexMap;
use proptest::prelude::*;

use super::{EngineView, plan};
use crate::document::ModelOffer;
use crate::ids::{EndpointId, Incarnation};
use crate::wire::engine::{EngineAssignment, EngineState, LayerRange};

const LAYERS: u16 = 8;

fn offer(version: &str, adapters: &[&str]) -> IndexMap<String, ModelOffer> {
    let offer = ModelOffer {
        name: "m".to_owned(),
        version: version.to_owned(),
        adapters: adapters.iter().map(|it| (*it).to_owned()).collect(),
        layers: LAYERS,
        activation_bytes: 1,
    };
    IndexMap::from([("m".to_owned(), offer)])
}

fn engine(name: &str, first: u16, end: u16, busy: u32) -> EngineState {
    let incarnation: Incarnation =
        serde_json::from_str("\"00000000-0000-0000-0000-000000000001\"").unwrap();
    EngineState {
        endpoint: EndpointId::from(name),
        incarnation,
        accelerator: "a".to_owned(),
        model: "m".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        layers: LayerRange { first, end },
        fence: 0,
        draining: false,
        layer_tokens_per_s: 1_000.0,
        batch_limit: 10,
        stream_limit: 0,
        running: busy,
        waiting: 0,
        load_age_ms: 0,
        links: IndexMap::new(),
    }
}

/// Engines with their pending orders.
struct Fleet {
    engines: Vec<(EngineState, Option<EngineAssignment>)>,
}

impl Fleet {
    fn new(engines: Vec<EngineState>) -> Self {
        Self {
            engines: engines.into_iter().map(|state| (state, None)).collect(),
        }
    }

    fn plan(&self, offers: &IndexMap<String, ModelOffer>) -> super::plan::Plan {
        let views = self.engines.iter().map(|(state, ordered)| EngineView {
            endpoint: &state.endpoint,
            state: Some(state),
            leaving: false,
            ordered: ordered.as_ref(),
        });
        plan(offers, &views.collect::<Vec<EngineView<'_>>>())
    }

    fn order(&mut self, orders: Vec<(EndpointId, EngineAssignment)>) {
        for (endpoint, desired) in orders {
            let mut engines = self.engines.iter_mut();
            let engine = engines.find(|(state, _)| state.endpoint == endpoint);
            engine.unwrap().1 = Some(desired);
        }
    }

    /// Carries out the order at `index` of the pending ones.
    fn carry_out(&mut self, index: usize) {
        let mut pending: Vec<_> = self
            .engines
            .iter_mut()
            .filter(|(_, ordered)| ordered.is_some())
            .collect();
        if pending.is_empty() {
            return;
        }
        let index = index % pending.len();
        let (state, ordered) = &mut *pending[index];
        if let Some(desired) = ordered.take() {
            state.version = desired.version;
            state.adapters = desired.adapters;
        }
    }

    /// Whether engines without a pending order hold every layer in one version.
    fn has_whole_chain(&self) -> bool {
        ["v1", "v2"].iter().any(|version| {
            (0..LAYERS).all(|layer| {
                let mut engines = self.engines.iter();
                engines.any(|(state, ordered)| {
                    let held = state.layers.first <= layer && layer < state.layers.end;
                    held && state.version == *version && ordered.is_none()
                })
            })
        })
    }

    fn all_hold(&self, version: &str) -> bool {
        self.engines
            .iter()
            .all(|(state, _)| state.version == version)
    }
}

/// Two layer ranges with two to six engines each.
fn fleets() -> impl Strategy<Value = Vec<EngineState>> {
    (2..7_usize, 2..7_usize, 0..4_u32).prop_map(|(front, back, busy)| {
        let front = (0..front).map(|index| engine(&format!("f{index}"), 0, 4, busy));
        let back = (0..back).map(|index| engine(&format!("b{index}"), 4, LAYERS, busy));
        front.chain(back).collect()
    })
}

proptest! {
    #[test]
    fn a_rollout_ends_and_a_whole_chain_is_there_throughout(
        engines in fleets(),
        picks in proptest::collection::vec(0..16_usize, 64),
    ) {
        let offers = offer("v2", &[]);
        let mut fleet = Fleet::new(engines);
        for pick in picks {
            let plan = fleet.plan(&offers);
            fleet.order(plan.orders);
            prop_assert!(fleet.has_whole_chain());
            fleet.carry_out(pick);
        }
        prop_assert!(fleet.all_hold("v2"));
        prop_assert_eq!(fleet.plan(&offers).unfinished, 0);
    }
}

#[test]
fn at_most_four_load_at_once() {
    let engines = (0..10).flat_map(|index| {
        let front = engine(&format!("f{index}"), 0, 4, 0);
        [front, engine(&format!("b{index}"), 4, LAYERS, 0)]
    });
    let mut fleet = Fleet::new(engines.collect());
    let plan = fleet.plan(&offer("v2", &[]));
    assert_eq!(plan.orders.len(), 4);
    fleet.order(plan.orders);
    assert_eq!(fleet.plan(&offer("v2", &[])).orders.len(), 0);
}

#[test]
fn capacity_in_use_stays() {
    // Two busy engines for each range: stopping one would halve the capacity in use.
    let names = [("f1", 0), ("f2", 0), ("b1", 4), ("b2", 4)];
    let engines = |busy| names.map(|(name, first)| engine(name, first, first + 4, busy));
    let busy = Fleet::new(engines(10).to_vec());
    let plan = busy.plan(&offer("v2", &[]));
    assert_eq!((plan.orders.len(), plan.unfinished), (0, 4));
    let idle = Fleet::new(engines(1).to_vec());
    assert_eq!(idle.plan(&offer("v2", &[])).orders.len(), 2);
}

#[test]
fn the_only_engine_of_a_layer_is_never_stopped() {
    let fleet = Fleet::new(vec![engine("f", 0, 4, 0), engine("b", 4, LAYERS, 0)]);
    let plan = fleet.plan(&offer("v2", &[]));
    assert_eq!((plan.orders.len(), plan.unfinished), (0, 2));
}

#[test]
fn a_new_adapter_takes_no_capacity_away() {
    let fleet = Fleet::new(vec![engine("f", 0, 4, 10), engine("b", 4, LAYERS, 10)]);
    let plan = fleet.plan(&offer("v1", &["notes"]));
    assert_eq!(plan.orders.len(), 2);
}

#[test]
fn an_engine_without_a_model_gets_the_slowest_layers() {
    let mut spare = engine("s", 0, 0, 0);
    spare.model = String::new();
    let engines = vec![
        engine("f1", 0, 4, 0),
        engine("f2", 0, 4, 0),
        engine("b", 4, LAYERS, 0),
        spare,
    ];
    let plan = Fleet::new(engines).plan(&offer("v1", &[]));
    let layers = LayerRange {
        first: 4,
        end: LAYERS,
    };
    assert_eq!(plan.orders.len(), 1);
    assert_eq!(plan.orders[0].1.layers, layers);
}

#[test]
fn an_engine_that_holds_its_assignment_gets_no_order() {
    let fleet = Fleet::new(vec![engine("f", 0, 4, 0), engine("b", 4, LAYERS, 0)]);
    assert_eq!(fleet.plan(&offer("v1", &[])), super::plan::Plan::default());
}
