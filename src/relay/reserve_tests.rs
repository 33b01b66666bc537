//! The part of the retry budget that less urgent requests leave for more urgent ones.

use proptest::prelude::*;

use super::*;
use crate::ids::ServiceName;

/// 56 retries are allowed: 0.7 of the slack.
const SHARE: BudgetShare = BudgetShare {
    ratio: 0.0,
    slack: 80.0,
    window_ms: 10_000,
    instances: Some(1),
};

fn class(more_urgent_priorities: u32) -> RetryClass {
    RetryClass {
        purpose: RetryPurpose::Start,
        engines: 1,
        more_urgent_priorities,
    }
}

fn take_all<C>(budget: &mut RetryBudget, class: C) -> u32
where
    C: Into<RetryClass> + Copy,
{
    let service = ServiceName::from("model");
    let taken = (0..200).filter(|_| budget.take(&service, SHARE, class, 1_000).is_some());
    u32::try_from(taken.count()).unwrap_or(u32::MAX)
}

/// Guards against the least urgent requests using up the retries that the most urgent need.
#[test]
fn less_urgent_requests_leave_an_eighth_for_each_more_urgent_priority() {
    let mut budget = RetryBudget::default();
    // Of 56 retries, a quarter is reserved for resuming.
    assert_eq!(take_all(&mut budget, class(2)), 42 - 14);
    assert_eq!(take_all(&mut budget, class(1)), 7);
    assert_eq!(take_all(&mut budget, class(0)), 7);
}

#[test]
fn less_urgent_requests_leave_half_at_most() {
    let mut budget = RetryBudget::default();
    assert_eq!(take_all(&mut budget, class(9)), 42 - 28);
}

#[test]
fn resuming_leaves_nothing_for_more_urgent_requests() {
    let mut budget = RetryBudget::default();
    let resume = RetryClass {
        purpose: RetryPurpose::Resume,
        engines: 1,
        more_urgent_priorities: 3,
    };
    assert_eq!(take_all(&mut budget, resume), 56);
}

proptest! {
    /// Guards against a change for services whose requests are equally urgent.
    #[test]
    fn without_more_urgent_priorities_nothing_is_left_over(
        purposes in prop::collection::vec(any::<bool>(), 1..100),
    ) {
        let service = ServiceName::from("model");
        let (mut plain, mut classed) = (RetryBudget::default(), RetryBudget::default());
        for (at_ms, is_resume) in (0u64..).zip(purposes) {
            let purpose = if is_resume { RetryPurpose::Resume } else { RetryPurpose::Start };
            let class = RetryClass { purpose, engines: 1, more_urgent_priorities: 0 };
            let taken = plain.take(&service, SHARE, purpose, at_ms).is_some();
            prop_assert_eq!(taken, classed.take(&service, SHARE, class, at_ms).is_some());
        }
    }

    /// The most urgent may take whatever is left of the budget, whoever took before.
    #[test]
    fn a_less_urgent_request_never_has_more_left(more_urgent in 1u32..6, taken in 0usize..60) {
        let service = ServiceName::from("model");
        let mut budget = RetryBudget::default();
        for _ in 0..taken {
            let _ = budget.take(&service, SHARE, class(0), 1_000);
        }
        let less = budget.has_left(&service, SHARE, class(more_urgent), 1_000);
        prop_assert!(!less || budget.has_left(&service, SHARE, class(0), 1_000));
    }
}
