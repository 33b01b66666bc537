//! Model version changes: chains of the old version serve until chains of the new one can.

use super::fixture::*;
use crate::entry::tests::fixture::TestEntry;
use crate::instance::EntryMessage;

fn version_of(entry: &mut TestEntry, caller: u64, now_ms: u64) -> Option<String> {
    let request = completion(KEY, &format!("r-{caller}"), 4);
    let effects = arrive(entry, caller, request, now_ms);
    opened(&effects).map(|(_, open)| open.version)
}

/// Puts a document with version `v2` in force; no engine holds it yet.
fn accept_v2(entry: &mut TestEntry) {
    let mut snapshot = snapshot(2);
    let document = &mut snapshot.documents[0];
    document.revision = 2;
    document.text = document.text.replace("\"v1\"", "\"v2\"");
    entry.handle(EntryMessage::SnapshotChanged { snapshot }, 10);
}

fn loads_v2(entry: &mut TestEntry, name: &str, now_ms: u64) {
    let (_, _, first, end) = ENGINES.into_iter().find(|it| it.0 == name).unwrap();
    let mut state = engine_state(name, first, end);
    state.version = "v2".to_owned();
    let endpoint = name.into();
    let state = Some(state);
    entry.handle(EntryMessage::EngineStateRead { endpoint, state }, now_ms);
}

#[test]
fn the_old_version_serves_until_a_whole_chain_of_the_new_one_is_there() {
    let mut entry = entry();
    accept_v2(&mut entry);
    assert_eq!(version_of(&mut entry, 1, 20).as_deref(), Some("v1"));
    loads_v2(&mut entry, "front-1", 30);
    assert_eq!(version_of(&mut entry, 2, 40).as_deref(), Some("v1"));
    loads_v2(&mut entry, "back-1", 50);
    assert_eq!(version_of(&mut entry, 3, 60).as_deref(), Some("v2"));
}

#[test]
fn both_versions_serve_while_engines_change() {
    let mut entry = entry();
    accept_v2(&mut entry);
    loads_v2(&mut entry, "front-1", 30);
    loads_v2(&mut entry, "back-1", 30);
    let versions: Vec<String> = (1..=64)
        .filter_map(|caller| version_of(&mut entry, caller, 40))
        .collect();
    let count = |version: &str| versions.iter().filter(|it| *it == version).count();
    assert!(count("v1") > 0 && count("v2") > 0, "{versions:?}");
}
