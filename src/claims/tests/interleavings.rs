//! Randomly interleaved attempts under the same keys, with all kinds of faults.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::simulation::{Attempt, Choices, FinalResponse, START_UNIX_MS, Simulation, key};
use crate::outcome::{Outcome, RefusalCode};

/// Choices from a list; 0 once it is exhausted.
struct ListedChoices(std::vec::IntoIter<u8>);

impl Choices for ListedChoices {
    fn below(&mut self, n: usize) -> usize {
        usize::from(self.0.next().unwrap_or(0)) % n
    }
}

impl Choices for StdRng {
    fn below(&mut self, n: usize) -> usize {
        self.random_range(0..n)
    }
}

/// Always chooses the value that means success.
struct NoFaults;

impl Choices for NoFaults {
    fn below(&mut self, n: usize) -> usize {
        n - 1
    }
}

proptest! {
    #[test]
    fn a_key_runs_at_most_once(choices in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut choices = ListedChoices(choices.into_iter());
        let keys = [key(START_UNIX_MS)];
        let mut simulation = Simulation::new();
        simulation.submit(0, &keys[0], 0);
        simulation.submit(1, &keys[0], 0);
        for _ in 0..200 {
            simulation.step(&keys, &mut choices);
        }
        simulation.recover(&mut NoFaults);
        prop_assert!(simulation.all_ended());
    }
}

fn run(seed: u64, kills: bool, deduplicates: bool) -> Simulation {
    let mut rng = StdRng::seed_from_u64(seed);
    let keys = [
        key(START_UNIX_MS),
        key(START_UNIX_MS),
        "stock-count-7".into(),
    ];
    let mut simulation = Simulation::new();
    simulation.kills = kills;
    simulation.deduplicates = deduplicates;
    for _ in 0..600 {
        simulation.step(&keys, &mut rng);
    }
    simulation.recover(&mut NoFaults);
    assert!(
        simulation.all_ended(),
        "seed {seed}: an attempt did not end"
    );
    // After any run, a new attempt gets a response consistent with the key's state.
    for key in &keys {
        let last = simulation.submit(0, key, 0);
        simulation.recover(&mut NoFaults);
        let response = simulation.attempts[last].response.clone();
        let ran = simulation.attempts[last].runs > 0;
        assert!(response.is_some() && (ran || !matches!(response, Some(FinalResponse::Answer(_)))));
    }
    simulation
}

/// Seeds of the long runs; `FESCUE_TEST_SEEDS` sets their number.
fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("FESCUE_TEST_SEEDS").ok();
    0..seeds.and_then(|text| text.parse().ok()).unwrap_or(100)
}

#[test]
fn long_runs_never_run_a_key_twice() {
    let mut responses = [0; 4];
    for seed in seeds() {
        println!("seed {seed}");
        for attempt in run(seed, true, false).attempts {
            match attempt.response {
                Some(FinalResponse::Answer(_)) => responses[0] += 1,
                Some(FinalResponse::Replayed(_)) => responses[1] += 1,
                Some(FinalResponse::Refused(refusal)) if refusal.outcome == Outcome::NotRun => {
                    responses[2] += 1
                }
                Some(FinalResponse::Refused(_)) => responses[3] += 1,
                None => {}
            }
        }
    }
    println!("answers, replays, not-run, unknown: {responses:?}");
    assert!(
        responses.iter().all(|&count| count > 0),
        "an outcome never occurred: {responses:?}"
    );
}

#[test]
fn long_runs_end_where_the_endpoint_deduplicates() {
    for seed in seeds() {
        println!("seed {seed}");
        run(seed, true, true);
    }
}

#[test]
fn a_key_that_never_ran_can_be_claimed_again_while_no_process_dies() {
    for seed in seeds() {
        println!("seed {seed}");
        let simulation = run(seed, false, false);
        let refused = |attempt: &Attempt| {
            matches!(&attempt.response, Some(FinalResponse::Refused(refusal))
                if refusal.code == RefusalCode::ResultUnknown)
        };
        // The last three attempts each used one key after all faults had ended.
        for attempt in simulation.attempts.iter().rev().take(3) {
            let key_ran = simulation.ran(attempt.row_key());
            assert!(
                key_ran || !refused(attempt),
                "seed {seed}: key refused although it never ran"
            );
        }
    }
}
