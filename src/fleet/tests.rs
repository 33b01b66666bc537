use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use super::*;
use crate::ids::{EndpointId, InstanceId, ServiceName, ZoneName};
use crate::route_table::{AcceleratorKind, EngineModel};
use crate::wire::engine::LayerRange;

pub(super) fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

pub(super) fn listed(id: &str, zone: &str, layers: Option<LayerRange>) -> ListedEndpoint {
    let port = id
        .bytes()
        .fold(1_000u16, |sum, byte| sum * 7 % 50_000 + u16::from(byte));
    ListedEndpoint {
        id: EndpointId::from(id),
        service: ServiceName::from("menu-mind"),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: ZoneName::from(zone),
        phase: Phase::Live,
        slots: 6,
        kind: Some("small".to_owned()),
        layers,
    }
}

pub(super) fn teller() -> InstanceId {
    InstanceId::from("peer-1")
}

pub(super) fn fleet(entries: Vec<ListedEndpoint>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_read(ListingRead::full(entries), false, 0);
    fleet
}

fn model() -> EngineModel {
    let small = AcceleratorKind {
        memory_mb: 14_400.0,
        step_factor: 15.0,
        read_factor: 15.0,
    };
    EngineModel {
        layers: 20,
        layer_mb: 1_000.0,
        token_kv_bytes: 106_500.0,
        step_ms: 0.85,
        read_tokens_per_s: 272_000.0,
        usual_prompt_tokens: 772,
        usual_answer_tokens: 145,
        load_ms: 14_000,
        loads_at_once: 6,
        kinds: IndexMap::from([("small".to_owned(), small)]),
    }
}

pub(super) fn plan(fleet: &Fleet, excluded: &[&str]) -> Option<Vec<String>> {
    let excluded: IndexSet<EndpointId> = excluded.iter().map(|id| EndpointId::from(*id)).collect();
    let ask = ChainRequest {
        service: &ServiceName::from("menu-mind"),
        model: &model(),
        own_zone: &ZoneName::from("lac"),
        tokens: 900,
        excluded: &excluded,
        first_among: None,
        first: None,
    };
    let chain = plan_chain(fleet, ask, 0)?;
    let stage = |it: &ChainStage| format!("{} {}-{}", it.endpoint, it.layers.first, it.layers.end);
    Some(chain.stages().iter().map(stage).collect())
}

#[test]
fn a_chain_runs_every_layer_once_and_stays_in_its_zone() {
    let fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(8, 20))),
        listed("c", "marsa", Some(range(10, 20))),
    ]);
    let chain = plan(&fleet, &[]).expect("all layers are held");
    assert_eq!(chain.len(), 2);
    assert!(chain[0].starts_with("a 0-") && chain[1].starts_with("b "));
}

#[test]
fn a_hole_in_the_zone_is_bridged_by_another_zone() {
    let fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(10, 20))),
        listed("c", "marsa", Some(range(10, 20))),
    ]);
    assert_eq!(
        plan(&fleet, &["b"]),
        Some(vec!["a 0-10".to_owned(), "c 10-20".to_owned()])
    );
    assert_eq!(plan(&fleet, &["b", "c"]), None);
}

#[test]
fn an_engine_in_doubt_is_left_out_until_it_is_seen_to_be_sound() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 20))),
        listed("b", "marsa", Some(range(0, 20))),
    ]);
    assert!(fleet.record_failure(&EndpointId::from("a"), EndpointFailure::Unreachable, 100));
    assert_eq!(plan(&fleet, &[]), Some(vec!["b 0-20".to_owned()]));
    let known = fleet.get_mut(&EndpointId::from("a")).expect("listed");
    assert!(!known.health.needs_check(1_000) && known.health.needs_check(1_100));
    known.health.clear();
    assert_eq!(plan(&fleet, &[]), Some(vec!["a 0-20".to_owned()]));
}

#[test]
fn chains_avoid_an_engine_whose_memory_is_full() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 20))),
        listed("b", "lac", Some(range(0, 20))),
    ]);
    // 14,400 MB hold 14 layers at most; with 20 there is no room at all, so give a less.
    for (id, layers) in [("a", range(0, 10)), ("b", range(0, 10))] {
        fleet
            .get_mut(&EndpointId::from(id))
            .expect("listed")
            .listed
            .layers = Some(layers);
    }
    let end = listed("c", "lac", Some(range(10, 20)));
    fleet.apply_read(ListingRead::changes(vec![end], vec![]), false, 0);
    fleet
        .get_mut(&EndpointId::from("a"))
        .expect("listed")
        .held_token_layers = 800_000;
    let chain = plan(&fleet, &[]).expect("all layers are held");
    assert_eq!(chain[0], "b 0-10");
}

#[test]
fn an_engine_that_had_no_room_is_avoided_for_a_while() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 14))),
        listed("b", "lac", Some(range(14, 20))),
        listed("c", "marsa", Some(range(0, 14))),
        listed("d", "marsa", Some(range(14, 20))),
    ]);
    let first = |fleet: &Fleet| plan(fleet, &[]).map(|stages| stages[0].clone());
    assert_eq!(first(&fleet).as_deref(), Some("a 0-14"));
    let b = fleet.get_mut(&EndpointId::from("b")).expect("listed");
    b.health.record_full(0);
    assert_eq!(first(&fleet).as_deref(), Some("c 0-14"));
    assert!(
        !fleet
            .get(&EndpointId::from("b"))
            .expect("listed")
            .health
            .is_full(400)
    );
}

#[test]
fn stages_with_a_gap_or_an_engine_twice_are_no_chain() {
    let stage = |id: &str, first, end| ChainStage {
        endpoint: EndpointId::from(id),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        layers: range(first, end),
    };
    let is_chain = |stages| Chain::checked(stages, 20).is_some();
    assert!(is_chain(vec![stage("a", 0, 10), stage("b", 10, 20)]));
    assert!(!is_chain(vec![stage("a", 0, 10), stage("b", 11, 20)]));
    assert!(!is_chain(vec![stage("a", 0, 10), stage("b", 9, 20)]));
    assert!(!is_chain(vec![stage("a", 0, 10), stage("a", 10, 20)]));
    assert!(!is_chain(vec![stage("a", 0, 10), stage("b", 10, 19)]));
    assert!(!is_chain(vec![]));
}

#[test]
fn an_engines_own_word_on_its_layers_goes_before_the_list_for_a_while() {
    let held = |fleet: &Fleet| fleet.iter().next().and_then(|known| known.listed.layers);
    let mut fleet = fleet(vec![listed("a", "lac", Some(range(0, 10)))]);
    let a = EndpointId::from("a");
    fleet
        .get_mut(&a)
        .expect("listed")
        .set_reported_layers(None, 1_000);
    // The list shows what the engine held before, and then once, early, what it holds now.
    let written = |layers| ListingRead::changes(vec![listed("a", "lac", layers)], vec![]);
    fleet.apply_read(written(Some(range(0, 10))), false, 1_500);
    assert_eq!(held(&fleet), None);
    fleet.apply_read(written(Some(range(10, 20))), false, 2_000);
    fleet.expire(2_400);
    assert_eq!(held(&fleet), None);
    fleet.expire(2_600);
    assert_eq!(held(&fleet), Some(range(10, 20)));
}

#[test]
fn a_request_goes_to_the_replica_with_the_least_work_in_its_own_zone() {
    let mut fleet = fleet(vec![listed("a", "lac", None), listed("b", "marsa", None)]);
    let pick = |fleet: &Fleet, tried: &[&str]| {
        let tried: IndexSet<EndpointId> = tried.iter().map(|id| EndpointId::from(*id)).collect();
        let service = ServiceName::from("menu-mind");
        pick_replica(fleet, &service, &ZoneName::from("lac"), &tried, 0).map(|id| id.to_string())
    };
    assert_eq!(pick(&fleet, &[]).as_deref(), Some("a"));
    assert_eq!(pick(&fleet, &["a"]).as_deref(), Some("b"));
    assert_eq!(pick(&fleet, &["a", "b"]), None);
    fleet
        .get_mut(&EndpointId::from("a"))
        .expect("listed")
        .in_flight = 2;
    assert_eq!(pick(&fleet, &[]).as_deref(), Some("b"));
}

/// A fleet whose three ranges of layers have two holders each, and the chain over the first ones.
fn doubled() -> (Fleet, Chain) {
    let ranges = [range(0, 6), range(6, 13), range(13, 20)];
    let names = [["a1", "a2"], ["b1", "b2"], ["c1", "c2"]];
    let entries = ranges.into_iter().zip(names).flat_map(|(layers, pair)| {
        let entry = move |id| listed(id, "lac", Some(layers));
        pair.into_iter().map(entry)
    });
    let fleet = fleet(entries.collect());
    let stage = |id: &str| {
        fleet
            .get(&EndpointId::from(id))
            .and_then(KnownEndpoint::stage)
    };
    let stages = ["a1", "b1", "c1"].into_iter().filter_map(stage).collect();
    let chain = Chain::checked(stages, 20).expect("it is whole");
    (fleet, chain)
}

fn without(fleet: &Fleet, chain: &Chain, lost: &str) -> Option<String> {
    let ask = ChainRequest {
        service: &ServiceName::from("menu-mind"),
        model: &model(),
        own_zone: &ZoneName::from("lac"),
        tokens: 900,
        excluded: &IndexSet::new(),
        first_among: None,
        first: None,
    };
    replace_stage(fleet, ask, chain, &EndpointId::from(lost), 0).map(|it| it.to_string())
}

#[test]
fn a_lost_stage_is_replaced_and_the_others_keep_what_they_have() {
    let (mut fleet, chain) = doubled();
    let replaced = Some("a1=0-6,b2=6-13,c1=13-20".to_owned());
    assert_eq!(without(&fleet, &chain, "b1"), replaced);
    // A stage that takes no new work goes on with what it has.
    fleet.record_peer_leaving(&teller(), &EndpointId::from("c1"), 0);
    fleet.record_peer_leaving(&teller(), &EndpointId::from("c2"), 0);
    assert_eq!(plan(&fleet, &["b1"]), None);
    assert_eq!(without(&fleet, &chain, "b1"), replaced);
    fleet.record_peer_leaving(&teller(), &EndpointId::from("b2"), 0);
    assert_eq!(without(&fleet, &chain, "b1"), None);
}

#[test]
fn an_engine_that_is_full_by_estimate_goes_before_one_that_turned_a_request_away() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(10, 20))),
        listed("c", "marsa", Some(range(0, 10))),
        listed("d", "marsa", Some(range(10, 20))),
    ]);
    let id = EndpointId::from;
    let d = fleet.get_mut(&id("d")).expect("listed");
    d.held_token_layers = 900_000;
    assert_eq!(plan(&fleet, &[]).expect("held")[0], "a 0-10");
    let a = fleet.get_mut(&id("a")).expect("listed");
    a.health.record_full(0);
    assert_eq!(plan(&fleet, &[]).expect("held")[0], "c 0-10");
}

#[test]
fn the_mean_number_of_layers_counts_engines_that_hold_some() {
    let (fleet, _) = doubled();
    let mean = fleet.mean_layers(&ServiceName::from("menu-mind"));
    assert!((mean - 20.0 / 3.0).abs() < 1e-9, "{mean}");
    assert_eq!(fleet.mean_layers(&ServiceName::from("other")), 0.0);
}

/// Two engines that can take requests, with six slots each, and one behind them.
fn two_firsts() -> Fleet {
    fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(0, 10))),
        listed("c", "lac", Some(range(10, 20))),
    ])
}

#[test]
fn a_first_engine_whose_slots_are_taken_is_avoided_though_its_memory_is_free() {
    let first = |fleet: &Fleet| plan(fleet, &[]).map(|stages| stages[0].clone());
    let mut fleet = two_firsts();
    assert_eq!(first(&fleet).as_deref(), Some("a 0-10"));
    let taken = |requests| EngineLoad {
        token_layers: 0,
        requests,
    };
    let id = EndpointId::from("a");
    fleet.set_peers_load(&IndexMap::from([(id.clone(), taken(6))]));
    assert_eq!(first(&fleet).as_deref(), Some("b 0-10"));
    fleet.update_peers_load(&id, taken(6), taken(0));
    assert_eq!(first(&fleet).as_deref(), Some("a 0-10"));
    fleet.get_mut(&id).expect("listed").in_flight = 5;
    assert_eq!(
        first(&fleet).as_deref(),
        Some("b 0-10"),
        "its own count too"
    );
}

/// Requests at the busier of two first engines, where as many as both have slots for are under way:
/// one more than half. By memory alone, which is hardly used here, all went to one of them.
#[test]
fn requests_spread_over_first_engines_by_their_slots() {
    let mut fleet = two_firsts();
    for _ in 0..11 {
        let chain = plan(&fleet, &[]).expect("all layers are held");
        let id = EndpointId::from(chain[0].split(' ').next().expect("a name"));
        fleet.get_mut(&id).expect("listed").in_flight += 1;
    }
    let most = fleet.iter().map(KnownEndpoint::requests).max();
    assert_eq!(most, Some(6));
}
