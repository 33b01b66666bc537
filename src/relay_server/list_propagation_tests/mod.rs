//! How long an endpoint that leaves is still chosen anywhere, how long a request that is to be withheld is
//! still sent, and how many requests reach an endpoint with a rate limit, over whole deployments in simulated time.

mod due;
mod instance;
mod limits;
mod store;
mod withheld;
mod world;

use rand::RngExt;
use rand::seq::IndexedRandom;

use self::instance::Process;
use self::store::{Access, Departure};
use self::world::{Faults, World};
use crate::ids::EndpointId;

/// A deployment: instances of each zone, the bound on the time for which an endpoint that has said that
/// it leaves may still be sent requests, and how long nothing may have been done to an instance before
/// it counts.
struct Site {
    zones: &'static [usize],
    bound_ms: u64,
    calm_ms: u64,
}

const SMALL: Site = Site {
    zones: &[3, 3, 3],
    bound_ms: 2_000,
    calm_ms: 3_000,
};
const MIDDLE: Site = Site {
    zones: &[29, 25, 32],
    bound_ms: 3_000,
    calm_ms: 4_000,
};
const HUGE: Site = Site {
    zones: &[100, 100, 100],
    bound_ms: 4_000,
    calm_ms: 5_000,
};
const LARGE: Site = Site {
    zones: &[39, 39, 39, 39, 39],
    bound_ms: 4_000,
    calm_ms: 5_000,
};

/// From the choice of an endpoint to the request's arrival: a new connection, and the way there.
const MARGIN_MS: u64 = 350;
/// Variable that asks for more runs of endpoints that leave.
const RUNS: &str = "FESCUE_LIST_RUNS";
const ENDPOINTS: usize = 30;
/// Instances of a deployment of which all read the store.
const FEW: usize = 9;
/// How often it is looked whether anybody would choose an endpoint that leaves.
const STEP_MS: u64 = 20;
/// Until all know one another, and the length of a run after that.
const WARM_UP_MS: u64 = 4_000;
const RUN_MS: u64 = 16_000;
/// How long an endpoint that leaves is looked at.
const LOOKED_AT_MS: u64 = 5_500;
/// How long after it has announced that it leaves an endpoint's entry is removed.
const SERVES_ON_MS: u64 = 4_500;

/// What happens to the deployment at a moment of the run.
#[derive(Clone, Debug)]
enum Act {
    Leave(EndpointId, Departure),
    Remove(EndpointId),
    Join(usize),
    WriteElsewhere,
    Access(Vec<usize>, Access),
    Reset(Vec<usize>),
    Silence(Vec<usize>),
    Freeze(Vec<usize>, u64),
    Kill(Vec<usize>),
    Start(Vec<usize>),
}

struct Leave {
    id: EndpointId,
    said_ms: u64,
}

/// The longest time found, and what is known of it.
#[derive(Debug, Default)]
struct Worst {
    after_ms: u64,
    seed: u64,
    story: String,
}

fn chosen(world: &mut World, site: &Site) -> Vec<usize> {
    let count = world.instances.len();
    let zone = world.rng.random_range(0..site.zones.len());
    let zone_first: usize = site.zones[..zone].iter().sum();
    // Where all instances read the store, one that answers none of the readers is away for everybody.
    let kinds = if count > FEW { 6 } else { 5 };
    match world.rng.random_range(0..kinds) {
        // The readers of a zone, one instance of them, the readers of all zones but one, some of all, a
        // whole zone, all readers.
        0 => (zone_first..zone_first + 3).collect(),
        1 => vec![zone_first + world.rng.random_range(0..3)],
        2 => {
            let firsts = (0..site.zones.len()).map(|it| site.zones[..it].iter().sum::<usize>());
            let kept = world.rng.random_range(0..site.zones.len());
            let firsts = firsts.enumerate().filter(|it| it.0 != kept);
            firsts.flat_map(|(_, it)| it..it + 3).collect()
        }
        3 => (0..count).filter(|_| world.rng.random_bool(0.35)).collect(),
        4 => (zone_first..zone_first + site.zones[zone]).collect(),
        _ => {
            let firsts = (0..site.zones.len()).map(|it| site.zones[..it].iter().sum::<usize>());
            firsts.flat_map(|it| it..it + 3).collect()
        }
    }
}

/// Draws what happens in a run, in order of time.
fn plan(world: &mut World, site: &Site) -> Vec<(u64, Act)> {
    let mut acts = Vec::new();
    let at = |world: &mut World| world.rng.random_range(1_000..RUN_MS - LOOKED_AT_MS);
    for number in 0..8 {
        let id = EndpointId::from(format!("e{number}"));
        let at_ms = at(world);
        let departure = *[Departure::Announced, Departure::Removed]
            .choose(&mut world.rng)
            .expect("two");
        acts.push((at_ms, Act::Leave(id.clone(), departure)));
        if departure == Departure::Announced {
            acts.push((at_ms + SERVES_ON_MS, Act::Remove(id)));
        }
    }
    for _ in 0..world.rng.random_range(1..4) {
        let who = chosen(world, site);
        let at_ms = at(world);
        let for_ms = world.rng.random_range(500..7_000);
        let end_ms = at_ms + for_ms;
        match world.rng.random_range(0..7) {
            0 | 1 => {
                acts.push((at_ms, Act::Access(who.clone(), Access::Refuses)));
                acts.push((end_ms, Act::Access(who, Access::Answers)));
            }
            2 => {
                acts.push((at_ms, Act::Access(who.clone(), Access::Silent)));
                acts.push((end_ms, Act::Access(who, Access::Answers)));
            }
            3 => acts.push((at_ms, Act::Reset(who))),
            4 => acts.push((at_ms, Act::Freeze(who, for_ms))),
            5 => acts.push((at_ms, Act::Silence(who))),
            _ => {
                acts.push((at_ms, Act::Kill(who.clone())));
                acts.push((end_ms, Act::Start(who)));
            }
        }
    }
    let quiet = world.rng.random_bool(0.4);
    let mut number = ENDPOINTS;
    let mut at_ms = 0;
    while !quiet && at_ms < RUN_MS {
        at_ms += world.rng.random_range(50..1_500);
        if world.rng.random_bool(0.4) {
            acts.push((at_ms, Act::Join(number)));
            number += 1;
        } else {
            acts.push((at_ms, Act::WriteElsewhere));
        }
    }
    acts.sort_by_key(|it| it.0);
    acts
}

fn perform(world: &mut World, act: &Act) {
    match act {
        Act::Leave(id, departure) => world.leave(id, *departure),
        Act::Remove(id) => world.remove(id),
        Act::Join(number) => world.join(*number),
        Act::WriteElsewhere => world.write_elsewhere(),
        Act::Access(who, access) => who.iter().for_each(|it| world.set_access(*it, *access)),
        Act::Reset(who) => who.iter().for_each(|it| world.reset(*it)),
        Act::Silence(who) => who.iter().for_each(|it| world.silence(*it)),
        Act::Freeze(who, for_ms) => who.iter().for_each(|it| world.freeze(*it, *for_ms)),
        Act::Kill(who) => who.iter().for_each(|it| world.kill(*it)),
        Act::Start(who) => who.iter().for_each(|it| world.start(*it)),
    }
}

/// A deployment whose instances all know one another.
fn warmed_up(site: &Site, seed: u64) -> World {
    let faults = Faults {
        lost: 0.03,
        late: 0.02,
        silent: 0.04,
    };
    let mut world = World::new(site.zones, ENDPOINTS, faults, seed);
    world.run_until(world.now_ms + WARM_UP_MS);
    world
}

/// Simulates a run; returns the longest time for which an endpoint that leaves would still be chosen.
fn simulate(site: &Site, seed: u64) -> Worst {
    let mut world = warmed_up(site, seed);
    let begin_ms = world.now_ms;
    let acts = plan(&mut world, site);
    let mut left: Vec<Leave> = Vec::new();
    let mut worst = Worst::default();
    let mut next = 0;
    for step in 0..RUN_MS / STEP_MS {
        let now_ms = begin_ms + step * STEP_MS;
        while let Some((at_ms, act)) = acts.get(next).filter(|it| begin_ms + it.0 <= now_ms) {
            let at_ms = begin_ms + at_ms;
            world.run_until(at_ms);
            perform(&mut world, act);
            // A store that answers nobody who runs is away for all, and its word is not heard by anybody.
            if let Act::Leave(id, _) = act
                && world.is_anybody_answered()
            {
                left.push(Leave {
                    id: id.clone(),
                    said_ms: at_ms,
                });
            }
            next += 1;
        }
        world.run_until(now_ms);
        look(&mut world, site, &left, &mut worst, |it| {
            format!("{it}; acts after the beginning: {acts:?}")
        });
    }
    worst.seed = seed;
    worst
}

fn look<F>(world: &mut World, site: &Site, left: &[Leave], worst: &mut Worst, story: F)
where
    F: Fn(String) -> String,
{
    let now_ms = world.now_ms;
    for leave in left {
        let after_ms = now_ms - leave.said_ms;
        if after_ms <= worst.after_ms || after_ms > LOOKED_AT_MS {
            continue;
        }
        let late = world.instances.iter_mut().find_map(|it| {
            let is_calm = match it.process {
                Process::Runs { since_ms } => now_ms >= since_ms + site.calm_ms,
                _ => false,
            };
            let is_late = is_calm && it.would_choose(&leave.id, now_ms);
            is_late.then(|| it.record.instance.clone())
        });
        if let Some(name) = late {
            worst.after_ms = after_ms;
            worst.story = story(format!("{name} would choose {} still", leave.id));
        }
    }
}

/// The seeds of a site's runs, and all up to this number if a variable asks for it.
fn seeds(variable: &str, of_site: impl IntoIterator<Item = u64>) -> Vec<u64> {
    let asked = std::env::var(variable).ok();
    let asked = asked.and_then(|it| it.parse().ok());
    asked.map_or_else(|| of_site.into_iter().collect(), |runs| (0..runs).collect())
}

/// The bound holds with a margin on each of these runs.
fn assert_all_stop_in_time(site: &Site, seeds: Vec<u64>) {
    let runs = seeds.len();
    let simulated = seeds.into_iter().map(|seed| simulate(site, seed));
    let worst = simulated
        .max_by_key(|it| it.after_ms)
        .expect("a run at least");
    let instances: usize = site.zones.iter().sum();
    println!(
        "{instances} instances, {runs} runs: chosen {} ms after it said that it leaves at the latest (seed {}); bound {} ms",
        worst.after_ms, worst.seed, site.bound_ms,
    );
    assert!(
        worst.after_ms + MARGIN_MS <= site.bound_ms,
        "{} ms, seed {}: {}",
        worst.after_ms,
        worst.seed,
        worst.story
    );
}

#[test]
fn nine_instances_stop_choosing_an_endpoint_that_leaves_in_time() {
    assert_all_stop_in_time(&SMALL, seeds(RUNS, 0..60));
}

#[test]
fn eighty_six_instances_stop_choosing_an_endpoint_that_leaves_in_time() {
    assert_all_stop_in_time(&MIDDLE, seeds(RUNS, [0, 1, 2, 3, 19]));
}

#[test]
fn a_hundred_and_ninety_five_instances_stop_choosing_an_endpoint_that_leaves_in_time() {
    assert_all_stop_in_time(&LARGE, seeds(RUNS, [0, 1]));
}
