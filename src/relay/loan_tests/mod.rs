//! Instances in simulated time: heartbeats that are lost and late, demand that is uneven, processes
//! that start anew.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use self::simulation::{
    Demand, NO_TROUBLE, RATIO, RUN_MS, SLACK, STEP_MS, Simulation, Trouble, WINDOW_MS,
};
use super::*;
use crate::ids::ServiceName;

fn any_demand() -> impl Strategy<Value = Demand> {
    prop_oneof![
        Just(Demand::One),
        Just(Demand::All),
        (500u64..12_000).prop_map(|stay_ms| Demand::Moving { stay_ms }),
        Just(Demand::Some),
    ]
}

fn any_trouble() -> impl Strategy<Value = Trouble> {
    let herd = prop::option::of((1u64..300).prop_map(|it| it * 100));
    let parts = (0.0..0.6, 1u64..4_000, 0usize..20, herd, 0usize..10);
    parts.prop_map(|(loss, most_delay_ms, restarts, herd_ms, cuts)| Trouble {
        loss,
        most_delay_ms,
        restarts,
        herd_ms,
        cuts,
    })
}

fn any_size() -> impl Strategy<Value = (usize, usize)> {
    prop_oneof![Just((3, 1)), Just((9, 3)), Just((29, 1)), Just((86, 3))]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(28),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// All processes end at the same moment and start anew, each with an empty memory, while every
    /// caller's request is repeated: engines got half as many repeats again as they may, for each
    /// new process took a whole share beside what the one before it had used.
    #[test]
    fn repeats_stay_within_the_allowance_whatever_happens(
        (count, zones) in any_size(),
        demand in any_demand(),
        trouble in any_trouble(),
        requests_per_s in prop_oneof![Just(0u64), Just(100), Just(300)],
        are_requests_there in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut world = Simulation::new(count, zones, trouble, seed);
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            world.step(now_ms);
            let askers = world.askers(demand, now_ms);
            let requests_at = if are_requests_there { &askers[..] } else { &[] };
            world.requests(requests_per_s, requests_at, now_ms);
            world.ask(&askers, now_ms);
            world.note_overdraw(now_ms);
        }
        println!("most beyond the allowance: {:.1}, {count} {demand:?} {requests_per_s} {trouble:?}", world.worst_overdraw);
        prop_assert!(world.worst_overdraw <= 0.0, "{} too many", world.worst_overdraw);
    }
}

/// Repeats that one instance of a zone of 29 gets within a window, if it alone needs any.
fn repeats_of_one_in_need() -> usize {
    let mut world = Simulation::new(29, 1, NO_TROUBLE, 29);
    for now_ms in (0..WINDOW_MS).step_by(STEP_MS as usize) {
        world.step(now_ms);
        world.repeat(0, RetryPurpose::Start, now_ms);
    }
    world.repeats_ms.len()
}

/// An engine that 28 of 29 instances do not use broke off its streams. The one instance beside it had
/// the even share of one: four repeats in ten seconds; its callers were refused or cut off while the
/// other 28 shares were left over.
#[test]
fn an_instance_alone_in_need_gets_half_of_what_the_others_can_spare() {
    let got = repeats_of_one_in_need();
    println!("one in need of 29: {got} repeats in a window");
    // The others can spare half of 0.7 x 198 x 28 / 29.
    assert!(got >= 33, "{got} repeats");
}

/// Repeats of requests that nobody had an answer to yet took the whole budget, and the answers that
/// callers held a part of were broken off.
#[test]
fn a_begun_answer_goes_on_when_others_have_used_their_part() {
    let service = ServiceName::from("model");
    let share = BudgetShare {
        ratio: RATIO,
        slack: SLACK,
        window_ms: WINDOW_MS,
        instances: 29,
    };
    let mut budget = RetryBudget::default();
    while budget.take(&service, share, RetryPurpose::Start, 5_000) {}
    assert!(budget.take(&service, share, RetryPurpose::Resume, 5_000));
}

/// A request that was refused for want of repeats could not know when one would be left.
#[test]
fn the_time_of_the_next_repeat_is_that_at_which_one_is_left() {
    let mut world = Simulation::new(3, 1, NO_TROUBLE, 3);
    let (service, share) = (world.service.clone(), world.share);
    for now_ms in [1_000, 1_700, 4_400] {
        for _ in 0..20 {
            world.repeat(0, RetryPurpose::Start, now_ms);
        }
    }
    let budget = &mut world.instances[0].budget;
    let purpose = RetryPurpose::Start;
    assert!(!budget.has_left(&service, share, purpose, 5_000));
    let next_ms = budget.next_available_ms(&service, share, purpose, 5_000);
    assert!(next_ms > 5_000, "{next_ms}");
    assert!(!budget.has_left(&service, share, purpose, next_ms - 1));
    assert!(budget.has_left(&service, share, purpose, next_ms));
    assert_eq!(
        budget.next_available_ms(&service, share, purpose, next_ms),
        next_ms
    );
}

/// An engine ended under ten streams of one instance in one millisecond while every instance of the
/// zone had used up its part to get answers begun. The ten callers held a part of their answers and
/// were cut off, though each of the other 28 instances still kept a part for begun ones.
#[test]
fn begun_answers_go_on_with_what_the_zone_keeps_for_them() {
    let mut world = Simulation::new(29, 1, NO_TROUBLE, 24);
    let everybody: Vec<usize> = (0..29).collect();
    let mut went_on_ms = Vec::new();
    for now_ms in (0..9_000).step_by(STEP_MS as usize) {
        world.step(now_ms);
        for at in &everybody {
            world.repeat(*at, RetryPurpose::Start, now_ms);
        }
        if now_ms >= 8_000 && went_on_ms.len() < 10 {
            while went_on_ms.len() < 10 && world.repeat(0, RetryPurpose::Resume, now_ms) {
                went_on_ms.push(now_ms - 8_000);
            }
        }
    }
    println!("begun answers went on after {went_on_ms:?} ms");
    assert_eq!(went_on_ms.len(), 10, "after {went_on_ms:?} ms");
}

#[test]
fn an_answer_that_waits_for_a_repeat_has_others_asked_for_one() {
    let service = ServiceName::from("ledger-api");
    let share = BudgetShare {
        ratio: RATIO,
        slack: 0.0,
        window_ms: WINDOW_MS,
        instances: 29,
    };
    let mut budget = RetryBudget::default();
    assert_eq!(budget.needs(share, 0), Vec::new());
    budget.note_demand(&service, share, RetryPurpose::Resume, 0);
    let needs = budget.needs(share, 0);
    let wanted = needs.iter().map(|need| (&need.service, need.purpose));
    assert_eq!(
        wanted.collect::<Vec<_>>(),
        [(&service, RetryPurpose::Resume)]
    );
}

/// Repeats that instances of a zone of 29 get in twenty seconds, of which each second so many of the
/// first `askers` need eight at once to get answers begun, and do not wait for them.
fn repeats_of_bursts(loss: f64, bursts_per_s: f64, askers: usize) -> usize {
    let trouble = Trouble { loss, ..NO_TROUBLE };
    let mut world = Simulation::new(29, 1, trouble, 5);
    let mut demand = SmallRng::seed_from_u64(6);
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        world.step(now_ms);
        world.requests(100, &[], now_ms);
        if demand.random::<f64>() < bursts_per_s * STEP_MS as f64 / 1_000.0 {
            let at = demand.random_range(0..askers);
            for _ in 0..8 {
                world.repeat(at, RetryPurpose::Start, now_ms);
            }
        }
    }
    let begin = world.repeats_ms.partition_point(|at| *at < RUN_MS - 20_000);
    world.repeats_ms.len() - begin
}

/// Callers who do not wait were refused at one instance for what another had borrowed, not used, and
/// kept charged to its lender for a window: the zone repeated less than when nobody lent.
#[test]
fn lending_costs_little_where_all_are_short_and_gains_half_where_some_are() {
    for bursts_per_s in [2.0, 4.0, 8.0] {
        let [all, some] = [29, 10].map(|askers| {
            let lent = repeats_of_bursts(0.0, bursts_per_s, askers);
            let by_head = repeats_of_bursts(1.0, bursts_per_s, askers);
            println!(
                "{bursts_per_s} bursts a second at {askers}: {lent} repeats, {by_head} by head"
            );
            (lent, by_head)
        });
        assert!(10 * all.0 >= 9 * all.1, "{all:?} at {bursts_per_s}");
        assert!(2 * some.0 >= 3 * some.1, "{some:?} at {bursts_per_s}");
    }
}

/// What came back of a loan with a heartbeat that the network repeated would be lent twice.
#[test]
fn what_is_given_back_counts_once() {
    let Simulation {
        mut instances,
        service,
        share,
        ..
    } = Simulation::new(3, 1, NO_TROUBLE, 3);
    let want = RetryAmount {
        service,
        purpose: RetryPurpose::Start,
        milli_retries: 9_000,
    };
    let budget = &mut instances[0].budget;
    let loans = budget.lend(&[want.clone(), want], share, 1_000);
    let spare_milli = budget.spare_milli(share, 1_000);
    for _ in 0..2 {
        budget.reclaim(&loans[..1]);
    }
    assert_eq!(budget.spare_milli(share, 1_000), spare_milli + 9_000);
}
