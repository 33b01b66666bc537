use super::{StallStep, StallWatch};

/// Gap between events of the streams below.
const GAP_MS: u64 = 50;

/// A run whose last of ten events came at the time returned.
fn running() -> (StallWatch, u64) {
    let mut stall = StallWatch::start(0);
    stall.run_begins(0);
    for number in 1..=10 {
        stall.event(number * GAP_MS);
    }
    (stall, 10 * GAP_MS)
}

#[test]
fn a_run_is_not_silent_within_its_usual_gaps() {
    let (stall, last_ms) = running();
    assert!(!stall.is_silent(last_ms + 3 * GAP_MS - 1));
    assert!(stall.is_silent(last_ms + 3 * GAP_MS));
}

#[test]
fn an_event_ends_a_silence() {
    let (mut stall, last_ms) = running();
    stall.event(last_ms + 400);
    assert!(!stall.is_silent(last_ms + 401));
}

#[test]
fn looks_do_not_put_off_when_a_run_is_silent() {
    let (mut stall, last_ms) = running();
    assert_eq!(stall.step(last_ms + 3 * GAP_MS), StallStep::Look);
    assert!(stall.is_silent(last_ms + 3 * GAP_MS + 1));
}

#[test]
fn a_run_without_events_or_with_a_new_chain_counts_as_silent() {
    let mut stall = StallWatch::start(0);
    stall.run_begins(10);
    assert!(stall.is_silent(10));
    let (mut stall, last_ms) = running();
    stall.repaired(last_ms + 1);
    assert!(stall.is_silent(last_ms + 1));
}
