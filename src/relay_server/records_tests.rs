use super::records::{next_page, retry_ms};
use crate::wire::platform::Row;

// 301 instances that had started together wrote their records to a store that takes 150 writes a second.
// Most calls ended without an answer and were sent again after the same pause: 290 a second for as long as
// the instances ran, though their records had long been written.
#[test]
fn those_that_fail_come_again_later_each_time_and_not_together() {
    let earliest = |failures| retry_ms(failures, 0);
    let latest = |failures| retry_ms(failures, retry_ms(failures, 0) * 2 - 1);
    for failures in 1..4 {
        assert_eq!(earliest(failures + 1), 2 * earliest(failures));
        assert!(latest(failures) >= 2 * earliest(failures));
    }
    assert_eq!(earliest(4), earliest(100));
    assert_eq!(earliest(u32::MAX), 2_000);
}

// At most 500 records were read, so that instances of a larger deployment did not learn of each other.
#[test]
fn records_are_read_on_where_a_read_is_full() {
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
