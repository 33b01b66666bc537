//! Where requests were lost or late, and why, as the logs of relaying instances have it.
//!
//! Logs know attempts: a caller that comes back has another id, so that an attempt which was refused
//! and answered later counts as lost here, and one that came back and was refused again counts twice.

use indexmap::IndexMap;
use serde::Serialize;

use super::log_lines::LogLine;
use super::loss_reason::LossReason;

/// Examples kept of each reason.
const MOST_EXAMPLES: usize = 2;

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    InTime,
    Late(LossReason),
    Lost(LossReason),
}

/// Attempts of one kind of request that were lost or late for one reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossGroup {
    /// Lost ones.
    pub lost: u64,
    /// Late ones.
    pub late: u64,
    /// Ages of the list of endpoints at the end of each, in ascending order.
    pub list_ages_ms: Vec<u64>,
    /// Ids of the first ones.
    pub examples: Vec<String>,
}

/// Attempts that ended in one window of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossWindow {
    /// All.
    pub attempts: u64,
    /// Lost ones by reason.
    pub lost: IndexMap<LossReason, u64>,
    /// Late ones by reason.
    pub late: IndexMap<LossReason, u64>,
}

/// The account of a set of logs. Invariant: `attempts` is `in_time` and every lost and late one, each
/// under one reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LossReport {
    /// Attempts that have ended.
    pub attempts: u64,
    /// Those answered whole and in time.
    pub in_time: u64,
    /// The others, by kind of request and reason.
    #[serde(serialize_with = "as_list")]
    pub losses: IndexMap<(String, LossReason), LossGroup>,
    /// By the time at which they ended, as the text of that time up to the window's length.
    pub windows: IndexMap<String, LossWindow>,
}

/// One entry of [`LossReport::losses`] for programs.
#[derive(Serialize)]
struct Entry<'a> {
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
    serializer.collect_seq(losses.iter().map(|((kind, reason), losses)| Entry {
        kind,
        reason: *reason,
        losses,
    }))
}

impl LossReport {
    /// Attempts that were lost.
    pub fn lost(&self) -> u64 {
        self.losses.values().map(|it| it.lost).sum()
    }

    /// Attempts that were late.
    pub fn late(&self) -> u64 {
        self.losses.values().map(|it| it.late).sum()
    }
}

/// Accounts for the attempts in a set of logs; `lines` are sorted by time. Times of windows are cut
/// to their first `window_digits` characters.
pub fn summarize_losses<'a, I>(lines: I, window_digits: usize) -> LossReport
where
    I: IntoIterator<Item = &'a LogLine>,
{
    let mut report = LossReport::default();
    // How the last try of each attempt ended that is not over yet.
    let mut last_ends: IndexMap<&str, &str> = IndexMap::new();
    for line in lines {
        let request = line.text("request").unwrap_or("");
        if let ("run failed" | "attempt failed", Some(end)) =
            (line.message.as_str(), line.text("end"))
        {
            last_ends.insert(request, end);
            continue;
        }
        if let Some(fate) = fate(line, last_ends.get(request).copied()) {
            last_ends.swap_remove(request);
            report.add(line, request, fate, window_digits);
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
    fn add(&mut self, line: &LogLine, request: &str, fate: Fate, window_digits: usize) {
        self.attempts += 1;
        let at = line.at.get(..window_digits).unwrap_or(&line.at);
        let window = self.windows.entry(at.to_owned()).or_default();
        window.attempts += 1;
        let (reason, is_lost) = match fate {
            Fate::InTime => {
                self.in_time += 1;
                return;
            }
            Fate::Late(reason) => (reason, false),
            Fate::Lost(reason) => (reason, true),
        };
        let by_reason = if is_lost {
            &mut window.lost
        } else {
            &mut window.late
        };
        *by_reason.entry(reason).or_insert(0) += 1;
        let kind = line.text("route").unwrap_or("not known").to_owned();
        let losses = self.losses.entry((kind, reason)).or_default();
        if is_lost {
            losses.lost += 1;
        } else {
            losses.late += 1;
        }
        losses.list_ages_ms.extend(line.number("list_age_ms"));
        if losses.examples.len() < MOST_EXAMPLES {
            losses.examples.push(request.to_owned());
        }
    }
}

/// What a line says became of its attempt; `None` for a line that ends none.
fn fate(line: &LogLine, last_end: Option<&str>) -> Option<Fate> {
    match line.message.as_str() {
        "stream ended" => Some(stream_fate(line, last_end)),
        "request answered" => Some(answer_fate(line)),
        "request has no answer" => Some(Fate::Lost(reason_of_end(line, "word", last_end))),
        "request is refused" => Some(Fate::Lost(reason_of_end(line, "cause", last_end))),
        _ => None,
    }
}

fn stream_fate(line: &LogLine, last_end: Option<&str>) -> Fate {
    match line.text("outcome").unwrap_or("") {
        "whole" => whole_fate(line, last_end),
        "caller_left" => Fate::Lost(LossReason::CallerGone),
        _ => Fate::Lost(reason_of_end(line, "outcome", last_end)),
    }
}

/// A stream that came whole is late by its first event or by a pause.
fn whole_fate(line: &LogLine, last_end: Option<&str>) -> Fate {
    let is_over = |value: &str, limit: &str| match (line.number(value), line.number(limit)) {
        (Some(value), Some(limit)) => value > limit,
        _ => false,
    };
    let starts_late = is_over("first_event_ms", "objective_ms");
    let pauses_long = is_over("longest_gap_ms", "pause_objective_ms");
    if !starts_late && !pauses_long {
        return Fate::InTime;
    }
    if line.number("repairs").unwrap_or(0) > 0 {
        return Fate::Late(LossReason::RepairedLate);
    }
    Fate::Late(match last_end {
        Some(end) => LossReason::of_try(end),
        None if starts_late => LossReason::SlowStart,
        None => LossReason::SlowEvents,
    })
}

fn answer_fate(line: &LogLine) -> Fate {
    if line.number("status").unwrap_or(0) >= 500 {
        return Fate::Lost(LossReason::EndpointFailed);
    }
    match (line.number("took_ms"), line.number("objective_ms")) {
        (Some(took_ms), Some(objective_ms)) if took_ms > objective_ms => {
            Fate::Late(LossReason::SlowStart)
        }
        _ => Fate::InTime,
    }
}

/// The reason of an end without answer: the limit that the line names, or else the final word, which
/// stands under `word_key`.
fn reason_of_end(line: &LogLine, word_key: &str, last_end: Option<&str>) -> LossReason {
    let of_limit = line.text("limit").and_then(LossReason::of_limit);
    let word = line.text(word_key).unwrap_or("");
    of_limit.unwrap_or_else(|| LossReason::of_word(word, last_end))
}
