//! A document that comes in parts.

use proptest::prelude::*;

use super::document_parts::{DocumentPart, DocumentParts, DocumentQuery, PartFault, WholeDocument};

fn part(version: u64, text: &str, from: usize, to: usize) -> DocumentPart {
    DocumentPart {
        version,
        total_bytes: text.len() as u64,
        from_bytes: from as u64,
        content: text.as_bytes()[from..to].to_vec(),
        age_ms: 100,
    }
}

#[test]
fn parts_make_the_document() {
    let mut parts = DocumentParts::default();
    let text = "routes für alle";
    let first = parts.take(part(6, text, 0, 9), 5_000);
    assert_eq!(first, Ok((None, 0)));
    let query = parts.query(true);
    assert_eq!(query.begin_bytes(6, text.len()), 9);
    assert_eq!(query.begin_bytes(7, text.len()), 0);
    let whole = WholeDocument {
        content: text.to_owned(),
        newest_at_ms: 5_900,
    };
    let last = parts.take(part(6, text, 9, text.len()), 6_000);
    assert_eq!(last, Ok((Some(whole), 0)));
    assert_eq!(parts.version(), None);
}

#[test]
fn another_version_begins_anew() {
    let mut parts = DocumentParts::default();
    let begun = parts.take(part(6, "abcdef", 0, 3), 5_000);
    assert_eq!(begun, Ok((None, 0)));
    assert_eq!(parts.take(part(7, "ghijkl", 0, 2), 5_000), Ok((None, 3)));
    assert_eq!(parts.query(true).from_bytes, 2);
}

#[test]
fn a_part_that_does_not_follow_is_not_taken() {
    let mut parts = DocumentParts::default();
    let begun = parts.take(part(6, "abcdef", 0, 3), 5_000);
    assert_eq!(begun, Ok((None, 0)));
    let gap = parts.take(part(6, "abcdef", 4, 6), 5_000);
    assert_eq!(gap, Err(PartFault::DoesNotFit));
    assert_eq!(parts.query(true).from_bytes, 3);
}

#[test]
fn parts_of_a_known_version_are_dropped() {
    let mut parts = DocumentParts::default();
    let begun = parts.take(part(6, "abcdef", 0, 3), 5_000);
    assert_eq!(begun, Ok((None, 0)));
    assert_eq!(parts.drop_known(5), 0);
    assert_eq!(parts.drop_known(6), 3);
    assert_eq!(parts.version(), None);
}

proptest! {
    #[test]
    fn a_query_is_read_as_it_was_written(is_wanted: bool, version: u64, from_bytes: u64) {
        let query = DocumentQuery { is_wanted, version, from_bytes };
        let text = format!("table=1&list=2&{}", query.text());
        prop_assert_eq!(DocumentQuery::from_query(&text), query);
    }
}
