//! Attempts of which no byte left the instance, and engines that are let in again.

use super::*;
use crate::ids::{EndpointId, ServiceName};
use crate::route_table::RepeatPolicy;

const STREAM: RepeatPolicy = RepeatPolicy::Stream { resumable: true };

/// Attempts of a stream whose first run was lost, with a repeat for the next one.
fn after_a_lost_run() -> Attempts {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.sending(&EndpointId::from("a"));
    attempts.ended(AttemptEnd::Lost, || true);
    attempts
}

#[test]
fn the_repeat_of_an_attempt_that_was_not_sent_goes_back() {
    let mut attempts = after_a_lost_run();
    attempts.sending(&EndpointId::from("b"));
    assert!(attempts.gives_back(AttemptEnd::NotSent));
    assert!(!attempts.gives_back(AttemptEnd::NotSent), "only once");
}

#[test]
fn the_repeat_of_an_attempt_that_was_sent_does_not_go_back() {
    for end in [
        AttemptEnd::TurnedAway,
        AttemptEnd::Failed,
        AttemptEnd::Lost,
        AttemptEnd::Abandoned,
    ] {
        assert!(!after_a_lost_run().gives_back(end), "{end:?}");
    }
}

#[test]
fn a_first_attempt_has_no_repeat_to_go_back() {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.sending(&EndpointId::from("a"));
    assert!(!attempts.gives_back(AttemptEnd::NotSent));
}

#[test]
fn a_repeat_that_went_back_can_be_taken_again() {
    let service = ServiceName::from("ledger-api");
    let share = BudgetShare {
        ratio: 0.0,
        slack: 2.0,
        window_ms: 10_000,
        instances: 1,
    };
    let mut budget = RetryBudget::default();
    assert!(budget.take(&service, share, RetryPurpose::Resume, 0));
    assert!(!budget.take(&service, share, RetryPurpose::Resume, 1));
    budget.refund(&service);
    assert!(budget.take(&service, share, RetryPurpose::Resume, 2));
}

#[test]
fn only_engines_that_are_sound_are_let_in_again() {
    let (sound, dead) = (EndpointId::from("a"), EndpointId::from("b"));
    let mut attempts = after_a_lost_run();
    attempts.exclude(&sound);
    attempts.exclude(&dead);
    attempts.readmit(|endpoint| *endpoint == sound);
    assert_eq!(attempts.excluded().iter().collect::<Vec<_>>(), [&dead]);
}

#[test]
fn an_engine_is_let_in_again_once() {
    let engine = EndpointId::from("a");
    let mut attempts = after_a_lost_run();
    for is_first in [true, false] {
        attempts.exclude(&engine);
        attempts.readmit(|_| true);
        assert_eq!(attempts.excluded().is_empty(), is_first);
    }
}
