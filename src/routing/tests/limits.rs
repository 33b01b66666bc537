//! Limits: parts of a batch, lending, and calls of applications.

use proptest::prelude::*;

use crate::fairness::PIECE_COUNT;
use crate::routing::calls::CallLimit;
use crate::routing::limits::{OwnSlots, Report, SlotLimit, dealt_part};

proptest! {
    #[test]
    fn the_parts_of_all_entries_add_up(before in 0..1_000_u64, slots in 0..200_u32, entries in 1..20_u64) {
        let parts: Vec<u32> = (0..entries).map(|rank| dealt_part(before, slots, rank, entries)).collect();
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
        let mut dealt = 0;
        for cut in cuts.windows(2) {
            let owned = OwnSlots::Pieces { first: cut[0], end: cut[1] }.count(before, slots);
            let due = f64::from(slots) * f64::from(cut[1] - cut[0]) / f64::from(PIECE_COUNT);
            prop_assert!((f64::from(owned) - due).abs() <= 4.0, "{owned} of {due}");
            dealt += owned;
        }
        prop_assert_eq!(dealt, slots);
    }
}

#[test]
fn what_is_lent_stays_when_the_own_part_changes() {
    let mut limit = SlotLimit::default();
    limit.set_dealt(4, 16);
    for _ in 0..3 {
        limit.learn(report(4, 0, 4), 0.0);
    }
    assert_eq!(limit.slots(), 7);
    limit.set_dealt(2, 16);
    assert_eq!(limit.slots(), 5);
}

fn report(running: u32, waiting: u32, outstanding: u32) -> Report {
    Report {
        running,
        waiting,
        outstanding,
        entries: 4,
    }
}

#[test]
fn slots_are_lent_once_they_stayed_free_and_taken_back_when_streams_wait() {
    let mut limit = SlotLimit::default();
    limit.set_dealt(2, 16);
    limit.learn(report(2, 0, 2), 0.0);
    assert_eq!(limit.slots(), 2, "one report is not enough");
    for _ in 0..2 {
        limit.learn(report(2, 0, 2), 0.0);
    }
    assert_eq!(limit.slots(), 5, "a quarter of 14 more");
    limit.learn(report(16, 3, 5), 0.0);
    assert_eq!(limit.slots(), 2);
}

#[test]
fn one_busy_entry_among_idle_ones_gets_nearly_the_whole_batch() {
    let mut limit = SlotLimit::default();
    limit.set_dealt(4, 16);
    for _ in 0..40 {
        let used = limit.slots();
        limit.learn(report(used, 0, used), 0.5);
    }
    assert!((14..=16).contains(&limit.slots()), "{}", limit.slots());
}

/// Runs calls at a replica that works off `width` at a time, each `call_ms` long, with callers
/// always waiting; returns the limit reached.
fn learn(width: u32, call_ms: u64) -> u32 {
    let mut limit = CallLimit::default();
    let mut ends: Vec<u64> = Vec::new();
    let mut lanes = vec![0_u64; width as usize];
    for now_ms in 0..60_000 {
        while let Some(ended) = ends.iter().position(|at_ms| *at_ms <= now_ms) {
            limit.end(ends.len() as u32, now_ms);
            ends.swap_remove(ended);
        }
        while (ends.len() as u32) < limit.calls() {
            limit.begin(ends.len() as u32, now_ms);
            let lane = lanes.iter_mut().min().expect("a lane");
            *lane = (*lane).max(now_ms) + call_ms;
            ends.push(*lane);
        }
    }
    limit.calls()
}

#[test]
fn call_limits_settle_a_little_above_what_the_replica_works_off() {
    for (width, call_ms) in [(4, 20), (16, 8), (64, 50)] {
        let reached = learn(width, call_ms);
        assert!(reached >= width, "{reached} of {width}");
        assert!(reached <= 3 * width.max(8), "{reached} of {width}");
    }
}
