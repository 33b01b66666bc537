use super::*;
use crate::ids::{EndpointId, InstanceId};
use crate::route_table::RetryPolicy;

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: true };

/// The failure of a request whose attempts end with these outcomes, each at another endpoint.
fn failure_after<I>(
    retry_policy: RetryPolicy,
    max_endpoints: u32,
    outcomes: I,
    has_budget: bool,
) -> RelayFailure
where
    I: IntoIterator<Item = AttemptOutcome>,
{
    let mut attempts = Attempts::new(retry_policy, max_endpoints);
    let mut steps = outcomes.into_iter().enumerate().map(|(number, end)| {
        attempts.send_started(&EndpointId::from(format!("e{number}")));
        attempts.attempt_ended(end, || has_budget)
    });
    match steps.find(|step| *step != NextStep::Retry) {
        Some(NextStep::GiveUp(end)) => end,
        other => panic!("request was not given up: {other:?}"),
    }
}

#[test]
fn non_idempotent_request_ends_once_it_may_have_run() {
    let end = failure_after(RetryPolicy::NonIdempotent, 4, [AttemptOutcome::Lost], true);
    assert_eq!(end.limit, AttemptLimit::MayHaveRun);
    assert_eq!(end.error, FinalError::Unknown);
}

#[test]
fn idempotent_request_ends_at_the_endpoint_limit() {
    let lost = [AttemptOutcome::Lost, AttemptOutcome::Abandoned];
    let end = failure_after(RetryPolicy::Idempotent, 2, lost, true);
    assert_eq!(end.limit, AttemptLimit::Endpoints);
    assert_eq!(end.error, FinalError::Unknown);
}

#[test]
fn repeatedly_rejected_request_ends_at_the_rejection_limit() {
    let end = failure_after(STREAM, 2, [AttemptOutcome::TurnedAway; 8], true);
    assert_eq!(end.limit, AttemptLimit::TurnedAway);
    assert_eq!(end.error, FinalError::TurnedAway(RefusalCause::Full));
}

#[test]
fn repeatedly_lost_stream_ends_at_the_send_limit() {
    let end = failure_after(STREAM, 2, [AttemptOutcome::Lost; 12], true);
    assert_eq!(end.limit, AttemptLimit::Sends);
}

#[test]
fn exhausted_budget_is_the_limit_whatever_error_the_caller_gets() {
    let partial = failure_after(STREAM, 2, [AttemptOutcome::Lost], false);
    assert_eq!(partial.limit, AttemptLimit::Budget);
    assert_eq!(partial.error, FinalError::Unknown);
    let not_run = failure_after(STREAM, 2, [AttemptOutcome::TurnedAway], false);
    assert_eq!(not_run.limit, AttemptLimit::Budget);
    assert_eq!(
        not_run.error,
        FinalError::TurnedAway(RefusalCause::NoBudget)
    );
}

#[test]
fn forwarded_failure_has_a_limit() {
    let mut attempts = Attempts::new(RetryPolicy::NonIdempotent, 2);
    attempts.send_started(&EndpointId::from("a"));
    let next = attempts.attempt_ended(AttemptOutcome::Failed, || true);
    assert_eq!(next, NextStep::ForwardFailure(AttemptLimit::MayHaveRun));
}

#[test]
fn partial_stream_reports_the_missing_chain_capacity_or_time() {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.send_started(&EndpointId::from("a"));
    attempts.attempt_ended(AttemptOutcome::Lost, || true);
    let limit = |cause| attempts.give_up(cause).limit;
    assert_eq!(limit(RefusalCause::NoChain), AttemptLimit::NoChain);
    assert_eq!(limit(RefusalCause::Full), AttemptLimit::NoRoom);
    assert_eq!(limit(RefusalCause::TooLate), AttemptLimit::Deadline);
    assert_eq!(limit(RefusalCause::NoEndpoint), AttemptLimit::NoEndpoint);
}

#[test]
fn an_abandoned_run_counts_towards_the_endpoint_limit_whatever_is_reached() {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.send_started(&EndpointId::from("a"));
    attempts.response_started();
    let abandoned = attempts.after_abandoning().expect("another run may follow");
    assert_eq!(abandoned.endpoints_left(), 1);
    attempts.attempt_ended(AttemptOutcome::Abandoned, || true);
    assert!(attempts.forget_gone(|_| false).is_empty());
    assert_eq!(
        (attempts.endpoints_used(), attempts.endpoints_left()),
        (1, 1)
    );
}

#[test]
fn endpoints_that_another_instance_may_have_used_count_towards_the_limit() {
    let other = InstanceId::from("other");
    let mut stream = Attempts::new(STREAM, 3);
    assert_eq!(stream.delegation_started(&other), 2);
    stream.attempt_ended(AttemptOutcome::Lost, || true);
    assert_eq!((stream.endpoints_used(), stream.endpoints_left()), (2, 1));
    assert_eq!(stream.delegation_started(&other), 1);
    stream.attempt_ended(AttemptOutcome::TurnedAway, || true);
    assert_eq!(stream.endpoints_left(), 1);
    let mut whole = Attempts::new(RetryPolicy::Idempotent, 2);
    assert_eq!(whole.delegation_started(&other), 2);
    let next = whole.attempt_ended(AttemptOutcome::Lost, || true);
    let end = RelayFailure {
        error: FinalError::Unknown,
        limit: AttemptLimit::Endpoints,
    };
    assert_eq!(next, NextStep::GiveUp(end));
}

/// Guards against a stream that stays at endpoints which its instance no longer reaches, because it may run on no
/// further one.
#[test]
fn a_stream_at_its_endpoint_limit_may_return_to_its_endpoints_from_another_instance() {
    let run_on = [EndpointId::from("a"), EndpointId::from("b")];
    let mut stream = Attempts::new(STREAM, 2);
    for endpoint in &run_on {
        assert_eq!(stream.endpoints_to_reuse(), None);
        stream.send_started(endpoint);
        stream.attempt_ended(AttemptOutcome::Abandoned, || true);
    }
    assert!(!stream.may_delegate());
    let reused = stream.endpoints_to_reuse().expect("it has run on two");
    assert!(reused.iter().eq(&run_on));
    assert_eq!(stream.delegation_started(&InstanceId::from("other")), 0);
    let elsewhere = Attempts::delegated(STREAM, 0, run_on.clone());
    assert_eq!(elsewhere.endpoints_left(), 0);
    let restricted_to = elsewhere.restricted_to().expect("no endpoint is left");
    assert!(restricted_to.iter().eq(&run_on));
}

/// Guards against a second run of what must run at most once, or of a response without parts to resume.
#[test]
fn only_a_stream_that_may_be_resumed_returns_to_its_endpoints() {
    let policies = [
        RetryPolicy::Idempotent,
        RetryPolicy::NonIdempotent,
        RetryPolicy::Stream { resumable: false },
    ];
    for policy in policies {
        let mut attempts = Attempts::new(policy, 1);
        attempts.send_started(&EndpointId::from("a"));
        attempts.attempt_ended(AttemptOutcome::Abandoned, || true);
        assert_eq!(attempts.endpoints_to_reuse(), None, "{policy:?}");
    }
}

#[test]
fn sends_and_rejections_are_counted() {
    let mut attempts = Attempts::new(STREAM, 2);
    let outcomes = [
        AttemptOutcome::NotSent,
        AttemptOutcome::TurnedAway,
        AttemptOutcome::Lost,
    ];
    for end in outcomes {
        attempts.send_started(&EndpointId::from("a"));
        attempts.attempt_ended(end, || true);
    }
    assert_eq!((attempts.sends(), attempts.turned_away()), (2, 2));
}

#[test]
fn remaining_retries_can_all_be_taken() {
    let service = crate::ids::ServiceName::from("ledger-api");
    let share = BudgetShare {
        ratio: 0.2,
        slack: 20.0,
        window_ms: 10_000,
        instances: Some(2),
    };
    let mut budget = RetryBudget::default();
    for at_ms in 0..50 {
        budget.request(&service, share, at_ms);
    }
    let _ = budget.take(&service, share, RetryPurpose::Start, 100);
    let left = budget.remaining(&service, share, 100);
    let taken = (0..100).filter(|_| {
        budget
            .take(&service, share, RetryPurpose::Start, 100)
            .is_some()
    });
    assert_eq!(left as usize, taken.count());
    assert_eq!(budget.remaining(&service, share, 100), 0);
}
