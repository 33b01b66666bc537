use indexmap::IndexMap;
use proptest::prelude::*;

use super::*;
use crate::ids::{EndpointId, ZoneName};
use crate::route_table::{AcceleratorKind, EngineModel};
use crate::wire::engine::LayerRange;

fn model() -> EngineModel {
    let kind = |memory_mb, step_factor, read_factor| AcceleratorKind {
        memory_mb,
        step_factor,
        read_factor,
    };
    EngineModel {
        layers: 80,
        layer_mb: 1_750.0,
        token_kv_bytes: 426_000.0,
        step_ms: 0.85,
        read_tokens_per_s: 272_000.0,
        usual_prompt_tokens: 772,
        usual_answer_tokens: 145,
        load_ms: 14_000,
        loads_at_once: 6,
        kinds: IndexMap::from([
            ("large".to_owned(), kind(36_000.0, 3.1, 3.2)),
            ("middle".to_owned(), kind(21_600.0, 16.0, 8.2)),
            ("small".to_owned(), kind(14_400.0, 15.0, 15.0)),
        ]),
    }
}

fn engines(zone: &str, large: usize, middle: usize, small: usize) -> Vec<PlacedEngine> {
    let kinds = [("large", large), ("middle", middle), ("small", small)];
    let mut engines = Vec::new();
    for (kind, count) in kinds {
        for number in 0..count {
            engines.push(PlacedEngine {
                id: EndpointId::from(format!("{zone}-{kind}-{number}")),
                zone: ZoneName::from(zone),
                kind: kind.to_owned(),
                layers: None,
                held_token_layers: 0,
                is_very_slow: false,
            });
        }
    }
    engines
}

/// Sends the due orders.
fn send_due_orders(
    planner: &mut PlacementPlanner,
    engines: &[PlacedEngine],
    now_ms: u64,
) -> Vec<PlacementOrder> {
    let orders = planner.due_orders(engines, &model(), &IndexMap::new(), now_ms);
    for order in &orders {
        planner.order_sent(order.clone(), engines, &model(), now_ms);
    }
    orders
}

/// Carries out all orders until none is due.
fn carry_out_all(engines: &mut [PlacedEngine], now_ms: u64) -> usize {
    let mut planner = PlacementPlanner::default();
    let mut carried_out = 0;
    for round in 0..50 {
        let orders = send_due_orders(&mut planner, engines, now_ms + round * 10_000);
        if orders.is_empty() && round > 1 {
            return carried_out;
        }
        carried_out += orders.len();
        apply_orders(engines, &orders);
    }
    panic!("orders never end");
}

fn apply_orders(engines: &mut [PlacedEngine], orders: &[PlacementOrder]) {
    for order in orders {
        let engine = engines.iter_mut().find(|it| it.id == order.endpoint);
        engine.expect("an order names an engine").layers = Some(order.layers);
    }
}

fn holders(engines: &[PlacedEngine], layer: u16) -> usize {
    let one = LayerRange {
        first: layer,
        end: layer + 1,
    };
    let holds = |it: &&PlacedEngine| it.layers.is_some_and(|layers| layers.covers(one));
    engines.iter().filter(holds).count()
}

#[test]
fn each_zone_that_can_holds_every_layer() {
    for (large, middle, small) in [(2, 5, 8), (1, 7, 5), (2, 3, 5)] {
        let mut engines = engines("lac", large, middle, small);
        let orders = carry_out_all(&mut engines, 0);
        assert_eq!(orders, large + middle + small, "one order an engine");
        assert!((0..80).all(|layer| holders(&engines, layer) >= 1));
    }
}

/// A model whose smallest kind of engine is three times as fast as the middle one.
fn model_with_uneven_speeds() -> EngineModel {
    let mut model = model();
    model.token_kv_bytes = 590_000.0;
    let speeds = [
        ("large", 72_000.0, 2.4),
        ("middle", 21_600.0, 16.0),
        ("small", 14_400.0, 5.3),
    ];
    for (kind, memory_mb, step_factor) in speeds {
        let kind = &mut model.kinds[kind];
        kind.memory_mb = memory_mb;
        kind.step_factor = step_factor;
    }
    model
}

#[test]
fn layers_are_held_by_fast_engines_before_slow_ones() {
    let model = model_with_uneven_speeds();
    for (large, middle, small) in [(2, 4, 4), (1, 6, 6), (1, 4, 10)] {
        let mut engines = engines("lac", large, middle, small);
        let orders = PlacementPlanner::default().due_orders(&engines, &model, &IndexMap::new(), 0);
        apply_orders(&mut engines, &orders);
        let is_fast = |it: &&PlacedEngine| it.kind != "middle";
        let fast: Vec<PlacedEngine> = engines.iter().filter(is_fast).cloned().collect();
        let room: u16 = fast
            .iter()
            .filter_map(|it| it.layers)
            .map(LayerRange::len)
            .sum();
        let held = (0..80).filter(|layer| holders(&fast, *layer) > 0).count();
        assert_eq!(
            held,
            usize::from(room.min(80)),
            "{large} large, {small} small"
        );
        assert!((0..80).all(|layer| holders(&engines, layer) >= 1));
    }
}

#[test]
fn every_layer_keeps_a_holder_when_the_largest_engine_is_lost() {
    let model = model_with_uneven_speeds();
    for (large, middle, small) in [(2, 4, 4), (1, 6, 6), (1, 4, 10)] {
        let mut engines = engines("lac", large, middle, small);
        let orders = PlacementPlanner::default().due_orders(&engines, &model, &IndexMap::new(), 0);
        apply_orders(&mut engines, &orders);
        let lost = engines.remove(0);
        let uncovered: Vec<u16> = (0..80)
            .filter(|layer| holders(&engines, *layer) == 0)
            .collect();
        assert!(uncovered.is_empty(), "{uncovered:?} without {lost:?}");
    }
}

#[test]
fn returning_engines_cover_a_gap_with_the_least_to_load_and_relieve_slow_ones() {
    let model = model_with_uneven_speeds();
    let mut engines = engines("lac", 2, 3, 7);
    let mut layers = vec![None, Some((24, 53))];
    layers.extend([(0, 8), (8, 16), (16, 24)].map(Some));
    layers.push(None);
    layers.extend((0..6).map(|n| Some((54 + 5 * n, (59 + 5 * n).min(80)))));
    for (engine, layers) in engines.iter_mut().zip(layers) {
        engine.layers = layers.map(|(first, end)| LayerRange { first, end });
    }
    let orders = PlacementPlanner::default().due_orders(&engines, &model, &IndexMap::new(), 0);
    let layers_of = |kind: &str| {
        let is_of_kind = |it: &&PlacementOrder| it.endpoint.as_str().contains(kind);
        orders
            .iter()
            .find(is_of_kind)
            .expect("both get layers")
            .layers
    };
    let gap = LayerRange { first: 53, end: 54 };
    assert!(layers_of("small").covers(gap), "{orders:?}");
    let slow = LayerRange { first: 0, end: 24 };
    assert!(layers_of("large").covers(slow), "{orders:?}");
}

#[test]
fn a_layer_without_a_holder_is_taken_over_by_a_redundant_holder_of_others() {
    let mut engines = engines("lac", 2, 5, 8);
    carry_out_all(&mut engines, 0);
    let last = LayerRange { first: 79, end: 80 };
    let holds_last = |it: &PlacedEngine| it.layers.is_some_and(|layers| layers.covers(last));
    engines.retain(|engine| !holds_last(engine));
    assert_eq!(holders(&engines, 79), 0);
    let orders = carry_out_all(&mut engines, 0);
    assert!((1..=2).contains(&orders), "{orders} orders");
    assert!((0..80).all(|layer| holders(&engines, layer) >= 1));
}

#[test]
fn barely_enough_engines_are_laid_out_again_with_a_smaller_reserve() {
    let mut engines = engines("marsa", 2, 3, 5);
    carry_out_all(&mut engines, 0);
    for kind in ["middle", "small"] {
        let lost = engines
            .iter()
            .position(|it| it.kind == kind)
            .expect("placed");
        engines.remove(lost);
        carry_out_all(&mut engines, 0);
        assert!(
            (0..80).all(|layer| holders(&engines, layer) >= 1),
            "after a {kind} one"
        );
    }
}

#[test]
fn an_engine_that_returns_to_slow_copies_keeps_the_reserve_of_an_only_holder() {
    let model = model_with_uneven_speeds();
    let mut engines = engines("lac", 1, 6, 6);
    let orders = PlacementPlanner::default().due_orders(&engines, &model, &IndexMap::new(), 0);
    apply_orders(&mut engines, &orders);
    let before = engines[0].layers;
    engines[0].layers = None;
    assert!(
        (0..80).all(|layer| holders(&engines, layer) >= 1),
        "copies hold its layers"
    );
    let orders = PlacementPlanner::default().due_orders(&engines, &model, &IndexMap::new(), 0);
    assert_eq!(orders.len(), 1);
    assert_eq!(Some(orders[0].layers), before);
}

#[test]
fn too_few_engines_get_no_orders_beside_one_of_an_unknown_kind() {
    let model = EngineModel {
        layers: 81,
        ..model()
    };
    let mut engines = engines("marsa", 1, 5, 1);
    let mut first = 1;
    for (engine, count) in engines.iter_mut().zip([20, 12, 12, 12, 12, 12]) {
        let end = first + count;
        engine.layers = Some(LayerRange { first, end });
        first = end;
    }
    engines[6].kind = "unknown".to_owned();
    let mut planner = PlacementPlanner::default();
    // Any order would leave another layer without an engine.
    assert_eq!(
        planner.due_orders(&engines, &model, &IndexMap::new(), 0),
        vec![]
    );
    assert_eq!(
        planner.due_orders(&engines, &model, &IndexMap::new(), 6_000),
        vec![]
    );
}

#[test]
fn one_engine_of_a_zone_is_moved_at_a_time() {
    let mut engines = engines("lac", 2, 5, 8);
    carry_out_all(&mut engines, 0);
    let lost = LayerRange { first: 66, end: 80 };
    engines.retain(|it| it.layers.is_none_or(|layers| !lost.covers(layers)));
    let mut planner = PlacementPlanner::default();
    let first = send_due_orders(&mut planner, &engines, 0);
    assert_eq!(first.len(), 1);
    // While it is being moved it reports no layers.
    let moved = engines.iter_mut().find(|it| it.id == first[0].endpoint);
    moved.expect("it is one of them").layers = None;
    assert_eq!(send_due_orders(&mut planner, &engines, 300), vec![]);
}

#[test]
fn an_engine_that_refused_still_counts_as_a_holder() {
    let mut engines = engines("lac", 2, 5, 8);
    carry_out_all(&mut engines, 0);
    let mut planner = PlacementPlanner::default();
    for engine in &engines {
        planner.order_refused(&engine.id, 0);
    }
    assert_eq!(send_due_orders(&mut planner, &engines, 300), vec![]);
}

#[test]
fn a_gap_is_remembered_while_nothing_can_be_ordered() {
    let mut engines = engines("marsa", 1, 4, 5);
    carry_out_all(&mut engines, 0);
    // No single move covers this gap.
    engines.remove(6);
    assert!((0..80).any(|layer| holders(&engines, layer) == 0));
    let mut planner = PlacementPlanner::default();
    let mut looks_ms = (0..100).map(|round| round * 300);
    let first_ms = looks_ms.find(|now_ms| {
        let orders = send_due_orders(&mut planner, &engines, *now_ms);
        apply_orders(&mut engines, &orders);
        !orders.is_empty()
    });
    assert_eq!(first_ms, Some(6_000));
    assert!((0..80).all(|layer| holders(&engines, layer) >= 1));
}

#[test]
fn the_idlest_of_equal_engines_is_moved() {
    let mut engines = engines("lac", 2, 5, 8);
    carry_out_all(&mut engines, 0);
    let last = LayerRange { first: 79, end: 80 };
    let holds_last = |it: &PlacedEngine| it.layers.is_some_and(|layers| layers.covers(last));
    engines.retain(|engine| !holds_last(engine));
    for engine in &mut engines {
        engine.held_token_layers = 1_000;
    }
    let moved = |engines: &[PlacedEngine]| {
        let orders = PlacementPlanner::default().due_orders(engines, &model(), &IndexMap::new(), 0);
        orders[0].endpoint.clone()
    };
    let busy = moved(&engines);
    let busy_index = engines
        .iter()
        .position(|it| it.id == busy)
        .expect("it is one of them");
    engines[busy_index].held_token_layers = 50_000;
    assert_ne!(moved(&engines), busy);
}

#[test]
fn an_engine_that_refused_an_order_gets_none_for_a_while() {
    let mut engines = engines("lac", 2, 5, 8);
    carry_out_all(&mut engines, 0);
    let last = LayerRange { first: 79, end: 80 };
    let holds_last = |it: &PlacedEngine| it.layers.is_some_and(|layers| layers.covers(last));
    engines.retain(|engine| !holds_last(engine));
    let mut planner = PlacementPlanner::default();
    let first = send_due_orders(&mut planner, &engines, 0);
    planner.order_refused(&first[0].endpoint, 0);
    let second = send_due_orders(&mut planner, &engines, 300);
    assert!(!second.is_empty());
    assert!(
        second
            .iter()
            .all(|order| order.endpoint != first[0].endpoint)
    );
}

#[test]
fn layers_of_a_very_slow_engine_get_another_holder() {
    let mut engines = engines("lac", 2, 5, 8);
    carry_out_all(&mut engines, 0);
    let only = |it: &PlacedEngine, engines: &[PlacedEngine]| {
        let layers = it.layers.expect("placed");
        (layers.first..layers.end).any(|layer| holders(engines, layer) == 1)
    };
    let slow = engines
        .iter()
        .position(|it| only(it, &engines))
        .expect("single holders");
    engines[slow].is_very_slow = true;
    carry_out_all(&mut engines, 0);
    let slow = engines.remove(slow);
    assert!(slow.layers.is_some(), "it keeps what it holds");
    assert!((0..80).all(|layer| holders(&engines, layer) >= 1));
}

#[test]
fn a_pending_order_is_not_sent_again_until_it_counts_as_lost() {
    let engines = engines("lac", 2, 5, 8);
    let mut planner = PlacementPlanner::default();
    assert_eq!(send_due_orders(&mut planner, &engines, 0).len(), 15);
    assert_eq!(send_due_orders(&mut planner, &engines, 3_000).len(), 0);
    assert_eq!(send_due_orders(&mut planner, &engines, 12_000).len(), 15);
}

proptest! {
    #[test]
    fn no_order_exceeds_the_memory_and_orders_end(
        large in 0usize..4,
        middle in 0usize..10,
        small in 0usize..10,
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..4),
    ) {
        let mut engines = engines("lac", large, middle, small);
        carry_out_all(&mut engines, 0);
        for index in lost {
            if !engines.is_empty() {
                engines.remove(index.index(engines.len()));
                carry_out_all(&mut engines, 0);
            }
        }
        for engine in &engines {
            let held = engine.layers.map_or(0, LayerRange::len);
            let memory_mb = model().kinds[&engine.kind].memory_mb;
            prop_assert!(f64::from(held) * 1_750.0 <= memory_mb);
        }
    }
}
