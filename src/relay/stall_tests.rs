use super::{PROBE_TIMEOUT_MS, StallAction, StallDetector};

/// Gap between events of the streams below.
const GAP_MS: u64 = 50;

/// A run with ten events, and the time of the last one.
fn running() -> (StallDetector, u64) {
    let mut stall = StallDetector::new(0);
    stall.run_started(0);
    for number in 1..=10 {
        stall.record_event(number * GAP_MS);
    }
    (stall, 10 * GAP_MS)
}

#[test]
fn run_is_not_silent_within_normal_gaps() {
    let (stall, last_ms) = running();
    assert!(!stall.is_silent(last_ms + 3 * GAP_MS - 1));
    assert!(stall.is_silent(last_ms + 3 * GAP_MS));
}

#[test]
fn event_ends_a_silence() {
    let (mut stall, last_ms) = running();
    stall.record_event(last_ms + 400);
    assert!(!stall.is_silent(last_ms + 401));
}

#[test]
fn checks_do_not_delay_the_silence_threshold() {
    let (mut stall, last_ms) = running();
    assert_eq!(stall.next_action(last_ms + 3 * GAP_MS), StallAction::Probe);
    assert!(stall.is_silent(last_ms + 3 * GAP_MS + 1));
}

#[test]
fn run_without_events_or_with_a_new_chain_is_silent() {
    let mut stall = StallDetector::new(0);
    stall.run_started(10);
    assert!(stall.is_silent(10));
    let (mut stall, last_ms) = running();
    stall.chain_changed(last_ms + 1);
    assert!(stall.is_silent(last_ms + 1));
}

/// A run with events at these gaps, and the time of the last one.
fn with_gaps(gaps_ms: &[u64]) -> (StallDetector, u64) {
    let mut stall = StallDetector::new(0);
    stall.run_started(0);
    let mut now_ms = 0;
    for gap_ms in gaps_ms {
        now_ms += gap_ms;
        stall.record_event(now_ms);
    }
    (stall, now_ms)
}

// Guards against slow detection of an engine that stops responding. Callers accept pauses of 250
// ms, but streams continued only after 300 to 390 ms: the engine was probed once the stream was
// silent, with two probes in sequence, and the silence, both timeouts, the order and the prompt
// processing added up.
#[test]
fn dead_engine_of_a_steady_stream_is_detected_in_time() {
    // Leaves 70 ms of the 250 for the order and the prompt.
    let target_ms = 180;
    for gap_ms in 10..=120 {
        let (stall, last_ms) = with_gaps(&[gap_ms; 20]);
        let probed_ms = stall.probe_due_ms().unwrap_or(stall.next_check_ms());
        assert!(
            probed_ms >= last_ms + 2 * gap_ms,
            "{gap_ms}: within normal gaps"
        );
        let known_ms = probed_ms + PROBE_TIMEOUT_MS;
        let limit_ms = stall.next_check_ms().max(last_ms + target_ms);
        assert!(known_ms <= limit_ms, "{gap_ms}: {known_ms}, {limit_ms}");
    }
}

#[test]
fn uneven_stream_is_not_probed_at_each_longer_gap() {
    let (stall, last_ms) = with_gaps(&[20, 70].repeat(10));
    let probe_ms = stall.probe_due_ms().unwrap_or(stall.next_check_ms());
    assert!(probe_ms > last_ms + 70);
}

#[test]
fn engines_are_probed_once_before_a_run_is_silent() {
    let (mut stall, last_ms) = with_gaps(&[GAP_MS; 20]);
    let probe_ms = stall.probe_due_ms().unwrap();
    assert!(!stall.take_due_probe(probe_ms - 1));
    assert!(stall.take_due_probe(probe_ms));
    assert!(!stall.take_due_probe(probe_ms));
    assert_eq!(stall.next_action(probe_ms), StallAction::Wait);
    assert_eq!(stall.next_action(last_ms + 3 * GAP_MS), StallAction::Probe);
}

#[test]
fn run_without_events_or_with_a_new_chain_is_not_probed_early() {
    let (mut stall, last_ms) = with_gaps(&[GAP_MS; 20]);
    stall.chain_changed(last_ms + 10);
    assert_eq!(stall.probe_due_ms(), None);
    stall.run_started(last_ms + 20);
    assert_eq!(stall.probe_due_ms(), None);
}
