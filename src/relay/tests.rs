use proptest::prelude::*;

use super::*;
use crate::ids::{EndpointId, ServiceName};
use crate::route_table::RetryPolicy;

const INSTANCES: u32 = 2;
const SHARE: BudgetShare = BudgetShare {
    ratio: 0.2,
    slack: 20.0,
    window_ms: 10_000,
    instances: Some(INSTANCES),
};

fn any_repeat() -> impl Strategy<Value = RetryPolicy> {
    prop_oneof![
        Just(RetryPolicy::Idempotent),
        Just(RetryPolicy::NonIdempotent),
        Just(RetryPolicy::Stream { resumable: true }),
        Just(RetryPolicy::Stream { resumable: false }),
    ]
}

fn any_outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::TurnedAway),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::Lost),
        Just(AttemptOutcome::Abandoned),
    ]
}

proptest! {
    #[test]
    fn request_that_may_have_run_is_neither_retried_nor_reported_as_not_run(
        retry_policy in any_repeat(),
        ends in prop::collection::vec((any_outcome(), any::<bool>()), 1..8),
    ) {
        let mut attempts = Attempts::new(retry_policy, 2);
        let mut may_have_run = false;
        let mut was_sent = false;
        for (number, (end, has_budget)) in ends.into_iter().enumerate() {
            attempts.send_started(&EndpointId::from(format!("e{number}")));
            may_have_run |= !matches!(end, AttemptOutcome::NotSent | AttemptOutcome::TurnedAway);
            was_sent |= end != AttemptOutcome::NotSent;
            match attempts.attempt_ended(end, || has_budget) {
                NextStep::Retry | NextStep::Resume => {
                    prop_assert!(!may_have_run || retry_policy.allows_retry());
                }
                NextStep::ForwardFailure(_) => {
                    prop_assert_eq!(end, AttemptOutcome::Failed);
                    break;
                }
                NextStep::GiveUp(end) => {
                    let is_refused = end.error.refusal_cause().is_some();
                    prop_assert_eq!(is_refused, !may_have_run);
                    let is_unsent = matches!(end.error, FinalError::NotRun(_));
                    prop_assert_eq!(is_unsent, !was_sent);
                    break;
                }
            }
        }
    }

    #[test]
    fn events_are_forwarded_unchanged(
        pieces in prop::collection::vec(1usize..40, 1..60),
        count in 1u64..12,
    ) {
        let text: String = (0..count).map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut at = 0;
        for piece in pieces {
            let end = (at + piece).min(text.len());
            if let Some(events) = splitter.push(&text.as_bytes()[at..end]).expect("in order") {
                out.extend_from_slice(&events.bytes);
            }
            at = end;
        }
        prop_assert!(text.as_bytes().starts_with(&out));
        prop_assert_eq!(splitter.has_partial_event(), out.len() < at);
        if at == text.len() {
            prop_assert_eq!(out.len(), text.len());
            prop_assert_eq!(splitter.last_id(), Some(count - 1));
        }
    }
}

#[test]
fn resumed_run_must_continue_after_the_last_event() {
    let mut splitter = EventSplitter::resuming_after(Some(4));
    let events = splitter
        .push(b"id: 5\ndata: a\n\nid: 6\nda")
        .expect("in order");
    assert_eq!(events.map(|it| it.count), Some(1));
    splitter.drop_partial();
    let wrong = splitter.push(b"id: 7\ndata: c\n\n");
    assert_eq!(wrong, Err(SplitError::OutOfOrder { last: 5, found: 7 }));
}

/// Number of retries that all instances together get at once, `load_ms` after a load of 20 requests a second began.
fn retries_at_once(purpose: RetryPurpose, load_ms: u64) -> usize {
    let service = ServiceName::from("ledger-api");
    let mut taken = 0;
    for _ in 0..INSTANCES {
        let mut budget = RetryBudget::default();
        for at_ms in (0..load_ms).step_by(100) {
            budget.request(&service, SHARE, at_ms);
        }
        taken += (0..1_000)
            .filter(|_| budget.take(&service, SHARE, purpose, load_ms).is_some())
            .count();
    }
    taken
}

#[test]
fn retries_of_all_instances_stay_within_the_allowance() {
    // 0.2 of 100 requests plus a slack of 20; a quarter is reserved for resuming.
    let resumed = retries_at_once(RetryPurpose::Resume, 5_000);
    assert!(resumed <= 40, "{resumed} retries");
    assert!(resumed >= 20, "{resumed} retries");
    let started = retries_at_once(RetryPurpose::Start, 5_000);
    assert!(started <= 30, "{started} retries");
    assert!(started >= 15, "{started} retries");
}

/// Guards against shares that leave most of the allowance unused when a failure begins under steady load.
#[test]
fn half_of_the_allowance_is_available_at_once_under_steady_load() {
    // 0.2 of 200 requests plus a slack of 20.
    let resumed = retries_at_once(RetryPurpose::Resume, 30_000);
    assert!(resumed <= 60, "{resumed} retries");
    assert!(resumed >= 30, "{resumed} retries");
}

#[test]
fn a_stream_that_is_forwarded_whole_runs_at_no_more_endpoints_than_allowed() {
    let policy = RetryPolicy::Stream { resumable: true }.for_whole_response();
    let mut attempts = Attempts::new(policy, 2);
    attempts.send_started(&EndpointId::from("a"));
    let second = attempts.attempt_ended(AttemptOutcome::Lost, || true);
    assert_eq!(second, NextStep::Retry);
    attempts.send_started(&EndpointId::from("b"));
    let third = attempts.attempt_ended(AttemptOutcome::Lost, || true);
    assert!(is_final(third), "{third:?}");
}

#[test]
fn budget_refills_as_the_window_moves() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    while let Some(id) = budget.take(&service, SHARE, RetryPurpose::Start, 1_000) {
        budget.record_arrival(&service, id, 1_000);
    }
    let mut take = |at_ms| budget.take(&service, SHARE, RetryPurpose::Start, at_ms);
    assert_eq!(take(10_900), None);
    assert!(take(11_100).is_some());
}

#[test]
fn a_retry_that_has_not_arrived_still_counts_after_a_window() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let mut last = None;
    while let Some(id) = budget.take(&service, SHARE, RetryPurpose::Start, 1_000) {
        last = Some(id);
    }
    let mut take = |at_ms| budget.take(&service, SHARE, RetryPurpose::Start, at_ms);
    assert_eq!(take(12_000), None);
    budget.record_arrival(&service, last.expect("a retry was left"), 12_000);
    let mut take = |at_ms| budget.take(&service, SHARE, RetryPurpose::Start, at_ms);
    assert_eq!(take(21_900), None);
    assert!(take(22_100).is_some());
}

/// Guards against a refund that removes the entry of another request's retry.
#[test]
fn a_refund_leaves_the_retries_of_other_requests() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let unsent = budget.take(&service, SHARE, RetryPurpose::Start, 1_000);
    let mut arrive = |at_ms| {
        while let Some(id) = budget.take(&service, SHARE, RetryPurpose::Start, at_ms) {
            budget.record_arrival(&service, id, at_ms);
        }
    };
    arrive(5_000);
    budget.refund(&service, unsent.expect("a retry was left"));
    assert!(
        budget
            .take(&service, SHARE, RetryPurpose::Start, 5_000)
            .is_some()
    );
    assert_eq!(
        budget.take(&service, SHARE, RetryPurpose::Start, 14_900),
        None
    );
}

// Guards against ending a partial response when its retry is rejected or no retry is left. Such
// streams were given up like requests without any response, whose callers can simply retry: of
// 14,184 streams beside failing engines 50 were cut off, 47 of them immediately, most with much of
// their time left.
#[test]
fn partial_response_survives_a_rejected_retry() {
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.send_started(&EndpointId::from("first"));
    attempts.response_started();
    let lost = attempts.attempt_ended(AttemptOutcome::Lost, || true);
    assert!(!is_final(lost), "{lost:?}");
    for number in 0..20 {
        attempts.send_started(&EndpointId::from(format!("e{number}")));
        let next = attempts.attempt_ended(AttemptOutcome::TurnedAway, || true);
        assert!(!is_final(next), "{next:?} after {number} others");
    }
}

#[test]
fn partial_response_survives_an_exhausted_budget() {
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.send_started(&EndpointId::from("first"));
    attempts.response_started();
    let next = attempts.attempt_ended(AttemptOutcome::Lost, || false);
    assert!(!is_final(next), "{next:?}");
}

#[test]
fn partial_response_that_cannot_resume_ends_with_its_run() {
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: false }, 2);
    attempts.send_started(&EndpointId::from("first"));
    attempts.response_started();
    let next = attempts.attempt_ended(AttemptOutcome::Lost, || true);
    let end = RelayFailure {
        error: FinalError::Unknown,
        limit: AttemptLimit::MayHaveRun,
    };
    assert_eq!(next, NextStep::GiveUp(end));
}

#[test]
fn request_without_response_is_refused_when_the_budget_is_exhausted() {
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.send_started(&EndpointId::from("first"));
    let next = attempts.attempt_ended(AttemptOutcome::TurnedAway, || false);
    let end = RelayFailure {
        error: FinalError::TurnedAway(RefusalCause::NoBudget),
        limit: AttemptLimit::Budget,
    };
    assert_eq!(next, NextStep::GiveUp(end));
}

#[test]
fn partial_response_takes_its_retry_when_sending() {
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.send_started(&EndpointId::from("first"));
    attempts.response_started();
    let next = attempts.attempt_ended(AttemptOutcome::Lost, || {
        unreachable!("no retry is taken yet")
    });
    assert_eq!(next, NextStep::Resume);
}

#[test]
fn partial_response_may_return_to_an_endpoint_that_was_full() {
    let (first, full) = (EndpointId::from("first"), EndpointId::from("full"));
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.exclude_after(&full, AttemptOutcome::TurnedAway, 0);
    assert!(
        attempts.excluded().contains(&full),
        "no response has started"
    );
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.response_started();
    attempts.exclude_after(&first, AttemptOutcome::Lost, 0);
    attempts.exclude_after(&full, AttemptOutcome::TurnedAway, 0);
    assert_eq!(attempts.excluded().iter().collect::<Vec<_>>(), [&first]);
}

#[test]
fn partial_response_ends_after_the_maximum_number_of_runs() {
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.response_started();
    let mut runs = 0;
    let last = loop {
        runs += 1;
        attempts.send_started(&EndpointId::from(format!("e{runs}")));
        match attempts.attempt_ended(AttemptOutcome::Lost, || true) {
            NextStep::Resume => drop(attempts.forget_gone(|_| true)),
            last => break last,
        }
    };
    let end = RelayFailure {
        error: FinalError::Unknown,
        limit: AttemptLimit::Sends,
    };
    assert_eq!((runs, last), (8, NextStep::GiveUp(end)));
}

#[test]
fn blocked_resume_is_rechecked_when_due_and_at_a_maximum_interval() {
    assert_eq!(
        ResumeBlocker::Capacity { until_ms: 1_030 }.recheck_at_ms(1_000),
        1_030
    );
    assert_eq!(
        ResumeBlocker::Retry { due_ms: 1_000 }.recheck_at_ms(1_000),
        1_001
    );
    for blocker in [
        ResumeBlocker::Chain,
        ResumeBlocker::Capacity { until_ms: 1_300 },
        ResumeBlocker::Retry { due_ms: 9_000 },
    ] {
        assert_eq!(blocker.recheck_at_ms(1_000), 1_050, "{blocker:?}");
    }
}

fn is_final(next: NextStep) -> bool {
    matches!(next, NextStep::GiveUp(_) | NextStep::ForwardFailure(_))
}

#[test]
fn budget_reports_when_the_next_retry_is_available() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let mut next_ms = |now_ms| {
        let purpose = RetryPurpose::Resume;
        while let Some(id) = budget.take(&service, SHARE, purpose, now_ms) {
            budget.record_arrival(&service, id, now_ms);
        }
        budget.next_available_ms(&service, SHARE, purpose, now_ms)
    };
    let again_ms = next_ms(1_000);
    assert!((10_900..=11_100).contains(&again_ms), "{again_ms}");
    let mut budget = RetryBudget::default();
    let now_ms = budget.next_available_ms(&service, SHARE, RetryPurpose::Resume, 5);
    assert_eq!(now_ms, 5);
}

#[test]
fn silent_run_is_checked_and_then_given_up() {
    let mut watch = StallDetector::new(0);
    for at_ms in [100, 140, 180, 220] {
        watch.record_event(at_ms);
    }
    assert_eq!(watch.next_action(300), StallAction::Wait);
    assert_eq!(watch.next_check_ms(), 340);
    assert_eq!(watch.next_action(340), StallAction::Probe);
    assert_eq!(watch.next_action(345), StallAction::Wait);
    assert_eq!(watch.next_action(590), StallAction::Probe);
    assert_eq!(watch.next_action(1_520), StallAction::GiveUp);
}

// Guards against measuring the longest pause from the start of the last run, which left out the
// time that streams waited for another engine.
#[test]
fn pause_is_measured_across_runs() {
    let mut watch = StallDetector::new(0);
    assert_eq!(watch.pause_ms(90), None);
    watch.record_event(100);
    watch.run_started(1_900);
    watch.chain_changed(1_950);
    assert_eq!(watch.pause_ms(2_000), Some(1_900));
}

#[test]
fn retry_delay_matches_the_cause_with_jitter() {
    let outlook = RetryConditions {
        other_instances_serve: false,
        load_ms: 1_750,
        run_ms: 3_000,
        random: 0,
    };
    let after = |cause: RefusalCause, outlook| cause.retry_after_ms(outlook);
    assert_eq!(after(RefusalCause::NoChain, outlook), 2_650);
    assert_eq!(after(RefusalCause::Full, outlook), 1_500);
    assert_eq!(after(RefusalCause::OldTable, outlook), 1_000);
    let elsewhere = RetryConditions {
        other_instances_serve: true,
        ..outlook
    };
    assert_eq!(after(RefusalCause::OldTable, elsewhere), 50);
    let last = RetryConditions {
        random: u64::MAX,
        ..outlook
    };
    assert_eq!(after(RefusalCause::Full, last), 1_950);
}

/// Guards against callers that retry, once, 10 ms after four engines had no capacity for them.
#[test]
fn a_request_that_engines_were_too_full_for_is_not_told_to_return_at_once() {
    let conditions = RetryConditions {
        other_instances_serve: false,
        load_ms: 0,
        run_ms: 19,
        random: 0,
    };
    assert_eq!(RefusalCause::Full.retry_after_ms(conditions), 160);
}

/// Guards against callers that retry, once, while those that they would wait for are still there.
#[test]
fn retry_delay_of_a_request_that_would_wait_too_long_follows_its_expected_wait() {
    let conditions = RetryConditions {
        other_instances_serve: true,
        load_ms: 1_750,
        run_ms: 3_000,
        random: 0,
    };
    let after = |expected_wait_ms, conditions| {
        RefusalCause::Queue { expected_wait_ms }.retry_after_ms(conditions)
    };
    assert_eq!(after(Some(700), conditions), 700);
    assert_eq!(after(Some(0), conditions), 160);
    assert_eq!(after(Some(100_000), conditions), 4_000);
    assert_eq!(after(None, conditions), 1_500);
    let last = RetryConditions {
        random: u64::MAX,
        ..conditions
    };
    assert_eq!(after(Some(700), last), 910);
}

#[test]
fn mean_duration_follows_complete_streams() {
    let (model, other) = (ServiceName::from("model"), ServiceName::from("other"));
    let mut times = RunTimes::default();
    assert_eq!(times.mean_ms(&model), 3_000, "before any");
    for _ in 0..200 {
        times.record(&model, 9_000);
    }
    assert_eq!(times.mean_ms(&model), 9_000);
    for _ in 0..40 {
        times.record(&model, 1_000);
    }
    assert!((1_500..2_500).contains(&times.mean_ms(&model)), "{times:?}");
    assert_eq!(times.mean_ms(&other), 3_000);
}

/// Guards against giving up a silent run that no other may follow. A response whose first run was
/// lost and whose second fell silent had used its maximum number of endpoints; both were excluded,
/// so nothing could resume it and its caller left.
#[test]
fn silent_run_is_kept_when_no_other_may_follow() {
    let (first, second) = (EndpointId::from("first"), EndpointId::from("second"));
    let mut attempts = Attempts::new(RetryPolicy::Stream { resumable: true }, 2);
    attempts.send_started(&first);
    attempts.response_started();
    attempts.attempt_ended(AttemptOutcome::Lost, || true);
    attempts.exclude(&first);
    attempts.send_started(&second);
    let lost = attempts.after_losing(&second).expect("it may run again");
    let restricted_to = lost.restricted_to().expect("it has run on two");
    assert!(restricted_to.iter().all(|it| lost.excluded().contains(it)));
    let mut bound = Attempts::new(RetryPolicy::Stream { resumable: false }, 2);
    bound.send_started(&first);
    assert!(
        bound.after_losing(&first).is_none(),
        "it must run at most once"
    );
}

/// Guards against skipping an event that arrived in the same read as an out-of-sequence one. The
/// valid event was discarded with the invalid one, but the next run was asked to resume after it.
#[test]
fn event_before_an_invalid_one_is_requested_again() {
    let mut splitter = EventSplitter::resuming_after(Some(4));
    let fault = splitter.push(b"id: 5\ndata: a\n\nid: 9\ndata: b\n\n");
    assert_eq!(fault, Err(SplitError::OutOfOrder { last: 5, found: 9 }));
    splitter.drop_partial();
    assert_eq!(splitter.last_id(), Some(4));
}
