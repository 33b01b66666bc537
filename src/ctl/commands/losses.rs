//! `fescuectl losses`: summarizes lost and late requests from the logs of relaying instances.

use std::path::PathBuf;

use indexmap::IndexMap;

use crate::ctl::fault::CtlError;
use crate::ctl::log_lines::read_logs;
use crate::ctl::loss_reason::LossReason;
use crate::ctl::losses::{LossGroup, LossReport, LossWindow, summarize_losses};
use crate::ctl::report::{Report, render, table};
use crate::ctl::withheld_features::WithheldFeatures;

/// Length of a timestamp truncated to tens of seconds, which gives windows of ten seconds.
const WINDOW_DIGITS: usize = "2026-01-07T10:05:3".len();

pub(super) fn run(files: &[PathBuf]) -> Result<Report, CtlError> {
    let lines = read_logs(files)?;
    let report = summarize_losses(&lines, WINDOW_DIGITS);
    let text = match report.attempts {
        0 => "no log line ends a request; pass the logs of all instances".to_owned(),
        _ => render_report(&report),
    };
    Report::success(text, &report)
}

fn render_report(report: &LossReport) -> String {
    let head = format!(
        "{} attempts: {} in time, {} late, {} lost",
        report.attempts,
        report.in_time,
        report.late(),
        report.lost()
    );
    let mut sections = vec![head, render_losses(report), render_windows(report)];
    if !report.withheld.is_empty() {
        sections.push(render_withheld(&report.withheld));
    }
    sections.join("\n\n")
}

fn render_losses(report: &LossReport) -> String {
    let mut table = table([
        "KIND",
        "REASON",
        "LOST",
        "LATE",
        "LIST AGE ms (median, max)",
        "EXAMPLES",
    ]);
    for ((kind, reason), losses) in &report.losses {
        table.add_row([
            kind.clone(),
            reason.name().to_owned(),
            losses.lost.to_string(),
            losses.late.to_string(),
            age_summary(losses),
            losses.examples.join(" "),
        ]);
    }
    render(&table)
}

fn age_summary(losses: &LossGroup) -> String {
    let ages = &losses.list_ages_ms;
    match (ages.get(ages.len() / 2), ages.last()) {
        (Some(median), Some(max)) => format!("{median}, {max}"),
        _ => "not known".to_owned(),
    }
}

fn render_windows(report: &LossReport) -> String {
    let mut table = table(["FROM", "ATTEMPTS", "LOST", "LATE", "MOSTLY"]);
    for (at, window) in &report.windows {
        table.add_row([
            format!("{at}0"),
            window.attempts.to_string(),
            window.lost.values().sum::<u64>().to_string(),
            window.late.values().sum::<u64>().to_string(),
            most_common_reason(window),
        ]);
    }
    render(&table)
}

fn render_withheld(features: &WithheldFeatures) -> String {
    let mut table = table(["WITHHELD FOR", "LOST", "CRASHED ENDPOINTS"]);
    for (digest, feature) in features {
        let endpoints: Vec<&str> = feature.endpoints.iter().map(String::as_str).collect();
        table.add_row([
            digest.clone(),
            feature.lost.to_string(),
            endpoints.join(" "),
        ]);
    }
    render(&table)
}

/// Describes the most common reason for lost and late attempts in a window.
fn most_common_reason(window: &LossWindow) -> String {
    let mut sums: IndexMap<LossReason, u64> = IndexMap::new();
    for (reason, count) in window.lost.iter().chain(&window.late) {
        *sums.entry(*reason).or_insert(0) += count;
    }
    let most = sums.into_iter().max_by_key(|(_, count)| *count);
    most.map_or(String::new(), |(reason, count)| {
        format!("{} ({count})", reason.name())
    })
}
