//! Tests of plans for new streams.

use proptest::prelude::*;

use crate::ids::{EndpointId, Incarnation};
use crate::routing::{EndpointFault, NoRoute};
use crate::wire::platform::InstancePhase;

use super::fixture::{LAYERS, RouterFixture, names};

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
    fn every_plan_runs_each_layer_once_and_avoids_leaving_engines(
        engines in prop::collection::vec(engine(), 1..9),
        leaving in prop::collection::vec(any::<bool>(), 9),
        draining in prop::collection::vec(any::<bool>(), 9),
        late in any::<bool>(),
    ) {
        let mut fixture = RouterFixture::new(&engines);
        if late {
            (0..3).for_each(|tick| { fixture.router.due_polls(300 + tick); });
        }
        for number in 0..engines.len() {
            if leaving[number] {
                fixture.records[number].phase = InstancePhase::Leaving;
            }
            fixture.states[number].draining = draining[number];
        }
        fixture.update_router(400);
        let held = |layer: u16| (0..engines.len()).any(|n| {
            let (first, end, ..) = engines[n];
            !leaving[n] && !draining[n] && first <= layer && layer < end
        });
        let possible = (0..LAYERS).all(held);
        prop_assert_eq!(fixture.plan(400) == Err(NoRoute::Incomplete), !possible);
        for _ in 0..40 {
            let Ok(chain) = fixture.plan(400) else { break };
            prop_assert!(fixture.covers_all_layers(&chain), "{chain:?}");
            for stage in &chain {
                let number: usize = stage.endpoint.as_str()[1..].parse().expect("number");
                prop_assert!(!leaving[number] && !draining[number]);
            }
        }
    }
}

#[test]
fn a_full_fleet_is_distinguished_from_an_incomplete_one() {
    let mut fixture = RouterFixture::new(&HALVES);
    let chains = std::iter::from_fn(|| fixture.plan(0).ok())
        .take(100)
        .count();
    assert_eq!(chains, 32, "as many streams as the engines hold");
    assert_eq!(fixture.plan(0), Err(NoRoute::Full));
    fixture.records.truncate(2);
    fixture.update_router(10);
    assert_eq!(fixture.plan(10), Err(NoRoute::Incomplete));
}

#[test]
fn a_released_slot_is_used_again_and_a_second_plan_replaces_the_first() {
    let mut fixture = RouterFixture::new(&HALVES);
    let stream = fixture.stream();
    for _ in 0..50 {
        fixture
            .plan_for(stream, &[], &[], 0)
            .expect("one slot at a time");
    }
    while fixture.plan(0).is_ok() {}
    fixture.router.release(stream, 1);
    fixture.router.release(stream, 2);
    assert!(fixture.plan(2).is_ok());
    assert_eq!(fixture.plan(2), Err(NoRoute::Full));
}

#[test]
fn a_faulty_engine_is_avoided_until_it_answers_after_its_backoff() {
    let mut fixture = RouterFixture::new(&HALVES);
    let faulty = EndpointId::from("e0");
    fixture
        .router
        .observe_fault(&faulty, EndpointFault::Unreachable, 0);
    for now_ms in [0, 400] {
        fixture.update_router(now_ms);
        assert!(!names(&fixture.plan(now_ms).expect("e1")).contains(&"e0"));
    }
    let used = |fixture: &mut RouterFixture, now_ms| {
        (0..4).any(|_| {
            fixture
                .plan(now_ms)
                .is_ok_and(|chain| names(&chain).contains(&"e0"))
        })
    };
    assert!(!used(&mut fixture, 600), "it has not answered since");
    fixture.update_router(620);
    assert!(used(&mut fixture, 620));
}

#[test]
fn a_new_incarnation_is_trusted_immediately() {
    let mut fixture = RouterFixture::new(&HALVES);
    for now_ms in 0..5 {
        let faulty = EndpointId::from("e0");
        fixture
            .router
            .observe_fault(&faulty, EndpointFault::Slow, now_ms * 20_000);
    }
    let mut rng = <rand::rngs::SmallRng as rand::SeedableRng>::seed_from_u64(1);
    fixture.states[0].incarnation = Incarnation::generate(&mut rng);
    fixture.update_router(80_100);
    let chains = std::iter::from_fn(|| fixture.plan(80_100).ok()).take(100);
    assert!(
        chains
            .into_iter()
            .any(|chain| names(&chain).contains(&"e0"))
    );
}

#[test]
fn slots_follow_the_engines_rates() {
    let engines = [(0, 12, 3_000.0, 8), (0, 12, 1_000.0, 8)];
    let mut fixture = RouterFixture::new(&engines);
    let first: Vec<_> = (0..8).map(|_| fixture.plan(0).expect("room")).collect();
    let fast = first.iter().filter(|chain| names(chain) == ["e0"]).count();
    assert!((3..=6).contains(&fast), "{fast} of 8 at the fast engine");
}

#[test]
fn the_expected_gap_follows_observed_gaps() {
    let mut fixture = RouterFixture::new(&HALVES);
    let stream = fixture.stream();
    let chain = fixture.plan_for(stream, &[], &[], 0).expect("chain");
    let reported_ms = fixture.router.expected_gap_ms(&chain);
    assert!(
        (reported_ms - 80.0).abs() < 1.0,
        "a full batch's time at first: {reported_ms}"
    );
    for now_ms in 0..400 {
        fixture.router.observe_token(stream, 30, now_ms);
    }
    let observed_ms = fixture.router.expected_gap_ms(&chain);
    assert!((observed_ms - 30.0).abs() < 2.0, "{observed_ms}");
    assert!(fixture.router.gap_deviation_ms(&chain) < 3.0);
}
