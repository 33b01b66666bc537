//! Entries waiting to be written. Bounded: what does not fit is dropped and leaves a marked gap.

use std::collections::VecDeque;

use crate::ids::{Incarnation, InstanceId};
use crate::wire::operator::{AuditActor, AuditEntry, AuditEvent};
use crate::wire::platform::{Transaction, Write};

use super::rows::batch_write;

/// Most entries kept in memory.
const QUEUE_LIMIT: usize = 2_000;
/// Most entries in one row.
const BATCH_LIMIT: usize = 200;
/// Pause between two batches.
const BATCH_PERIOD_MS: u64 = 2_000;

/// Entries dropped since the last batch that was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Dropped {
    entries: u64,
    from_unix_ms: u64,
    to_unix_ms: u64,
}

/// A batch that is being written.
#[derive(Clone, Debug)]
struct Batch {
    /// How many entries at the front of the queue it holds.
    entries: usize,
    write: Write,
}

/// Entries waiting to be written, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct AuditQueue {
    instance: InstanceId,
    incarnation: Incarnation,
    entries: VecDeque<AuditEntry>,
    dropped: Option<Dropped>,
    /// Kept until it is known to be written; a repeat writes the same row.
    batch: Option<Batch>,
    under_way: bool,
    next_number: u64,
    next_ms: u64,
}

impl AuditQueue {
    /// An empty queue of one control process.
    pub(crate) fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            entries: VecDeque::new(),
            dropped: None,
            batch: None,
            under_way: false,
            next_number: 0,
            next_ms: 0,
        }
    }

    /// Adds an entry; where the queue is full, the oldest one that is not being written goes.
    pub(crate) fn push(&mut self, entry: AuditEntry) {
        if self.entries.len() >= QUEUE_LIMIT {
            let first_free = self.batch.as_ref().map_or(0, |batch| batch.entries);
            if let Some(oldest) = self.entries.remove(first_free) {
                self.count_dropped(oldest.at_unix_ms);
            }
        }
        self.entries.push_back(entry);
    }

    /// Whether everything has been written.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.dropped.is_none()
    }

    /// The next batch to write, if one is due.
    pub(crate) fn due(&mut self, now_ms: u64) -> Option<Transaction> {
        if self.under_way || now_ms < self.next_ms || self.is_empty() {
            return None;
        }
        let write = match &self.batch {
            Some(batch) => batch.write.clone(),
            None => self.make_batch()?,
        };
        self.under_way = true;
        self.next_ms = now_ms + BATCH_PERIOD_MS;
        Some(Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        })
    }

    /// Tells whether the batch was written. One whose reply was lost is written again, into the
    /// same row.
    pub(crate) fn answered(&mut self, written: bool) {
        self.under_way = false;
        if !written {
            return;
        }
        if let Some(batch) = self.batch.take() {
            self.entries.drain(..batch.entries.min(self.entries.len()));
        }
    }

    fn make_batch(&mut self) -> Option<Write> {
        if let Some(gap) = self.dropped.take() {
            self.entries.push_front(self.gap_entry(gap));
        }
        let entries = self.entries.len().min(BATCH_LIMIT);
        let batch: Vec<AuditEntry> = self.entries.iter().take(entries).cloned().collect();
        let write = batch_write(self.incarnation, self.next_number, &batch).ok()?;
        self.next_number += 1;
        self.batch = Some(Batch {
            entries,
            write: write.clone(),
        });
        Some(write)
    }

    fn count_dropped(&mut self, at_unix_ms: u64) {
        let dropped = self.dropped.get_or_insert(Dropped {
            entries: 0,
            from_unix_ms: at_unix_ms,
            to_unix_ms: at_unix_ms,
        });
        dropped.entries += 1;
        dropped.to_unix_ms = at_unix_ms;
    }

    fn gap_entry(&self, gap: Dropped) -> AuditEntry {
        AuditEntry {
            at_unix_ms: gap.from_unix_ms,
            instance: self.instance.clone(),
            actor: AuditActor::System,
            event: AuditEvent::Gap {
                dropped: gap.entries,
                from_unix_ms: gap.from_unix_ms,
                to_unix_ms: gap.to_unix_ms,
            },
        }
    }
}
