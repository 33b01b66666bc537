use super::records::{Registration, backoff_ms, next_page};
use crate::wire::platform::Row;

// Guards against a permanent overload of the store: 301 instances started together and wrote their records to
// a store that takes 150 writes per second. Most calls timed out and were retried after a constant pause, which
// kept up 290 calls per second for as long as the instances ran, although their records had long been written.
#[test]
fn retries_back_off_exponentially_with_jitter() {
    let earliest = |failures| backoff_ms(failures, 0);
    let latest = |failures| backoff_ms(failures, backoff_ms(failures, 0) * 2 - 1);
    for failures in 1..4 {
        assert_eq!(earliest(failures + 1), 2 * earliest(failures));
        assert!(latest(failures) >= 2 * earliest(failures));
    }
    assert_eq!(earliest(4), earliest(100));
    assert_eq!(earliest(u32::MAX), 2_000);
}

// Guards against reading only the first 500 records: instances of a larger deployment did not find each other.
#[test]
fn another_page_is_read_after_a_full_one() {
    let rows = |count: u32| -> Vec<Row> {
        let row = |number| Row {
            key: format!("instance/{number:04}"),
            version: 1,
            value: String::new(),
        };
        (0..count).map(row).collect()
    };
    assert_eq!(next_page(&rows(0), 500), None);
    assert_eq!(next_page(&rows(499), 500), None);
    assert_eq!(next_page(&rows(500), 500), Some("instance/0499".to_owned()));
}

// Guards against an instance that never gets beyond its registration: its record was written, the read after it
// failed, and no later round read again.
#[test]
fn records_are_read_again_after_a_failure_even_if_the_own_one_is_written() {
    let started = Registration::default();
    assert!(!started.reads_first());
    for is_written in [false, true] {
        let failed = Registration {
            had_record: false,
            is_written,
            failures: 1,
        };
        assert!(failed.reads_first());
    }
}
