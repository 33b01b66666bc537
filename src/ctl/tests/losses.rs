use proptest::prelude::*;
use serde_json::{Value, json};

use super::run;
use crate::ctl::{LogLine, LossReason, WithheldFeature, WithheldFeatures, summarize_losses};

fn line(at: &str, message: &str, values: Value) -> LogLine {
    let line =
        json!({"at": format!("2026-01-07T10:05:{at}.000Z"), "message": message, "values": values});
    serde_json::from_value(line).expect("a line")
}

fn stream(request: &str, outcome: &str, first_event_ms: u64, repairs: u64) -> Value {
    json!({"request": request, "route": "draft", "outcome": outcome, "repairs": repairs,
        "first_event_ms": first_event_ms, "objective_ms": 500, "longest_gap_ms": 120,
        "pause_objective_ms": 200, "list_age_ms": 700, "runs": 1})
}

fn stream_ended_by(request: &str, limit: &str) -> Value {
    let mut values = stream(request, "unknown", 80, 0);
    values["limit"] = json!(limit);
    values
}

fn run_failed(request: &str, end: &str) -> Value {
    json!({"request": request, "end": end})
}

fn lines() -> Vec<LogLine> {
    let slow = json!({"request": "r7", "route": "look", "status": 200, "took_ms": 900,
        "objective_ms": 150, "list_age_ms": 90});
    vec![
        line("31", "stream ended", stream("r1", "whole", 80, 0)),
        line("31", "run failed", run_failed("r2", "TurnedAway")),
        line("32", "stream ended", stream("r2", "no_budget", 80, 0)),
        line("33", "stream ended", stream("r3", "full", 80, 0)),
        line("34", "stream ended", stream("r4", "whole", 900, 1)),
        line("41", "run failed", run_failed("r5", "Lost")),
        line("42", "stream ended", stream("r5", "unknown", 80, 0)),
        line(
            "43",
            "request is refused",
            json!({"request": "r6", "cause": "old_table"}),
        ),
        line("44", "request answered", slow),
        line(
            "45",
            "request has no answer",
            json!({"request": "r8", "route": "save", "word": "timed_out"}),
        ),
        line("46", "stream ended", stream("r9", "caller_left", 80, 0)),
        line("46", "run failed", run_failed("r10", "Lost")),
        line("46", "stream ended", stream_ended_by("r10", "budget")),
        line("47", "endpoint is gone", json!({"endpoint": "e"})),
    ]
}

#[test]
fn each_lost_or_late_attempt_is_counted_under_one_reason() {
    let lines = lines();
    let report = summarize_losses(&lines, 18);
    assert_eq!(report.attempts, 10);
    assert_eq!((report.in_time, report.late(), report.lost()), (1, 2, 7));
    let reasons: Vec<(&str, LossReason)> = report
        .losses
        .keys()
        .map(|(kind, reason)| (kind.as_str(), *reason))
        .collect();
    for expected in [
        ("draft", LossReason::TurnedAway),
        ("draft", LossReason::NoRoom),
        ("draft", LossReason::RepairedLate),
        ("draft", LossReason::StageLost),
        ("not known", LossReason::StoreAway),
        ("look", LossReason::SlowStart),
        ("save", LossReason::Deadline),
        ("draft", LossReason::CallerGone),
        ("draft", LossReason::BudgetSpent),
    ] {
        assert!(reasons.contains(&expected), "{expected:?} in {reasons:?}");
    }
}

/// Returns the reason for a stream that was ended by a limit after an engine had rejected it.
fn reason_for_limit(limit: &str) -> LossReason {
    let failed = line("31", "run failed", run_failed("r1", "TurnedAway"));
    let report = summarize_losses(
        &[
            failed,
            line("32", "stream ended", stream_ended_by("r1", limit)),
        ],
        18,
    );
    report.losses.keys().next().expect("it is lost").1
}

#[test]
fn the_limit_that_ended_an_attempt_overrides_the_last_run() {
    let reasons = [
        ("budget", LossReason::BudgetSpent),
        ("turned_away", LossReason::TurnedAway),
        ("sends", LossReason::SendsSpent),
        ("endpoints", LossReason::EndpointsSpent),
        ("may_have_run", LossReason::RunsOnce),
        ("no_room", LossReason::NoRoom),
        ("no_chain", LossReason::NoChain),
        ("no_endpoint", LossReason::NoChain),
        ("deadline", LossReason::Deadline),
        ("old_table", LossReason::StoreAway),
        ("no_table", LossReason::StoreAway),
        ("stopping", LossReason::Restart),
        ("withheld", LossReason::Withheld),
        ("rate_limited", LossReason::RateLimited),
    ];
    for (limit, reason) in reasons {
        assert_eq!(reason_for_limit(limit), reason, "{limit}");
    }
}

#[test]
fn an_unknown_limit_falls_back_to_the_final_error_and_the_last_run() {
    assert_eq!(
        reason_for_limit("of_another_release"),
        LossReason::TurnedAway
    );
}

/// A part that crashed three engines, and two requests: one was refused for it, the other ended for it.
fn lines_of_a_withheld_part() -> Vec<LogLine> {
    let crashes = json!({"digest": "p1,r2", "endpoints": "e1,e2,e3", "source": "own runs"});
    let refused = json!({"request": "r1", "route": "draft", "cause": "withheld", "limit": "withheld",
        "withheld_for": "p1"});
    let mut ended = stream_ended_by("r2", "withheld");
    ended["withheld_for"] = json!("p1,r2");
    let mut left = stream("r3", "caller_left", 80, 0);
    left["withheld_for"] = json!("p1");
    vec![
        line("31", "request is withheld", crashes),
        line("32", "request is refused", refused),
        line("33", "stream ended", ended),
        line("34", "stream ended", left),
    ]
}

#[test]
fn losses_are_counted_under_the_features_for_which_requests_are_withheld() {
    let report = summarize_losses(&lines_of_a_withheld_part(), 18);
    let endpoints = || ["e1", "e2", "e3"].map(str::to_owned).into_iter().collect();
    let feature = |lost| WithheldFeature {
        lost,
        endpoints: endpoints(),
    };
    let expected =
        WithheldFeatures::from([("p1".to_owned(), feature(2)), ("r2".to_owned(), feature(1))]);
    assert_eq!(report.withheld, expected);
}

#[actix_rt::test]
async fn the_report_is_a_table() {
    let directory = tempfile::tempdir().expect("the temporary directory is writable");
    let path = directory.path().join("a.log");
    let text: Vec<String> = lines()
        .iter()
        .chain(&lines_of_a_withheld_part())
        .map(|line| serde_json::to_string(line).expect("it can be written"))
        .collect();
    std::fs::write(&path, text.join("\n")).expect("the temporary directory is writable");
    let report = run(&format!("losses {}", path.display())).await;
    insta::assert_snapshot!(report.expect("the file can be read").text);
}

proptest! {
    /// Every attempt is counted exactly once for arbitrary log lines.
    #[test]
    fn the_sums_hold(
        ends in prop::collection::vec(
            (0u32..20, "[a-zA-Z_ ]{0,12}", prop::option::of("[a-zA-Z]{0,10}"), any::<u64>()), 0..60),
    ) {
        let mut lines = Vec::new();
        for (request, outcome, end, number) in &ends {
            let request = format!("r{request}");
            if let Some(end) = end {
                lines.push(line("01", "run failed", run_failed(&request, end)));
            }
            lines.push(line("02", "stream ended", stream(&request, outcome, *number, number % 2)));
        }
        let report = summarize_losses(&lines, 18);
        prop_assert_eq!(report.attempts, ends.len() as u64);
        prop_assert_eq!(report.in_time + report.late() + report.lost(), report.attempts);
        let windows: u64 = report.windows.values().map(|it| it.attempts).sum();
        prop_assert_eq!(windows, report.attempts);
    }
}
