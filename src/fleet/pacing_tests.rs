//! What is kept of the endpoints' announcements about rate limits, back-offs and departures.

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
fn repeated_announcements_are_not_changes() {
    let mut pacing = PacingState::default();
    let announced = Pacing {
        limit: RateLimitUpdate::PerSecond(4.0),
        back_off_ms: None,
        is_leaving: true,
    };
    assert_eq!(pacing.apply(&engine(), announced, 10).len(), 2);
    assert!(pacing.apply(&engine(), announced, 20).is_empty());
    assert!(
        PacingState::default()
            .apply(&engine(), Pacing::default(), 10)
            .is_empty()
    );
}

#[test]
fn a_limit_applies_until_it_is_changed_or_lifted() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(4.0), 10);
    let change = |before_per_s, now_per_s| PacingChange::Limit {
        before_per_s,
        now_per_s,
    };
    assert_eq!(
        pacing.apply(&engine(), limited(5.5), 20),
        vec![change(Some(4.0), Some(5.5))]
    );
    assert_eq!(
        pacing.apply(&engine(), unlimited(), 30),
        vec![change(Some(5.5), None)]
    );
}

fn report(limit_per_s: Option<f64>, age_ms: u64) -> LimitReport {
    LimitReport {
        endpoint: engine(),
        limit_per_s,
        age_ms,
    }
}

/// Times at which requests are sent if one is always waiting.
fn sends(pacing: &mut PacingState, from_ms: u64, to_ms: u64) -> Vec<u64> {
    (from_ms..to_ms)
        .filter(|now_ms| pacing.acquire_permit(&engine(), *now_ms) == Permit::Held)
        .collect()
}

#[test]
fn permits_are_evenly_spaced_at_the_share_of_the_limit() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(8.0), 1_000);
    pacing.share_limits(|_, limit_per_s| limit_per_s / 4.0, 1_000);
    assert_eq!(
        sends(&mut pacing, 1_000, 3_100),
        vec![1_500, 2_000, 2_500, 3_000]
    );
    assert!(!pacing.may_send(&engine(), 3_400));
    assert_eq!(pacing.next_send_ms(&engine()), Some(3_500));
}

#[test]
fn half_of_an_unused_permit_is_kept() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(2.0), 0);
    pacing.share_limits(|_, limit_per_s| limit_per_s, 0);
    assert_eq!(
        sends(&mut pacing, 60_000, 61_000),
        vec![60_000, 60_250, 60_750]
    );
}

#[test]
fn an_instance_without_a_share_sends_nothing_until_it_gets_one_and_an_interval_has_passed() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(2.0), 1_000);
    pacing.share_limits(|_, _| 0.0, 1_000);
    assert!(sends(&mut pacing, 1_000, 10_000).is_empty());
    assert_eq!(pacing.next_send_ms(&engine()), None);
    pacing.share_limits(|_, limit_per_s| limit_per_s, 10_000);
    assert_eq!(sends(&mut pacing, 10_000, 11_200), vec![10_500, 11_000]);
}

#[test]
fn a_returned_permit_can_be_used_again() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(1.0), 0);
    pacing.share_limits(|_, limit_per_s| limit_per_s, 0);
    assert_eq!(pacing.acquire_permit(&engine(), 1_000), Permit::Held);
    assert!(!pacing.may_send(&engine(), 1_001));
    pacing.return_permit(&engine(), Permit::Held);
    assert!(pacing.may_send(&engine(), 1_001));
}

#[test]
fn requests_are_sent_at_once_after_a_limit_is_lifted() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(1.0), 0);
    pacing.share_limits(|_, _| 0.0, 0);
    pacing.apply(&engine(), unlimited(), 500);
    assert!(pacing.may_send(&engine(), 500));
}

// Otherwise no instance would learn that it accepts requests again.
#[test]
fn an_endpoint_with_a_limit_of_zero_gets_occasional_requests() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(0.0), 0);
    pacing.share_limits(|_, limit_per_s| limit_per_s, 0);
    assert_eq!(sends(&mut pacing, 1, 25_000), vec![10_000, 20_000]);
}

#[test]
fn the_newest_limit_applies_whatever_its_source() {
    let mut pacing = PacingState::default();
    assert!(pacing.apply_reports(&report(Some(4.0), 100), 1_000));
    assert!(!pacing.apply_reports(&report(None, 2_000), 1_100));
    assert!(pacing.apply_reports(&report(Some(6.0), 0), 1_200));
    pacing.apply(&engine(), limited(3.0), 2_000);
    // The report may be older than the endpoint's own announcement and have arrived late.
    assert!(!pacing.apply_reports(&report(None, 0), 2_300));
    assert_eq!(pacing.acquire_permit(&engine(), 2_300), Permit::Missing);
    assert!(pacing.apply_reports(&report(None, 0), 2_600));
    assert_eq!(pacing.acquire_permit(&engine(), 2_600), Permit::NotNeeded);
}

#[test]
fn only_limits_received_from_endpoints_are_reported() {
    let mut pacing = PacingState::default();
    pacing.apply_reports(&report(Some(4.0), 0), 1_000);
    assert!(pacing.next_reports(1_100).is_empty());
    pacing.apply(&engine(), limited(4.0), 2_000);
    assert_eq!(pacing.next_reports(2_100), vec![report(Some(4.0), 100)]);
    assert!(pacing.next_reports(30_000).is_empty());
}

#[test]
fn large_changes_of_a_limit_are_reported_at_once_and_small_ones_are_not() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(4.0), 1_000);
    assert!(pacing.has_unsent_updates());
    pacing.next_reports(1_010);
    assert!(!pacing.has_unsent_updates());
    pacing.apply(&engine(), limited(4.5), 1_020);
    assert!(!pacing.has_unsent_updates());
    pacing.apply(&engine(), unlimited(), 1_030);
    assert!(pacing.has_unsent_updates());
}

#[test]
fn many_limits_are_reported_in_rotation() {
    let mut pacing = PacingState::default();
    for number in 0..10 {
        let id = EndpointId::from(format!("e{number}"));
        pacing.apply(&id, limited(4.0), 1_000);
    }
    for _ in 0..4 {
        assert_eq!(pacing.next_reports(1_000).len(), 10);
    }
    let mut report = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let next = pacing.next_reports(1_100);
        assert!(next.len() <= 4);
        report.extend(next.into_iter().map(|it| it.endpoint));
    }
    assert_eq!(report.len(), 10);
}

fn back_off(for_ms: u64) -> Pacing {
    Pacing {
        back_off_ms: Some(for_ms),
        ..Pacing::default()
    }
}

#[test]
fn nothing_is_sent_during_a_back_off() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), back_off(3_000), 1_000);
    assert!(!pacing.may_send(&engine(), 3_999));
    assert!(pacing.may_send(&engine(), 4_000));
}

#[test]
fn neither_a_shorter_back_off_nor_a_response_without_one_ends_a_back_off() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), back_off(3_000), 1_000);
    pacing.apply(&engine(), back_off(500), 1_100);
    pacing.apply(&engine(), Pacing::default(), 1_200);
    assert!(!pacing.may_send(&engine(), 3_999));
}

#[test]
fn a_back_off_overrides_permits() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(1.0), 0);
    pacing.share_limits(|_, limit_per_s| limit_per_s, 0);
    let announced = Pacing {
        limit: RateLimitUpdate::PerSecond(1.0),
        ..back_off(5_000)
    };
    pacing.apply(&engine(), announced, 100);
    assert_eq!(pacing.next_send_ms(&engine()), Some(5_100));
}

#[test]
fn an_error_or_a_rejection_without_a_limit_lifts_none() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(1.0), 0);
    pacing.share_limits(|_, _| 0.0, 0);
    assert!(pacing.apply(&engine(), Pacing::default(), 500).is_empty());
    assert!(!pacing.may_send(&engine(), 500));
}

#[test]
fn a_newer_limit_from_a_peer_is_not_passed_on() {
    let mut pacing = PacingState::default();
    pacing.apply(&engine(), limited(4.0), 1_000);
    pacing.apply_reports(&report(Some(9.0), 0), 2_000);
    assert!(pacing.next_reports(2_100).is_empty());
}

#[test]
fn a_permit_is_rechecked_against_announcements_during_connection_setup() {
    let mut pacing = PacingState::default();
    let taken = pacing.acquire_permit(&engine(), 0);
    assert_eq!(taken, Permit::NotNeeded);
    assert_eq!(
        pacing.recheck_permit(&engine(), taken, 10),
        Permit::NotNeeded
    );
    pacing.apply(&engine(), limited(1.0), 20);
    assert_eq!(pacing.recheck_permit(&engine(), taken, 20), Permit::Missing);
    pacing.share_limits(|_, limit_per_s| limit_per_s, 20);
    assert_eq!(pacing.recheck_permit(&engine(), taken, 1_020), Permit::Held);
    pacing.apply(&engine(), back_off(3_000), 1_030);
    assert_eq!(
        pacing.recheck_permit(&engine(), Permit::Held, 1_030),
        Permit::Missing
    );
}
