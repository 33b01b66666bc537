//! What is kept of the endpoints' own word on how they want to be sent requests.

use super::*;
use crate::ids::EndpointId;

fn engine() -> EndpointId {
    EndpointId::from("e1@100")
}

fn limited(per_s: f64) -> Pacing {
    Pacing {
        limit: RateLimitUpdate::PerSecond(per_s),
        ..Pacing::default()
    }
}

fn unlimited() -> Pacing {
    Pacing {
        limit: RateLimitUpdate::Unlimited,
        ..Pacing::default()
    }
}

#[test]
fn what_an_answer_repeats_is_no_news() {
    let mut book = PacingState::default();
    let said = Pacing {
        limit: RateLimitUpdate::PerSecond(4.0),
        back_off_ms: None,
        is_leaving: true,
    };
    assert_eq!(book.apply(&engine(), said, 10).len(), 2);
    assert!(book.apply(&engine(), said, 20).is_empty());
    assert!(
        PacingState::default()
            .apply(&engine(), Pacing::default(), 10)
            .is_empty()
    );
}

#[test]
fn a_limit_holds_until_an_answer_names_another_one_or_none() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(4.0), 10);
    let change = |before_per_s, now_per_s| PacingChange::Limit {
        before_per_s,
        now_per_s,
    };
    assert_eq!(
        book.apply(&engine(), limited(5.5), 20),
        vec![change(Some(4.0), Some(5.5))]
    );
    assert_eq!(
        book.apply(&engine(), unlimited(), 30),
        vec![change(Some(5.5), None)]
    );
}

fn told(limit_per_s: Option<f64>, age_ms: u64) -> LimitReport {
    LimitReport {
        endpoint: engine(),
        limit_per_s,
        age_ms,
    }
}

/// Times at which a request that always waits is sent, up to a moment.
fn sends(book: &mut PacingState, from_ms: u64, to_ms: u64) -> Vec<u64> {
    (from_ms..to_ms)
        .filter(|now_ms| book.acquire_permit(&engine(), *now_ms) == Permit::Held)
        .collect()
}

#[test]
fn permits_come_evenly_at_the_share_of_the_limit() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(8.0), 1_000);
    book.share_limits(|_, limit_per_s| limit_per_s / 4.0, 1_000);
    assert_eq!(
        sends(&mut book, 1_000, 3_100),
        vec![1_500, 2_000, 2_500, 3_000]
    );
    assert!(!book.may_send(&engine(), 3_400));
    assert_eq!(book.next_send_ms(&engine()), Some(3_500));
}

#[test]
fn half_a_permit_that_was_not_used_is_kept() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(2.0), 0);
    book.share_limits(|_, limit_per_s| limit_per_s, 0);
    assert_eq!(
        sends(&mut book, 60_000, 61_000),
        vec![60_000, 60_250, 60_750]
    );
}

#[test]
fn an_instance_without_a_share_sends_nothing_until_it_gets_one_and_an_interval_has_passed() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(2.0), 1_000);
    book.share_limits(|_, _| 0.0, 1_000);
    assert!(sends(&mut book, 1_000, 10_000).is_empty());
    assert_eq!(book.next_send_ms(&engine()), None);
    book.share_limits(|_, limit_per_s| limit_per_s, 10_000);
    assert_eq!(sends(&mut book, 10_000, 11_200), vec![10_500, 11_000]);
}

#[test]
fn a_permit_with_which_nothing_was_sent_can_be_used_again() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(1.0), 0);
    book.share_limits(|_, limit_per_s| limit_per_s, 0);
    assert_eq!(book.acquire_permit(&engine(), 1_000), Permit::Held);
    assert!(!book.may_send(&engine(), 1_001));
    book.return_permit(&engine(), Permit::Held);
    assert!(book.may_send(&engine(), 1_001));
}

#[test]
fn an_endpoint_that_names_no_limit_any_more_is_sent_requests_at_once() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(1.0), 0);
    book.share_limits(|_, _| 0.0, 0);
    book.apply(&engine(), unlimited(), 500);
    assert!(book.may_send(&engine(), 500));
}

// Nobody would ever hear that it takes requests again.
#[test]
fn an_endpoint_that_takes_none_is_asked_now_and_then() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(0.0), 0);
    book.share_limits(|_, limit_per_s| limit_per_s, 0);
    assert_eq!(sends(&mut book, 1, 25_000), vec![10_000, 20_000]);
}

#[test]
fn the_newer_word_on_a_limit_holds_whoever_heard_it() {
    let mut book = PacingState::default();
    assert!(book.apply_reports(&told(Some(4.0), 100), 1_000));
    assert!(!book.apply_reports(&told(None, 2_000), 1_100));
    assert!(book.apply_reports(&told(Some(6.0), 0), 1_200));
    book.apply(&engine(), limited(3.0), 2_000);
    // May have been said before what was heard here, and have come late.
    assert!(!book.apply_reports(&told(None, 0), 2_300));
    assert_eq!(book.acquire_permit(&engine(), 2_300), Permit::Missing);
    assert!(book.apply_reports(&told(None, 0), 2_600));
    assert_eq!(book.acquire_permit(&engine(), 2_600), Permit::NotNeeded);
}

#[test]
fn only_what_was_heard_here_is_told() {
    let mut book = PacingState::default();
    book.apply_reports(&told(Some(4.0), 0), 1_000);
    assert!(book.next_reports(1_100).is_empty());
    book.apply(&engine(), limited(4.0), 2_000);
    assert_eq!(book.next_reports(2_100), vec![told(Some(4.0), 100)]);
    assert!(book.next_reports(30_000).is_empty());
}

#[test]
fn news_of_a_limit_goes_out_at_once_and_a_small_change_does_not() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(4.0), 1_000);
    assert!(book.has_unsent_updates());
    book.next_reports(1_010);
    assert!(!book.has_unsent_updates());
    book.apply(&engine(), limited(4.5), 1_020);
    assert!(!book.has_unsent_updates());
    book.apply(&engine(), unlimited(), 1_030);
    assert!(book.has_unsent_updates());
}

#[test]
fn many_limits_are_told_in_turn() {
    let mut book = PacingState::default();
    for number in 0..10 {
        let id = EndpointId::from(format!("e{number}"));
        book.apply(&id, limited(4.0), 1_000);
    }
    for _ in 0..4 {
        assert_eq!(book.next_reports(1_000).len(), 10);
    }
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let next = book.next_reports(1_100);
        assert!(next.len() <= 4);
        told.extend(next.into_iter().map(|it| it.endpoint));
    }
    assert_eq!(told.len(), 10);
}

fn back_off(for_ms: u64) -> Pacing {
    Pacing {
        back_off_ms: Some(for_ms),
        ..Pacing::default()
    }
}

#[test]
fn an_endpoint_that_asks_for_a_back_off_is_left_alone_until_its_end() {
    let mut book = PacingState::default();
    book.apply(&engine(), back_off(3_000), 1_000);
    assert!(!book.may_send(&engine(), 3_999));
    assert!(book.may_send(&engine(), 4_000));
}

#[test]
fn neither_a_shorter_back_off_nor_an_answer_without_one_ends_the_one_before() {
    let mut book = PacingState::default();
    book.apply(&engine(), back_off(3_000), 1_000);
    book.apply(&engine(), back_off(500), 1_100);
    book.apply(&engine(), Pacing::default(), 1_200);
    assert!(!book.may_send(&engine(), 3_999));
}

#[test]
fn a_back_off_goes_before_a_permit() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(1.0), 0);
    book.share_limits(|_, limit_per_s| limit_per_s, 0);
    let said = Pacing {
        limit: RateLimitUpdate::PerSecond(1.0),
        ..back_off(5_000)
    };
    book.apply(&engine(), said, 100);
    assert_eq!(book.next_send_ms(&engine()), Some(5_100));
}

#[test]
fn a_failure_or_a_refusal_without_a_limit_ends_none() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(1.0), 0);
    book.share_limits(|_, _| 0.0, 0);
    assert!(book.apply(&engine(), Pacing::default(), 500).is_empty());
    assert!(!book.may_send(&engine(), 500));
}

#[test]
fn a_peers_newer_word_is_not_told_as_one_heard_here() {
    let mut book = PacingState::default();
    book.apply(&engine(), limited(4.0), 1_000);
    book.apply_reports(&told(Some(9.0), 0), 2_000);
    assert!(book.next_reports(2_100).is_empty());
}

#[test]
fn a_permit_taken_before_the_connection_ends_with_what_the_endpoint_says_meanwhile() {
    let mut book = PacingState::default();
    let taken = book.acquire_permit(&engine(), 0);
    assert_eq!(taken, Permit::NotNeeded);
    assert_eq!(book.recheck_permit(&engine(), taken, 10), Permit::NotNeeded);
    book.apply(&engine(), limited(1.0), 20);
    assert_eq!(book.recheck_permit(&engine(), taken, 20), Permit::Missing);
    book.share_limits(|_, limit_per_s| limit_per_s, 20);
    assert_eq!(book.recheck_permit(&engine(), taken, 1_020), Permit::Held);
    book.apply(&engine(), back_off(3_000), 1_030);
    assert_eq!(
        book.recheck_permit(&engine(), Permit::Held, 1_030),
        Permit::Missing
    );
}
