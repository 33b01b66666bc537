//! Summarizes lost and late requests from the logs of relaying instances.
//!
//! Requests are counted by ID. A client that retries sends a new ID, so a request that was refused
//! and then succeeded on a retry by the client counts as lost, and one that was refused twice
//! counts twice.

use indexmap::IndexMap;
use serde::Serialize;

use super::log_lines::LogLine;
use super::loss_reason::LossReason;
use super::withheld_features::{WithheldFeatures, add_crashes, add_loss};

/// Maximum number of example IDs kept for each reason.
const MAX_EXAMPLES: usize = 2;

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    InTime,
    Late(LossReason),
    Lost(LossReason),
}

/// Lost and late attempts for one kind of request and one reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossGroup {
    /// Number of lost attempts.
    pub lost: u64,
    /// Number of late attempts.
    pub late: u64,
    /// Ages of the endpoint list at the end of the attempts, in ascending order.
    pub list_ages_ms: Vec<u64>,
    /// Request IDs of the first attempts.
    pub examples: Vec<String>,
}

/// Attempts that ended in one time window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossWindow {
    /// Number of attempts.
    pub attempts: u64,
    /// Lost attempts by reason.
    pub lost: IndexMap<LossReason, u64>,
    /// Late attempts by reason.
    pub late: IndexMap<LossReason, u64>,
}

/// Summary of a set of logs. Invariant: `attempts` is the sum of `in_time` and all lost and late
/// attempts, each of which is counted under exactly one reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossReport {
    /// Number of attempts that have ended.
    pub attempts: u64,
    /// Number of attempts that received a complete response in time.
    pub in_time: u64,
    /// Lost and late attempts, by kind of request and reason.
    #[serde(serialize_with = "as_list")]
    pub losses: IndexMap<(String, LossReason), LossGroup>,
    /// Attempts by time window. The key is the truncated timestamp of the end of the attempt.
    pub windows: IndexMap<String, LossWindow>,
    /// Features for which requests were withheld.
    pub withheld: WithheldFeatures,
}

/// JSON representation of one entry of [`LossReport::losses`].
#[derive(Serialize)]
struct LossEntry<'a> {
    kind: &'a str,
    reason: LossReason,
    #[serde(flatten)]
    losses: &'a LossGroup,
}

fn as_list<S>(
    losses: &IndexMap<(String, LossReason), LossGroup>,
    serializer: S,
) -> Result<S::Ok, S::Error>
where
    S: serde::Serializer,
{
    serializer.collect_seq(losses.iter().map(|((kind, reason), losses)| LossEntry {
        kind,
        reason: *reason,
        losses,
    }))
}

impl LossReport {
    /// Returns the number of lost attempts.
    pub fn lost(&self) -> u64 {
        self.losses.values().map(|it| it.lost).sum()
    }

    /// Returns the number of late attempts.
    pub fn late(&self) -> u64 {
        self.losses.values().map(|it| it.late).sum()
    }
}

/// Summarizes the attempts in a set of logs. `lines` must be sorted by time. Timestamps are
/// truncated to `window_digits` characters to form time windows.
pub fn summarize_losses<'a, I>(lines: I, window_digits: usize) -> LossReport
where
    I: IntoIterator<Item = &'a LogLine>,
{
    let mut report = LossReport::default();
    // For each unfinished request, how its last run on an endpoint ended.
    let mut last_ends: IndexMap<&str, &str> = IndexMap::new();
    for line in lines {
        let request = line.text("request").unwrap_or("");
        if let ("run failed" | "attempt failed", Some(end)) =
            (line.message.as_str(), line.text("end"))
        {
            last_ends.insert(request, end);
            continue;
        }
        if line.message == "request is withheld" {
            add_crashes(&mut report.withheld, line);
            continue;
        }
        if let Some(outcome) = attempt_outcome(line, last_ends.get(request).copied()) {
            last_ends.swap_remove(request);
            report.add(line, request, outcome, window_digits);
        }
    }
    for losses in report.losses.values_mut() {
        losses.list_ages_ms.sort_unstable();
    }
    report.losses.sort_by(|_, a, _, b| {
        let weight = |it: &LossGroup| std::cmp::Reverse((it.lost, it.late));
        weight(a).cmp(&weight(b))
    });
    report
}

impl LossReport {
    fn add(
        &mut self,
        line: &LogLine,
        request: &str,
        outcome: AttemptOutcome,
        window_digits: usize,
    ) {
        self.attempts += 1;
        let at = line.at.get(..window_digits).unwrap_or(&line.at);
        let window = self.windows.entry(at.to_owned()).or_default();
        window.attempts += 1;
        let (reason, is_lost) = match outcome {
            AttemptOutcome::InTime => {
                self.in_time += 1;
                return;
            }
            AttemptOutcome::Late(reason) => (reason, false),
            AttemptOutcome::Lost(reason) => (reason, true),
        };
        let by_reason = if is_lost {
            &mut window.lost
        } else {
            &mut window.late
        };
        *by_reason.entry(reason).or_insert(0) += 1;
        let kind = line.text("route").unwrap_or("not known").to_owned();
        let losses = self.losses.entry((kind, reason)).or_default();
        if reason == LossReason::Withheld {
            add_loss(&mut self.withheld, line);
        }
        if is_lost {
            losses.lost += 1;
        } else {
            losses.late += 1;
        }
        losses.list_ages_ms.extend(line.number("list_age_ms"));
        if losses.examples.len() < MAX_EXAMPLES {
            losses.examples.push(request.to_owned());
        }
    }
}

/// Returns the outcome of the attempt that a line ends, or `None` if it does not end one.
fn attempt_outcome(line: &LogLine, last_end: Option<&str>) -> Option<AttemptOutcome> {
    match line.message.as_str() {
        "stream ended" => Some(stream_outcome(line, last_end)),
        "request answered" => Some(response_outcome(line)),
        "request has no answer" => Some(AttemptOutcome::Lost(loss_reason(line, "word", last_end))),
        "request is refused" => Some(AttemptOutcome::Lost(loss_reason(line, "cause", last_end))),
        _ => None,
    }
}

fn stream_outcome(line: &LogLine, last_end: Option<&str>) -> AttemptOutcome {
    match line.text("outcome").unwrap_or("") {
        "whole" => complete_stream_outcome(line, last_end),
        "caller_left" => AttemptOutcome::Lost(LossReason::CallerGone),
        _ => AttemptOutcome::Lost(loss_reason(line, "outcome", last_end)),
    }
}

/// A complete stream is late if its first event came late or a gap between events was too long.
fn complete_stream_outcome(line: &LogLine, last_end: Option<&str>) -> AttemptOutcome {
    let is_over = |value: &str, limit: &str| match (line.number(value), line.number(limit)) {
        (Some(value), Some(limit)) => value > limit,
        _ => false,
    };
    let is_start_late = is_over("first_event_ms", "objective_ms");
    let is_gap_too_long = is_over("longest_gap_ms", "pause_objective_ms");
    if !is_start_late && !is_gap_too_long {
        return AttemptOutcome::InTime;
    }
    if line.number("repairs").unwrap_or(0) > 0 {
        return AttemptOutcome::Late(LossReason::RepairedLate);
    }
    AttemptOutcome::Late(match last_end {
        Some(end) => LossReason::from_run_end(end),
        None if is_start_late => LossReason::SlowStart,
        None => LossReason::SlowEvents,
    })
}

fn response_outcome(line: &LogLine) -> AttemptOutcome {
    if line.number("status").unwrap_or(0) >= 500 {
        return AttemptOutcome::Lost(LossReason::EndpointFailed);
    }
    match (line.number("took_ms"), line.number("objective_ms")) {
        (Some(took_ms), Some(objective_ms)) if took_ms > objective_ms => {
            AttemptOutcome::Late(LossReason::SlowStart)
        }
        _ => AttemptOutcome::InTime,
    }
}

/// Returns why a request ended without a response: by the limit that the line names if it is known,
/// otherwise by the final error under `error_key`.
fn loss_reason(line: &LogLine, error_key: &str, last_end: Option<&str>) -> LossReason {
    let from_limit = line.text("limit").and_then(LossReason::from_limit);
    let error = line.text(error_key).unwrap_or("");
    from_limit.unwrap_or_else(|| LossReason::from_final_error(error, last_end))
}
