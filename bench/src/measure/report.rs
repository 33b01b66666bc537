//! The report of a run: Markdown with plots beside it.

use std::fmt::Write;
use std::path::Path;

use super::figures::{Figure, Figures};
use super::overhead::OverheadResult;
use super::overload::OverloadRepeat;
use super::plots;
use super::recovery::{Death, RecoveryResult};
use super::retries::RetriesRepeat;
use super::shares::SharesResult;
use super::stats::Samples;
use super::throughput::ThroughputResult;
use super::{Bench, MeasureError};

/// Name of the report in its directory.
pub const FILE: &str = "report.md";

/// Everything that one deployment showed.
pub(crate) struct DeploymentResult {
    /// Name of the deployment.
    pub(crate) name: String,
    /// The bound, in tokens a second, if prompts cost nothing.
    pub(crate) bound_tokens_per_s: f64,
    /// Repeats of the figures.
    pub(crate) figures: Figures,
    /// What was measured, by experiment.
    pub(crate) overhead: Option<OverheadResult>,
    pub(crate) throughput: Option<ThroughputResult>,
    pub(crate) overload: Vec<OverloadRepeat>,
    pub(crate) shares: Option<SharesResult>,
    pub(crate) recovery: Option<RecoveryResult>,
    pub(crate) retries: Vec<RetriesRepeat>,
}

impl DeploymentResult {
    /// Nothing measured yet.
    pub(crate) fn new(bench: &Bench) -> Self {
        Self {
            name: bench.fleet.deployment().name.clone(),
            bound_tokens_per_s: bench.bound_tokens_per_s,
            figures: Figures::default(),
            overhead: None,
            throughput: None,
            overload: Vec::new(),
            shares: None,
            recovery: None,
            retries: Vec::new(),
        }
    }
}

/// Writes the report and its plots into a directory, which is made if it is not there.
///
/// # Errors
/// Fails if a file cannot be written.
pub(crate) fn write(
    dir: &Path,
    results: &[DeploymentResult],
    quick: bool,
) -> Result<(), MeasureError> {
    std::fs::create_dir_all(dir).map_err(|source| MeasureError::File {
        path: dir.to_owned(),
        source,
    })?;
    let mut text = String::from("# Measurements\n\n");
    text.push_str(if quick {
        "A quick run: short windows, one repeat.\n"
    } else {
        "A full run: medians over the repeats, and their spread.\n"
    });
    for result in results {
        add_deployment(&mut text, result);
        for (title, name) in draw_plots(dir, result)? {
            let _ = writeln!(text, "![{title}]({name})\n");
        }
    }
    let path = dir.join(FILE);
    std::fs::write(&path, text).map_err(|source| MeasureError::File { path, source })
}

fn add_deployment(text: &mut String, result: &DeploymentResult) {
    let _ = writeln!(text, "\n## {}\n", result.name);
    let _ = writeln!(text, "Bound: {:.0} tokens/s.\n", result.bound_tokens_per_s);
    add_figures(text, &result.figures);
    if let Some(throughput) = &result.throughput {
        add_policies(text, throughput);
    }
    if let Some(overhead) = &result.overhead {
        add_delays(text, overhead);
    }
    if let Some(recovery) = &result.recovery {
        add_pauses(text, recovery);
    }
    if let Some(shares) = &result.shares {
        add_shares(text, shares);
    }
    add_requests(text, result);
}

fn add_figures(text: &mut String, figures: &Figures) {
    text.push_str("| figure | median | least | most | repeats | aim |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for figure in Figure::ALL {
        let aim = figure.aim().map_or(String::new(), |aim| aim.to_string());
        let name = figure.name();
        let _ = match figures.get(figure) {
            Some(samples) => writeln!(text, "| {name} | {} | {aim} |", cells(samples)),
            None => writeln!(text, "| {name} | not-run | | | | {aim} |"),
        };
    }
}

/// Median, least, most and number of samples as cells.
fn cells(samples: &Samples) -> String {
    let median = samples.median().unwrap_or(f64::NAN);
    let (least, most) = samples.spread().unwrap_or((f64::NAN, f64::NAN));
    let count = samples.len();
    format!("{median:.3} | {least:.3} | {most:.3} | {count}")
}

fn add_policies(text: &mut String, throughput: &ThroughputResult) {
    text.push_str("\n| policy | of the bound | least | most | repeats | tokens/s |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for (policy, samples) in &throughput.to_bound {
        let rates = throughput.tokens_per_s.get(policy);
        let rate = rates.and_then(Samples::median).unwrap_or(f64::NAN);
        let _ = writeln!(text, "| {policy} | {} | {rate:.0} |", cells(samples));
    }
}

fn add_delays(text: &mut String, overhead: &OverheadResult) {
    text.push_str("\n| token from engine to caller, ms | p50 | p90 | p99 | tokens |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    for (name, delays) in [
        ("through an entry", &overhead.through_us),
        ("engine alone", &overhead.direct_us),
    ] {
        let ms = |quantile| delays.value_at_quantile(quantile) as f64 / 1_000.0;
        let _ = writeln!(
            text,
            "| {name} | {:.3} | {:.3} | {:.3} | {} |",
            ms(0.5),
            ms(0.9),
            ms(0.99),
            delays.len()
        );
    }
}

fn add_pauses(text: &mut String, recovery: &RecoveryResult) {
    text.push_str("\n| death of a stage | pause p50, ms | p90 | p99 | streams | begun anew |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for (death, pauses) in &recovery.pauses_ms {
        let ms = |quantile| pauses.quantile(quantile).unwrap_or(f64::NAN);
        let _ = writeln!(
            text,
            "| {} | {:.1} | {:.1} | {:.1} | {} | {} |",
            death.name(),
            ms(0.5),
            ms(0.9),
            ms(0.99),
            pauses.len(),
            recovery.restarted.get(death).copied().unwrap_or(0)
        );
    }
    if let Some(ratio) = recovery.to_oracle(Death::Freeze) {
        let _ = writeln!(text, "\nFrozen over oracle, medians: {ratio:.2}.");
    }
}

fn add_shares(text: &mut String, shares: &SharesResult) {
    text.push_str("\n| account | share over fair | local demand only |\n| --- | --- | --- |\n");
    for (account, part) in &shares.shared {
        let local = shares.local_only.get(account).copied().unwrap_or(f64::NAN);
        let _ = writeln!(text, "| {account} | {part:.3} | {local:.3} |");
    }
}

fn add_requests(text: &mut String, result: &DeploymentResult) {
    for repeat in &result.overload {
        let _ = writeln!(
            text,
            "\nOverload: {} requests arrived, {} answered by the end of the window.",
            repeat.asked, repeat.answered
        );
    }
    for repeat in &result.retries {
        let _ = writeln!(
            text,
            "\nOutage: {} requests, {} attempts, {} refused, {} broken; {} requests unfinished.",
            repeat.requests, repeat.attempts, repeat.refusals, repeat.broken, repeat.unfinished
        );
    }
    text.push('\n');
}

/// Draws what was measured; returns titles and names of files.
fn draw_plots(
    dir: &Path,
    result: &DeploymentResult,
) -> Result<Vec<(&'static str, String)>, MeasureError> {
    let mut drawn = Vec::new();
    if let Some(throughput) = &result.throughput {
        let name = format!("{}-throughput.svg", result.name);
        plots::throughput(&dir.join(&name), result.bound_tokens_per_s, throughput)?;
        drawn.push(("Throughput beside the bound", name));
    }
    if let Some(shares) = &result.shares {
        let name = format!("{}-shares.svg", result.name);
        plots::shares(&dir.join(&name), shares)?;
        drawn.push(("Shares of the accounts", name));
    }
    if let Some(recovery) = &result.recovery {
        for (death, traces) in &recovery.traces {
            let name = format!("{}-gaps-{}.svg", result.name, death.slug());
            plots::gaps(&dir.join(&name), *death, traces)?;
            drawn.push(("Token gaps around a stage's death", name));
        }
    }
    Ok(drawn)
}
