//! Tests of documents that are transferred in parts.

use proptest::prelude::*;

use super::document_parts::{
    CompleteDocument, DocumentPart, DocumentPartError, DocumentQuery, PartialDocument,
};

fn part(version: u64, text: &str, from: usize, to: usize) -> DocumentPart {
    DocumentPart {
        version,
        total_bytes: text.len() as u64,
        offset_bytes: from as u64,
        content: text.as_bytes()[from..to].to_vec(),
        age_ms: 100,
    }
}

#[test]
fn parts_are_joined_to_the_complete_document() {
    let mut partial = PartialDocument::default();
    let text = "routes für alle";
    let first = partial.add(part(6, text, 0, 9), 5_000);
    assert_eq!(first, Ok((None, 0)));
    let query = partial.query(true, true);
    assert_eq!(query.resume_offset(6, text.len()), 9);
    assert_eq!(query.resume_offset(7, text.len()), 0);
    let complete = CompleteDocument {
        content: text.to_owned(),
        newest_at_ms: 5_900,
    };
    let last = partial.add(part(6, text, 9, text.len()), 6_000);
    assert_eq!(last, Ok((Some(complete), 0)));
    assert_eq!(partial.version(), None);
}

#[test]
fn a_part_of_another_version_discards_earlier_parts() {
    let mut partial = PartialDocument::default();
    let first = partial.add(part(6, "abcdef", 0, 3), 5_000);
    assert_eq!(first, Ok((None, 0)));
    assert_eq!(partial.add(part(7, "ghijkl", 0, 2), 5_000), Ok((None, 3)));
    assert_eq!(partial.query(true, true).received_bytes, 2);
}

#[test]
fn a_part_out_of_sequence_is_rejected() {
    let mut partial = PartialDocument::default();
    let first = partial.add(part(6, "abcdef", 0, 3), 5_000);
    assert_eq!(first, Ok((None, 0)));
    let gap = partial.add(part(6, "abcdef", 4, 6), 5_000);
    assert_eq!(gap, Err(DocumentPartError::OutOfSequence));
    assert_eq!(partial.query(true, true).received_bytes, 3);
}

#[test]
fn parts_of_a_known_version_are_discarded() {
    let mut partial = PartialDocument::default();
    let first = partial.add(part(6, "abcdef", 0, 3), 5_000);
    assert_eq!(first, Ok((None, 0)));
    assert_eq!(partial.discard_known(5), 0);
    assert_eq!(partial.discard_known(6), 3);
    assert_eq!(partial.version(), None);
}

proptest! {
    #[test]
    fn query_round_trip(is_wanted: bool, version: u64, received_bytes: u64, takes_changes: bool) {
        let query = DocumentQuery { is_wanted, version, received_bytes, takes_changes };
        let text = format!("table=1&list=2&{}", query.to_query_string());
        prop_assert_eq!(DocumentQuery::from_query(&text), query);
    }
}
