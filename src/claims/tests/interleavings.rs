//! Attempts of the same keys interleaved at random, with every fault.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::world::{Attempt, Choices, START_UNIX_MS, Word, World, key};
use crate::outcome::{Outcome, RefusalCode};

/// Choices from a list; 0 once it is used up.
struct Listed(std::vec::IntoIter<u8>);

impl Choices for Listed {
    fn below(&mut self, n: usize) -> usize {
        usize::from(self.0.next().unwrap_or(0)) % n
    }
}

impl Choices for StdRng {
    fn below(&mut self, n: usize) -> usize {
        self.random_range(0..n)
    }
}

/// No faults: every draw is the one that means success.
struct Kind;

impl Choices for Kind {
    fn below(&mut self, n: usize) -> usize {
        n - 1
    }
}

proptest! {
    #[test]
    fn a_key_runs_at_most_once(choices in proptest::collection::vec(any::<u8>(), 0..600)) {
        let mut choices = Listed(choices.into_iter());
        let keys = [key(START_UNIX_MS)];
        let mut world = World::new();
        world.ask(0, &keys[0], 0);
        world.ask(1, &keys[0], 0);
        for _ in 0..200 {
            world.step(&keys, &mut choices);
        }
        world.heal(&mut Kind);
        prop_assert!(world.all_ended());
    }
}

fn run(seed: u64, kills: bool, deduplicates: bool) -> World {
    let mut rng = StdRng::seed_from_u64(seed);
    let keys = [
        key(START_UNIX_MS),
        key(START_UNIX_MS),
        "stock-count-7".into(),
    ];
    let mut world = World::new();
    world.kills = kills;
    world.deduplicates = deduplicates;
    for _ in 0..600 {
        world.step(&keys, &mut rng);
    }
    world.heal(&mut Kind);
    assert!(world.all_ended(), "seed {seed}: an attempt has no end");
    // Whatever happened, the next to ask hears what is true of the key.
    for key in &keys {
        let last = world.ask(0, key, 0);
        world.heal(&mut Kind);
        let word = world.attempts[last].word.clone();
        let ran = world.attempts[last].runs > 0;
        assert!(word.is_some() && (ran || !matches!(word, Some(Word::Answer(_)))));
    }
    world
}

/// Seeds of the long run; more with `FESCUE_TEST_SEEDS`.
fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("FESCUE_TEST_SEEDS").ok();
    0..seeds.and_then(|text| text.parse().ok()).unwrap_or(100)
}

#[test]
fn long_runs_never_run_a_key_twice() {
    let mut words = [0; 4];
    for seed in seeds() {
        println!("seed {seed}");
        for attempt in run(seed, true, false).attempts {
            match attempt.word {
                Some(Word::Answer(_)) => words[0] += 1,
                Some(Word::Replayed(_)) => words[1] += 1,
                Some(Word::Refused(refusal)) if refusal.outcome == Outcome::NotRun => words[2] += 1,
                Some(Word::Refused(_)) => words[3] += 1,
                None => {}
            }
        }
    }
    println!("answers, replays, not-run, unknown: {words:?}");
    assert!(
        words.iter().all(|&count| count > 0),
        "the runs miss an outcome"
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
fn a_key_that_never_ran_is_free_again_while_no_process_dies() {
    for seed in seeds() {
        println!("seed {seed}");
        let world = run(seed, false, false);
        let refused = |attempt: &Attempt| {
            matches!(&attempt.word, Some(Word::Refused(refusal))
                if refusal.code == RefusalCode::ResultUnknown)
        };
        // The last three asked one key each after all faults had ended.
        for attempt in world.attempts.iter().rev().take(3) {
            let key_ran = world.ran(attempt.row_key());
            assert!(
                key_ran || !refused(attempt),
                "seed {seed}: a free key is taken"
            );
        }
    }
}
