//! How long a request under which three endpoints have ended is still sent by anybody.

use rand::RngExt;
use rand::seq::IteratorRandom;

use super::instance::Process;
use super::world::World;
use super::{LARGE, MIDDLE, SMALL, STEP_MS, Site, seeds, warmed_up};
use crate::ids::EndpointId;
use crate::quarantine::{QuarantineStatus, RequestDigest};

/// Variable that asks for more runs.
const RUNS: &str = "FESCUE_WITHHELD_RUNS";
/// Kept in hand of the time in which all must know: for a heartbeat that comes late on a full link.
const MARGIN_MS: u64 = 500;
/// The three ends come within this time.
const ENDS_WITHIN_MS: u64 = 2_000;
/// Looked at for so long after the third end: instances that are away for some seconds come back.
const LOOKED_AT_MS: u64 = 12_000;

/// What happens to an instance beside the ends.
enum Trouble {
    Kill,
    Freeze(u64),
    Start,
}

fn digest() -> RequestDigest {
    RequestDigest::from_hex(&"ab".repeat(16)).expect("it has the length of a digest")
}

/// Draws troubles of instances other than those that see the ends, which would be lost with them.
fn plan(world: &mut World, site: &Site, seers: &[usize]) -> Vec<(u64, usize, Trouble)> {
    let mut troubles = Vec::new();
    let count = world.instances.len();
    let zone = world.rng.random_range(0..site.zones.len());
    let first: usize = site.zones[..zone].iter().sum();
    // The readers of a zone, which carry the news on; some of all; a whole zone.
    let chosen: Vec<usize> = match world.rng.random_range(0..3) {
        0 => (first..first + 3).collect(),
        1 => (0..count).filter(|_| world.rng.random_bool(0.3)).collect(),
        _ => (first..first + site.zones[zone]).collect(),
    };
    let at_ms = world.rng.random_range(0..ENDS_WITHIN_MS + 500);
    for index in chosen.into_iter().filter(|it| !seers.contains(it)) {
        let for_ms = world.rng.random_range(300..5_000);
        if world.rng.random_bool(0.5) {
            troubles.push((at_ms, index, Trouble::Kill));
            troubles.push((at_ms + for_ms, index, Trouble::Start));
        } else {
            troubles.push((at_ms, index, Trouble::Freeze(for_ms)));
        }
    }
    troubles.sort_by_key(|it| it.0);
    troubles
}

/// Longest time from the third end to the last moment at which an instance that has run undisturbed for
/// the site's time would send the request.
fn simulate(site: &Site, seed: u64) -> u64 {
    let mut world = warmed_up(site, seed);
    let begin_ms = world.now_ms;
    let count = world.instances.len();
    let seers = (0..count).sample(&mut world.rng, 3);
    let mut ends: Vec<u64> = (0..3)
        .map(|_| world.rng.random_range(0..ENDS_WITHIN_MS))
        .collect();
    ends.sort_unstable();
    let third_ms = begin_ms + ends[2];
    let mut troubles = plan(&mut world, site, &seers).into_iter().peekable();
    let mut next_end = 0;
    let mut late_ms = 0;
    for step in 0..(ENDS_WITHIN_MS + LOOKED_AT_MS) / STEP_MS {
        let now_ms = begin_ms + step * STEP_MS;
        world.run_until(now_ms);
        while next_end < 3 && begin_ms + ends[next_end] <= now_ms {
            let id = EndpointId::from(format!("ended-{next_end}"));
            world.end_under(seers[next_end], digest(), &id);
            next_end += 1;
        }
        while let Some((_, index, trouble)) = troubles.next_if(|it| begin_ms + it.0 <= now_ms) {
            match trouble {
                Trouble::Kill => world.kill(index),
                Trouble::Freeze(for_ms) => world.freeze(index, for_ms),
                Trouble::Start => world.start(index),
            }
        }
        let sends = world.instances.iter().any(|it| {
            let is_calm =
                matches!(it.process, Process::Runs { since_ms } if now_ms >= since_ms + site.calm_ms);
            is_calm && it.quarantine.status(&digest(), now_ms) != QuarantineStatus::Withheld
        });
        if sends && now_ms > third_ms {
            late_ms = now_ms - third_ms;
        }
    }
    late_ms
}

fn assert_all_know_in_time(site: &Site, seeds: Vec<u64>) {
    let runs = seeds.len();
    let late = seeds.into_iter().map(|seed| (simulate(site, seed), seed));
    let (late_ms, seed) = late.max().expect("a run at least");
    let instances: usize = site.zones.iter().sum();
    println!(
        "{instances} instances, {runs} runs: sent {late_ms} ms after the third end at the latest (seed {seed}); bound {} ms",
        site.calm_ms
    );
    assert!(
        late_ms + MARGIN_MS <= site.calm_ms,
        "{late_ms} ms, seed {seed}"
    );
}

#[test]
fn nine_instances_withhold_a_request_in_time() {
    assert_all_know_in_time(&SMALL, seeds(RUNS, 0..40));
}

#[test]
fn eighty_six_instances_withhold_a_request_in_time() {
    assert_all_know_in_time(&MIDDLE, seeds(RUNS, 0..3));
}

#[test]
fn a_hundred_and_ninety_five_instances_withhold_a_request_in_time() {
    assert_all_know_in_time(&LARGE, seeds(RUNS, 0..1));
}
