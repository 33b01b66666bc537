use super::heartbeat::{Heartbeat, PeerPart, datagram, heartbeat_bytes, read_datagram};
use super::peer_book::PeerBook;
use super::peer_book_tests::{READY, address, book, heartbeat};
use super::retry_loans::{LoanRequest, loan_requests};
use crate::ids::ServiceName;
use crate::relay::{Lender, RetryAmount, RetryLoan, RetryPurpose};

fn need(milli_retries: u32) -> RetryAmount {
    RetryAmount {
        service: ServiceName::from("menu-mind"),
        purpose: RetryPurpose::Start,
        milli_retries,
    }
}

/// The peer book of `a`, which has heard three peers of its zone and one of another. Two of its zone and the
/// other one lack retries.
fn book_with_needs() -> PeerBook {
    let mut a = book("a", "lac", 1_000);
    let others = [
        ("b", "lac", 2_000, Some(9_000)),
        ("c", "lac", 3_000, Some(4_000)),
        ("d", "lac", 4_000, None),
        ("e", "marsa", 5_000, Some(7_000)),
    ];
    for (name, zone, port, lacks) in others {
        let mut beat = heartbeat(&mut book(name, zone, port), READY, 500);
        beat.retry_needs = lacks.map(need).into_iter().collect();
        a.apply_heartbeat(&beat, address(port + 1), 500);
    }
    a
}

#[test]
fn a_need_is_split_among_instances_of_the_zone_without_needs() {
    let request = |port, milli_retries| LoanRequest {
        address: address(port),
        amount: need(milli_retries),
    };
    assert_eq!(
        loan_requests(&mut book_with_needs(), 600),
        [request(2_001, 4_500), request(3_001, 2_000)]
    );
}

#[test]
fn a_need_is_answered_once() {
    let mut a = book_with_needs();
    assert!(!loan_requests(&mut a, 600).is_empty());
    assert!(loan_requests(&mut a, 700).is_empty());
}

#[test]
fn the_need_of_a_silent_peer_is_not_answered() {
    assert!(loan_requests(&mut book_with_needs(), 1_500).is_empty());
}

/// Guards against a loan being used twice when its heartbeat is duplicated or reordered.
#[test]
fn a_duplicated_or_late_heartbeat_is_not_the_newest() {
    let mut a = book("a", "lac", 1_000);
    let mut b = book("b", "lac", 2_000);
    let (first, second) = (heartbeat(&mut b, READY, 500), heartbeat(&mut b, READY, 750));
    assert!(a.is_newest(&second));
    a.apply_heartbeat(&second, address(2_001), 760);
    assert!(!a.is_newest(&second));
    a.apply_heartbeat(&first, address(2_001), 770);
    assert!(!a.is_newest(&second));
    let restarted = heartbeat(&mut book("b", "lac", 2_000), READY, 400);
    assert!(a.is_newest(&restarted));
}

/// Guards against a process that has heard a single peer dividing the budget by two.
#[test]
fn one_peer_tells_a_new_process_how_many_share_the_budget() {
    let beat = heartbeat(&mut book_with_needs(), READY, 600);
    let mut new = book("f", "lac", 6_000);
    new.apply_heartbeat(&beat, address(1_001), 610);
    new.note_all_known();
    assert_eq!(new.known_instances(), Some(5));
}

/// Guards against returning a loan to a restarted process, which has lent nothing.
#[test]
fn a_loan_is_returned_to_the_process_that_lent_it() {
    let mut a = book("a", "lac", 1_000);
    let beat = heartbeat(&mut book("b", "lac", 2_000), READY, 500);
    a.apply_heartbeat(&beat, address(2_001), 510);
    let lender = Lender {
        instance: beat.instance,
        incarnation: beat.incarnation,
    };
    assert_eq!(a.address_of(&lender), Some(address(2_001)));
    let restarted = heartbeat(&mut book("b", "lac", 2_000), READY, 600);
    a.apply_heartbeat(&restarted, address(2_001), 610);
    assert_eq!(a.address_of(&lender), None);
}

#[test]
fn loans_add_little_to_a_heartbeat() {
    let mut beat = heartbeat(&mut book("a", "lac", 1_000), READY, 600);
    let length = |beat: &Heartbeat, answer: &PeerPart| {
        let shared = heartbeat_bytes(beat).expect("it can be encoded");
        datagram(&shared, answer).expect("it can be encoded").len()
    };
    let without = length(&beat, &PeerPart::default());
    beat.retry_needs = vec![need(90_000)];
    let answer = PeerPart {
        lent: vec![RetryLoan {
            id: 70,
            amount: need(3_100),
        }],
        ..PeerPart::default()
    };
    let with = length(&beat, &answer);
    println!(
        "heartbeat with a need and a loan: {} bytes more",
        with - without
    );
    assert!(with - without <= 32);
    let shared = heartbeat_bytes(&beat).expect("it can be encoded");
    let bytes = datagram(&shared, &answer).expect("it can be encoded");
    let (read, read_answer) = read_datagram(&bytes).expect("it can be decoded");
    assert_eq!((read.retry_needs, read_answer), (beat.retry_needs, answer));
}
