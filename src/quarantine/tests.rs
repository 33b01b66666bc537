//! Tests of which evidence has a request withheld.

use proptest::prelude::*;

use super::ledger::EVIDENCE_TTL_MS;
use super::{
    CrashReport, EndpointLiveness, EvidenceReport, Quarantine, QuarantineChange, QuarantineStatus,
    RequestDigest, RunStage,
};
use crate::ids::EndpointId;

/// Time since the response's head of a run that has just started.
const BEGUN: Option<u64> = Some(60);

pub(super) fn digest(number: u64) -> RequestDigest {
    let text = format!("{number:032x}");
    RequestDigest::from_hex(&text).expect("it has the length of a digest")
}

pub(super) fn endpoint(number: usize) -> EndpointId {
    EndpointId::from(format!("e{number}"))
}

/// Lets an endpoint terminate, at which these runs break off: request and time since the head.
fn end(
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
fn a_request_is_withheld_once_three_endpoints_have_ended_under_it() {
    let mut quarantine = Quarantine::default();
    for number in 0..2 {
        assert_eq!(end(&mut quarantine, number, &[(1, BEGUN)], 10), []);
    }
    let ends = (0..3).map(endpoint).collect();
    assert_eq!(
        end(&mut quarantine, 2, &[(1, BEGUN)], 10),
        [QuarantineChange::Withheld(digest(1), ends)]
    );
    assert!(is_withheld(&quarantine, 1, 10));
    assert!(!is_withheld(&quarantine, 2, 10));
}

#[test]
fn several_runs_at_one_endpoint_are_one_end() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        end(&mut quarantine, 0, &[(1, BEGUN)], 10);
    }
    assert!(!is_withheld(&quarantine, 1, 10));
}

#[test]
fn a_broken_connection_to_an_endpoint_that_lives_counts_for_nothing() {
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
fn a_run_that_goes_on_is_under_no_suspicion() {
    let mut quarantine = Quarantine::default();
    for number in 0..9 {
        end(&mut quarantine, number, &[(1, Some(1_000))], 10);
    }
    assert!(!is_withheld(&quarantine, 1, 10));
}

#[test]
fn bystanders_of_a_withheld_request_are_free() {
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let runs = [(1, BEGUN), (2, Some(700)), (3, None)];
        end(&mut quarantine, number, &runs, 10);
    }
    assert!(is_withheld(&quarantine, 1, 10));
    assert!(!is_withheld(&quarantine, 2, 10));
    assert!(!is_withheld(&quarantine, 3, 10));
}

// The evidence against the bystander may arrive first.
#[test]
fn a_bystander_that_was_withheld_is_free_once_the_ends_are_explained() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        end(&mut quarantine, number, &[(2, None)], 10);
    }
    assert!(is_withheld(&quarantine, 2, 10));
    for number in 0..3 {
        end(&mut quarantine, number, &[(1, BEGUN)], 20);
    }
    assert!(is_withheld(&quarantine, 1, 20));
    assert!(!is_withheld(&quarantine, 2, 20));
}

#[test]
fn a_request_under_which_an_endpoint_went_on_is_never_withheld_for_chance() {
    let mut quarantine = Quarantine::default();
    quarantine.clear(digest(1), 10);
    for number in 0..9 {
        end(&mut quarantine, number, &[(1, BEGUN)], 20);
    }
    assert!(!is_withheld(&quarantine, 1, 20));
}

#[test]
fn a_run_that_goes_on_takes_a_verdict_back_here_and_elsewhere() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    for number in 0..3 {
        end(&mut here, number, &[(1, BEGUN)], 10);
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
fn a_peer_that_does_not_know_of_such_a_run_is_told() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    here.clear(digest(1), 10);
    for number in 0..3 {
        end(&mut there, number, &[(1, BEGUN)], 20);
    }
    here.apply_report(&there.next_report(30), false, 30);
    there.apply_report(&here.next_report(40), false, 40);
    assert!(!is_withheld(&there, 1, 40));
}

#[test]
fn ends_at_several_instances_are_counted_together() {
    let mut here = Quarantine::default();
    for number in 0..3 {
        let mut there = Quarantine::default();
        end(&mut there, number, &[(1, BEGUN)], 10);
        let told = there.next_report(10);
        // A heartbeat may be delivered twice.
        here.apply_report(&told, false, 20);
        here.apply_report(&told, false, 30);
    }
    assert!(is_withheld(&here, 1, 30));
}

#[test]
fn evidence_lapses_some_time_after_the_newest_end() {
    let mut quarantine = Quarantine::default();
    for (number, at_ms) in [
        (0, 0),
        (1, EVIDENCE_TTL_MS - 1),
        (2, 2 * EVIDENCE_TTL_MS - 2),
    ] {
        quarantine.update(at_ms, |_, _| EndpointLiveness::Ended);
        end(&mut quarantine, number, &[(1, BEGUN)], at_ms);
    }
    let over_ms = 3 * EVIDENCE_TTL_MS - 2;
    quarantine.update(over_ms - 1, |_, _| EndpointLiveness::Ended);
    assert!(is_withheld(&quarantine, 1, over_ms));
    let changes = quarantine.update(over_ms, |_, _| EndpointLiveness::Ended);
    assert_eq!(changes, [QuarantineChange::Released(digest(1))]);
}

#[test]
fn a_request_is_held_back_until_it_is_known_whether_a_third_endpoint_has_ended() {
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
fn instances_that_start_learn_what_is_withheld_from_any_other() {
    let mut here = Quarantine::default();
    for number in 0..5 {
        end(&mut here, number, &[(1, BEGUN)], 10);
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
fn what_is_heard_is_told_on_only_by_those_who_relay() {
    let mut there = Quarantine::default();
    end(&mut there, 0, &[(1, BEGUN)], 10);
    let told = there.next_report(10);
    let (mut relay, mut other) = (Quarantine::default(), Quarantine::default());
    relay.apply_report(&told, true, 20);
    other.apply_report(&told, false, 20);
    assert_eq!(relay.next_report(30).crashes.len(), 1);
    assert_eq!(other.next_report(30), EvidenceReport::default());
}

// Each request of the flood crashes one endpoint, so none of them reaches three crashes.
#[test]
fn a_flood_of_requests_takes_bounded_memory_and_sets_nobody_free() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        end(&mut quarantine, number, &[(1, BEGUN)], 10);
    }
    for request in 10..4_010 {
        end(&mut quarantine, request as usize, &[(request, BEGUN)], 20);
        quarantine.clear(digest(100_000 + request), 20);
    }
    assert!(is_withheld(&quarantine, 1, 20));
    assert_eq!(quarantine.withheld_count(), 1);
    let told = quarantine.next_report(30);
    assert!(told.crashes.len() + told.clearances.len() <= 18);
    let bytes = postcard::to_stdvec(&told).expect("it can be written");
    assert!(bytes.len() < 1_000, "{} bytes", bytes.len());
}

proptest! {
    // Instances receive the same evidence in different orders; the outcome must not depend on it.
    #[test]
    fn the_same_evidence_in_any_order_has_the_same_outcome(
        ends in prop::collection::vec((0_u64..4, 0_usize..6, 0_u32..1_200), 1..24),
        order in any::<u64>(),
    ) {
        let mut deaths: Vec<CrashReport> = Vec::new();
        for (request, number, after_ms) in ends {
            let stage = if after_ms < 1_000 { RunStage::Started { after_ms } } else { RunStage::Waiting };
            let death = CrashReport { digest: digest(request), endpoint: endpoint(number), stage, age_ms: 5 };
            deaths.push(death);
        }
        let mut shuffled = deaths.clone();
        let count = shuffled.len();
        for place in 0..count {
            let other = order.rotate_left(place as u32) as usize % count;
            shuffled.swap(place, other);
        }
        let withheld = |deaths: Vec<CrashReport>| {
            let mut quarantine = Quarantine::default();
            for death in deaths {
                let told = EvidenceReport { crashes: vec![death], ..EvidenceReport::default() };
                quarantine.apply_report(&told, false, 100);
            }
            (0..4).map(|request| is_withheld(&quarantine, request, 100)).collect::<Vec<bool>>()
        };
        prop_assert_eq!(withheld(deaths), withheld(shuffled));
    }
}
