//! Tests of the fencing token of orders without a lease.

use super::order_token::{KnownToken, OrderToken};

#[test]
fn orders_bear_no_token_until_one_is_refused() {
    let mut known = KnownToken::default();
    known.record_read(Some(4), 0);
    assert_eq!(known.for_order(0), OrderToken::Ready(None));
    known.record_refused(None);
    assert_eq!(known.for_order(0), OrderToken::Ready(Some(4)));
}

#[test]
fn a_refused_token_is_not_sent_again() {
    let mut known = KnownToken::default();
    known.record_refused(None);
    assert_eq!(known.for_order(0), OrderToken::ReadFirst);
    known.record_read(Some(4), 0);
    known.record_refused(Some(4));
    for now_ms in [0, 1_000, 10_000] {
        assert_ne!(known.for_order(now_ms), OrderToken::Ready(Some(4)));
    }
    known.record_read(Some(5), 10_000);
    assert_eq!(known.for_order(10_000), OrderToken::Ready(Some(5)));
}

#[test]
fn a_late_refusal_of_an_older_token_leaves_the_newer_one_usable() {
    let mut known = KnownToken::default();
    known.record_refused(Some(4));
    known.record_read(Some(5), 0);
    known.record_refused(None);
    known.record_refused(Some(4));
    assert_eq!(known.for_order(0), OrderToken::Ready(Some(5)));
}

#[test]
fn a_lease_without_a_newer_token_is_not_read_for_each_order() {
    let mut known = KnownToken::default();
    known.record_refused(Some(4));
    assert_eq!(known.for_order(0), OrderToken::ReadFirst);
    known.record_read(Some(4), 0);
    assert_eq!(known.for_order(499), OrderToken::Outdated);
    assert_eq!(known.for_order(500), OrderToken::ReadFirst);
}

#[test]
fn a_restored_lease_does_not_bring_back_an_older_token() {
    let mut known = KnownToken::default();
    known.record_refused(None);
    known.record_read(Some(7), 0);
    known.record_read(Some(3), 1_000);
    assert_eq!(known.for_order(1_000), OrderToken::Ready(Some(7)));
}
