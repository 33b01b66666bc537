use super::*;
use crate::ids::EndpointId;
use crate::route_table::RepeatPolicy;

const STREAM: RepeatPolicy = RepeatPolicy::Stream { resumable: true };

/// What ends a request whose attempts end like this, each at another endpoint.
fn given_up<I>(repeat: RepeatPolicy, max_endpoints: u32, ends: I, has_budget: bool) -> GivenUp
where
    I: IntoIterator<Item = AttemptEnd>,
{
    let mut attempts = Attempts::new(repeat, max_endpoints);
    let mut steps = ends.into_iter().enumerate().map(|(number, end)| {
        attempts.sending(&EndpointId::from(format!("e{number}")));
        attempts.ended(end, || has_budget)
    });
    match steps.find(|step| *step != NextStep::TryAgain) {
        Some(NextStep::GiveUp(end)) => end,
        other => panic!("it is not given up: {other:?}"),
    }
}

#[test]
fn what_may_run_once_only_ends_when_it_may_have_run() {
    let end = given_up(RepeatPolicy::NonIdempotent, 4, [AttemptEnd::Lost], true);
    assert_eq!(end.limit, AttemptLimit::MayHaveRun);
    assert_eq!(end.word, FinalError::Unknown);
}

#[test]
fn an_idempotent_request_ends_when_it_ran_on_as_many_endpoints_as_it_may() {
    let lost = [AttemptEnd::Lost, AttemptEnd::Abandoned];
    let end = given_up(RepeatPolicy::Idempotent, 2, lost, true);
    assert_eq!(end.limit, AttemptLimit::Endpoints);
    assert_eq!(end.word, FinalError::Unknown);
}

#[test]
fn a_request_that_is_turned_away_again_and_again_ends_by_its_turns() {
    let end = given_up(STREAM, 2, [AttemptEnd::TurnedAway; 8], true);
    assert_eq!(end.limit, AttemptLimit::TurnedAway);
    assert_eq!(end.word, FinalError::NotRun(RefusalCause::Full));
}

#[test]
fn a_stream_that_is_lost_again_and_again_ends_by_its_sends() {
    let end = given_up(STREAM, 2, [AttemptEnd::Lost; 12], true);
    assert_eq!(end.limit, AttemptLimit::Sends);
}

#[test]
fn a_spent_budget_is_named_though_the_caller_hears_only_that_the_answer_is_lost() {
    let begun = given_up(STREAM, 2, [AttemptEnd::Lost], false);
    assert_eq!(begun.limit, AttemptLimit::Budget);
    assert_eq!(begun.word, FinalError::Unknown);
    let unrun = given_up(STREAM, 2, [AttemptEnd::TurnedAway], false);
    assert_eq!(unrun.limit, AttemptLimit::Budget);
    assert_eq!(unrun.word, FinalError::NotRun(RefusalCause::NoBudget));
}

#[test]
fn a_failure_that_is_passed_on_has_its_limit_too() {
    let mut attempts = Attempts::new(RepeatPolicy::NonIdempotent, 2);
    attempts.sending(&EndpointId::from("a"));
    let next = attempts.ended(AttemptEnd::Failed, || true);
    assert_eq!(next, NextStep::PassOn(AttemptLimit::MayHaveRun));
}

#[test]
fn a_begun_stream_without_chain_room_or_time_names_which_it_was() {
    let mut attempts = Attempts::new(STREAM, 2);
    attempts.sending(&EndpointId::from("a"));
    attempts.ended(AttemptEnd::Lost, || true);
    let limit = |cause| attempts.give_up(cause).limit;
    assert_eq!(limit(RefusalCause::NoChain), AttemptLimit::NoChain);
    assert_eq!(limit(RefusalCause::Full), AttemptLimit::NoRoom);
    assert_eq!(limit(RefusalCause::TooLate), AttemptLimit::Deadline);
    assert_eq!(limit(RefusalCause::NoEndpoint), AttemptLimit::NoEndpoint);
}

#[test]
fn sends_and_turns_are_told() {
    let mut attempts = Attempts::new(STREAM, 2);
    let ends = [
        AttemptEnd::NotSent,
        AttemptEnd::TurnedAway,
        AttemptEnd::Lost,
    ];
    for end in ends {
        attempts.sending(&EndpointId::from("a"));
        attempts.ended(end, || true);
    }
    assert_eq!((attempts.sends(), attempts.turned_away()), (2, 2));
}

#[test]
fn repeats_left_are_those_that_can_still_be_taken() {
    let service = crate::ids::ServiceName::from("ledger-api");
    let share = BudgetShare {
        ratio: 0.2,
        slack: 20.0,
        window_ms: 10_000,
        instances: 2,
    };
    let mut budget = RetryBudget::default();
    for at_ms in 0..50 {
        budget.request(&service, share, at_ms);
    }
    budget.take(&service, share, RetryPurpose::Start, 100);
    let left = budget.remaining(&service, share, 100);
    let taken = (0..100).filter(|_| budget.take(&service, share, RetryPurpose::Start, 100));
    assert_eq!(left as usize, taken.count());
    assert_eq!(budget.remaining(&service, share, 100), 0);
}
