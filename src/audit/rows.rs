//! Rows of the audit trail: `audit/{time}/{writer}/{number}`, each a batch of entries. Keys sort
//! by time, so a scan reads the trail from oldest to newest.

use uuid::Uuid;

use crate::ids::{Incarnation, InstanceId};
use crate::wire::operator::{AuditActor, AuditEntry, AuditEvent, AuditPage, HistoryEntry};
use crate::wire::platform::{Row, ScanRows, Write};

const AUDIT_PREFIX: &str = "audit/";
/// Most rows read for one page.
const PAGE_ROWS: u32 = 200;

/// The row that an acceptance writes in its own transaction.
pub(crate) fn accept_write(
    instance: &InstanceId,
    change: &HistoryEntry,
) -> Result<Write, serde_json::Error> {
    let entry = AuditEntry {
        at_unix_ms: change.at_unix_ms,
        instance: instance.clone(),
        actor: AuditActor::Operator {
            name: change.operator.clone(),
        },
        event: AuditEvent::DocumentAccepted {
            change: change.clone(),
        },
    };
    let key = accept_key(change.at_unix_ms, change.change_id);
    write(key, &[entry])
}

/// The row of one batch. `number` tells the batches of one process apart.
pub(crate) fn batch_write(
    incarnation: Incarnation,
    number: u64,
    entries: &[AuditEntry],
) -> Result<Write, serde_json::Error> {
    let at_unix_ms = entries.first().map_or(0, |entry| entry.at_unix_ms);
    let key = format!("{AUDIT_PREFIX}{at_unix_ms:015}/{incarnation}/{number}");
    write(key, entries)
}

/// The scan that reads one page.
pub(crate) fn audit_scan(after: Option<String>, limit: u32) -> ScanRows {
    let after = after.filter(|after| after.starts_with(AUDIT_PREFIX));
    ScanRows {
        prefix: AUDIT_PREFIX.to_owned(),
        after,
        limit: limit.clamp(1, PAGE_ROWS),
    }
}

/// The page made of the rows that [`audit_scan`] read.
pub(crate) fn audit_page(rows: &[Row], scan: &ScanRows) -> AuditPage {
    let full = rows.len() >= scan.limit as usize;
    let last = rows.last().map(|row| row.key.clone());
    let entries = rows
        .iter()
        .filter_map(|row| serde_json::from_str::<Vec<AuditEntry>>(&row.value).ok())
        .flatten()
        .collect();
    AuditPage {
        entries,
        next: last.filter(|_| full),
    }
}

fn accept_key(at_unix_ms: u64, change: Uuid) -> String {
    format!("{AUDIT_PREFIX}{at_unix_ms:015}/accept/{change}")
}

fn write(key: String, entries: &[AuditEntry]) -> Result<Write, serde_json::Error> {
    Ok(Write::Put {
        key,
        value: serde_json::to_string(entries)?,
    })
}
