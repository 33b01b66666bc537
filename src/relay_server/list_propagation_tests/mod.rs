//! Simulates whole deployments to measure how long a leaving endpoint is still chosen by any
//! instance, how long a request that is to be withheld is still sent, and how many requests reach
//! an endpoint with a rate limit.

mod events;
mod instance;
mod limits;
mod simulation;
mod store;
mod withheld;

use rand::RngExt;
use rand::seq::IndexedRandom;

use self::simulation::{Faults, Simulation};
use self::store::{Access, Departure};
use crate::ids::EndpointId;

struct Deployment {
    /// Number of instances in each zone.
    zones: &'static [usize],
    /// How long requests may still be sent to an endpoint after it has announced that it is
    /// leaving.
    bound_ms: u64,
    /// How long an instance must have run without a fault before it is considered.
    settle_ms: u64,
}

const SMALL: Deployment = Deployment {
    zones: &[3, 3, 3],
    bound_ms: 2_000,
    settle_ms: 3_000,
};
const MEDIUM: Deployment = Deployment {
    zones: &[29, 25, 32],
    bound_ms: 3_000,
    settle_ms: 4_000,
};
const LARGE: Deployment = Deployment {
    zones: &[39, 39, 39, 39, 39],
    bound_ms: 4_000,
    settle_ms: 5_000,
};
const LARGEST: Deployment = Deployment {
    zones: &[100, 100, 100],
    bound_ms: 4_000,
    settle_ms: 5_000,
};

/// Time from choosing an endpoint to the arrival of the request, including a new connection.
const MARGIN_MS: u64 = 350;
/// Environment variable with the number of runs with leaving endpoints.
const RUNS: &str = "FESCUE_LIST_RUNS";
const ENDPOINTS: usize = 30;
/// In deployments of up to this many instances, all of them read the store.
const MAX_ALL_READERS: usize = 9;
/// Interval of the check whether any instance would choose a leaving endpoint.
const STEP_MS: u64 = 20;
/// Time until all instances know each other.
const WARM_UP_MS: u64 = 4_000;
/// Length of a run after the warm-up.
const RUN_MS: u64 = 16_000;
/// How long each endpoint is observed after it has started to leave.
const OBSERVED_MS: u64 = 5_500;
/// Time within which an instance may not yet have read that an endpoint is leaving, where the store's calls fail.
const UNREAD_MS: u64 = 2_000;
/// Time from the announcement that an endpoint is leaving to the removal of its entry.
const REMOVAL_DELAY_MS: u64 = 4_500;

/// What happens to the deployment at some time in the run.
#[derive(Clone, Debug)]
enum Action {
    Leave(EndpointId, Departure),
    Remove(EndpointId),
    Join(usize),
    UnrelatedWrite,
    SetAccess(Vec<usize>, Access),
    ResetConnections(Vec<usize>),
    SilenceWatches(Vec<usize>),
    Freeze(Vec<usize>, u64),
    Kill(Vec<usize>),
    Start(Vec<usize>),
    BackUpStore,
    RestoreStore,
    WriteLost,
}

struct LeavingEndpoint {
    id: EndpointId,
    since_ms: u64,
}

/// The longest time for which a leaving endpoint was still chosen.
#[derive(Debug, Default)]
struct Worst {
    delay_ms: u64,
    seed: u64,
    description: String,
}

fn random_instances(simulation: &mut Simulation, deployment: &Deployment) -> Vec<usize> {
    let count = simulation.instances.len();
    let zone = simulation.rng.random_range(0..deployment.zones.len());
    let zone_first: usize = deployment.zones[..zone].iter().sum();
    // If all instances read the store, affecting all readers would cut the whole deployment off
    // from it.
    let kinds = if count > MAX_ALL_READERS { 6 } else { 5 };
    match simulation.rng.random_range(0..kinds) {
        // The readers of a zone.
        0 => (zone_first..zone_first + 3).collect(),
        // One reader of a zone.
        1 => vec![zone_first + simulation.rng.random_range(0..3)],
        // The readers of all zones but one.
        2 => {
            let firsts =
                (0..deployment.zones.len()).map(|it| deployment.zones[..it].iter().sum::<usize>());
            let spared = simulation.rng.random_range(0..deployment.zones.len());
            let firsts = firsts.enumerate().filter(|it| it.0 != spared);
            firsts.flat_map(|(_, it)| it..it + 3).collect()
        }
        // Some of all instances.
        3 => (0..count)
            .filter(|_| simulation.rng.random_bool(0.35))
            .collect(),
        // A whole zone.
        4 => (zone_first..zone_first + deployment.zones[zone]).collect(),
        // All readers.
        _ => {
            let firsts =
                (0..deployment.zones.len()).map(|it| deployment.zones[..it].iter().sum::<usize>());
            firsts.flat_map(|it| it..it + 3).collect()
        }
    }
}

/// Draws the actions of a run, ordered by time.
fn random_actions(simulation: &mut Simulation, deployment: &Deployment) -> Vec<(u64, Action)> {
    let mut actions = Vec::new();
    let random_time =
        |simulation: &mut Simulation| simulation.rng.random_range(1_000..RUN_MS - OBSERVED_MS);
    for number in 0..8 {
        let id = EndpointId::from(format!("e{number}"));
        let at_ms = random_time(simulation);
        let departure = *[Departure::Announced, Departure::Removed]
            .choose(&mut simulation.rng)
            .expect("not empty");
        actions.push((at_ms, Action::Leave(id.clone(), departure)));
        if departure == Departure::Announced {
            actions.push((at_ms + REMOVAL_DELAY_MS, Action::Remove(id)));
        }
    }
    for _ in 0..simulation.rng.random_range(1..4) {
        let affected = random_instances(simulation, deployment);
        let at_ms = random_time(simulation);
        let for_ms = simulation.rng.random_range(500..7_000);
        let end_ms = at_ms + for_ms;
        match simulation.rng.random_range(0..7) {
            0 | 1 => {
                let begin = Action::SetAccess(affected.clone(), Access::Refuses);
                actions.push((at_ms, begin));
                actions.push((end_ms, Action::SetAccess(affected, Access::Answers)));
            }
            2 => {
                let begin = Action::SetAccess(affected.clone(), Access::Silent);
                actions.push((at_ms, begin));
                actions.push((end_ms, Action::SetAccess(affected, Access::Answers)));
            }
            3 => actions.push((at_ms, Action::ResetConnections(affected))),
            4 => actions.push((at_ms, Action::Freeze(affected, for_ms))),
            5 => actions.push((at_ms, Action::SilenceWatches(affected))),
            _ => {
                actions.push((at_ms, Action::Kill(affected.clone())));
                actions.push((end_ms, Action::Start(affected)));
            }
        }
    }
    let has_no_writes = simulation.rng.random_bool(0.4);
    let mut number = ENDPOINTS;
    let mut at_ms = 0;
    while !has_no_writes && at_ms < RUN_MS {
        at_ms += simulation.rng.random_range(50..1_500);
        if simulation.rng.random_bool(0.4) {
            actions.push((at_ms, Action::Join(number)));
            number += 1;
        } else {
            actions.push((at_ms, Action::UnrelatedWrite));
        }
    }
    actions.sort_by_key(|it| it.0);
    actions
}

fn perform(simulation: &mut Simulation, action: &Action) {
    match action {
        Action::Leave(id, departure) => simulation.leave(id, *departure),
        Action::Remove(id) => simulation.remove(id),
        Action::Join(number) => simulation.join(*number),
        Action::UnrelatedWrite => simulation.write_unrelated(),
        Action::SetAccess(affected, access) => affected
            .iter()
            .for_each(|it| simulation.set_access(*it, *access)),
        Action::ResetConnections(affected) => affected
            .iter()
            .for_each(|it| simulation.reset_connections(*it)),
        Action::SilenceWatches(affected) => affected
            .iter()
            .for_each(|it| simulation.silence_watches(*it)),
        Action::Freeze(affected, for_ms) => affected
            .iter()
            .for_each(|it| simulation.freeze(*it, *for_ms)),
        Action::Kill(affected) => affected.iter().for_each(|it| simulation.kill(*it)),
        Action::Start(affected) => affected.iter().for_each(|it| simulation.start(*it)),
        Action::BackUpStore => simulation.back_up_store(),
        Action::RestoreStore => simulation.restore_store(),
        Action::WriteLost => simulation.write_lost(),
    }
}

/// Creates a simulation in which all instances know each other.
fn warmed_up(deployment: &Deployment, seed: u64) -> Simulation {
    let faults = Faults {
        lost: 0.03,
        late: 0.02,
        silent: 0.04,
    };
    let mut simulation = Simulation::new(deployment.zones, ENDPOINTS, faults, seed);
    simulation.run_until(simulation.now_ms + WARM_UP_MS);
    simulation
}

/// Whether the store is restored from a backup during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreHistory {
    Continuous,
    Restored,
}

/// Adds a restore of the store from a backup to a run. Endpoints that leave too shortly before it for any instance to
/// have read that, and whose leaving is lost with it, leave after it instead.
fn add_restore(simulation: &mut Simulation, actions: &mut Vec<(u64, Action)>) {
    let rng = &mut simulation.rng;
    let restore_ms = rng.random_range(5_000..RUN_MS - OBSERVED_MS);
    let backup_ms = restore_ms - rng.random_range(500..4_000);
    let write_ms = restore_ms + rng.random_range(200..2_000);
    for (at_ms, action) in actions.iter_mut() {
        let is_unread = (restore_ms - UNREAD_MS..=restore_ms).contains(at_ms);
        if matches!(action, Action::Leave(..)) && is_unread {
            *at_ms = restore_ms + 1;
        }
    }
    actions.extend([
        (backup_ms, Action::BackUpStore),
        (restore_ms, Action::RestoreStore),
        (write_ms, Action::WriteLost),
    ]);
    actions.sort_by_key(|it| it.0);
}

/// Simulates a run and returns the longest time for which a leaving endpoint would still be chosen.
fn simulate(deployment: &Deployment, history: StoreHistory, seed: u64) -> Worst {
    let mut simulation = warmed_up(deployment, seed);
    let begin_ms = simulation.now_ms;
    let mut actions = random_actions(&mut simulation, deployment);
    if history == StoreHistory::Restored {
        add_restore(&mut simulation, &mut actions);
    }
    let mut leaving: Vec<LeavingEndpoint> = Vec::new();
    let mut worst = Worst::default();
    let mut next = 0;
    for step in 0..RUN_MS / STEP_MS {
        let now_ms = begin_ms + step * STEP_MS;
        while let Some((at_ms, action)) = actions.get(next).filter(|it| begin_ms + it.0 <= now_ms) {
            let at_ms = begin_ms + at_ms;
            simulation.run_until(at_ms);
            perform(&mut simulation, action);
            // No instance can learn that the endpoint is leaving while the store answers none that
            // is running.
            if let Action::Leave(id, _) = action
                && simulation.is_any_instance_answered()
            {
                leaving.push(LeavingEndpoint {
                    id: id.clone(),
                    since_ms: at_ms,
                });
            }
            next += 1;
        }
        simulation.run_until(now_ms);
        update_worst(&mut simulation, deployment, &leaving, &mut worst, |it| {
            format!("{it}; actions, with times since the start of the run: {actions:?}")
        });
    }
    worst.seed = seed;
    worst
}

/// Updates `worst` if a leaving endpoint would still be chosen later than the longest time so far.
fn update_worst<F>(
    simulation: &mut Simulation,
    deployment: &Deployment,
    leaving: &[LeavingEndpoint],
    worst: &mut Worst,
    describe: F,
) where
    F: Fn(String) -> String,
{
    let now_ms = simulation.now_ms;
    for endpoint in leaving {
        let delay_ms = now_ms - endpoint.since_ms;
        if delay_ms <= worst.delay_ms || delay_ms > OBSERVED_MS {
            continue;
        }
        let chosen_by = simulation.instances.iter_mut().find_map(|it| {
            let is_settled = it.process.is_settled(deployment.settle_ms, now_ms);
            let is_chosen = is_settled && it.would_choose(&endpoint.id, now_ms);
            is_chosen.then(|| it.record.instance.clone())
        });
        if let Some(instance) = chosen_by {
            worst.delay_ms = delay_ms;
            worst.description = describe(format!("{instance} would still choose {}", endpoint.id));
        }
    }
}

/// Returns the seeds `0..n` if the environment variable is set to `n`, or else `default`.
fn seeds(variable: &str, default: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let runs = std::env::var(variable).ok();
    let runs = runs.and_then(|it| it.parse().ok());
    runs.map_or_else(|| default.into_iter().collect(), |runs| (0..runs).collect())
}

/// Asserts that the bound is kept, with a margin, in all runs.
fn assert_not_chosen_after_bound(deployment: &Deployment, history: StoreHistory, seeds: Vec<u64>) {
    let runs = seeds.len();
    let simulated = seeds
        .into_iter()
        .map(|seed| simulate(deployment, history, seed));
    let worst = simulated
        .max_by_key(|it| it.delay_ms)
        .expect("at least one run");
    let instances: usize = deployment.zones.iter().sum();
    println!(
        "{instances} instances, {runs} runs: chosen at most {} ms after it started to leave (seed {}); bound {} ms",
        worst.delay_ms, worst.seed, deployment.bound_ms,
    );
    assert!(
        worst.delay_ms + MARGIN_MS <= deployment.bound_ms,
        "{} ms, seed {}: {}",
        worst.delay_ms,
        worst.seed,
        worst.description
    );
}

#[test]
fn nine_instances_stop_choosing_a_leaving_endpoint_in_time() {
    assert_not_chosen_after_bound(&SMALL, StoreHistory::Continuous, seeds(RUNS, 0..60));
}

#[test]
fn eighty_six_instances_stop_choosing_a_leaving_endpoint_in_time() {
    assert_not_chosen_after_bound(
        &MEDIUM,
        StoreHistory::Continuous,
        seeds(RUNS, [0, 1, 2, 3, 19]),
    );
}

// The watches of the list go silent at all readers, while those of the route table are still answered once.
#[test]
fn eighty_six_instances_stop_choosing_an_endpoint_that_leaves_while_the_list_is_silent() {
    assert_not_chosen_after_bound(&MEDIUM, StoreHistory::Continuous, vec![14]);
}

#[test]
fn a_hundred_and_ninety_five_instances_stop_choosing_a_leaving_endpoint_in_time() {
    assert_not_chosen_after_bound(&LARGE, StoreHistory::Continuous, seeds(RUNS, [0, 1]));
}

#[test]
fn nine_instances_stop_choosing_a_leaving_endpoint_when_the_store_returns_from_a_copy() {
    assert_not_chosen_after_bound(&SMALL, StoreHistory::Restored, seeds(RUNS, 0..60));
}

#[test]
fn eighty_six_instances_stop_choosing_a_leaving_endpoint_when_the_store_returns_from_a_copy() {
    assert_not_chosen_after_bound(&MEDIUM, StoreHistory::Restored, seeds(RUNS, 0..3));
}
