//! Watches the store for accepted documents with one small read per poll.

use crate::clients::TableFailure;
use crate::ids::ServiceName;
use crate::instance::{TableCall, TableReply};
use crate::wire::operator::DocumentReply;
use crate::wire::platform::{ReadRows, Row, ScanRows};

use super::held::Documents;
use super::rows::{CHANGES_KEY, HEAD_PREFIX, HeadRow, document_key, find_row, read_row};

/// Head rows read in one scan; more services are read in further scans.
const HEADS_PER_SCAN: u32 = 256;
/// Pause after a first failure; it doubles up to the usual pause between polls.
const RETRY_MS: u64 = 200;
/// Documents read in one call, so that a reply stays far below any limit.
const DOCUMENTS_PER_READ: usize = 8;

/// Where a poll has got to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Idle,
    Changes,
    Heads {
        /// Services whose head is newer than the document in force.
        newer: Vec<ServiceName>,
    },
    Documents {
        /// Services still to read behind the ones asked for.
        rest: Vec<ServiceName>,
    },
}

/// What a poll wants next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WatchStep {
    /// One more call.
    Call(TableCall),
    /// The store has been read; the documents may be newer than those in force.
    Read(Vec<DocumentReply>),
    /// More of the documents, and one more call.
    ReadAndCall(Vec<DocumentReply>, TableCall),
    /// The store did not answer.
    Failed,
}

/// Polls the store, one call at a time.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    step: Step,
    /// Time of the next poll, or of the repetition of a call that failed.
    next_ms: u64,
    /// When the next poll is due if this one ends well.
    next_poll_ms: u64,
    /// Version of the changes row as of the last whole poll; `None` before the first.
    seen: Option<u64>,
    /// Version of the changes row as of this poll.
    reading: u64,
    /// Whether the last call succeeded.
    reachable: bool,
    /// The call that is under way, or failed and is to be repeated.
    call: Option<TableCall>,
    under_way: bool,
    /// Failures since the last call that succeeded.
    failures: u32,
}

impl Watch {
    /// The first poll is due at once.
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            step: Step::Idle,
            next_ms: now_ms,
            next_poll_ms: now_ms,
            seen: None,
            reading: 0,
            reachable: false,
            call: None,
            under_way: false,
            failures: 0,
        }
    }

    /// Whether the store has been read whole at least once.
    pub(crate) fn has_read(&self) -> bool {
        self.seen.is_some()
    }

    /// Whether the last call succeeded.
    pub(crate) fn reachable(&self) -> bool {
        self.reachable
    }

    /// Starts a poll, or repeats a call that failed, if that is due.
    pub(crate) fn poll(&mut self, period_ms: u64, now_ms: u64) -> Option<TableCall> {
        self.next_ms = self.next_ms.min(now_ms + period_ms);
        if self.under_way || now_ms < self.next_ms {
            return None;
        }
        self.next_ms = now_ms + self.pause_ms(period_ms);
        self.under_way = true;
        if self.call.is_none() {
            self.next_poll_ms = now_ms + period_ms;
            self.step = Step::Changes;
            self.call = Some(TableCall::Read(ReadRows {
                keys: vec![CHANGES_KEY.to_owned()],
            }));
        }
        self.call.clone()
    }

    /// How long to wait if the next call fails. A store that fails often is left alone for as
    /// long as between two polls.
    fn pause_ms(&self, period_ms: u64) -> u64 {
        let doubled = RETRY_MS.saturating_mul(1 << self.failures.min(10));
        doubled.min(period_ms)
    }

    /// Takes the answer to the poll's last call.
    pub(crate) fn answered(
        &mut self,
        result: Result<TableReply, TableFailure>,
        documents: &Documents,
    ) -> WatchStep {
        let Ok(TableReply::Read(rows)) = result else {
            self.reachable = false;
            self.under_way = false;
            self.failures = self.failures.saturating_add(1);
            return WatchStep::Failed;
        };
        self.reachable = true;
        self.failures = 0;
        let next = match std::mem::replace(&mut self.step, Step::Idle) {
            Step::Idle => WatchStep::Failed,
            Step::Changes => self.changes_read(&rows.rows),
            Step::Heads { newer } => self.heads_read(&rows.rows, newer, documents),
            Step::Documents { rest } => self.documents_read(&rows.rows, rest),
        };
        self.call = match &next {
            WatchStep::Call(call) | WatchStep::ReadAndCall(_, call) => Some(call.clone()),
            WatchStep::Read(_) | WatchStep::Failed => None,
        };
        self.under_way = self.call.is_some();
        if !self.under_way {
            self.next_ms = self.next_poll_ms;
        }
        next
    }

    fn changes_read(&mut self, rows: &[Row]) -> WatchStep {
        let version = find_row(rows, CHANGES_KEY).map_or(0, |row| row.version);
        if self.seen.is_some_and(|seen| seen >= version) {
            return WatchStep::Read(Vec::new());
        }
        self.reading = version;
        self.step = Step::Heads { newer: Vec::new() };
        WatchStep::Call(scan_heads(None))
    }

    fn heads_read(
        &mut self,
        rows: &[Row],
        mut newer: Vec<ServiceName>,
        documents: &Documents,
    ) -> WatchStep {
        newer.extend(rows.iter().filter_map(|row| newer_head(row, documents)));
        if rows.len() >= HEADS_PER_SCAN as usize {
            let after = rows.last().map(|row| row.key.clone());
            self.step = Step::Heads { newer };
            return WatchStep::Call(scan_heads(after));
        }
        match self.next_documents(newer) {
            Some(call) => WatchStep::Call(call),
            None => WatchStep::Read(Vec::new()),
        }
    }

    fn documents_read(&mut self, rows: &[Row], rest: Vec<ServiceName>) -> WatchStep {
        let read = rows.iter().filter_map(read_row).collect();
        match self.next_documents(rest) {
            Some(call) => WatchStep::ReadAndCall(read, call),
            None => WatchStep::Read(read),
        }
    }

    /// Asks for the next documents; without any left the poll is whole.
    fn next_documents(&mut self, mut services: Vec<ServiceName>) -> Option<TableCall> {
        if services.is_empty() {
            self.seen = Some(self.reading);
            return None;
        }
        let rest = services.split_off(services.len().min(DOCUMENTS_PER_READ));
        self.step = Step::Documents { rest };
        Some(TableCall::Read(ReadRows {
            keys: services.iter().map(document_key).collect(),
        }))
    }
}

fn scan_heads(after: Option<String>) -> TableCall {
    TableCall::Scan(ScanRows {
        prefix: HEAD_PREFIX.to_owned(),
        after,
        limit: HEADS_PER_SCAN,
    })
}

fn newer_head(row: &Row, documents: &Documents) -> Option<ServiceName> {
    let service = ServiceName::from(row.key.strip_prefix(HEAD_PREFIX)?);
    let head: HeadRow = read_row(row)?;
    (head.revision > documents.revision(&service)).then_some(service)
}
