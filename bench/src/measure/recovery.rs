//! Pauses of streams when a stage of their chain dies.
//!
//! Three deaths of the same stages under the same load are compared:
//! - `kill -9` of the stage's process: its kernel closes its connections;
//! - frozen (SIGSTOP): nobody is told anything, as when a machine loses its power;
//! - the oracle: the stage says itself that it ends, so that its neighbours report the failure to
//!   the entry at the instant of death and nothing has to be detected. What is left is the rebuild.

use std::time::{Duration, Instant};

use fescueshore::ids::EndpointId;
use indexmap::IndexMap;
use serde::Deserialize;

use super::experiment::{Extent, Recovery};
use super::figures::Figure;
use super::load::{Load, groups_by_demand};
use super::stats::Samples;
use super::{Bench, MeasureError};
use crate::caller::Report;
use crate::fleet::{EntryProgram, ProcessName, wait_until};
use crate::standin::faults::{Fault, FaultRequest};

/// Longest wait for streams that run over the stage.
const BUSY_LIMIT: Duration = Duration::from_secs(5);
/// Fewest streams that run over a stage when it dies.
const LEAST_STREAMS: u32 = 2;
/// Fewest tokens by which a stream's normal gap is told.
const LEAST_TOKENS: usize = 8;

/// How a stage dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Death {
    /// The process is killed.
    Kill,
    /// The process is stopped without its knowledge.
    Freeze,
    /// The stage tells its neighbours.
    Oracle,
}

impl Death {
    /// Every death.
    pub const ALL: [Self; 3] = [Self::Kill, Self::Oracle, Self::Freeze];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill -9",
            Self::Freeze => "frozen",
            Self::Oracle => "oracle",
        }
    }

    /// Name in names of files.
    pub fn slug(self) -> &'static str {
        match self {
            Self::Kill => "killed",
            Self::Freeze => "frozen",
            Self::Oracle => "oracle",
        }
    }
}

/// Gaps of one stream around a death.
#[derive(Clone, Debug, PartialEq)]
pub struct GapTrace {
    /// Time of each token against the death, and the gap before it; milliseconds.
    pub gaps_ms: Vec<(f64, f64)>,
}

/// Pauses by death.
#[derive(Clone, Debug, Default)]
pub struct RecoveryResult {
    /// The longest gap of each stream concerned, less its normal gap; milliseconds.
    pub pauses_ms: IndexMap<Death, Samples>,
    /// Streams that had to begin anew, by death.
    pub restarted: IndexMap<Death, u64>,
    /// Some streams around deaths, for a plot.
    pub traces: IndexMap<Death, Vec<GapTrace>>,
}

impl RecoveryResult {
    /// Median pause of a death over that of the oracle.
    pub fn to_oracle(&self, death: Death) -> Option<f64> {
        let pause_ms = self.pauses_ms.get(&death)?.median()?;
        let oracle_ms = self.pauses_ms.get(&Death::Oracle)?.median()?;
        (oracle_ms > 0.0).then(|| pause_ms / oracle_ms)
    }
}

/// The part of an engine's counters that tells whom its death concerns.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Running {
    running: u32,
}

/// Engines of which each can die alone: one of each kind of range, as many as are useful.
pub fn victims(bench_engines: &[crate::topology::EngineNode]) -> Vec<EndpointId> {
    let mut kinds: IndexMap<(&str, u16), &EndpointId> = IndexMap::new();
    for engine in bench_engines {
        let kind = (engine.accelerator.as_str(), engine.layers.first);
        kinds.entry(kind).or_insert(&engine.name);
    }
    kinds.into_values().take(4).cloned().collect()
}

/// Measures the product.
///
/// # Errors
/// Fails if a stage cannot be killed or started again.
pub async fn run(bench: &mut Bench, experiment: &Recovery) -> Result<RecoveryResult, MeasureError> {
    let extent = experiment.extents.choose(bench.quick);
    let victims = bench.victims.clone();
    let mut result = RecoveryResult::default();
    for repeat in 0..extent.repeats {
        for death in Death::ALL {
            if bench.quick && death == Death::Freeze {
                continue;
            }
            let victim = &victims[repeat as usize % victims.len()];
            run_death(
                bench,
                experiment,
                extent,
                repeat,
                death,
                victim,
                &mut result,
            )
            .await?;
        }
    }
    note_figures(bench, &result);
    Ok(result)
}

async fn run_death(
    bench: &mut Bench,
    experiment: &Recovery,
    extent: Extent,
    repeat: u64,
    death: Death,
    victim: &EndpointId,
    result: &mut RecoveryResult,
) -> Result<(), MeasureError> {
    bench.start_entries(EntryProgram::Product).await?;
    let groups = groups_by_demand(bench.fleet.deployment(), experiment.callers);
    let load = Load::closed(&bench.fleet, &experiment.asked, repeat, &groups);
    actix_rt::time::sleep(extent.warm_up()).await;
    let concerned = await_streams(bench, victim).await?;
    let asked = load.book().borrow().asked();
    let died = kill(bench, victim, death).await?;
    actix_rt::time::sleep(extent.window()).await;
    await_reports(
        &load,
        asked,
        died,
        Duration::from_millis(experiment.watch_ms),
    )
    .await;
    revive(bench, victim, death).await?;
    let book = load.book().borrow();
    let mut gaps: Vec<StreamGaps> = book
        .reports()
        .iter()
        .filter_map(|report| StreamGaps::around(report, died))
        .collect();
    let restarted = book
        .reports()
        .iter()
        .filter(|report| report.attempts > 1 && report.began < died)
        .count();
    gaps.sort_by(|a, b| b.pause_ms.total_cmp(&a.pause_ms));
    gaps.truncate(concerned as usize);
    let pauses: Samples = gaps.iter().map(|stream| stream.pause_ms).collect();
    bench.say(&format!(
        "recovery {} of {victim}: {} streams, median pause {:.1} ms, longest {:.1} ms, {restarted} \
         begun anew",
        death.name(),
        gaps.len(),
        pauses.median().unwrap_or(f64::NAN),
        pauses.spread().map_or(f64::NAN, |(_, most)| most),
    ));
    *result.restarted.entry(death).or_default() += restarted as u64;
    let all = result.pauses_ms.entry(death).or_default();
    gaps.iter().for_each(|stream| all.push(stream.pause_ms));
    let traces = result.traces.entry(death).or_default();
    traces.extend(gaps.into_iter().map(|stream| stream.trace));
    Ok(())
}

/// Waits until streams run over an engine; returns how many.
async fn await_streams(bench: &Bench, victim: &EndpointId) -> Result<u32, MeasureError> {
    let engine = bench.fleet.engine(victim).ok_or(MeasureError::NoChain)?;
    let address = engine.address;
    let standins = bench.fleet.standins();
    let mut streams = 0;
    wait_until(BUSY_LIMIT, async || {
        let counters = standins.get::<Running>(address, "/standin/counters").await;
        streams = counters.map_or(0, |counters| counters.running);
        streams >= LEAST_STREAMS
    })
    .await;
    Ok(streams)
}

/// Ends a stage; returns when.
async fn kill(
    bench: &mut Bench,
    victim: &EndpointId,
    death: Death,
) -> Result<Instant, MeasureError> {
    let name = ProcessName::Engine(victim.clone());
    let died = Instant::now();
    match death {
        Death::Kill => bench.fleet.process(&name)?.kill(),
        Death::Freeze => bench.fleet.process(&name)?.freeze(),
        Death::Oracle => {
            let engine = bench.fleet.engine(victim).ok_or(MeasureError::NoChain)?;
            let die = FaultRequest::here(Fault::Die {
                revive_after_ms: None,
            });
            let standins = bench.fleet.standins();
            standins
                .post(engine.address, "/standin/faults", &die)
                .await?;
        }
    }
    Ok(died)
}

/// Starts a new stage in the dead one's place.
async fn revive(bench: &mut Bench, victim: &EndpointId, death: Death) -> Result<(), MeasureError> {
    let name = ProcessName::Engine(victim.clone());
    if death != Death::Kill {
        bench.fleet.process(&name)?.kill();
    }
    bench.fleet.start_standin(&name).await?;
    Ok(())
}

/// Waits until every request that began before the death has ended.
async fn await_reports(load: &Load, asked: u64, died: Instant, limit: Duration) {
    wait_until(limit, async || {
        let book = load.book().borrow();
        let ended = book.reports().iter().filter(|it| it.began < died).count();
        ended as u64 >= asked
    })
    .await;
}

/// Gaps between a stream's tokens, where a death falls between its first and its last.
struct StreamGaps {
    pause_ms: f64,
    trace: GapTrace,
}

impl StreamGaps {
    fn around(report: &Report, died: Instant) -> Option<Self> {
        let tokens = &report.tokens_at;
        let first = *tokens.first()?;
        let last = *tokens.last()?;
        if report.attempts != 1 || tokens.len() < LEAST_TOKENS || first > died || last < died {
            return None;
        }
        let gaps_ms: Vec<(f64, f64)> = tokens
            .windows(2)
            .map(|pair| (signed_ms(pair[1], died), ms(pair[1] - pair[0])))
            .collect();
        let normal: Samples = gaps_ms.iter().map(|(_, gap_ms)| *gap_ms).collect();
        // The pause is one of the gaps that end after the death.
        let after = gaps_ms.iter().filter(|(at_ms, _)| *at_ms >= 0.0);
        let longest = after.map(|(_, gap_ms)| *gap_ms).max_by(f64::total_cmp)?;
        Some(Self {
            pause_ms: (longest - normal.median()?).max(0.0),
            trace: GapTrace { gaps_ms },
        })
    }
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn signed_ms(at: Instant, zero: Instant) -> f64 {
    ms(at.saturating_duration_since(zero)) - ms(zero.saturating_duration_since(at))
}

fn note_figures(bench: &mut Bench, result: &RecoveryResult) {
    let Some(killed) = result.pauses_ms.get(&Death::Kill) else {
        return;
    };
    let figures = &mut bench.figures;
    if let (Some(p50), Some(p99)) = (killed.quantile(0.5), killed.quantile(0.99)) {
        figures.push(Figure::RecoveryMsP50, p50);
        figures.push(Figure::RecoveryMsP99, p99);
    }
    if let Some(ratio) = result.to_oracle(Death::Kill) {
        figures.push(Figure::RecoveryToOracle, ratio);
    }
}
