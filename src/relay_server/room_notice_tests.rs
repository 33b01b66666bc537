use super::heartbeat::heartbeat_bytes;
use super::peer_book_tests::{READY, book, heartbeat};
use super::room_notice::{RoomNotice, is_notice, notice_bytes, read_notice};
use crate::fleet::EndpointHealth;
use crate::ids::{EndpointId, InstanceId};

#[test]
fn a_notice_round_trips_and_differs_from_a_heartbeat() {
    let notice = RoomNotice {
        instance: InstanceId::from("front-lac-1"),
        full: vec![EndpointId::from("e1"), EndpointId::from("e2")],
    };
    let bytes = notice_bytes(&notice).expect("it can be encoded");
    assert!(is_notice(&bytes));
    assert_eq!(read_notice(&bytes).expect("it can be decoded"), notice);
    let sent = heartbeat(&mut book("front-lac-1", "lac", 10), READY, 100);
    let heartbeat_bytes = heartbeat_bytes(&sent).expect("it can be encoded");
    assert!(!is_notice(&heartbeat_bytes));
}

#[test]
fn a_truncated_notice_is_malformed() {
    assert!(read_notice(&[]).is_err());
    assert!(read_notice(&[0]).is_err());
    assert!(read_notice(&[0, 200, 1]).is_err());
}

// Guards against redundant notices: instances used to send one for every rejected request, even while peers
// already treated the engine as full.
#[test]
fn an_engine_is_reported_once_while_it_counts_as_full() {
    let mut health = EndpointHealth::default();
    assert!(health.record_full(1_000));
    assert!(!health.record_full(1_100));
    let again_ms = health.full_until_ms();
    assert!(health.is_full(again_ms - 1));
    assert!(health.record_full(again_ms));
}

// Guards against a constant retry interval: while the store was unavailable, 25 engines were drained for
// removal. Each rejected a request every 300 ms for as long as no instance could read that it was leaving.
#[test]
fn an_engine_that_rejects_everything_is_tried_less_and_less_often() {
    let mut health = EndpointHealth::default();
    let mut tries = 0;
    for now_ms in 0..10_000 {
        if !health.is_full(now_ms) {
            health.record_full(now_ms);
            tries += 1;
        }
    }
    assert!(tries <= 11, "{tries}");
    health.record_accepted();
    let now_ms = health.full_until_ms();
    health.record_full(now_ms);
    assert_eq!(health.full_until_ms() - now_ms, 300);
}
