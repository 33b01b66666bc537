use indexmap::IndexMap;
use proptest::prelude::*;

use super::sizing::layer_counts;
use super::*;
use crate::ids::{EndpointId, ZoneName};
use crate::route_table::{AcceleratorKind, EngineModel};

const ZONE: &str = "lac";

/// A model on three kinds of engines: few large fast ones, many small ones at twice their step time, and
/// slow ones of medium size.
fn model() -> EngineModel {
    let kind = |memory_mb, step_factor, read_factor| AcceleratorKind {
        memory_mb,
        step_factor,
        read_factor,
    };
    EngineModel {
        layers: 80,
        layer_mb: 1_750.0,
        token_kv_bytes: 492_000.0,
        step_ms: 1.02,
        read_tokens_per_s: 196_000.0,
        usual_prompt_tokens: 774,
        usual_answer_tokens: 209,
        load_ms: 14_000,
        loads_at_once: 15,
        kinds: IndexMap::from([
            ("large".to_owned(), kind(72_000.0, 2.4, 3.2)),
            ("small".to_owned(), kind(14_400.0, 5.3, 7.9)),
            ("slow".to_owned(), kind(21_600.0, 16.0, 8.2)),
        ]),
    }
}

fn engines(large: usize, small: usize, slow: usize) -> Vec<PlacedEngine> {
    let kinds = [("large", large), ("small", small), ("slow", slow)];
    let of_kind = |(kind, count): (&'static str, usize)| {
        (0..count).map(move |number| PlacedEngine {
            id: EndpointId::from(format!("{kind}-{number}")),
            zone: ZoneName::from(ZONE),
            kind: kind.to_owned(),
            layers: None,
            held_token_layers: 0,
            is_very_slow: false,
        })
    };
    kinds.into_iter().flat_map(of_kind).collect()
}

/// Load of a zone whose engines reject a tenth of the streams.
fn demand(streams_per_s: f64) -> IndexMap<ZoneName, ZoneLoad> {
    IndexMap::from([(ZoneName::from(ZONE), load(streams_per_s, 0.1))])
}

fn load(demand_per_s: f64, rejected_part: f64) -> ZoneLoad {
    ZoneLoad {
        demand_per_s,
        rejected_per_s: demand_per_s * rejected_part,
    }
}

/// A zone whose engines carry out all orders at once.
struct Zone {
    engines: Vec<PlacedEngine>,
    planner: PlacementPlanner,
    now_ms: u64,
}

impl Zone {
    /// A zone that was laid out while demand was unknown.
    fn laid_out(engines: Vec<PlacedEngine>) -> Self {
        let mut zone = Self {
            engines,
            planner: PlacementPlanner::default(),
            now_ms: 0,
        };
        zone.run_round(&IndexMap::new());
        zone
    }

    fn run_round(&mut self, loads: &IndexMap<ZoneName, ZoneLoad>) -> Vec<PlacementOrder> {
        self.now_ms += 300;
        let model = model();
        let orders = self
            .planner
            .due_orders(&self.engines, &model, loads, self.now_ms);
        for order in &orders {
            self.planner
                .order_sent(order.clone(), &self.engines, &model, self.now_ms);
            let engine = self.engines.iter_mut().find(|it| it.id == order.endpoint);
            engine.expect("an order names an engine").layers = Some(order.layers);
        }
        orders
    }

    fn holders(&self, layer: u16) -> usize {
        let holds = |it: &&PlacedEngine| {
            let held = it.layers;
            held.is_some_and(|held| held.first <= layer && layer < held.end)
        };
        self.engines.iter().filter(holds).count()
    }

    fn held_layers(&self, kind: &str) -> u16 {
        let of_kind = self.engines.iter().filter(|it| it.kind == kind);
        of_kind.filter_map(|it| Some(it.layers?.len())).sum()
    }
}

#[test]
fn fast_engines_have_more_memory_for_requests_once_demand_is_known() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    let before = zone.held_layers("large");
    let orders = zone.run_round(&demand(100.0));
    assert!(!orders.is_empty());
    assert!(zone.held_layers("large") < before);
    assert!((0..80).all(|layer| zone.holders(layer) >= 2));
}

#[test]
fn engines_that_give_up_layers_load_none() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    let before = zone.engines.clone();
    zone.run_round(&demand(100.0));
    for (before, after) in before.iter().zip(&zone.engines) {
        let (held, kept) = (before.layers.expect("held"), after.layers.expect("kept"));
        assert!(held.covers(kept), "{} loads layers", after.id.as_str());
    }
}

#[test]
fn a_layout_that_sustains_its_demand_is_left_alone() {
    for streams_per_s in [0.0, 1.0, 40.0] {
        let mut zone = Zone::laid_out(engines(3, 14, 16));
        assert_eq!(zone.run_round(&demand(streams_per_s)), vec![]);
    }
}

/// Guards against longer chains for every stream where the estimate asks for memory that no request lacks.
#[test]
fn a_zone_whose_engines_reject_nothing_keeps_its_layers_under_any_demand() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    let loads = IndexMap::from([(ZoneName::from(ZONE), load(1_000.0, 0.0))]);
    assert_eq!(zone.run_round(&loads), vec![]);
}

#[test]
fn unknown_demand_changes_nothing() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    assert_eq!(zone.run_round(&IndexMap::new()), vec![]);
}

#[test]
fn a_zone_without_spare_copies_keeps_its_layers_under_any_demand() {
    for (large, small, slow) in [(1, 3, 2), (2, 4, 4), (1, 6, 6)] {
        let mut zone = Zone::laid_out(engines(large, small, slow));
        assert_eq!(zone.run_round(&demand(1_000.0)), vec![]);
    }
}

#[test]
fn steady_demand_causes_no_further_orders() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    let mut rounds = 0;
    while !zone.run_round(&demand(100.0)).is_empty() {
        rounds += 1;
        assert!(rounds < 5, "orders never end");
    }
    for _ in 0..30 {
        assert_eq!(zone.run_round(&demand(100.0)), vec![]);
    }
}

#[test]
fn falling_demand_undoes_nothing() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    while !zone.run_round(&demand(100.0)).is_empty() {}
    for _ in 0..30 {
        assert_eq!(zone.run_round(&demand(1.0)), vec![]);
    }
}

#[test]
fn a_planner_that_takes_over_undoes_no_orders_of_the_previous_one() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    while !zone.run_round(&demand(100.0)).is_empty() {}
    zone.planner = PlacementPlanner::default();
    assert_eq!(zone.run_round(&demand(100.0)), vec![]);
}

#[test]
fn an_engine_that_restarts_gets_layers_for_the_present_demand() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    while !zone.run_round(&demand(100.0)).is_empty() {}
    let before = zone.engines[0].layers.expect("held").len();
    zone.engines[0].layers = None;
    zone.run_round(&demand(100.0));
    assert_eq!(zone.engines[0].layers.expect("held").len(), before);
}

#[test]
fn an_engine_is_lost_while_others_give_up_layers_and_every_layer_stays_held() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    zone.run_round(&demand(100.0));
    for lost in 0..zone.engines.len() {
        let without = zone.engines.iter().enumerate();
        let without = without.filter(|(at, _)| *at != lost);
        let rest = Zone {
            engines: without.map(|(_, it)| it.clone()).collect(),
            planner: PlacementPlanner::default(),
            now_ms: zone.now_ms,
        };
        assert!((0..80).all(|layer| rest.holders(layer) >= 1), "{lost}");
    }
}

/// Guards against a layer whose only other holders still load it.
#[test]
fn engines_that_load_layers_do_not_count_as_their_holders() {
    let mut zone = Zone::laid_out(engines(3, 14, 16));
    let model = model();
    for engine in zone
        .engines
        .clone()
        .into_iter()
        .filter(|it| it.kind != "large")
    {
        let layers = engine.layers.expect("held");
        let at = zone.engines.iter().position(|it| it.id == engine.id);
        zone.engines[at.expect("listed")].layers = None;
        let order = PlacementOrder {
            endpoint: engine.id,
            layers,
        };
        let now_ms = zone.now_ms;
        zone.planner.order_reported(order, &model, now_ms);
    }
    assert_eq!(zone.run_round(&demand(100.0)), vec![]);
}

#[test]
fn sizing_says_when_no_reserve_sustains_the_demand() {
    let engines = engines(3, 14, 16);
    let engines: Vec<&PlacedEngine> = engines.iter().collect();
    let (_, enough) = layer_counts(&engines, &model(), Some(load(30.0, 0.1)));
    let (_, too_much) = layer_counts(&engines, &model(), Some(load(10_000.0, 0.1)));
    assert!(enough.is_sufficient());
    assert!(!too_much.is_sufficient());
    assert!(too_much.sustained_per_s > enough.sustained_per_s);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn layers_stay_held_and_within_memory_under_any_demand(
        large in 0usize..6,
        small in 0usize..30,
        slow in 0usize..30,
        streams_per_s in 0.0f64..500.0,
        held in proptest::collection::vec(0u64..2_000_000, 66),
    ) {
        let mut engines = engines(large, small, slow);
        for (engine, held) in engines.iter_mut().zip(held) {
            engine.held_token_layers = held;
        }
        let mut zone = Zone::laid_out(engines);
        let before: Vec<usize> = (0..80).map(|layer| zone.holders(layer)).collect();
        for _ in 0..6 {
            zone.run_round(&demand(streams_per_s));
        }
        prop_assert_eq!(zone.run_round(&demand(streams_per_s)), vec![]);
        for (layer, before) in before.into_iter().enumerate() {
            let after = zone.holders(layer as u16);
            prop_assert!(after >= before.min(2), "layer {}: {} holders of {}", layer, after, before);
        }
        for engine in &zone.engines {
            let needed_mb = f64::from(engine.layers.map_or(0, |it| it.len())) * 1_750.0;
            prop_assert!(needed_mb <= model().kinds[&engine.kind].memory_mb);
        }
    }
}
