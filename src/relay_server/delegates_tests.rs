use super::peer_book::PeerBook;
use super::peer_book_tests::{READY, address, book, heartbeat};
use crate::ids::{InstanceId, ServiceName};

const SERVICE: &str = "model";

/// Which endpoints a peer reaches.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reach {
    All,
    /// All but those of the service.
    CutOff,
}
use Reach::{All, CutOff};

/// A book of an instance in zone `lac` that has just heard these peers.
fn book_with(peers: &[(&str, &str, Reach)]) -> PeerBook {
    let mut own = book("own", "lac", 100);
    for (index, (name, zone, reach)) in peers.iter().enumerate() {
        let port = 200 + 2 * index as u16;
        let mut beat = heartbeat(&mut book(name, zone, port), READY, 0);
        if *reach == CutOff {
            beat.unreached = vec![ServiceName::from(SERVICE)];
        }
        own.apply_heartbeat(&beat, address(port + 1), 0);
    }
    own
}

fn names(book: &PeerBook) -> Vec<String> {
    let delegates = book.delegates(&ServiceName::from(SERVICE), 0).into_iter();
    delegates.map(|it| it.instance.to_string()).collect()
}

#[test]
fn instances_of_the_own_zone_serve_for_others_if_they_are_half_of_it() {
    let book = book_with(&[
        ("a", "lac", All),
        ("b", "lac", All),
        ("c", "lac", CutOff),
        ("d", "marsa", All),
    ]);
    assert_eq!(names(&book), ["a", "b"]);
}

#[test]
fn instances_of_all_zones_serve_for_others_if_most_of_the_own_zone_is_cut_off() {
    let book = book_with(&[
        ("a", "lac", All),
        ("b", "lac", CutOff),
        ("c", "lac", CutOff),
        ("d", "marsa", All),
        ("e", "marsa", CutOff),
    ]);
    assert_eq!(names(&book), ["a", "d"]);
}

#[test]
fn nobody_serves_for_others_where_no_instance_reaches_endpoints() {
    let book = book_with(&[("a", "lac", CutOff), ("b", "marsa", CutOff)]);
    assert!(names(&book).is_empty());
    let for_other_service = book.delegates(&ServiceName::from("desk"), 0);
    assert!(!for_other_service.is_empty());
}

#[test]
fn instances_of_other_zones_serve_for_others_if_those_of_the_own_zone_were_tried() {
    let book = book_with(&[("a", "lac", All), ("b", "lac", All), ("c", "marsa", All)]);
    let untried = |it: &InstanceId| it.as_str() == "c";
    let delegates = book.delegates_among(&ServiceName::from(SERVICE), untried, 0);
    let names: Vec<&str> = delegates.iter().map(|it| it.instance.as_str()).collect();
    assert_eq!(names, ["c"]);
}

/// Guards against delegated requests that are given up because the instance with their caller stood still.
#[test]
fn a_standstill_of_the_own_process_is_no_silence_of_others() {
    const STANDSTILL_MS: u64 = 5_000;
    const SILENCE_MS: u64 = 2_000;
    let peer = InstanceId::from("a");
    let mut book = book_with(&[("a", "lac", All)]);
    assert!(!book.hears(&peer, STANDSTILL_MS));
    book.extend_silences(STANDSTILL_MS, STANDSTILL_MS);
    assert!(book.hears(&peer, STANDSTILL_MS));
    assert!(!book.hears(&peer, STANDSTILL_MS + SILENCE_MS));
}
