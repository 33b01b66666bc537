use super::heartbeat::heartbeat_bytes;
use super::peer_book_tests::{READY, book, heartbeat};
use super::room_notice::{RoomNotice, is_notice, notice_bytes, read_notice};
use crate::fleet::EndpointHealth;
use crate::ids::{EndpointId, InstanceId};

#[test]
fn a_notice_is_read_as_it_was_written_and_is_no_heartbeat() {
    let notice = RoomNotice {
        instance: InstanceId::from("front-lac-1"),
        full: vec![EndpointId::from("e1"), EndpointId::from("e2")],
    };
    let bytes = notice_bytes(&notice).expect("it can be written");
    assert!(is_notice(&bytes));
    assert_eq!(read_notice(&bytes).expect("it was written so"), notice);
    let sent = heartbeat(&mut book("front-lac-1", "lac", 10), READY, 100);
    let heartbeat_bytes = heartbeat_bytes(&sent).expect("it can be written");
    assert!(!is_notice(&heartbeat_bytes));
}

#[test]
fn a_cut_notice_is_malformed() {
    assert!(read_notice(&[]).is_err());
    assert!(read_notice(&[0]).is_err());
    assert!(read_notice(&[0, 200, 1]).is_err());
}

// Each instance told the others of each request that was turned away, though they had heard of the
// engine already.
#[test]
fn an_engine_is_news_once_for_as_long_as_it_counts_as_full() {
    let mut standing = EndpointHealth::default();
    assert!(standing.record_full(1_000));
    assert!(!standing.record_full(1_100));
    let again_ms = standing.full_until_ms();
    assert!(standing.is_full(again_ms - 1));
    assert!(standing.record_full(again_ms));
}

// While the store was away 25 engines were emptied to be taken away. Each turned a request away every
// 300 ms for as long as nobody could read that it was leaving.
#[test]
fn an_engine_that_takes_nothing_is_asked_more_and_more_rarely() {
    let mut standing = EndpointHealth::default();
    let mut tries = 0;
    for now_ms in 0..10_000 {
        if !standing.is_full(now_ms) {
            standing.record_full(now_ms);
            tries += 1;
        }
    }
    assert!(tries <= 11, "{tries}");
    standing.record_accepted();
    let now_ms = standing.full_until_ms();
    standing.record_full(now_ms);
    assert_eq!(standing.full_until_ms() - now_ms, 300);
}
