use super::{ANSWER_LIMIT_MS, StallStep, StallWatch};

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

/// A run that has brought events at these gaps, and when the last one came.
fn with_gaps(gaps_ms: &[u64]) -> (StallWatch, u64) {
    let mut stall = StallWatch::start(0);
    stall.run_begins(0);
    let mut now_ms = 0;
    for gap_ms in gaps_ms {
        now_ms += gap_ms;
        stall.event(now_ms);
    }
    (stall, now_ms)
}

// Callers bear pauses of 250 ms. An engine that went dark was asked about only once its streams were
// silent, two questions one after the other, and they went on after 300 to 390 ms: the waits for the
// silence, for both answers, for the order and for the prompt to be read again add up.
#[test]
fn a_dead_engine_of_a_steady_stream_is_known_soon_or_as_the_stream_counts_as_silent() {
    // Leaves 70 ms of the 250 for the order and the prompt.
    let soon_ms = 180;
    for gap_ms in 10..=120 {
        let (stall, last_ms) = with_gaps(&[gap_ms; 20]);
        let asked_ms = stall.ask_due_ms().unwrap_or(stall.due_ms());
        assert!(asked_ms >= last_ms + 2 * gap_ms, "{gap_ms}: a usual gap");
        let known_ms = asked_ms + ANSWER_LIMIT_MS;
        let limit_ms = stall.due_ms().max(last_ms + soon_ms);
        assert!(known_ms <= limit_ms, "{gap_ms}: {known_ms}, {limit_ms}");
    }
}

#[test]
fn an_uneven_stream_is_not_asked_about_at_each_of_its_longer_gaps() {
    let (stall, last_ms) = with_gaps(&[20, 70].repeat(10));
    let ask_ms = stall.ask_due_ms().unwrap_or(stall.due_ms());
    assert!(ask_ms > last_ms + 70);
}

#[test]
fn the_engines_are_asked_once_before_a_run_counts_as_silent() {
    let (mut stall, last_ms) = with_gaps(&[GAP_MS; 20]);
    let ask_ms = stall.ask_due_ms().unwrap();
    assert!(!stall.takes_ask(ask_ms - 1));
    assert!(stall.takes_ask(ask_ms));
    assert!(!stall.takes_ask(ask_ms));
    assert_eq!(stall.step(ask_ms), StallStep::Wait);
    assert_eq!(stall.step(last_ms + 3 * GAP_MS), StallStep::Look);
}

#[test]
fn a_run_without_events_or_with_a_new_chain_is_not_asked_about_early() {
    let (mut stall, last_ms) = with_gaps(&[GAP_MS; 20]);
    stall.repaired(last_ms + 10);
    assert_eq!(stall.ask_due_ms(), None);
    stall.run_begins(last_ms + 20);
    assert_eq!(stall.ask_due_ms(), None);
}
