//! The queue loses nothing without saying so.

use super::{AuditQueue, audit_page, audit_scan};
use crate::control::tests::fake_table::FakeTable;
use crate::ids::{Incarnation, InstanceId};
use crate::instance::{TableCall, TableReply};
use crate::wire::operator::{AuditActor, AuditEntry, AuditEvent};

fn queue() -> AuditQueue {
    let incarnation: Incarnation =
        serde_json::from_str("\"00000000-0000-0000-0000-000000000001\"").unwrap();
    AuditQueue::new(InstanceId::from("entry-0"), incarnation)
}

fn entry(at_unix_ms: u64) -> AuditEntry {
    AuditEntry {
        at_unix_ms,
        instance: InstanceId::from("entry-0"),
        actor: AuditActor::System,
        event: AuditEvent::InstanceJoined {
            instance: InstanceId::from(format!("i-{at_unix_ms}")),
        },
    }
}

/// Writes until nothing is due any more.
fn drain(queue: &mut AuditQueue, table: &mut FakeTable, mut now_ms: u64) {
    while !queue.is_empty() {
        now_ms += 10_000;
        let transaction = queue.due(now_ms).unwrap();
        table.call(&TableCall::Transact(transaction));
        queue.answered(true);
    }
}

fn read(table: &mut FakeTable) -> Vec<AuditEntry> {
    let scan = audit_scan(None, 200);
    match table.call(&TableCall::Scan(scan.clone())) {
        TableReply::Read(rows) => audit_page(&rows.rows, &scan).entries,
        TableReply::Transacted(_) => panic!("a scan was answered like a write"),
    }
}

#[test]
fn entries_are_written_in_batches_and_read_in_order() {
    let mut queue = queue();
    let mut table = FakeTable::default();
    let entries: Vec<AuditEntry> = (1..=450).map(entry).collect();
    entries.iter().cloned().for_each(|entry| queue.push(entry));
    drain(&mut queue, &mut table, 0);
    assert_eq!(read(&mut table), entries);
    assert_eq!(table.calls, 3 + 1);
}

#[test]
fn a_batch_whose_reply_was_lost_is_written_once() {
    let mut queue = queue();
    let mut table = FakeTable::default();
    queue.push(entry(1));
    let transaction = queue.due(0).unwrap();
    table.call(&TableCall::Transact(transaction));
    queue.answered(false);
    queue.push(entry(2));
    drain(&mut queue, &mut table, 0);
    assert_eq!(read(&mut table), [entry(1), entry(2)]);
}

#[test]
fn what_a_long_outage_drops_is_marked() {
    let mut queue = queue();
    let mut table = FakeTable::default();
    (1..=2_500).for_each(|at| queue.push(entry(at)));
    drain(&mut queue, &mut table, 0);
    let entries = read(&mut table);
    let gap = AuditEvent::Gap {
        dropped: 500,
        from_unix_ms: 1,
        to_unix_ms: 500,
    };
    assert_eq!(entries[0].event, gap);
    assert_eq!(entries.len(), 2_001);
}

#[test]
fn a_drop_while_a_batch_is_under_way_leaves_the_batch_alone() {
    let mut queue = queue();
    let mut table = FakeTable::default();
    (1..=2_000).for_each(|at| queue.push(entry(at)));
    let transaction = queue.due(0).unwrap();
    (2_001..=2_010).for_each(|at| queue.push(entry(at)));
    table.call(&TableCall::Transact(transaction));
    queue.answered(true);
    drain(&mut queue, &mut table, 0);
    let written = read(&mut table).len();
    // All but the ten that were dropped, and the mark of the gap.
    assert_eq!(written, 2_010 - 10 + 1);
}

#[test]
fn an_event_of_a_later_release_is_read_as_other() {
    let event: AuditEvent = serde_json::from_str(r#"{"event":"moon_phase","full":true}"#).unwrap();
    assert_eq!(event, AuditEvent::Other);
}
