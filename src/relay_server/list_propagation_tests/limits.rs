//! Measures the request rate at endpoints with a rate limit for all instances together, while
//! instances are killed, frozen and disconnected from each other.

use indexmap::IndexMap;
use rand::RngExt;

use super::instance::Process;
use super::simulation::Simulation;
use super::{
    Deployment, LARGE, LARGEST, MEDIUM, SMALL, STEP_MS, random_instances, seeds, warmed_up,
};
use crate::ids::EndpointId;

/// Environment variable with the number of runs.
const RUNS: &str = "FESCUE_LIMIT_RUNS";
const WINDOW_MS: u64 = 4_000;
/// Requests of an instance are counted only after it has known the limit for this long.
const GRACE_MS: u64 = 500;
const RUN_MS: u64 = 30_000;
const RESPONSE_MS: u64 = 60;
/// Rate at which each instance has requests for each endpoint.
const REQUESTS_PER_S: f64 = 3.0;
const ENDPOINTS: usize = 3;

/// An endpoint whose rate limit changes over time.
struct LimitedEndpoint {
    id: EndpointId,
    /// The limits, each with the time since the start of the run at which it begins to apply.
    limits: Vec<(u64, Option<f64>)>,
    /// When an instance first received a limit from the endpoint.
    first_announced_ms: Option<u64>,
}

impl LimitedEndpoint {
    /// Creates an endpoint that has a random limit at first, later none, and then another one. The
    /// first endpoint is a process that is started later, under the name of an earlier one.
    fn random(number: usize, simulation: &mut Simulation) -> Self {
        let id = if number == 0 {
            format!("e{number}@200")
        } else {
            format!("e{number}")
        };
        let mut limit = || Some(simulation.rng.random_range(0.5..12.0));
        let limits = vec![(2_000, limit()), (14_000, None), (17_000, limit())];
        Self {
            id: EndpointId::from(id),
            limits,
            first_announced_ms: None,
        }
    }

    fn limit_per_s(&self, at_ms: u64) -> Option<f64> {
        let mut latest_first = self.limits.iter().rev();
        latest_first.find(|it| it.0 <= at_ms)?.1
    }
}

/// A request to an endpoint that is counted against its limit.
struct CountedRequest {
    at_ms: u64,
    endpoint: usize,
}

struct Run {
    simulation: Simulation,
    deployment: &'static Deployment,
    endpoints: Vec<LimitedEndpoint>,
    /// Responses in flight: arrival time, instance, endpoint.
    responses: Vec<(u64, usize, usize)>,
    /// When an instance first received a response with a limit, by instance and endpoint.
    first_limit_ms: IndexMap<(usize, usize), u64>,
    /// Until when requests of each instance are not counted because of a recent fault.
    excused_until_ms: Vec<u64>,
    counted: Vec<CountedRequest>,
}

/// A fault of an instance and its duration.
enum Fault {
    Kill(u64),
    Freeze(u64),
    Disconnect(u64),
}

impl Run {
    fn new(deployment: &'static Deployment, seed: u64) -> Self {
        let mut simulation = warmed_up(deployment, seed);
        let endpoints: Vec<LimitedEndpoint> = (0..ENDPOINTS)
            .map(|number| LimitedEndpoint::random(number, &mut simulation))
            .collect();
        let count = simulation.instances.len();
        simulation.restart_endpoint(0, endpoints[0].id.clone());
        Self {
            simulation,
            deployment,
            endpoints,
            responses: Vec::new(),
            first_limit_ms: IndexMap::new(),
            excused_until_ms: vec![0; count],
            counted: Vec::new(),
        }
    }

    /// Draws the faults of the run, each with its time and the affected instances, ordered by time.
    fn random_faults(&mut self) -> Vec<(u64, Vec<usize>, Fault)> {
        let mut faults = Vec::new();
        for _ in 0..self.simulation.rng.random_range(1..6) {
            let affected = random_instances(&mut self.simulation, self.deployment);
            let rng = &mut self.simulation.rng;
            let at_ms = rng.random_range(1_000..RUN_MS - 6_000);
            let for_ms = rng.random_range(300..6_000);
            let fault = match rng.random_range(0..3) {
                0 => Fault::Kill(for_ms),
                1 => Fault::Freeze(for_ms),
                _ => Fault::Disconnect(for_ms),
            };
            faults.push((at_ms, affected, fault));
        }
        faults.sort_by_key(|it| it.0);
        faults
    }

    fn inject(&mut self, affected: &[usize], fault: &Fault, starts: &mut Vec<(u64, usize)>) {
        let now_ms = self.simulation.now_ms;
        for index in affected {
            let for_ms = match fault {
                Fault::Kill(for_ms) => {
                    self.simulation.kill(*index);
                    self.first_limit_ms.retain(|it, _| it.0 != *index);
                    self.responses.retain(|it| it.1 != *index);
                    starts.push((now_ms + for_ms, *index));
                    for_ms
                }
                Fault::Freeze(for_ms) => {
                    // A killed process must not run again after the freeze.
                    if self.simulation.instances[*index].process != Process::Killed {
                        self.simulation.freeze(*index, *for_ms);
                    }
                    for_ms
                }
                Fault::Disconnect(for_ms) => {
                    self.simulation.disconnect(*index, *for_ms);
                    for_ms
                }
            };
            let until_ms = now_ms + for_ms + self.deployment.settle_ms;
            self.excused_until_ms[*index] = self.excused_until_ms[*index].max(until_ms);
        }
    }

    fn deliver_responses(&mut self, begin_ms: u64) {
        let now_ms = self.simulation.now_ms;
        let due = self.responses.extract_if(.., |it| it.0 <= now_ms);
        for (_, index, endpoint) in due.collect::<Vec<_>>() {
            let limited = &mut self.endpoints[endpoint];
            let limit_per_s = limited.limit_per_s(now_ms - begin_ms);
            self.simulation.instances[index].apply_limit(&limited.id, limit_per_s, now_ms);
            self.simulation.send_updates(index);
            if limit_per_s.is_some() {
                limited.first_announced_ms.get_or_insert(now_ms);
                self.first_limit_ms
                    .entry((index, endpoint))
                    .or_insert(now_ms);
            }
        }
    }

    fn send_requests(&mut self) {
        let now_ms = self.simulation.now_ms;
        let probability = REQUESTS_PER_S * STEP_MS as f64 / 1_000.0;
        for index in 0..self.simulation.instances.len() {
            for endpoint in 0..self.endpoints.len() {
                let process = self.simulation.instances[index].process;
                let is_running = matches!(process, Process::Running { .. });
                if !is_running || !self.simulation.rng.random_bool(probability) {
                    continue;
                }
                let id = &self.endpoints[endpoint].id;
                if !self.simulation.instances[index].try_send(id, now_ms) {
                    continue;
                }
                self.responses.push((now_ms + RESPONSE_MS, index, endpoint));
                let known_since_ms = self.first_limit_ms.get(&(index, endpoint));
                let knows_limit = known_since_ms.is_some_and(|at_ms| at_ms + GRACE_MS <= now_ms);
                if knows_limit && now_ms >= self.excused_until_ms[index] {
                    let at_ms = now_ms;
                    self.counted.push(CountedRequest { at_ms, endpoint });
                }
            }
        }
    }

    fn simulate(&mut self) -> Vec<Window> {
        let begin_ms = self.simulation.now_ms;
        let mut faults = self.random_faults().into_iter().peekable();
        let mut starts: Vec<(u64, usize)> = Vec::new();
        for step in 0..RUN_MS / STEP_MS {
            let now_ms = begin_ms + step * STEP_MS;
            self.simulation.run_until(now_ms);
            while let Some((_, affected, fault)) = faults.next_if(|it| begin_ms + it.0 <= now_ms) {
                self.inject(&affected, &fault, &mut starts);
            }
            let due = starts.extract_if(.., |it| it.0 <= now_ms);
            for (_, index) in due.collect::<Vec<_>>() {
                if self.simulation.instances[index].process == Process::Killed {
                    self.simulation.start(index);
                }
            }
            self.deliver_responses(begin_ms);
            self.send_requests();
        }
        (0..self.endpoints.len())
            .flat_map(|endpoint| self.windows(endpoint, begin_ms))
            .collect()
    }

    /// The windows of an endpoint in which a single limit applies and must be kept by all
    /// instances.
    fn windows(&self, endpoint: usize, begin_ms: u64) -> Vec<Window> {
        let limited = &self.endpoints[endpoint];
        let Some(first_announced_ms) = limited.first_announced_ms else {
            return Vec::new();
        };
        let settle_ms = self.deployment.settle_ms;
        let mut windows = Vec::new();
        let mut from_ms = first_announced_ms + settle_ms;
        while from_ms + WINDOW_MS <= begin_ms + RUN_MS {
            let first = limited.limit_per_s(from_ms - begin_ms);
            let last = limited.limit_per_s(from_ms + WINDOW_MS - begin_ms);
            let is_recent = |(at_ms, _): &&(u64, Option<f64>)| {
                let since_ms = from_ms.saturating_sub(begin_ms + at_ms);
                from_ms >= begin_ms + at_ms && since_ms < settle_ms
            };
            let is_settled = limited.limits.iter().find(is_recent).is_none();
            if let Some(limit_per_s) = first.filter(|_| first == last && is_settled) {
                let span = from_ms..from_ms + WINDOW_MS;
                let counted = self.counted.iter().filter(|it| it.endpoint == endpoint);
                windows.push(Window {
                    limit_per_s,
                    count: counted.filter(|it| span.contains(&it.at_ms)).count(),
                });
            }
            from_ms += 250;
        }
        windows
    }
}

/// Number of counted requests in a time window.
struct Window {
    limit_per_s: f64,
    count: usize,
}

impl Window {
    /// Largest allowed number of requests.
    fn max_count(&self) -> f64 {
        1.5 * self.limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
    }

    /// Number of requests relative to the largest allowed number.
    fn utilization(&self) -> f64 {
        self.count as f64 / self.max_count()
    }
}

fn assert_limits_are_kept(deployment: &'static Deployment, seeds: Vec<u64>) {
    let runs = seeds.len();
    let mut worst = (0.0, 0, 0, 0.0);
    let (mut used, mut limit) = (0.0, 0.0);
    for seed in seeds {
        for window in Run::new(deployment, seed).simulate() {
            used += window.count as f64;
            limit += window.limit_per_s * WINDOW_MS as f64 / 1_000.0;
            if window.utilization() > worst.0 {
                worst = (window.utilization(), seed, window.count, window.max_count());
            }
        }
    }
    let instances: usize = deployment.zones.iter().sum();
    let (_, seed, count, max) = worst;
    println!(
        "{instances} instances, {runs} runs: {count} of {max:.1} allowed requests in 4 s (seed {seed}); {:.2} of the limits used",
        used / limit
    );
    assert!(count as f64 <= max, "{count} of {max:.1}, seed {seed}");
    assert!(used >= limit * 0.5, "{used} of {limit}");
}

#[test]
fn nine_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&SMALL, seeds(RUNS, (0..20).chain([177])));
}

#[test]
fn eighty_six_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&MEDIUM, seeds(RUNS, 0..2));
}

#[test]
fn a_hundred_and_ninety_five_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&LARGE, seeds(RUNS, 0..1));
}

#[test]
fn three_hundred_instances_keep_the_limits_of_endpoints_together() {
    assert_limits_are_kept(&LARGEST, seeds(RUNS, 0..1));
}
