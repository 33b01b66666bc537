//! Which requests an instance that stops still sends, at their times.

use super::planned_stop::{FLUSH_MS, PlannedStop};

const STOP: PlannedStop = PlannedStop {
    since_ms: 100_000,
    limit_ms: 8_000,
};

fn may_send(is_stream: bool, sent_after_ms: u64, deadline_after_ms: u64) -> bool {
    let since_ms = STOP.since_ms;
    STOP.may_send(
        is_stream,
        since_ms + deadline_after_ms,
        since_ms + sent_after_ms,
    )
}

#[test]
fn callers_that_keep_the_address_are_served_at_first() {
    assert!(may_send(true, 2_400, 22_400));
    assert!(may_send(false, 2_400, 14_400));
}

#[test]
fn a_request_is_sent_later_only_if_its_deadline_is_before_the_end() {
    assert!(may_send(false, 4_000, 7_200));
    assert!(!may_send(false, 4_000, 7_201));
    assert!(!may_send(true, 4_000, 6_500), "a stream's end is not known");
}

/// Guards against a decision with the time at which the head arrived.
#[test]
fn a_request_that_was_accepted_in_time_and_waited_is_not_sent() {
    let deadline_after_ms = 2_000 + 12_000;
    assert!(may_send(false, 2_000, deadline_after_ms));
    assert!(!may_send(false, 5_600, deadline_after_ms));
}

#[test]
fn final_responses_are_sent_before_the_process_is_ended() {
    let exit_ms = STOP.final_responses_ms() + FLUSH_MS;
    assert!(exit_ms < STOP.since_ms + STOP.limit_ms);
}
