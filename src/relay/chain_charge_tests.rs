//! Tests of what a retry on a chain of engines is charged.

use super::*;
use crate::ids::ServiceName;

/// 0.7 of the slack is used.
fn share(slack: f64) -> BudgetShare {
    BudgetShare {
        ratio: 0.2,
        slack,
        window_ms: 10_000,
        instances: Some(1),
    }
}

/// A retry that runs on a chain of so many engines.
fn on_engines(engines: u32) -> RetryClass {
    RetryClass {
        engines,
        ..RetryPurpose::Resume.into()
    }
}

/// Guards against chains of ten engines that get ten times the arrivals of the retries that are charged.
#[test]
fn retries_on_chains_stay_within_the_allowance_at_all_their_engines() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let share = share(100.0);
    let mut take = |engines| budget.take(&service, share, on_engines(engines), 1_000);
    let arrivals: u32 = [10, 6, 10, 8, 10, 10, 10, 10, 10, 10, 1, 1, 1, 1, 1, 1, 1]
        .into_iter()
        .filter(|engines| take(*engines).is_some())
        .sum();
    assert_eq!(arrivals, 70);
}

/// Guards against a share of which only the first chain is ever used, since the reserves leave less than a second one.
#[test]
fn reserves_leave_more_than_one_chain_of_an_instances_share() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let share = share(50.0);
    let start = RetryClass {
        purpose: RetryPurpose::Start,
        engines: 11,
        more_urgent_priorities: 1,
    };
    let mut take = |class| budget.take(&service, share, class, 1_000).is_some();
    assert_eq!([take(start), take(start), take(start)], [true, true, false]);
    assert_eq!([take(on_engines(11)), take(on_engines(11))], [true, false]);
}

#[test]
fn a_retry_on_a_shorter_chain_than_expected_leaves_the_rest_to_others() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let share = share(20.0);
    let first = budget.take(&service, share, on_engines(10), 1_000);
    assert_eq!(budget.take(&service, share, on_engines(10), 1_000), None);
    budget.set_engines(&service, first.expect("a retry was left"), 4);
    let second = budget.take(&service, share, on_engines(10), 1_000);
    assert!(second.is_some());
    assert_eq!(budget.take(&service, share, on_engines(1), 1_000), None);
}

#[test]
fn a_retry_on_a_longer_chain_than_expected_is_charged_for_all_of_it() {
    let service = ServiceName::from("ledger-api");
    let mut budget = RetryBudget::default();
    let share = share(20.0);
    let first = budget.take(&service, share, on_engines(2), 1_000);
    budget.set_engines(&service, first.expect("a retry was left"), 12);
    assert!(budget.take(&service, share, on_engines(2), 1_000).is_some());
    assert_eq!(budget.take(&service, share, on_engines(1), 1_000), None);
}
