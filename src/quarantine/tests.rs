//! Tests of which evidence has a request withheld.

use proptest::prelude::*;

use super::ledger::EVIDENCE_TTL_MS;
use super::{
    CrashReport, EndpointLiveness, EvidenceReport, FeatureDigest, Quarantine, QuarantineChange,
    QuarantineStatus, RunStage,
};
use crate::ids::EndpointId;

/// Time since the response's head of a run that has just started.
const STARTED: Option<u64> = Some(60);

pub(super) fn digest(number: u64) -> FeatureDigest {
    let text = format!("{number:032x}");
    FeatureDigest::from_hex(&text).expect("it has the length of a digest")
}

pub(super) fn endpoint(number: usize) -> EndpointId {
    EndpointId::from(format!("e{number}"))
}

/// Lets an endpoint terminate, at which these runs break off: request and time since the head.
fn terminate(
    quarantine: &mut Quarantine,
    number: usize,
    runs: &[(u64, Option<u64>)],
    now_ms: u64,
) -> Vec<QuarantineChange> {
    for (request, head_ago_ms) in runs {
        if let Some(stage) = RunStage::of_run(*head_ago_ms) {
            quarantine.record_broken_run(digest(*request), &endpoint(number), stage, now_ms);
        }
    }
    quarantine.update(now_ms, |_, _| EndpointLiveness::Ended)
}

fn is_withheld(quarantine: &Quarantine, request: u64, now_ms: u64) -> bool {
    quarantine.status(&digest(request), now_ms) == QuarantineStatus::Withheld
}

#[test]
fn a_request_is_withheld_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    for number in 0..2 {
        assert_eq!(terminate(&mut quarantine, number, &[(1, STARTED)], 10), []);
    }
    let endpoints = (0..3).map(endpoint).collect();
    assert_eq!(
        terminate(&mut quarantine, 2, &[(1, STARTED)], 10),
        [QuarantineChange::Withheld(digest(1), endpoints)]
    );
    assert!(is_withheld(&quarantine, 1, 10));
    assert!(!is_withheld(&quarantine, 2, 10));
}

#[test]
fn several_runs_at_one_endpoint_count_as_one_crash() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        terminate(&mut quarantine, 0, &[(1, STARTED)], 10);
    }
    assert!(!is_withheld(&quarantine, 1, 10));
}

#[test]
fn a_broken_connection_to_a_live_endpoint_is_no_evidence() {
    let mut quarantine = Quarantine::default();
    for number in 0..9 {
        let stage = RunStage::Started { after_ms: 60 };
        quarantine.record_broken_run(digest(1), &endpoint(number), stage, 10);
        quarantine.update(10, |_, _| EndpointLiveness::Alive);
    }
    assert_eq!(quarantine.update(5_000, |_, _| EndpointLiveness::Ended), []);
    assert_eq!(quarantine.status(&digest(1), 10), QuarantineStatus::Allowed);
}

// Nearly all runs at an endpoint that terminates are streams past their startup phase.
#[test]
fn a_run_past_its_startup_phase_is_not_suspected() {
    let mut quarantine = Quarantine::default();
    for number in 0..9 {
        terminate(&mut quarantine, number, &[(1, Some(1_000))], 10);
    }
    assert!(!is_withheld(&quarantine, 1, 10));
}

#[test]
fn bystanders_of_a_withheld_request_are_not_withheld() {
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let runs = [(1, STARTED), (2, Some(700)), (3, None)];
        terminate(&mut quarantine, number, &runs, 10);
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
        terminate(&mut quarantine, number, &[(2, None)], 10);
    }
    assert!(is_withheld(&quarantine, 2, 10));
    for number in 0..3 {
        terminate(&mut quarantine, number, &[(1, STARTED)], 20);
    }
    assert!(is_withheld(&quarantine, 1, 20));
    assert!(!is_withheld(&quarantine, 2, 20));
}

#[test]
fn a_request_that_an_endpoint_survived_is_not_withheld() {
    let mut quarantine = Quarantine::default();
    quarantine.clear(digest(1), 10);
    for number in 0..9 {
        terminate(&mut quarantine, number, &[(1, STARTED)], 20);
    }
    assert!(!is_withheld(&quarantine, 1, 20));
}

#[test]
fn a_surviving_run_releases_a_request_on_all_instances() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for number in 0..3 {
        terminate(&mut here, number, &[(1, STARTED)], 10);
    }
    there.apply_report(&here.next_report(20), false, 20);
    assert!(is_withheld(&there, 1, 20));
    assert_eq!(
        here.clear(digest(1), 30),
        [QuarantineChange::Released(digest(1))]
    );
    let changes = there.apply_report(&here.next_report(40), false, 40);
    assert_eq!(changes, [QuarantineChange::Released(digest(1))]);
}

#[test]
fn a_peer_with_evidence_against_a_cleared_request_gets_the_clearance() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.clear(digest(1), 10);
    for number in 0..3 {
        terminate(&mut there, number, &[(1, STARTED)], 20);
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
        terminate(&mut there, number, &[(1, STARTED)], 10);
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
        terminate(&mut quarantine, number, &[(1, STARTED)], at_ms);
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
    let stage = RunStage::Started { after_ms: 60 };
    for number in 0..2 {
        quarantine.record_broken_run(digest(1), &endpoint(number), stage, 10);
        assert_eq!(quarantine.status(&digest(1), 10), QuarantineStatus::Allowed);
        quarantine.update(10, |_, _| EndpointLiveness::Ended);
    }
    quarantine.record_broken_run(digest(1), &endpoint(2), stage, 1_000);
    assert_eq!(
        quarantine.status(&digest(1), 1_000),
        QuarantineStatus::Undecided
    );
    assert_eq!(
        quarantine.status(&digest(1), 1_149),
        QuarantineStatus::Undecided
    );
    // An engine that does not respond may only be slow.
    assert_eq!(
        quarantine.status(&digest(1), 1_150),
        QuarantineStatus::Allowed
    );
}

#[test]
fn a_starting_instance_learns_withheld_requests_from_any_peer() {
    let mut here = Quarantine::default();
    for number in 0..5 {
        terminate(&mut here, number, &[(1, STARTED)], 10);
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
    terminate(&mut there, 0, &[(1, STARTED)], 10);
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
        terminate(&mut quarantine, number, &[(1, STARTED)], 10);
    }
    for request in 10..4_010 {
        terminate(&mut quarantine, request as usize, &[(request, STARTED)], 20);
        quarantine.clear(digest(100_000 + request), 20);
    }
    assert!(is_withheld(&quarantine, 1, 20));
    assert_eq!(quarantine.withheld_count(), 1);
    let report = quarantine.next_report(30);
    assert!(report.crashes.len() + report.clearances.len() <= 18);
    let bytes = postcard::to_stdvec(&report).expect("it can be written");
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
}

proptest! {
    // Instances receive the same evidence in different orders; the outcome must not depend on it.
    #[test]
    fn the_same_evidence_in_any_order_has_the_same_outcome(
        ends in prop::collection::vec((0_u64..4, 0_usize..6, 0_u32..1_200), 1..24),
        order in any::<u64>(),
    ) {
        let mut crashes: Vec<CrashReport> = Vec::new();
        for (request, number, after_ms) in ends {
            let stage = if after_ms < 1_000 { RunStage::Started { after_ms } } else { RunStage::Waiting };
            let crash = CrashReport { digest: digest(request), endpoint: endpoint(number), stage, age_ms: 5 };
            crashes.push(crash);
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
