use super::connection_timeouts::{TimeoutHistory, Timeouts};
use crate::route_table::Limits;

fn limits(header_timeout_ms: u64, idle_timeout_ms: u64) -> Limits {
    Limits {
        max_header_bytes: 16 << 10,
        max_body_bytes: 1 << 20,
        header_timeout_ms,
        idle_timeout_ms,
    }
}

fn timeouts(head_ms: u64, idle_ms: u64) -> Timeouts {
    Timeouts::from(&limits(head_ms, idle_ms))
}

#[test]
fn each_limit_is_the_longest_that_was_in_force_since_a_time() {
    let mut history = TimeoutHistory::default();
    history.update(timeouts(3_000, 15_000), 1_000);
    history.update(timeouts(5_000, 2_000), 10_000);
    assert_eq!(history.since(9_000), timeouts(5_000, 15_000));
    assert_eq!(history.since(10_001), timeouts(5_000, 2_000));
    history.update(timeouts(5_000, 2_000), 25_001);
    assert_eq!(history.since(9_000), timeouts(5_000, 2_000));
}

/// Guards against a document without limits, which would close every connection.
#[test]
fn a_limit_of_zero_counts_as_missing() {
    let history = TimeoutHistory::default();
    assert_eq!(timeouts(0, 0), history.since(0));
}
