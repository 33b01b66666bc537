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
        .fold(1_000_u32, |sum, byte| sum * 7 % 50_000 + u32::from(byte));
    ListedEndpoint {
        id: EndpointId::from(id),
        service: ServiceName::from("menu-mind"),
        address: SocketAddr::from(([10, 0, 0, 1], port as u16)),
        zone: ZoneName::from(zone),
        phase: Phase::Live,
        slots: 6,
        kind: Some("small".to_owned()),
        layers,
    }
}

pub(super) fn reporting_peer() -> InstanceId {
    InstanceId::from("peer-1")
}

pub(super) fn fleet(entries: Vec<ListedEndpoint>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.apply_read(ListingRead::full(entries), false, 0);
    fleet
}

pub(super) fn model() -> EngineModel {
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
    plan_drawn(fleet, excluded, None)
}

/// The stages of a planned chain.
fn plan_drawn(fleet: &Fleet, excluded: &[&str], draw: Option<u64>) -> Option<Vec<String>> {
    let excluded: IndexSet<EndpointId> = excluded.iter().map(|id| EndpointId::from(*id)).collect();
    let request = ChainRequest {
        service: &ServiceName::from("menu-mind"),
        model: &model(),
        own_zone: &ZoneName::from("lac"),
        tokens: 900,
        excluded: &excluded,
        first_among: None,
        first: None,
        draw,
    };
    let chain = plan_chain(fleet, request, 0)?;
    let stage = |it: &ChainStage| format!("{} {}-{}", it.endpoint, it.layers.first, it.layers.end);
    Some(chain.stages().iter().map(stage).collect())
}

/// No draw, and many.
fn some_draws() -> impl Iterator<Item = Option<u64>> {
    let draws = (0..100_u64).map(|index| index.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    std::iter::once(None).chain(draws.map(Some))
}

#[test]
fn a_chain_runs_every_layer_once_and_stays_in_its_zone() {
    let fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(8, 20))),
        listed("c", "marsa", Some(range(10, 20))),
    ]);
    for draw in some_draws() {
        let chain = plan_drawn(&fleet, &[], draw).expect("all layers are held");
        assert_eq!(chain.len(), 2);
        assert!(chain[0].starts_with("a 0-") && chain[1].starts_with("b "));
    }
}

#[test]
fn a_gap_in_a_zone_is_covered_by_another_zone() {
    let fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(10, 20))),
        listed("c", "marsa", Some(range(10, 20))),
    ]);
    for draw in some_draws() {
        assert_eq!(
            plan_drawn(&fleet, &["b"], draw),
            Some(vec!["a 0-10".to_owned(), "c 10-20".to_owned()])
        );
        assert_eq!(plan_drawn(&fleet, &["b", "c"], draw), None);
    }
}

#[test]
fn an_unverified_engine_is_left_out_until_it_is_seen_healthy() {
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
    // 14,400 MB hold at most 14 layers. With 20 there would be no room at all, so fewer are
    // assigned.
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
    for draw in some_draws() {
        let chain = plan_drawn(&fleet, &[], draw).expect("all layers are held");
        assert_eq!(chain[0], "b 0-10");
    }
}

#[test]
fn an_engine_that_rejected_a_request_is_avoided_for_a_while() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 14))),
        listed("b", "lac", Some(range(14, 20))),
        listed("c", "marsa", Some(range(0, 14))),
        listed("d", "marsa", Some(range(14, 20))),
    ]);
    let first = |fleet: &Fleet, draw| {
        let chain = plan_drawn(fleet, &[], draw).expect("all layers are held");
        chain[0].clone()
    };
    for draw in some_draws() {
        assert_eq!(first(&fleet, draw), "a 0-14");
    }
    let b = fleet.get_mut(&EndpointId::from("b")).expect("listed");
    b.health.record_full(0);
    for draw in some_draws() {
        assert_eq!(first(&fleet, draw), "c 0-14");
    }
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
fn layers_reported_by_an_engine_override_the_list_for_a_while() {
    let held = |fleet: &Fleet| fleet.iter().next().and_then(|known| known.listed.layers);
    let mut fleet = fleet(vec![listed("a", "lac", Some(range(0, 10)))]);
    let a = EndpointId::from("a");
    fleet
        .get_mut(&a)
        .expect("listed")
        .set_reported_layers(None, 1_000);
    // The list first shows the previous layers of the engine and then its present ones, before the
    // report expires.
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

/// Replicas that stopped together are all silent, whatever was heard from them before.
#[test]
fn a_repeat_goes_only_to_a_replica_that_was_heard_since_the_request_failed() {
    let fleet = fleet(vec![
        listed("a", "lac", None),
        listed("b", "lac", None),
        listed("c", "marsa", None),
    ]);
    let hear = |id: &str, at_ms| {
        let known = fleet.get(&EndpointId::from(id)).expect("listed");
        known.last_heard.record(at_ms);
    };
    let pick = |tried: &[&str]| {
        let tried: IndexSet<EndpointId> = tried.iter().map(|id| EndpointId::from(*id)).collect();
        let (service, zone) = (ServiceName::from("menu-mind"), ZoneName::from("lac"));
        pick_living_replica(&fleet, &service, &zone, &tried, 1_000, 1_300)
    };
    let ids = |ids: &[&str]| ids.iter().map(|id| EndpointId::from(*id)).collect();
    hear("b", 999);
    hear("c", 990);
    assert_eq!(pick(&["a"]), RepeatChoice::Silent(ids(&["b", "c"])));
    hear("c", 1_000);
    assert_eq!(pick(&["a"]), RepeatChoice::Alive(EndpointId::from("c")));
    assert_eq!(pick(&["a", "b", "c"]), RepeatChoice::None);
}

/// A fleet with two engines for each of three layer ranges, and the chain over the first of each.
fn two_engines_per_range() -> (Fleet, Chain) {
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
    let chain = Chain::checked(stages, 20).expect("it covers all layers");
    (fleet, chain)
}

fn without_stage(fleet: &Fleet, chain: &Chain, lost: &str) -> Option<String> {
    without_stage_in(fleet, chain, lost, Zones::OfFirst)
}

fn without_stage_in(fleet: &Fleet, chain: &Chain, lost: &str, zones: Zones) -> Option<String> {
    let request = ChainRequest {
        service: &ServiceName::from("menu-mind"),
        model: &model(),
        own_zone: &ZoneName::from("lac"),
        tokens: 900,
        excluded: &IndexSet::new(),
        first_among: None,
        first: None,
        draw: None,
    };
    let lost = EndpointId::from(lost);
    let replaced = |draw| {
        let request = ChainRequest { draw, ..request };
        replace_stage(fleet, request, chain, &lost, zones, 0).map(|it| it.to_string())
    };
    let cheapest = replaced(None);
    for draw in some_draws() {
        assert_eq!(replaced(draw), cheapest, "only one engine can be taken");
    }
    cheapest
}

#[test]
fn a_lost_stage_is_replaced_and_the_others_keep_what_they_have() {
    let (mut fleet, chain) = two_engines_per_range();
    let replaced = Some("a1=0-6,b2=6-13,c1=13-20".to_owned());
    assert_eq!(without_stage(&fleet, &chain, "b1"), replaced);
    // A stage that gets no new work keeps running what it has.
    fleet.apply_leaving_report(&reporting_peer(), &EndpointId::from("c1"), 0);
    fleet.apply_leaving_report(&reporting_peer(), &EndpointId::from("c2"), 0);
    assert_eq!(plan(&fleet, &["b1"]), None);
    assert_eq!(without_stage(&fleet, &chain, "b1"), replaced);
    fleet.apply_leaving_report(&reporting_peer(), &EndpointId::from("b2"), 0);
    assert_eq!(without_stage(&fleet, &chain, "b1"), None);
}

#[test]
fn a_lost_stage_is_replaced_from_another_zone_only_if_that_is_allowed() {
    let entries = vec![
        listed("a", "lac", Some(range(0, 6))),
        listed("b", "lac", Some(range(6, 13))),
        listed("c", "lac", Some(range(13, 20))),
        listed("d", "marsa", Some(range(6, 10))),
        listed("e", "marsa", Some(range(10, 20))),
    ];
    let mut fleet = fleet(entries);
    let stages = ["a", "b", "c"].map(|id| {
        let known = fleet.get(&EndpointId::from(id));
        known.and_then(KnownEndpoint::stage).expect("it has layers")
    });
    let chain = Chain::checked(stages.into(), 20).expect("it covers all layers");
    let replaced = Some("a=0-6,d=6-10,e=10-13,c=13-20".to_owned());
    assert_eq!(without_stage(&fleet, &chain, "b"), None);
    let in_all = |fleet: &Fleet| without_stage_in(fleet, &chain, "b", Zones::All);
    assert_eq!(in_all(&fleet), replaced);
    fleet.apply_leaving_report(&reporting_peer(), &EndpointId::from("d"), 0);
    assert_eq!(in_all(&fleet), None);
}

#[test]
fn an_engine_with_estimated_full_memory_is_preferred_to_one_that_rejected_a_request() {
    let mut fleet = fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(10, 20))),
        listed("c", "marsa", Some(range(0, 10))),
        listed("d", "marsa", Some(range(10, 20))),
    ]);
    let id = EndpointId::from;
    let d = fleet.get_mut(&id("d")).expect("listed");
    d.held_token_layers = 900_000;
    let first = |fleet: &Fleet, draw| plan_drawn(fleet, &[], draw).expect("held")[0].clone();
    for draw in some_draws() {
        assert_eq!(first(&fleet, draw), "a 0-10");
    }
    let a = fleet.get_mut(&id("a")).expect("listed");
    a.health.record_full(0);
    for draw in some_draws() {
        assert_eq!(first(&fleet, draw), "c 0-10");
    }
}

#[test]
fn the_mean_number_of_layers_counts_engines_that_hold_some() {
    let (fleet, _) = two_engines_per_range();
    let mean = fleet.mean_layers(&ServiceName::from("menu-mind"));
    assert!((mean - 20.0 / 3.0).abs() < 1e-9, "{mean}");
    assert_eq!(fleet.mean_layers(&ServiceName::from("other")), 0.0);
}

/// Two engines with six slots each at which requests can start, and one for the remaining layers.
fn two_first_engines() -> Fleet {
    fleet(vec![
        listed("a", "lac", Some(range(0, 10))),
        listed("b", "lac", Some(range(0, 10))),
        listed("c", "lac", Some(range(10, 20))),
    ])
}

#[test]
fn a_first_engine_with_all_slots_in_use_is_avoided_though_its_memory_is_free() {
    let first = |fleet: &Fleet| plan(fleet, &[]).map(|stages| stages[0].clone());
    let mut fleet = two_first_engines();
    assert_eq!(first(&fleet).as_deref(), Some("a 0-10"));
    let taken = |requests| EngineLoad {
        requests,
        ..EngineLoad::default()
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

/// Guards against all requests starting at one of two equal engines, as happened while only memory
/// use counted, which is hardly any here. Of eleven requests, one less than both engines have
/// slots, the busier engine must get no more than six.
#[test]
fn requests_spread_over_first_engines_by_their_slots() {
    for draw in some_draws() {
        let mut fleet = two_first_engines();
        for index in 0..11 {
            let draw = draw.map(|it| it ^ index);
            let chain = plan_drawn(&fleet, &[], draw).expect("all layers are held");
            let id = EndpointId::from(chain[0].split(' ').next().expect("a name"));
            fleet.get_mut(&id).expect("listed").in_flight += 1;
        }
        let most = fleet.iter().map(KnownEndpoint::requests).max();
        assert_eq!(most, Some(6), "draw {draw:?}");
    }
}
