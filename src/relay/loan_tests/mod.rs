//! Simulates instances with lost and delayed heartbeats, uneven demand and restarting processes.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use self::simulation::{
    Demand, Faults, NO_FAULTS, RATIO, RUN_MS, SLACK, STEP_MS, Simulation, WINDOW_MS,
};
use super::*;
use crate::ids::ServiceName;

/// Retries that an instance asks for in a step while endpoints fail.
const RETRIES_PER_STEP: usize = 3;

fn any_demand() -> impl Strategy<Value = Demand> {
    prop_oneof![
        Just(Demand::One),
        Just(Demand::All),
        (500u64..12_000).prop_map(|stay_ms| Demand::Moving { stay_ms }),
        Just(Demand::Some),
    ]
}

fn any_faults() -> impl Strategy<Value = Faults> {
    let restart_all = prop::option::of((1u64..300).prop_map(|it| it * 100));
    let parts = (0.0..0.6, 1u64..4_000, 0usize..20, restart_all, 0usize..10);
    parts.prop_map(
        |(loss, max_delay_ms, restarts, restart_all_ms, partitions)| Faults {
            loss,
            max_delay_ms,
            restarts,
            restart_all_ms,
            partitions,
            ..NO_FAULTS
        },
    )
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

    /// Guards against new processes taking a full share in addition to what the processes before
    /// them had used. When all instances restarted at the same moment while every request was
    /// retried, engines received one and a half times the allowed retries.
    #[test]
    fn retries_stay_within_the_allowance_under_any_fault(
        (count, zones) in any_size(),
        demand in any_demand(),
        faults in any_faults(),
        requests_per_s in prop_oneof![Just(0u64), Just(100), Just(300)],
        are_requests_there in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(count, zones, faults, seed);
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            simulation.step(now_ms);
            let askers = simulation.instances_in_need(demand, now_ms);
            let requests_at = if are_requests_there { &askers[..] } else { &[] };
            simulation.requests(requests_per_s, requests_at, now_ms);
            simulation.request_retries(&askers, now_ms);
            simulation.record_overdraw(now_ms);
        }
        println!("maximum overdraw: {:.1}, {count} {demand:?} {requests_per_s} {faults:?}", simulation.max_overdraw);
        prop_assert!(simulation.max_overdraw <= 0.0, "{} too many", simulation.max_overdraw);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(59),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against retries that are sent to silent endpoints arriving beside those of the next window.
    #[test]
    fn retries_that_silent_endpoints_read_late_stay_within_the_allowance(
        (count, zones) in any_size(),
        starts_ms in prop::collection::vec(0u64..RUN_MS, 1..6),
        length_ms in 500u64..2_500,
        period_ms in prop::option::of(8_000u64..11_000),
        demand in any_demand(),
        restarts in 0usize..6,
        seed in any::<u64>(),
    ) {
        let faults = Faults { restarts, ..NO_FAULTS };
        let mut simulation = Simulation::new(count, zones, faults, seed);
        let periodic = |period_ms| (0..RUN_MS).step_by(period_ms as usize).collect();
        let starts_ms: Vec<u64> = period_ms.map_or(starts_ms, periodic);
        simulation.silences_ms = starts_ms.iter().map(|at_ms| *at_ms..at_ms + length_ms).collect();
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            simulation.step(now_ms);
            let askers = simulation.instances_in_need(demand, now_ms);
            simulation.requests(100, &[], now_ms);
            simulation.request_retries(&askers, now_ms);
            simulation.record_overdraw(now_ms);
        }
        println!("maximum overdraw: {:.1}, {count} {demand:?}", simulation.max_overdraw);
        prop_assert!(simulation.max_overdraw <= 0.0, "{} too many", simulation.max_overdraw);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(76),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against retries that count requests of two bursts, of which each window of arrivals has only one.
    #[test]
    fn retries_between_bursts_of_requests_stay_within_the_allowance(
        (count, zones) in prop_oneof![Just((3, 1)), Just((9, 3))],
        period_ms in 6_000u64..11_000,
        length_ms in 100u64..2_000,
        burst_per_s in prop_oneof![Just(500u64), Just(2_000), Just(6_000)],
        usual_per_s in prop_oneof![Just(0u64), Just(100)],
        failures_from_ms in 0u64..10_000,
        failures_ms in 100u64..3_000,
        demand in any_demand(),
        seed in any::<u64>(),
    ) {
        let mut simulation = Simulation::new(count, zones, NO_FAULTS, seed);
        for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
            simulation.step(now_ms);
            let is_burst = now_ms % period_ms < length_ms;
            let requests_per_s = if is_burst { burst_per_s } else { usual_per_s };
            simulation.requests(requests_per_s, &[], now_ms);
            let since_failure_ms = (now_ms + period_ms - failures_from_ms % period_ms) % period_ms;
            if since_failure_ms < failures_ms {
                let askers = simulation.instances_in_need(demand, now_ms);
                for _ in 0..RETRIES_PER_STEP {
                    simulation.request_retries(&askers, now_ms);
                }
            }
            simulation.record_overdraw(now_ms);
        }
        println!("maximum overdraw: {:.1}, {count} {demand:?} {burst_per_s}", simulation.max_overdraw);
        prop_assert!(simulation.max_overdraw <= 0.0, "{} too many", simulation.max_overdraw);
    }
}

/// Guards against retries that count requests of two bursts, of which each window of arrivals has only one.
#[test]
fn retries_after_the_second_of_two_bursts_stay_within_the_allowance() {
    const PERIOD_MS: u64 = 6_000;
    const BURST_MS: u64 = 251;
    const FAILURES_MS: std::ops::Range<u64> = 201..401;
    let mut simulation = Simulation::new(3, 1, NO_FAULTS, 0);
    for now_ms in (0..14_000).step_by(STEP_MS as usize) {
        simulation.step(now_ms);
        let in_period_ms = now_ms % PERIOD_MS;
        let requests_per_s = if in_period_ms < BURST_MS { 6_000 } else { 0 };
        simulation.requests(requests_per_s, &[], now_ms);
        if FAILURES_MS.contains(&in_period_ms) {
            let askers = simulation.instances_in_need(Demand::All, now_ms);
            for _ in 0..5 {
                simulation.request_retries(&askers, now_ms);
            }
        }
        simulation.record_overdraw(now_ms);
    }
    let overdraw = simulation.max_overdraw;
    assert!(overdraw <= 0.0, "{overdraw} too many");
}

/// Load that rotates among groups of instances.
#[derive(Clone, Copy, Debug)]
struct MovingLoad {
    /// Number of groups.
    groups: usize,
    /// Duration for which a group receives all requests.
    stay_ms: u64,
    requests_per_s: u64,
}

impl MovingLoad {
    fn instances(self, count: usize, now_ms: u64) -> Vec<usize> {
        let group = (now_ms / self.stay_ms) as usize % self.groups;
        (0..count).filter(|at| at % self.groups == group).collect()
    }
}

/// Simulates partial responses at all instances, which are to be resumed all the time, while the load moves. Returns
/// by how many their retries exceed the allowance.
fn overdraw_while_load_moves(count: usize, load: MovingLoad, faults: Faults, seed: u64) -> f64 {
    let mut simulation = Simulation::new(count, 3, faults, seed);
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        simulation.step(now_ms);
        let requests_at = load.instances(count, now_ms);
        simulation.requests(load.requests_per_s, &requests_at, now_ms);
        for at in 0..count {
            simulation.retry(at, RetryPurpose::Resume, now_ms);
        }
        simulation.record_overdraw(now_ms);
    }
    simulation.max_overdraw
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: RngSeed::Fixed(82),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against shares that add up to more than the allowance, since load leaves some instances and reaches others.
    #[test]
    fn retries_stay_within_the_allowance_while_load_moves_between_instances(
        count in 3usize..12,
        groups in 1usize..9,
        stay_ms in 500u64..16_000,
        requests_per_s in prop_oneof![Just(100u64), Just(400), Just(2_000)],
        faults in prop_oneof![Just(NO_FAULTS), any_faults()],
        seed in any::<u64>(),
    ) {
        let groups = groups.min(count);
        let load = MovingLoad { groups, stay_ms, requests_per_s };
        let overdraw = overdraw_while_load_moves(count, load, faults, seed);
        println!("maximum overdraw: {overdraw:.1}, {count} {load:?} {faults:?}");
        prop_assert!(overdraw <= 0.0, "{} too many", overdraw);
    }
}

/// Guards against shares that add up to more than the allowance while load rotates among three zones.
#[test]
fn retries_stay_within_the_allowance_while_load_moves_from_zone_to_zone() {
    let load = MovingLoad {
        groups: 3,
        stay_ms: 10_000,
        requests_per_s: 400,
    };
    let overdraw = overdraw_while_load_moves(7, load, NO_FAULTS, 0);
    assert!(overdraw <= 0.0, "{overdraw} too many");
}

/// Simulates retries that all instances want all the time while all of them restart every `interval_ms`. Returns by how
/// many the retries exceed the allowance.
fn overdraw_of_restarts(count: usize, interval_ms: u64, unknown_count_ms: u64) -> f64 {
    let faults = Faults {
        restart_interval_ms: Some(interval_ms),
        unknown_count_ms,
        ..NO_FAULTS
    };
    let mut simulation = Simulation::new(count, 3, faults, 88);
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        simulation.step(now_ms);
        simulation.requests(100, &[], now_ms);
        for at in 0..count {
            simulation.retry(at, RetryPurpose::Resume, now_ms);
        }
        simulation.record_overdraw(now_ms);
    }
    simulation.max_overdraw
}

/// Guards against processes that start one after the other in the same place, each with a share of the slack.
#[test]
fn retries_of_processes_that_start_in_series_stay_within_the_allowance() {
    for interval_ms in [500, 1_000, 3_000, 7_000] {
        let overdraw = overdraw_of_restarts(7, interval_ms, 0);
        println!("maximum overdraw: {overdraw:.1}, every {interval_ms} ms");
        assert!(
            overdraw <= 0.0,
            "{overdraw} too many, every {interval_ms} ms"
        );
    }
}

/// Guards against processes that take the whole slack for their own since they know no other instance yet.
#[test]
fn retries_of_processes_that_know_no_others_yet_stay_within_the_allowance() {
    for (interval_ms, unknown_count_ms) in [(20_000, 400), (7_000, 400), (15_500, 15_400)] {
        let overdraw = overdraw_of_restarts(7, interval_ms, unknown_count_ms);
        println!("maximum overdraw: {overdraw:.1}, every {interval_ms} ms");
        assert!(
            overdraw <= 0.0,
            "{overdraw} too many, every {interval_ms} ms"
        );
    }
}

/// Guards against a deployment that starts for the first time without any retry until a window has passed.
#[test]
fn a_process_without_a_predecessor_soon_has_its_part_of_the_slack() {
    let mut simulation = Simulation::new(3, 1, NO_FAULTS, 88);
    let (service, share) = (simulation.service.clone(), simulation.share);
    let budget = &mut simulation.instances[0].budget;
    *budget = RetryBudget::starting(0);
    let purpose = RetryPurpose::Start;
    assert!(!budget.has_left(&service, share, purpose, 2_000));
    budget.note_first_process(1_000);
    assert!(!budget.has_left(&service, share, purpose, 1_000));
    assert!(budget.has_left(&service, share, purpose, 1_001));
}

/// Number of retries within a window that one instance of a zone of 29 gets if no other needs any.
fn retries_of_single_instance() -> usize {
    let mut simulation = Simulation::new(29, 1, NO_FAULTS, 29);
    for now_ms in (0..WINDOW_MS).step_by(STEP_MS as usize) {
        simulation.step(now_ms);
        simulation.retry(0, RetryPurpose::Start, now_ms);
    }
    simulation.retries_ms.len()
}

/// Guards against an instance being limited to its even share while the others have spare retries.
/// When an engine used by one of 29 instances failed, that instance had four retries in ten seconds
/// and refused or cut off its callers, while the other 28 shares stayed unused.
#[test]
fn single_instance_in_need_gets_half_of_the_spare_retries() {
    let retries = retries_of_single_instance();
    println!("one of 29 instances: {retries} retries in a window");
    // The others can spare half of 0.7 x 198 x 28 / 29.
    assert!(retries >= 33, "{retries} retries");
}

/// Guards against retries that start responses using up the whole budget, which cut off responses
/// that callers already held in part.
#[test]
fn partial_response_resumes_when_the_start_budget_is_used_up() {
    let service = ServiceName::from("model");
    let share = BudgetShare {
        ratio: RATIO,
        slack: SLACK,
        window_ms: WINDOW_MS,
        instances: Some(29),
    };
    let mut budget = RetryBudget::default();
    while budget
        .take(&service, share, RetryPurpose::Start, 5_000)
        .is_some()
    {}
    assert!(
        budget
            .take(&service, share, RetryPurpose::Resume, 5_000)
            .is_some()
    );
}

/// Guards against a wrong time for the next available retry.
#[test]
fn next_retry_is_available_at_the_reported_time() {
    let mut simulation = Simulation::new(3, 1, NO_FAULTS, 3);
    let (service, share) = (simulation.service.clone(), simulation.share);
    for now_ms in [1_000, 1_700, 4_400] {
        for _ in 0..20 {
            simulation.retry(0, RetryPurpose::Start, now_ms);
        }
    }
    let budget = &mut simulation.instances[0].budget;
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

/// Guards against the reserve for partial responses being usable only by its own instance. When an
/// engine exited under ten streams of one instance and all instances had used their part for
/// starting responses, the ten streams were cut off although the other 28 instances had reserves
/// left.
#[test]
fn partial_responses_resume_with_the_reserve_of_the_zone() {
    let mut simulation = Simulation::new(29, 1, NO_FAULTS, 24);
    let all_instances: Vec<usize> = (0..29).collect();
    let mut resumed_ms = Vec::new();
    for now_ms in (0..9_000).step_by(STEP_MS as usize) {
        simulation.step(now_ms);
        for at in &all_instances {
            simulation.retry(*at, RetryPurpose::Start, now_ms);
        }
        if now_ms >= 8_000 && resumed_ms.len() < 10 {
            while resumed_ms.len() < 10 && simulation.retry(0, RetryPurpose::Resume, now_ms) {
                resumed_ms.push(now_ms - 8_000);
            }
        }
    }
    println!("partial responses resumed after {resumed_ms:?} ms");
    assert_eq!(resumed_ms.len(), 10, "after {resumed_ms:?} ms");
}

#[test]
fn waiting_response_announces_its_need_for_a_retry() {
    let service = ServiceName::from("ledger-api");
    let share = BudgetShare {
        ratio: RATIO,
        slack: 0.0,
        window_ms: WINDOW_MS,
        instances: Some(29),
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

/// Number of retries within twenty seconds in a zone of 29 instances, where each second
/// `bursts_per_s` of the first `askers` need eight retries at once to start responses and do not
/// wait for them.
fn retries_of_bursts(loss: f64, bursts_per_s: f64, askers: usize) -> usize {
    let faults = Faults { loss, ..NO_FAULTS };
    let mut simulation = Simulation::new(29, 1, faults, 5);
    let mut demand = SmallRng::seed_from_u64(6);
    for now_ms in (0..RUN_MS).step_by(STEP_MS as usize) {
        simulation.step(now_ms);
        simulation.requests(100, &[], now_ms);
        if demand.random::<f64>() < bursts_per_s * STEP_MS as f64 / 1_000.0 {
            let at = demand.random_range(0..askers);
            for _ in 0..8 {
                simulation.retry(at, RetryPurpose::Start, now_ms);
            }
        }
    }
    let begin = simulation
        .retries_ms
        .partition_point(|at| *at < RUN_MS - 20_000);
    simulation.retries_ms.len() - begin
}

/// Guards against loans that are not used but stay charged to the lender for a whole window.
/// Callers who did not wait were then refused, and the zone retried less than without lending.
#[test]
fn lending_costs_little_under_uniform_demand_and_gains_half_under_uneven_demand() {
    for bursts_per_s in [2.0, 4.0, 8.0] {
        let [all, some] = [29, 10].map(|askers| {
            let lent = retries_of_bursts(0.0, bursts_per_s, askers);
            let by_head = retries_of_bursts(1.0, bursts_per_s, askers);
            println!(
                "{bursts_per_s} bursts a second at {askers}: {lent} retries, {by_head} by head"
            );
            (lent, by_head)
        });
        assert!(10 * all.0 >= 9 * all.1, "{all:?} at {bursts_per_s}");
        assert!(2 * some.0 >= 3 * some.1, "{some:?} at {bursts_per_s}");
    }
}

/// Guards against a repeated heartbeat returning the same part of a loan twice, so that it would be
/// lent twice.
#[test]
fn returned_loan_is_reclaimed_once() {
    let Simulation {
        mut instances,
        service,
        share,
        ..
    } = Simulation::new(3, 1, NO_FAULTS, 3);
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
