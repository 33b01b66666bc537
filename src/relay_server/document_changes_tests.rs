//! Tests of the changes between two versions of the document.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::document_changes::{DocumentChanges, DocumentChangesError, DocumentHistory};

fn document(version: u64, routes: &[u64]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!("{{\"name\":\"r-{route}\",\"backends\":[{{\"service\":\"ü{route}\"}}]}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
}

fn changes_since(history: &DocumentHistory, base: u64, text: &str) -> Option<DocumentChanges> {
    let search_until = Instant::now() + Duration::from_secs(60);
    history.changes_since(base, text, 0, search_until)
}

fn many_routes() -> Vec<u64> {
    (0..1_400).collect()
}

/// Guards against a long document that is sent whole for each of many small changes.
#[test]
fn a_changed_route_of_many_costs_a_few_hundred_bytes() {
    let mut routes = many_routes();
    let before = document(4, &routes);
    routes.remove(300);
    routes[900] = 77_777;
    routes.push(2_000);
    let after = document(16, &routes);
    let mut history = DocumentHistory::default();
    history.record(4, &before);
    history.record(16, &after);
    let changes = changes_since(&history, 4, &after).expect("both are known");
    assert_eq!(changes.apply(&before).as_ref(), Ok(&after));
    assert!(changes.estimated_bytes() < 1_000, "{changes:?}");
}

#[test]
fn changes_reach_over_several_versions() {
    let mut routes = many_routes();
    let mut history = DocumentHistory::default();
    let oldest = document(1, &routes);
    history.record(1, &oldest);
    let mut newest = String::new();
    for version in 2..12 {
        routes.swap_remove(version as usize * 50);
        newest = document(version, &routes);
        history.record(version, &newest);
    }
    let changes = changes_since(&history, 1, &newest).expect("both are known");
    assert_eq!(changes.apply(&oldest), Ok(newest));
}

#[test]
fn changes_are_not_applied_to_another_text_of_the_same_version() {
    let mut history = DocumentHistory::default();
    history.record(1, &document(1, &[1, 2, 3]));
    let newest = document(2, &[1, 2, 3, 4]);
    history.record(2, &newest);
    let changes = changes_since(&history, 1, &newest).expect("both are known");
    let other = document(1, &[1, 9, 3]);
    assert_eq!(
        changes.apply(&other),
        Err(DocumentChangesError::OtherResult)
    );
    assert_eq!(changes.apply("{"), Err(DocumentChangesError::OutOfRange));
}

#[test]
fn a_version_that_is_no_longer_remembered_has_no_changes() {
    let mut history = DocumentHistory::default();
    for version in 1..40 {
        history.record(version, &document(version, &[version]));
    }
    let newest = document(39, &[39]);
    assert!(changes_since(&history, 1, &newest).is_none());
    assert!(changes_since(&history, 38, &newest).is_some());
    assert!(changes_since(&history, 50, &newest).is_none());
}

/// Guards against a diff of two long, unrelated documents that blocks the event loop.
#[test]
fn documents_that_differ_everywhere_are_not_compared_for_long() {
    let before: String = (0..60_000).map(|line| format!("{line}\n")).collect();
    let after: String = (0..60_000)
        .map(|line| format!("{}\n", line * 7 + 1))
        .collect();
    let mut history = DocumentHistory::default();
    history.record(1, &before);
    history.record(2, &after);
    let started = Instant::now();
    let changes = history.changes_since(1, &after, 0, started + Duration::from_millis(5));
    let took = started.elapsed();
    assert!(took < Duration::from_millis(500), "{took:?}");
    assert_eq!(changes.expect("both are known").apply(&before), Ok(after));
}

#[test]
fn memory_for_long_documents_is_bounded() {
    let mut history = DocumentHistory::default();
    let lines = "\n".repeat(100_000);
    for version in 1..6 {
        history.record(version, &lines);
    }
    assert!(changes_since(&history, 4, &lines).is_none());
    assert!(changes_since(&history, 5, &lines).is_some());
}

proptest! {
    /// Texts of any kind, also where pieces repeat or are cut within a character's bytes.
    #[test]
    fn changes_lead_from_any_text_to_any_other(
        before in "[a}\\]ü\n]{0,60}",
        after in "[a}\\]ü\n]{0,60}",
    ) {
        let mut history = DocumentHistory::default();
        history.record(1, &before);
        history.record(2, &after);
        let changes = changes_since(&history, 1, &after).expect("both are known");
        prop_assert_eq!(changes.apply(&before), Ok(after));
    }
}
