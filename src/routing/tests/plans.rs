//! Plans of new streams.

use proptest::prelude::*;

use crate::ids::{EndpointId, Incarnation};
use crate::routing::{EndpointFault, NoRoute};
use crate::wire::platform::InstancePhase;

use super::world::{LAYERS, World, names};

const HALVES: [(u16, u16, f64, u32); 4] = [
    (0, 6, 600.0, 4),
    (0, 6, 600.0, 4),
    (6, 12, 600.0, 4),
    (6, 12, 600.0, 4),
];

fn engine() -> impl Strategy<Value = (u16, u16, f64, u32)> {
    (0..LAYERS, 1..=LAYERS, 1..20_u32, 1..6_u32).prop_map(|(first, length, rate, batch)| {
        let end = (first + length).min(LAYERS);
        (first, end, f64::from(rate) * 100.0, batch)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn every_plan_runs_each_layer_once_and_spares_those_that_leave(
        engines in prop::collection::vec(engine(), 1..9),
        leaving in prop::collection::vec(any::<bool>(), 9),
        draining in prop::collection::vec(any::<bool>(), 9),
        late in any::<bool>(),
    ) {
        let mut world = World::new(&engines);
        if late {
            (0..3).for_each(|tick| { world.router.polls(300 + tick); });
        }
        for number in 0..engines.len() {
            if leaving[number] {
                world.records[number].phase = InstancePhase::Leaving;
            }
            world.states[number].draining = draining[number];
        }
        world.tell(400);
        let held = |layer: u16| (0..engines.len()).any(|n| {
            let (first, end, ..) = engines[n];
            !leaving[n] && !draining[n] && first <= layer && layer < end
        });
        let possible = (0..LAYERS).all(held);
        prop_assert_eq!(world.plan(400) == Err(NoRoute::Incomplete), !possible);
        for _ in 0..40 {
            let Ok(chain) = world.plan(400) else { break };
            prop_assert!(world.is_whole(&chain), "{chain:?}");
            for stage in &chain {
                let number: usize = stage.endpoint.as_str()[1..].parse().expect("number");
                prop_assert!(!leaving[number] && !draining[number]);
            }
        }
    }
}

#[test]
fn a_full_fleet_is_told_from_an_incomplete_one() {
    let mut world = World::new(&HALVES);
    let chains = std::iter::from_fn(|| world.plan(0).ok()).take(100).count();
    assert_eq!(chains, 32, "as many streams as the engines hold");
    assert_eq!(world.plan(0), Err(NoRoute::Full));
    world.records.truncate(2);
    world.tell(10);
    assert_eq!(world.plan(10), Err(NoRoute::Incomplete));
}

#[test]
fn a_released_slot_is_used_again_and_a_second_plan_replaces_the_first() {
    let mut world = World::new(&HALVES);
    let stream = world.stream();
    for _ in 0..50 {
        world
            .plan_for(stream, &[], &[], 0)
            .expect("one slot at a time");
    }
    while world.plan(0).is_ok() {}
    world.router.release(stream, 1);
    world.router.release(stream, 2);
    assert!(world.plan(2).is_ok());
    assert_eq!(world.plan(2), Err(NoRoute::Full));
}

#[test]
fn a_faulty_engine_is_avoided_until_it_answers_after_its_backoff() {
    let mut world = World::new(&HALVES);
    let faulty = EndpointId::from("e0");
    world
        .router
        .observe_fault(&faulty, EndpointFault::Unreachable, 0);
    for now_ms in [0, 400] {
        world.tell(now_ms);
        assert!(!names(&world.plan(now_ms).expect("e1")).contains(&"e0"));
    }
    let used = |world: &mut World, now_ms| {
        (0..4).any(|_| {
            world
                .plan(now_ms)
                .is_ok_and(|chain| names(&chain).contains(&"e0"))
        })
    };
    assert!(!used(&mut world, 600), "it has not answered since");
    world.tell(620);
    assert!(used(&mut world, 620));
}

#[test]
fn another_incarnation_is_trusted_anew() {
    let mut world = World::new(&HALVES);
    for now_ms in 0..5 {
        let faulty = EndpointId::from("e0");
        world
            .router
            .observe_fault(&faulty, EndpointFault::Slow, now_ms * 20_000);
    }
    let mut rng = <rand::rngs::SmallRng as rand::SeedableRng>::seed_from_u64(1);
    world.states[0].incarnation = Incarnation::generate(&mut rng);
    world.tell(80_100);
    let chains = std::iter::from_fn(|| world.plan(80_100).ok()).take(100);
    assert!(
        chains
            .into_iter()
            .any(|chain| names(&chain).contains(&"e0"))
    );
}

#[test]
fn slots_follow_the_engines_rates() {
    let engines = [(0, 12, 3_000.0, 8), (0, 12, 1_000.0, 8)];
    let mut world = World::new(&engines);
    let first: Vec<_> = (0..8).map(|_| world.plan(0).expect("room")).collect();
    let fast = first.iter().filter(|chain| names(chain) == ["e0"]).count();
    assert!((3..=6).contains(&fast), "{fast} of 8 at the fast engine");
}

#[test]
fn the_expected_gap_follows_what_was_seen() {
    let mut world = World::new(&HALVES);
    let stream = world.stream();
    let chain = world.plan_for(stream, &[], &[], 0).expect("chain");
    let told_ms = world.router.expected_gap_ms(&chain);
    assert!(
        (told_ms - 80.0).abs() < 1.0,
        "a full batch's time at first: {told_ms}"
    );
    for now_ms in 0..400 {
        world.router.observe_token(stream, 30, now_ms);
    }
    let seen_ms = world.router.expected_gap_ms(&chain);
    assert!((seen_ms - 30.0).abs() < 2.0, "{seen_ms}");
    assert!(world.router.gap_deviation_ms(&chain) < 3.0);
}
