//! Tests of limits: slot parts, lending, and application calls.

use proptest::prelude::*;

use crate::fairness::PIECE_COUNT;
use crate::routing::call_limit::CallLimit;
use crate::routing::slot_limit::{LoadReport, OwnSlots, SlotLimit, entry_part};

proptest! {
    #[test]
    fn the_parts_of_all_entries_add_up(before in 0..1_000_u64, slots in 0..200_u32, entries in 1..20_u64) {
        let parts: Vec<u32> = (0..entries).map(|rank| entry_part(before, slots, rank, entries)).collect();
        prop_assert_eq!(parts.iter().sum::<u32>(), slots);
        let (least, most) = (parts.iter().min(), parts.iter().max());
        prop_assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 1));
    }
}

proptest! {
    #[test]
    fn every_slot_is_in_one_range_of_pieces(
        before in 0..1_000_u64,
        slots in 0..200_u32,
        cuts in proptest::collection::vec(0..=PIECE_COUNT, 0..8),
    ) {
        let mut cuts = cuts;
        cuts.extend([0, PIECE_COUNT]);
        cuts.sort_unstable();
        let mut allocated = 0;
        for cut in cuts.windows(2) {
            let owned = OwnSlots::Pieces { first: cut[0], end: cut[1] }.count(before, slots);
            let due = f64::from(slots) * f64::from(cut[1] - cut[0]) / f64::from(PIECE_COUNT);
            prop_assert!((f64::from(owned) - due).abs() <= 4.0, "{owned} of {due}");
            allocated += owned;
        }
        prop_assert_eq!(allocated, slots);
    }
}

#[test]
fn lent_slots_stay_when_the_owned_part_changes() {
    let mut limit = SlotLimit::default();
    limit.set_allocation(4, 16);
    for _ in 0..3 {
        limit.apply_report(report(4, 0, 4), 0.0);
    }
    assert_eq!(limit.slots(), 7);
    limit.set_allocation(2, 16);
    assert_eq!(limit.slots(), 5);
}

fn report(running: u32, waiting: u32, outstanding: u32) -> LoadReport {
    LoadReport {
        running,
        waiting,
        outstanding,
        entries: 4,
    }
}

#[test]
fn slots_are_lent_after_staying_free_and_reclaimed_when_streams_wait() {
    let mut limit = SlotLimit::default();
    limit.set_allocation(2, 16);
    limit.apply_report(report(2, 0, 2), 0.0);
    assert_eq!(limit.slots(), 2, "one report is not enough");
    for _ in 0..2 {
        limit.apply_report(report(2, 0, 2), 0.0);
    }
    assert_eq!(limit.slots(), 5, "a quarter of 14 more");
    limit.apply_report(report(16, 3, 5), 0.0);
    assert_eq!(limit.slots(), 2);
}

#[test]
fn one_busy_entry_among_idle_ones_gets_nearly_the_whole_batch() {
    let mut limit = SlotLimit::default();
    limit.set_allocation(4, 16);
    for _ in 0..40 {
        let used = limit.slots();
        limit.apply_report(report(used, 0, used), 0.5);
    }
    assert!((14..=16).contains(&limit.slots()), "{}", limit.slots());
}

/// Simulates a replica that processes `width` calls at a time, each `call_ms` long, while calls are
/// always waiting; returns the resulting limit.
fn simulate_calls(width: u32, call_ms: u64) -> u32 {
    let mut limit = CallLimit::default();
    let mut ends: Vec<u64> = Vec::new();
    let mut workers = vec![0_u64; width as usize];
    for now_ms in 0..60_000 {
        while let Some(ended) = ends.iter().position(|at_ms| *at_ms <= now_ms) {
            limit.end(ends.len() as u32, now_ms);
            ends.swap_remove(ended);
        }
        while (ends.len() as u32) < limit.max_calls() {
            limit.begin(ends.len() as u32, now_ms);
            let worker = workers.iter_mut().min().expect("a worker");
            *worker = (*worker).max(now_ms) + call_ms;
            ends.push(*worker);
        }
    }
    limit.max_calls()
}

#[test]
fn call_limits_settle_slightly_above_the_capacity_of_the_replica() {
    for (width, call_ms) in [(4, 20), (16, 8), (64, 50)] {
        let reached = simulate_calls(width, call_ms);
        assert!(reached >= width, "{reached} of {width}");
        assert!(reached <= 3 * width.max(8), "{reached} of {width}");
    }
}
