//! Tests of which evidence has a request withheld.

use proptest::prelude::*;

use super::cleared::SURVIVAL_VALID_MS;
use super::ledger::EVIDENCE_TTL_MS;
use super::{
    ClearanceReport, CrashReport, EndpointLiveness, EvidenceReport, FeatureDigest, Quarantine,
    QuarantineChange, QuarantineStatus, RequestFeatures,
};
use crate::ids::EndpointId;

pub(super) fn digest(number: u64) -> FeatureDigest {
    let text = format!("{number:032x}");
    FeatureDigest::from_hex(&text).expect("it has the length of a digest")
}

pub(super) fn endpoint(number: usize) -> EndpointId {
    EndpointId::from(format!("e{number}"))
}

/// A request that shares parts of its prompt with others.
pub(super) fn request(number: u64, prompt_parts: &[u64]) -> RequestFeatures {
    RequestFeatures {
        request: digest(number),
        prompt_parts: prompt_parts.iter().map(|it| digest(*it)).collect(),
    }
}

/// Lets an endpoint terminate that had begun to run these requests.
fn terminate_under(
    quarantine: &mut Quarantine,
    number: usize,
    requests: &[RequestFeatures],
    now_ms: u64,
) -> Vec<QuarantineChange> {
    for request in requests {
        quarantine.record_broken_run(request, &endpoint(number), now_ms);
    }
    quarantine.update(now_ms, |_, _| EndpointLiveness::Ended)
}

/// The same for requests without shared prompt parts.
fn terminate(
    quarantine: &mut Quarantine,
    number: usize,
    requests: &[u64],
    now_ms: u64,
) -> Vec<QuarantineChange> {
    let requests: Vec<RequestFeatures> = requests.iter().map(|it| request(*it, &[])).collect();
    terminate_under(quarantine, number, &requests, now_ms)
}

fn status(quarantine: &Quarantine, number: u64, now_ms: u64) -> QuarantineStatus {
    quarantine.status(&request(number, &[]), now_ms)
}

fn is_withheld(quarantine: &Quarantine, number: u64, now_ms: u64) -> bool {
    status(quarantine, number, now_ms) == QuarantineStatus::Withheld
}

fn is_request_withheld(quarantine: &Quarantine, request: &RequestFeatures, now_ms: u64) -> bool {
    quarantine.status(request, now_ms) == QuarantineStatus::Withheld
}

#[test]
fn a_request_is_withheld_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    for number in 0..2 {
        assert_eq!(terminate(&mut quarantine, number, &[1], 10), []);
    }
    let endpoints = (0..3).map(endpoint).collect();
    assert_eq!(
        terminate(&mut quarantine, 2, &[1], 10),
        [QuarantineChange::Withheld(vec![digest(1)], endpoints)]
    );
    assert!(is_withheld(&quarantine, 1, 10));
    assert!(!is_withheld(&quarantine, 2, 10));
    let withheld_for = |number| quarantine.withheld_for(&request(number, &[]));
    assert_eq!(withheld_for(1), digest(1).to_string());
    assert_eq!(withheld_for(2), "");
}

#[test]
fn several_runs_at_one_endpoint_count_as_one_crash() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        terminate(&mut quarantine, 0, &[1], 10);
    }
    assert!(!is_withheld(&quarantine, 1, 10));
}

#[test]
fn a_broken_connection_to_a_live_endpoint_is_no_evidence() {
    let mut quarantine = Quarantine::default();
    for number in 0..9 {
        quarantine.record_broken_run(&request(1, &[]), &endpoint(number), 10);
        quarantine.update(10, |_, _| EndpointLiveness::Alive);
    }
    assert_eq!(quarantine.update(5_000, |_, _| EndpointLiveness::Ended), []);
    assert_eq!(status(&quarantine, 1, 10), QuarantineStatus::Allowed);
}

#[test]
fn features_present_at_some_of_the_crashes_that_another_explains_are_not_withheld() {
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let present: &[u64] = if number < 4 { &[1, 2, 3] } else { &[1] };
        terminate(&mut quarantine, number, present, 10);
    }
    assert!(is_withheld(&quarantine, 1, 10));
    assert!(!is_withheld(&quarantine, 2, 10));
    assert!(!is_withheld(&quarantine, 3, 10));
}

// The evidence against the bystander may arrive first.
#[test]
fn a_withheld_bystander_is_released_once_its_crashes_are_explained() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        terminate(&mut quarantine, number, &[2], 10);
    }
    assert!(is_withheld(&quarantine, 2, 10));
    for number in 0..4 {
        terminate(&mut quarantine, number, &[1], 20);
    }
    assert!(is_withheld(&quarantine, 1, 20));
    assert!(!is_withheld(&quarantine, 2, 20));
}

#[test]
fn distinct_requests_that_share_a_part_are_withheld_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let crashing = request(100 + number as u64, &[1, 2]);
        terminate_under(&mut quarantine, number, &[crashing], 10);
    }
    assert!(is_request_withheld(&quarantine, &request(200, &[2, 1]), 10));
    assert!(is_request_withheld(
        &quarantine,
        &request(200, &[1, 2, 3]),
        10
    ));
    assert!(!is_request_withheld(&quarantine, &request(200, &[3]), 10));
}

// Crashing and harmless requests share the first prompt part.
#[test]
fn a_part_that_others_survive_is_not_withheld_with_the_one_that_crashes_endpoints() {
    let mut quarantine = Quarantine::default();
    quarantine.clear(&request(50, &[1]), 5);
    for number in 0..6 {
        let crashing = request(100 + number as u64, &[1, 2]);
        terminate_under(&mut quarantine, number, &[crashing], 10);
    }
    assert!(is_request_withheld(&quarantine, &request(200, &[2]), 10));
    assert!(!is_request_withheld(&quarantine, &request(200, &[1]), 10));
}

// Nothing is known yet of the parts alone: a request that has only one of them shows which is the cause.
#[test]
fn of_parts_present_at_the_same_crashes_one_alone_suffices_only_from_the_fifth_crash_on() {
    let mut quarantine = Quarantine::default();
    let (first, second) = (request(200, &[1]), request(201, &[2]));
    for number in 0..5 {
        assert!(!is_request_withheld(&quarantine, &first, 10));
        assert!(!is_request_withheld(&quarantine, &second, 10));
        let crashing = request(100 + number as u64, &[1, 2]);
        terminate_under(&mut quarantine, number, &[crashing], 10);
    }
    assert!(is_request_withheld(&quarantine, &first, 10));
    assert!(is_request_withheld(&quarantine, &second, 10));
    let changes = quarantine.clear(&first, 400);
    assert!(changes.contains(&QuarantineChange::Released(digest(1))));
    assert!(!is_request_withheld(&quarantine, &first, 400));
    assert!(is_request_withheld(&quarantine, &second, 400));
}

#[test]
fn a_part_that_begins_to_crash_endpoints_is_withheld_though_it_was_survived_before() {
    let mut quarantine = Quarantine::default();
    quarantine.clear(&request(50, &[1]), 10);
    let from_ms = 10 + SURVIVAL_VALID_MS;
    for number in 0..3 {
        terminate_under(
            &mut quarantine,
            number,
            &[request(60 + number as u64, &[1])],
            from_ms,
        );
    }
    assert!(!is_request_withheld(
        &quarantine,
        &request(70, &[1]),
        from_ms
    ));
    for number in 3..6 {
        let requests = [request(60 + number as u64, &[1])];
        terminate_under(&mut quarantine, number, &requests, from_ms + 1);
    }
    assert!(is_request_withheld(
        &quarantine,
        &request(70, &[1]),
        from_ms + 1
    ));
}

#[test]
fn an_old_survival_that_a_peer_reports_does_not_release_a_withheld_part() {
    let mut quarantine = Quarantine::default();
    let now_ms = 100_000;
    for number in 0..3 {
        terminate(&mut quarantine, number, &[1], now_ms);
    }
    let clearance = |age_ms| EvidenceReport {
        clearances: vec![ClearanceReport {
            feature: digest(1),
            age_ms,
        }],
        ..EvidenceReport::default()
    };
    quarantine.apply_report(&clearance(60_000), false, now_ms);
    assert!(is_withheld(&quarantine, 1, now_ms));
    quarantine.apply_report(&clearance(100), false, now_ms);
    assert!(!is_withheld(&quarantine, 1, now_ms));
}

#[test]
fn a_verdict_is_tried_by_one_request_after_a_time_that_doubles_with_each_crash() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        terminate(&mut quarantine, number, &[1], 0);
    }
    let withheld = request(1, &[]);
    assert!(!quarantine.begin_trial(&withheld, 29_999));
    assert!(quarantine.begin_trial(&withheld, 30_000));
    assert!(!quarantine.begin_trial(&withheld, 30_001));
    terminate(&mut quarantine, 3, &[1], 30_100);
    assert!(!quarantine.begin_trial(&withheld, 90_099));
    assert!(quarantine.begin_trial(&withheld, 90_100));
    quarantine.clear(&withheld, 90_500);
    assert!(!is_withheld(&quarantine, 1, 90_500));
}

#[test]
fn a_request_that_an_endpoint_survived_is_not_withheld() {
    let mut quarantine = Quarantine::default();
    quarantine.clear(&request(1, &[]), 10);
    for number in 0..9 {
        terminate(&mut quarantine, number, &[1], 20);
    }
    assert!(!is_withheld(&quarantine, 1, 20));
}

#[test]
fn a_surviving_run_releases_a_request_on_all_instances() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for number in 0..3 {
        terminate(&mut here, number, &[1], 10);
    }
    there.apply_report(&here.next_report(20), false, 20);
    assert!(is_withheld(&there, 1, 20));
    assert_eq!(
        here.clear(&request(1, &[]), 30),
        [QuarantineChange::Released(digest(1))]
    );
    let changes = there.apply_report(&here.next_report(40), false, 40);
    assert_eq!(changes, [QuarantineChange::Released(digest(1))]);
}

#[test]
fn an_older_survival_that_a_peer_reports_late_does_not_replace_a_newer_one() {
    let mut quarantine = Quarantine::default();
    quarantine.clear(&request(1, &[]), 2_000);
    let reported = EvidenceReport {
        clearances: vec![ClearanceReport {
            feature: digest(1),
            age_ms: 3_000,
        }],
        ..EvidenceReport::default()
    };
    let now_ms = 2_000 + SURVIVAL_VALID_MS;
    quarantine.apply_report(&reported, false, now_ms);
    for number in 0..3 {
        terminate(&mut quarantine, number, &[1], now_ms);
    }
    assert!(!is_withheld(&quarantine, 1, now_ms));
}

/// Five crashes under distinct requests that share two parts. Returns the last change that this caused.
fn crash_five_under_two_parts(quarantine: &mut Quarantine) -> Vec<QuarantineChange> {
    let crashes = (0..5).map(|number| {
        let distinct = request(100 + number as u64, &[1, 2]);
        terminate_under(quarantine, number, &[distinct], 10)
    });
    crashes.last().unwrap_or_default()
}

#[test]
fn an_instance_that_learns_a_verdict_only_from_reminders_withholds_the_same_requests() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash_five_under_two_parts(&mut here);
    // The updates that peers heard at the time.
    for _ in 0..40 {
        here.next_report(20);
    }
    for _ in 0..40 {
        there.apply_report(&here.next_report(30), false, 30);
    }
    for parts in [&[1, 2][..], &[1], &[2]] {
        let of_parts = request(200, parts);
        assert!(is_request_withheld(&here, &of_parts, 30), "{parts:?}");
        assert!(is_request_withheld(&there, &of_parts, 30), "{parts:?}");
    }
}

#[test]
fn the_change_is_reported_when_one_of_several_features_begins_to_suffice() {
    let mut quarantine = Quarantine::default();
    let endpoints = (0..5).map(endpoint).collect();
    assert_eq!(
        crash_five_under_two_parts(&mut quarantine),
        [QuarantineChange::Withheld(
            vec![digest(1), digest(2)],
            endpoints
        )]
    );
}

#[test]
fn a_peer_with_evidence_against_a_cleared_request_gets_the_clearance() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.clear(&request(1, &[]), 10);
    for number in 0..3 {
        terminate(&mut there, number, &[1], 20);
    }
    here.apply_report(&there.next_report(30), false, 30);
    there.apply_report(&here.next_report(40), false, 40);
    assert!(!is_withheld(&there, 1, 40));
}

#[test]
fn crashes_seen_by_several_instances_are_counted_together() {
    let mut here = Quarantine::default();
    for number in 0..3 {
        let mut there = Quarantine::default();
        terminate(&mut there, number, &[1], 10);
        let report = there.next_report(10);
        // A heartbeat may be delivered twice.
        here.apply_report(&report, false, 20);
        here.apply_report(&report, false, 30);
    }
    assert!(is_withheld(&here, 1, 30));
}

#[test]
fn evidence_expires_after_the_newest_crash() {
    let mut quarantine = Quarantine::default();
    for (number, at_ms) in [
        (0, 0),
        (1, EVIDENCE_TTL_MS - 1),
        (2, 2 * EVIDENCE_TTL_MS - 2),
    ] {
        quarantine.update(at_ms, |_, _| EndpointLiveness::Ended);
        terminate(&mut quarantine, number, &[1], at_ms);
    }
    let over_ms = 3 * EVIDENCE_TTL_MS - 2;
    quarantine.update(over_ms - 1, |_, _| EndpointLiveness::Ended);
    assert!(is_withheld(&quarantine, 1, over_ms));
    let changes = quarantine.update(over_ms, |_, _| EndpointLiveness::Ended);
    assert_eq!(changes, [QuarantineChange::Released(digest(1))]);
}

#[test]
fn a_request_is_held_back_while_a_third_crash_is_undecided() {
    let mut quarantine = Quarantine::default();
    for number in 0..2 {
        quarantine.record_broken_run(&request(1, &[]), &endpoint(number), 10);
        assert_eq!(status(&quarantine, 1, 10), QuarantineStatus::Allowed);
        quarantine.update(10, |_, _| EndpointLiveness::Ended);
    }
    quarantine.record_broken_run(&request(1, &[]), &endpoint(2), 1_000);
    assert_eq!(status(&quarantine, 1, 1_000), QuarantineStatus::Undecided);
    assert_eq!(status(&quarantine, 1, 1_149), QuarantineStatus::Undecided);
    // An engine that does not respond may only be slow.
    assert_eq!(status(&quarantine, 1, 1_150), QuarantineStatus::Allowed);
}

#[test]
fn a_starting_instance_learns_withheld_requests_from_any_peer() {
    let mut here = Quarantine::default();
    for number in 0..5 {
        terminate(&mut here, number, &[1], 10);
    }
    for _ in 0..20 {
        here.next_report(20);
    }
    let mut there = Quarantine::default();
    for beat in 0..2 {
        there.apply_report(&here.next_report(1_000 + beat), false, 1_000 + beat);
    }
    assert!(is_withheld(&there, 1, 1_001));
}

#[test]
fn only_relaying_instances_forward_evidence() {
    let mut there = Quarantine::default();
    terminate(&mut there, 0, &[1], 10);
    let report = there.next_report(10);
    let (mut relay, mut other) = (Quarantine::default(), Quarantine::default());
    relay.apply_report(&report, true, 20);
    other.apply_report(&report, false, 20);
    assert_eq!(relay.next_report(30).crashes.len(), 1);
    assert_eq!(other.next_report(30), EvidenceReport::default());
}

// Each request of the flood crashes one endpoint, so none of them reaches three crashes.
#[test]
fn a_flood_of_requests_takes_bounded_memory_and_releases_nothing() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        terminate(&mut quarantine, number, &[1], 10);
    }
    for request in 10..4_010 {
        terminate(&mut quarantine, request as usize, &[request], 20);
        quarantine.clear(&self::request(100_000 + request, &[]), 20);
    }
    assert!(is_withheld(&quarantine, 1, 20));
    assert_eq!(quarantine.verdict_count(), 1);
    let report = quarantine.next_report(30);
    assert!(report.crashes.len() + report.clearances.len() <= 18);
    let bytes = postcard::to_stdvec(&report).expect("it can be written");
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
}

proptest! {
    // Instances receive the same evidence in different orders; the outcome must not depend on it.
    #[test]
    fn the_same_evidence_in_any_order_has_the_same_outcome(
        ends in prop::collection::vec((0_u64..4, 0_usize..6), 1..24),
        order in any::<u64>(),
    ) {
        let mut crashes: Vec<CrashReport> = Vec::new();
        for (number, at) in ends {
            crashes.push(CrashReport { feature: digest(number), endpoint: endpoint(at), age_ms: 5 });
        }
        let mut shuffled = crashes.clone();
        let count = shuffled.len();
        for place in 0..count {
            let other = order.rotate_left(place as u32) as usize % count;
            shuffled.swap(place, other);
        }
        let withheld = |crashes: Vec<CrashReport>| {
            let mut quarantine = Quarantine::default();
            for crash in crashes {
                let report = EvidenceReport { crashes: vec![crash], ..EvidenceReport::default() };
                quarantine.apply_report(&report, false, 100);
            }
            (0..4).map(|request| is_withheld(&quarantine, request, 100)).collect::<Vec<bool>>()
        };
        prop_assert_eq!(withheld(crashes), withheld(shuffled));
    }
}
