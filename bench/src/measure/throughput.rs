//! Throughput against the bound, under the product's policy and the baselines.

use indexmap::IndexMap;

use super::bound::cost_tokens;
use super::control::ControlWatch;
use super::experiment::{Extent, Throughput};
use super::figures::Figure;
use super::load::{Load, Window, groups_by_demand};
use super::stats::Samples;
use super::{Bench, MeasureError};
use crate::fleet::EntryProgram;

/// Baselines by their names on the command line of `fescue-entry-baseline`.
pub const BASELINES: [&str; 3] = ["random", "round-robin", "least-outstanding"];
/// Name of the product's own policy in reports.
pub const PRODUCT: &str = "product";

/// Throughput of one deployment by policy.
#[derive(Clone, Debug, Default)]
pub struct ThroughputResult {
    /// Work done over the bound, by policy.
    pub to_bound: IndexMap<&'static str, Samples>,
    /// Generated tokens a second, by policy.
    pub tokens_per_s: IndexMap<&'static str, Samples>,
}

/// Measures every policy on the same load, one after the other, repeat by repeat.
///
/// # Errors
/// Fails if entries cannot be started or control cannot be asked.
pub async fn run(
    bench: &mut Bench,
    experiment: &Throughput,
) -> Result<ThroughputResult, MeasureError> {
    let extent = experiment.extents.choose(bench.quick);
    let mut result = ThroughputResult::default();
    for repeat in 0..extent.repeats {
        if repeat < experiment.baseline_repeats {
            for policy in BASELINES {
                run_policy(bench, experiment, extent, repeat, policy, &mut result).await?;
            }
        }
        run_policy(bench, experiment, extent, repeat, PRODUCT, &mut result).await?;
    }
    note_figures(bench, &result);
    Ok(result)
}

async fn run_policy(
    bench: &mut Bench,
    experiment: &Throughput,
    extent: Extent,
    repeat: u64,
    policy: &'static str,
    result: &mut ThroughputResult,
) -> Result<(), MeasureError> {
    let program = match policy {
        PRODUCT => EntryProgram::Product,
        name => EntryProgram::Policy(name),
    };
    bench.start_entries(program).await?;
    let groups = groups_by_demand(bench.fleet.deployment(), experiment.callers);
    let load = Load::closed(&bench.fleet, &experiment.asked, repeat, &groups);
    actix_rt::time::sleep(extent.warm_up()).await;
    let control = ControlWatch::begin(&mut bench.fleet).await?;
    let window = load
        .observe(std::time::Duration::ZERO, extent.window())
        .await;
    let spent = control.end(&mut bench.fleet).await?;
    drop(load);
    if policy == PRODUCT {
        spent.note(&mut bench.figures);
    }
    let to_bound = work_to_bound(&window, bench.bound_tokens_per_s);
    bench.say(&format!(
        "throughput {policy}: {:.0} tokens/s, {to_bound:.3} of the bound",
        window.tokens_per_s()
    ));
    result.to_bound.entry(policy).or_default().push(to_bound);
    let rates = result.tokens_per_s.entry(policy).or_default();
    rates.push(window.tokens_per_s());
    Ok(())
}

/// Work that was done in a window, prompts at their cost, over what the bound allows in it.
pub fn work_to_bound(window: &Window, bound_tokens_per_s: f64) -> f64 {
    let total = window.total();
    let work = cost_tokens(total.tokens, total.prompt_tokens);
    work / (bound_tokens_per_s * window.took.as_secs_f64())
}

fn note_figures(bench: &mut Bench, result: &ThroughputResult) {
    let samples = |policy| result.to_bound.get(policy).cloned().unwrap_or_default();
    for value in samples(PRODUCT).values() {
        bench.figures.push(Figure::ThroughputToBound, *value);
    }
    let best = BASELINES.into_iter().map(samples).max_by(|a, b| {
        a.median()
            .partial_cmp(&b.median())
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    for value in best.unwrap_or_default().values() {
        bench
            .figures
            .push(Figure::ThroughputToBoundBestBaseline, *value);
    }
}
