//! Attempts of which no byte left the instance, and readmission of engines.

use super::*;
use crate::ids::{EndpointId, ServiceName};
use crate::route_table::RetryPolicy;

const STREAM: RetryPolicy = RetryPolicy::Stream { resumable: true };

/// Attempts of a stream whose first run was lost, with a retry for the next one.
fn after_a_lost_run() -> Attempts {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.send_started(&EndpointId::from("a"));
    attempts.attempt_ended(AttemptOutcome::Lost, || true);
    attempts
}

#[test]
fn retry_of_an_unsent_attempt_is_refunded() {
    let mut attempts = after_a_lost_run();
    attempts.send_started(&EndpointId::from("b"));
    assert!(attempts.take_refund(AttemptOutcome::NotSent));
    assert!(!attempts.take_refund(AttemptOutcome::NotSent), "only once");
}

#[test]
fn retry_of_a_sent_attempt_is_not_refunded() {
    for end in [
        AttemptOutcome::TurnedAway,
        AttemptOutcome::Failed,
        AttemptOutcome::Lost,
        AttemptOutcome::Abandoned,
    ] {
        assert!(!after_a_lost_run().take_refund(end), "{end:?}");
    }
}

#[test]
fn first_attempt_has_no_retry_to_refund() {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.send_started(&EndpointId::from("a"));
    assert!(!attempts.take_refund(AttemptOutcome::NotSent));
}

#[test]
fn refunded_retry_can_be_taken_again() {
    let service = ServiceName::from("ledger-api");
    let share = BudgetShare {
        ratio: 0.0,
        slack: 2.0,
        window_ms: 10_000,
        instances: Some(1),
    };
    let mut budget = RetryBudget::default();
    let mut take = |at_ms| budget.take(&service, share, RetryPurpose::Resume, at_ms);
    let taken = take(0).expect("a retry is left");
    assert_eq!(take(1), None);
    budget.refund(&service, taken);
    assert!(
        budget
            .take(&service, share, RetryPurpose::Resume, 2)
            .is_some()
    );
}

#[test]
fn only_healthy_engines_are_readmitted() {
    let (healthy, dead) = (EndpointId::from("a"), EndpointId::from("b"));
    let mut attempts = after_a_lost_run();
    attempts.exclude(&healthy);
    attempts.exclude(&dead);
    attempts.readmit(|endpoint| *endpoint == healthy, 0);
    assert_eq!(attempts.excluded().iter().collect::<Vec<_>>(), [&dead]);
}

#[test]
fn engine_is_readmitted_once() {
    let engine = EndpointId::from("a");
    let mut attempts = after_a_lost_run();
    for is_first in [true, false] {
        attempts.exclude(&engine);
        attempts.readmit(|_| true, 10_000);
        assert_eq!(attempts.excluded().is_empty(), is_first);
    }
}

#[test]
fn engine_that_could_not_be_sent_to_is_readmitted_again_after_a_while() {
    let engine = EndpointId::from("a");
    let mut attempts = after_a_lost_run();
    attempts.exclude(&engine);
    attempts.readmit(|_| true, 100);
    attempts.exclude_after(&engine, AttemptOutcome::NotSent, 1_000);
    attempts.readmit(|_| true, 1_299);
    assert!(attempts.excluded().contains(&engine), "it fails at once");
    attempts.readmit(|_| true, 1_300);
    assert!(!attempts.excluded().contains(&engine));
    attempts.exclude_after(&engine, AttemptOutcome::Lost, 1_310);
    attempts.readmit(|_| true, 9_000);
    assert!(
        attempts.excluded().contains(&engine),
        "its run took a retry"
    );
}

/// Sends a partial response to an endpoint, which answers with what is no response.
fn fail_with_invalid(attempts: &mut Attempts, endpoint: &EndpointId) -> NextStep {
    attempts.send_started(endpoint);
    attempts.exclude_after(endpoint, AttemptOutcome::Lost, 0);
    attempts.record_invalid(endpoint);
    attempts.attempt_ended(AttemptOutcome::Lost, || true)
}

/// Guards against streams that wait until their deadline although no endpoint may run them.
#[test]
fn a_partial_response_ends_once_all_endpoints_that_may_run_it_have_failed_twice_with_invalid_ones()
{
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.response_started();
    let endpoints = ["a", "b"].map(EndpointId::from);
    for endpoint in &endpoints {
        assert_eq!(fail_with_invalid(&mut attempts, endpoint), NextStep::Resume);
    }
    attempts.readmit(|_| true, 0);
    assert_eq!(
        fail_with_invalid(&mut attempts, &endpoints[0]),
        NextStep::Resume
    );
    let end = fail_with_invalid(&mut attempts, &endpoints[1]);
    let NextStep::GiveUp(failure) = end else {
        panic!("{end:?}");
    };
    assert_eq!(failure.limit, AttemptLimit::Endpoints);
    assert_eq!(failure.error, FinalError::Unknown);
}

#[test]
fn a_partial_response_goes_on_waiting_if_an_endpoint_that_failed_is_gone() {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.response_started();
    let endpoints = ["a", "b"].map(EndpointId::from);
    for _ in 0..2 {
        fail_with_invalid(&mut attempts, &endpoints[0]);
        attempts.readmit(|_| true, 0);
    }
    attempts.forget_gone(|it| *it == endpoints[0]);
    assert_eq!(
        fail_with_invalid(&mut attempts, &endpoints[1]),
        NextStep::Resume
    );
}
