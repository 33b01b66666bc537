//! Snapshots and queries: documents, located entries, readiness and stopping.

use super::fixture::*;
use crate::entry::Entry;
use crate::instance::{EntryEffect, EntryMessage};
use crate::outcome::RefusalCode;
use crate::routing::FlowWeighted;

#[test]
fn a_document_never_goes_back_to_a_lower_revision() {
    let mut entry = entry();
    let mut newer = snapshot(2);
    for document in &mut newer.documents {
        document.revision = 5;
        document.text = document.text.replace("menu-mind-24b", "menu-mind-30b");
    }
    entry.handle(EntryMessage::SnapshotChanged { snapshot: newer }, 10);
    let older = snapshot(3);
    entry.handle(EntryMessage::SnapshotChanged { snapshot: older }, 20);
    let models = entry.models(Some(KEY)).unwrap();
    assert_eq!(models[0].model, "menu-mind-30b");
    assert_eq!(entry.take_counts()["entry.documents.older"], 2);
}

#[test]
fn a_document_that_does_not_check_leaves_what_is_in_force() {
    let mut entry = entry();
    let mut faulty = snapshot(2);
    faulty.documents[0].revision = 2;
    faulty.documents[0].text = "kind = 7".to_owned();
    entry.handle(EntryMessage::SnapshotChanged { snapshot: faulty }, 10);
    assert_eq!(entry.models(Some(KEY)).unwrap().len(), 1);
}

#[test]
fn a_document_left_out_of_a_snapshot_stays_in_force() {
    let mut entry = entry();
    let mut empty = snapshot(2);
    empty.documents.clear();
    entry.handle(EntryMessage::SnapshotChanged { snapshot: empty }, 10);
    assert!(entry.is_ready());
    assert_eq!(entry.models(Some(KEY)).unwrap().len(), 1);
}

#[test]
fn locate_names_serving_entries_of_more_than_one_zone() {
    let entry = entry();
    let answer = entry.locate(&"menu-mind".into(), "caller").unwrap();
    let names: Vec<&str> = answer.entries.iter().map(|e| e.instance.as_str()).collect();
    assert_eq!(names.len(), 3);
    assert_eq!(names[2], "entry-marsa-1");
    assert_eq!(
        entry.locate(&"no-such".into(), "caller").unwrap_err().code,
        RefusalCode::UnknownService
    );
}

#[test]
fn locate_spreads_callers_and_is_stable_for_each() {
    let entry = entry();
    let first = |caller: &str| {
        let answer = entry.locate(&"menu-mind".into(), caller).unwrap();
        answer.entries[0].instance.clone()
    };
    let on_first = (0..100).filter(|n| first(&format!("c{n}")).as_str() == "entry-lac-1");
    let on_first = on_first.count();
    assert!((25..=75).contains(&on_first), "{on_first} of 100");
    assert_eq!(first("c1"), first("c1"));
}

#[test]
fn an_entry_without_a_document_refuses_and_says_when_to_come_back() {
    let mut entry = Entry::new(config(1), FlowWeighted);
    assert!(!entry.is_ready());
    let effects = arrive(&mut entry, 1, completion(KEY, "r1", 2), 10);
    assert!(matches!(
        effects.as_slice(),
        [EntryEffect::SendRefusal { refusal, .. }]
            if refusal.code == RefusalCode::NotReady && refusal.retry_after_ms.is_some()
    ));
}

#[test]
fn a_stopping_entry_finishes_what_runs_and_takes_nothing_new() {
    let mut entry = entry();
    let (call, _) = opened(&arrive(&mut entry, 1, completion(KEY, "r1", 1), 10)).unwrap();
    assert!(
        !entry
            .handle(EntryMessage::Stop, 20)
            .contains(&EntryEffect::Stopped)
    );
    let located = entry.locate(&"menu-mind".into(), "caller").unwrap();
    assert!(
        located
            .entries
            .iter()
            .all(|e| e.instance.as_str() != "entry-lac-1")
    );
    let refused = arrive(&mut entry, 2, completion(KEY, "r2", 1), 30);
    assert!(matches!(
        refused.as_slice(),
        [EntryEffect::SendRefusal { refusal, .. }] if refusal.code == RefusalCode::Stopping
    ));
    entry.handle(token(call, 1, 0), 40);
    let event = crate::wire::engine::StreamEvent::End {
        epoch: 1,
        positions: 1,
        reason: crate::wire::engine::EndReason::Stop,
    };
    let last = entry.handle(EntryMessage::StreamEvent { call, event }, 41);
    assert_eq!(last.last(), Some(&EntryEffect::Stopped));
}
