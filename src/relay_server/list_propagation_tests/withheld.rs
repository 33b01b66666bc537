//! Measures how long instances still send requests after three endpoints have crashed while running
//! requests that share a part of their prompts.

use rand::RngExt;
use rand::seq::IteratorRandom;

use super::simulation::Simulation;
use super::{Deployment, LARGE, MEDIUM, SMALL, STEP_MS, seeds, warmed_up};
use crate::ids::EndpointId;
use crate::quarantine::{FeatureDigest, QuarantineStatus, RequestFeatures};

/// Environment variable with the number of runs.
const RUNS: &str = "FESCUE_WITHHELD_RUNS";
/// Part of the time bound that is reserved for a heartbeat delayed by a saturated link.
const MARGIN_MS: u64 = 500;
/// The three crashes happen within this time.
const CRASHES_WITHIN_MS: u64 = 2_000;
/// How long instances are observed after the crashes, so that those with a fault of some seconds
/// are back.
const OBSERVED_MS: u64 = 12_000;

/// What happens to an instance besides the crashes.
enum Fault {
    Kill,
    Freeze(u64),
    Start,
}

fn digest(number: usize) -> FeatureDigest {
    FeatureDigest::from_hex(&format!("{number:032x}")).expect("has the length of a digest")
}

/// One of several requests that share a part of their prompts.
fn request(number: usize) -> RequestFeatures {
    RequestFeatures {
        request: digest(number + 1),
        prompt_parts: vec![digest(0)],
    }
}

/// Draws faults of instances, ordered by time. The instances that observe the crashes are excluded,
/// because what they know would be lost with them.
fn random_faults(
    simulation: &mut Simulation,
    deployment: &Deployment,
    observers: &[usize],
) -> Vec<(u64, usize, Fault)> {
    let mut faults = Vec::new();
    let count = simulation.instances.len();
    let zone = simulation.rng.random_range(0..deployment.zones.len());
    let first: usize = deployment.zones[..zone].iter().sum();
    // The readers of a zone, which forward updates; some of all instances; or a whole zone.
    let affected: Vec<usize> = match simulation.rng.random_range(0..3) {
        0 => (first..first + 3).collect(),
        1 => (0..count)
            .filter(|_| simulation.rng.random_bool(0.3))
            .collect(),
        _ => (first..first + deployment.zones[zone]).collect(),
    };
    let at_ms = simulation.rng.random_range(0..CRASHES_WITHIN_MS + 500);
    for index in affected.into_iter().filter(|it| !observers.contains(it)) {
        let for_ms = simulation.rng.random_range(300..5_000);
        if simulation.rng.random_bool(0.5) {
            faults.push((at_ms, index, Fault::Kill));
            faults.push((at_ms + for_ms, index, Fault::Start));
        } else {
            faults.push((at_ms, index, Fault::Freeze(for_ms)));
        }
    }
    faults.sort_by_key(|it| it.0);
    faults
}

/// Returns the longest time after the third crash at which an instance would still send the
/// request. Only instances that have run without a fault for the deployment's settling time are
/// considered.
fn simulate(deployment: &Deployment, seed: u64) -> u64 {
    let mut simulation = warmed_up(deployment, seed);
    let begin_ms = simulation.now_ms;
    let count = simulation.instances.len();
    let observers = (0..count).sample(&mut simulation.rng, 3);
    let mut crashes: Vec<u64> = (0..3)
        .map(|_| simulation.rng.random_range(0..CRASHES_WITHIN_MS))
        .collect();
    crashes.sort_unstable();
    let third_ms = begin_ms + crashes[2];
    let mut faults = random_faults(&mut simulation, deployment, &observers)
        .into_iter()
        .peekable();
    let mut next_crash = 0;
    let mut delay_ms = 0;
    for step in 0..(CRASHES_WITHIN_MS + OBSERVED_MS) / STEP_MS {
        let now_ms = begin_ms + step * STEP_MS;
        simulation.run_until(now_ms);
        while next_crash < 3 && begin_ms + crashes[next_crash] <= now_ms {
            let id = EndpointId::from(format!("ended-{next_crash}"));
            simulation.crash_during_request(observers[next_crash], &request(next_crash), &id);
            next_crash += 1;
        }
        while let Some((_, index, fault)) = faults.next_if(|it| begin_ms + it.0 <= now_ms) {
            match fault {
                Fault::Kill => simulation.kill(index),
                Fault::Freeze(for_ms) => simulation.freeze(index, for_ms),
                Fault::Start => simulation.start(index),
            }
        }
        let is_sent = simulation.instances.iter().any(|it| {
            it.process.is_settled(deployment.settle_ms, now_ms)
                && it.quarantine.status(&request(3), now_ms) != QuarantineStatus::Withheld
        });
        if is_sent && now_ms > third_ms {
            delay_ms = now_ms - third_ms;
        }
    }
    delay_ms
}

fn assert_withheld_in_time(deployment: &Deployment, seeds: Vec<u64>) {
    let runs = seeds.len();
    let delays = seeds
        .into_iter()
        .map(|seed| (simulate(deployment, seed), seed));
    let (delay_ms, seed) = delays.max().expect("at least one run");
    let instances: usize = deployment.zones.iter().sum();
    println!(
        "{instances} instances, {runs} runs: sent at most {delay_ms} ms after the third crash (seed {seed}); bound {} ms",
        deployment.settle_ms
    );
    assert!(
        delay_ms + MARGIN_MS <= deployment.settle_ms,
        "{delay_ms} ms, seed {seed}"
    );
}

#[test]
fn nine_instances_withhold_a_request_in_time() {
    assert_withheld_in_time(&SMALL, seeds(RUNS, 0..40));
}

#[test]
fn eighty_six_instances_withhold_a_request_in_time() {
    assert_withheld_in_time(&MEDIUM, seeds(RUNS, 0..3));
}

#[test]
fn a_hundred_and_ninety_five_instances_withhold_a_request_in_time() {
    assert_withheld_in_time(&LARGE, seeds(RUNS, 0..1));
}
