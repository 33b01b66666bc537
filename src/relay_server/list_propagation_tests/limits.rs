//! How many requests reach an endpoint that takes only so many a second from all instances together, while
//! instances are killed, frozen and cut off from one another.

use indexmap::IndexMap;
use rand::RngExt;

use super::instance::Process;
use super::world::World;
use super::{HUGE, LARGE, MIDDLE, SMALL, STEP_MS, Site, chosen, seeds, warmed_up};
use crate::ids::EndpointId;

/// Variable that asks for more runs.
const RUNS: &str = "FESCUE_LIMIT_RUNS";
const WINDOW_MS: u64 = 4_000;
/// How long an instance may have been told before a request of it counts.
const TOLD_MS: u64 = 500;
const RUN_MS: u64 = 30_000;
/// From a send to its answer.
const ANSWER_MS: u64 = 60;
/// How often an instance has a request for each endpoint.
const WISHES_PER_S: f64 = 3.0;
const ENDPOINTS: usize = 3;

/// An endpoint whose limit changes: from each moment on another one holds.
struct Limited {
    id: EndpointId,
    limits: Vec<(u64, Option<f64>)>,
    /// When it named one first, to anybody.
    named_ms: Option<u64>,
}

impl Limited {
    /// Names one at first, none later, and then another. One of them is a process that starts later, under
    /// the name of one before.
    fn draw(number: usize, world: &mut World) -> Self {
        let id = if number == 0 {
            format!("e{number}@200")
        } else {
            format!("e{number}")
        };
        let mut draw = || Some(world.rng.random_range(0.5..12.0));
        let limits = vec![(2_000, draw()), (14_000, None), (17_000, draw())];
        Self {
            id: EndpointId::from(id),
            limits,
            named_ms: None,
        }
    }

    fn limit_per_s(&self, at_ms: u64) -> Option<f64> {
        let mut past = self.limits.iter().rev();
        past.find(|it| it.0 <= at_ms)?.1
    }
}

/// A request that has reached an endpoint from an instance that counts.
struct Arrival {
    at_ms: u64,
    endpoint: usize,
}

struct Run {
    world: World,
    site: &'static Site,
    limited: Vec<Limited>,
    /// Answers under way: when they come, at which instance, of which endpoint.
    answers: Vec<(u64, usize, usize)>,
    /// When an instance first passed on an answer with a limit.
    told_ms: IndexMap<(usize, usize), u64>,
    /// Until when an instance is excused.
    excused_until_ms: Vec<u64>,
    arrivals: Vec<Arrival>,
}

enum Trouble {
    Kill(u64),
    Freeze(u64),
    Cut(u64),
}

impl Run {
    fn new(site: &'static Site, seed: u64) -> Self {
        let mut world = warmed_up(site, seed);
        let limited: Vec<Limited> = (0..ENDPOINTS)
            .map(|number| Limited::draw(number, &mut world))
            .collect();
        let count = world.instances.len();
        world.restart_endpoint(0, limited[0].id.clone());
        Self {
            world,
            site,
            limited,
            answers: Vec::new(),
            told_ms: IndexMap::new(),
            excused_until_ms: vec![0; count],
            arrivals: Vec::new(),
        }
    }

    fn plan(&mut self) -> Vec<(u64, Vec<usize>, Trouble)> {
        let mut troubles = Vec::new();
        for _ in 0..self.world.rng.random_range(1..6) {
            let who = chosen(&mut self.world, self.site);
            let rng = &mut self.world.rng;
            let at_ms = rng.random_range(1_000..RUN_MS - 6_000);
            let for_ms = rng.random_range(300..6_000);
            let trouble = match rng.random_range(0..3) {
                0 => Trouble::Kill(for_ms),
                1 => Trouble::Freeze(for_ms),
                _ => Trouble::Cut(for_ms),
            };
            troubles.push((at_ms, who, trouble));
        }
        troubles.sort_by_key(|it| it.0);
        troubles
    }

    fn begin_trouble(&mut self, who: &[usize], trouble: &Trouble, starts: &mut Vec<(u64, usize)>) {
        let now_ms = self.world.now_ms;
        for index in who {
            let for_ms = match trouble {
                Trouble::Kill(for_ms) => {
                    self.world.kill(*index);
                    self.told_ms.retain(|it, _| it.0 != *index);
                    self.answers.retain(|it| it.1 != *index);
                    starts.push((now_ms + for_ms, *index));
                    for_ms
                }
                Trouble::Freeze(for_ms) => {
                    // A process that has ended does not go on when the freeze is over.
                    if self.world.instances[*index].process != Process::Killed {
                        self.world.freeze(*index, *for_ms);
                    }
                    for_ms
                }
                Trouble::Cut(for_ms) => {
                    self.world.cut(*index, *for_ms);
                    for_ms
                }
            };
            let until_ms = now_ms + for_ms + self.site.calm_ms;
            self.excused_until_ms[*index] = self.excused_until_ms[*index].max(until_ms);
        }
    }

    fn take_answers(&mut self, begin_ms: u64) {
        let now_ms = self.world.now_ms;
        let due = self.answers.extract_if(.., |it| it.0 <= now_ms);
        for (_, index, endpoint) in due.collect::<Vec<_>>() {
            let limited = &mut self.limited[endpoint];
            let limit_per_s = limited.limit_per_s(now_ms - begin_ms);
            self.world.instances[index].hear_limit(&limited.id, limit_per_s, now_ms);
            self.world.send_news(index);
            if limit_per_s.is_some() {
                limited.named_ms.get_or_insert(now_ms);
                self.told_ms.entry((index, endpoint)).or_insert(now_ms);
            }
        }
    }

    fn send_wishes(&mut self) {
        let now_ms = self.world.now_ms;
        let wish = WISHES_PER_S * STEP_MS as f64 / 1_000.0;
        for index in 0..self.world.instances.len() {
            for endpoint in 0..self.limited.len() {
                let runs = matches!(self.world.instances[index].process, Process::Runs { .. });
                if !runs || !self.world.rng.random_bool(wish) {
                    continue;
                }
                let id = &self.limited[endpoint].id;
                if !self.world.instances[index].sends_to(id, now_ms) {
                    continue;
                }
                self.answers.push((now_ms + ANSWER_MS, index, endpoint));
                let told_ms = self.told_ms.get(&(index, endpoint));
                let is_told = told_ms.is_some_and(|at_ms| at_ms + TOLD_MS <= now_ms);
                if is_told && now_ms >= self.excused_until_ms[index] {
                    let at_ms = now_ms;
                    self.arrivals.push(Arrival { at_ms, endpoint });
                }
            }
        }
    }

    fn play(&mut self) -> Vec<Window> {
        let begin_ms = self.world.now_ms;
        let mut troubles = self.plan().into_iter().peekable();
        let mut starts: Vec<(u64, usize)> = Vec::new();
        for step in 0..RUN_MS / STEP_MS {
            let now_ms = begin_ms + step * STEP_MS;
            self.world.run_until(now_ms);
            while let Some((_, who, trouble)) = troubles.next_if(|it| begin_ms + it.0 <= now_ms) {
                self.begin_trouble(&who, &trouble, &mut starts);
            }
            let due = starts.extract_if(.., |it| it.0 <= now_ms);
            for (_, index) in due.collect::<Vec<_>>() {
                if self.world.instances[index].process == Process::Killed {
                    self.world.start(index);
                }
            }
            self.take_answers(begin_ms);
            self.send_wishes();
        }
        (0..self.limited.len())
            .flat_map(|endpoint| self.windows(endpoint, begin_ms))
            .collect()
    }

    /// Windows of an endpoint in which one limit holds, from the time on at which it must be kept.
    fn windows(&self, endpoint: usize, begin_ms: u64) -> Vec<Window> {
        let limited = &self.limited[endpoint];
        let Some(named_ms) = limited.named_ms else {
            return Vec::new();
        };
        let mut windows = Vec::new();
        let mut from_ms = named_ms + self.site.calm_ms;
        while from_ms + WINDOW_MS <= begin_ms + RUN_MS {
            let first = limited.limit_per_s(from_ms - begin_ms);
            let last = limited.limit_per_s(from_ms + WINDOW_MS - begin_ms);
            let is_new = |(at_ms, _): &&(u64, Option<f64>)| {
                let since_ms = from_ms.saturating_sub(begin_ms + at_ms);
                from_ms >= begin_ms + at_ms && since_ms < self.site.calm_ms
            };
            let is_settled = limited.limits.iter().find(is_new).is_none();
            if let Some(limit_per_s) = first.filter(|_| first == last && is_settled) {
                let span = from_ms..from_ms + WINDOW_MS;
                let arrivals = self.arrivals.iter().filter(|it| it.endpoint == endpoint);
                windows.push(Window {
                    limit_per_s,
                    count: arrivals.filter(|it| span.contains(&it.at_ms)).count(),
                });
            }
            from_ms += 250;
        }
        windows
    }
}

/// Requests that count in a window.
struct Window {
    limit_per_s: f64,
    count: usize,
}

impl Window {
    /// What may come in it at most.
    fn most(&self) -> f64 {
        1.5 * self.limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
    }

    /// Part of what may come that has come.
    fn part(&self) -> f64 {
        self.count as f64 / self.most()
    }
}

fn assert_limits_are_kept(site: &'static Site, seeds: Vec<u64>) {
    let runs = seeds.len();
    let mut worst = (0.0, 0, 0, 0.0);
    let (mut used, mut limit) = (0.0, 0.0);
    for seed in seeds {
        for window in Run::new(site, seed).play() {
            used += window.count as f64;
            limit += window.limit_per_s * WINDOW_MS as f64 / 1_000.0;
            if window.part() > worst.0 {
                worst = (window.part(), seed, window.count, window.most());
            }
        }
    }
    let instances: usize = site.zones.iter().sum();
    let (_, seed, count, most) = worst;
    println!(
        "{instances} instances, {runs} runs: {count} of {most:.1} allowed in 4 s (seed {seed}); {:.2} of the limits used",
        used / limit
    );
    assert!(count as f64 <= most, "{count} of {most:.1}, seed {seed}");
    assert!(used >= limit * 0.5, "{used} of {limit}");
}

#[test]
fn nine_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&SMALL, seeds(RUNS, (0..20).chain([177])));
}

#[test]
fn eighty_six_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&MIDDLE, seeds(RUNS, 0..2));
}

#[test]
fn a_hundred_and_ninety_five_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&LARGE, seeds(RUNS, 0..1));
}

#[test]
fn three_hundred_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&HUGE, seeds(RUNS, 0..1));
}
