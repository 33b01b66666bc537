//! Runs callers, faults and observers side by side, and counts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::callers::{Seeds, SoakCallers};
use super::documents::{Revisions, watch};
use super::inject::Injector;
use super::plan::{FaultKind, Planned, Planner, Sizes, Target};
use super::result::SoakResult;
use crate::deployment::Deployment;
use crate::fleet::{Fleet, FleetError, wait_until};

/// How long callers may take to finish once the faults are over.
const FINISH_LIMIT: Duration = Duration::from_secs(60);
/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);
/// Time until the end of a fault that could not end yet is tried again.
const TRY_AGAIN_MS: u64 = 100;

/// What a soak is given.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// Seed of faults and requests.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
}

/// Starts a fleet, asks and breaks things, mends everything, lets the callers finish, and counts.
///
/// # Errors
/// Fails if the fleet cannot be started or its stand-ins cannot be asked.
pub async fn run(deployment: Deployment, options: SoakOptions) -> Result<SoakResult, FleetError> {
    let revisions = Rc::new(RefCell::new(Revisions::default()));
    let fleet = Fleet::prepare(deployment)?;
    let mut injector = Injector::start(fleet, revisions.clone()).await?;
    let fleet = &injector.fleet;
    let controls = (0..fleet.topology().entries.len())
        .map(|index| fleet.control_address(index))
        .collect();
    let operator = fleet.deployment().operator.clone();
    let watching = actix_rt::spawn(watch(controls, operator, revisions.clone()));

    let callers = SoakCallers::new(fleet, options.seed);
    let until = Instant::now() + options.duration + FINISH_LIMIT;
    let seeds = Seeds::of(fleet);
    let asking = actix_rt::spawn(callers.clone().ask_all(seeds, until, options.seed));

    let faults = inject_until(&mut injector, options).await?;
    callers.end();
    wait_until(FINISH_LIMIT, async || asking.is_finished()).await;
    watching.abort();
    injector.tally.read_all(&injector.fleet, &[]).await?;

    let book = callers.book.borrow();
    let cut = |stop: &_| count_cut(stop, &book);
    let revisions = revisions.borrow();
    Ok(SoakResult {
        counts: book.counts(),
        findings: injector.tally.judge(&book),
        reverts: revisions.reverts(),
        double_accepts: revisions.double_accepts(),
        cut_by_planned_stop: injector.stops.iter().map(cut).sum(),
        stuck_stops: injector.stuck_stops,
        faults,
    })
}

fn count_cut(stop: &super::inject::PlannedStop, book: &crate::caller::Book) -> u64 {
    let cut = book.broken().iter().filter(|attempt| stop.cut(attempt));
    cut.count() as u64
}

/// Injects faults for the stated time, then ends them all.
async fn inject_until(
    injector: &mut Injector,
    options: SoakOptions,
) -> Result<IndexMap<FaultKind, u64>, FleetError> {
    let topology = injector.fleet.topology();
    let sizes = Sizes {
        instances: topology.entries.len(),
        engines: topology.engines.len(),
        replicas: topology.applications.len(),
    };
    let mut planner = Planner::new(options.seed, sizes);
    let mut active = Active::default();
    let mut counts = IndexMap::new();
    let began = Instant::now();
    let mut next_at = began;
    while began.elapsed() < options.duration {
        active.end_due(injector, Instant::now()).await?;
        if Instant::now() >= next_at {
            let (planned, pause_ms) = planner.draw(&active.busy);
            next_at = Instant::now() + Duration::from_millis(pause_ms);
            if let Some(planned) = planned {
                *counts.entry(planned.kind).or_default() += 1;
                active.begin(injector, planned).await?;
            }
        }
        actix_rt::time::sleep(STEP).await;
    }
    active.end_all(injector).await?;
    Ok(counts)
}

/// Faults that hold now.
#[derive(Default)]
struct Active {
    faults: Vec<(Instant, Planned)>,
    busy: IndexSet<Target>,
}

impl Active {
    async fn begin(&mut self, injector: &mut Injector, planned: Planned) -> Result<(), FleetError> {
        log::info!(kind:? = planned.kind, target:? = planned.target; "fault");
        injector.begin(&planned).await?;
        let due = Instant::now() + Duration::from_millis(planned.lasts_ms);
        self.faults.push((due, planned));
        self.busy.insert(planned.target);
        Ok(())
    }

    /// Ends the faults whose time is over.
    async fn end_due(&mut self, injector: &mut Injector, now: Instant) -> Result<(), FleetError> {
        let (due, rest) = self.faults.drain(..).partition(|(at, _)| *at <= now);
        self.faults = rest;
        let due: Vec<(Instant, Planned)> = due;
        for (_, planned) in due {
            if injector.end(&planned).await? {
                self.busy.swap_remove(&planned.target);
            } else {
                let again = now + Duration::from_millis(TRY_AGAIN_MS);
                self.faults.push((again, planned));
            }
        }
        Ok(())
    }

    /// Ends every fault now.
    async fn end_all(&mut self, injector: &mut Injector) -> Result<(), FleetError> {
        while !self.faults.is_empty() {
            let far = Instant::now() + FINISH_LIMIT;
            self.end_due(injector, far).await?;
            actix_rt::time::sleep(STEP).await;
        }
        Ok(())
    }
}
