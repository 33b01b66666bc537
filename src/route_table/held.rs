//! The newest version of the table and its age.

use std::rc::Rc;

use super::RouteTable;

/// A version and the operator's document that it was made from.
#[derive(Clone, Debug, PartialEq)]
pub struct TableWithSource {
    /// The version.
    pub table: RouteTable,
    /// The document as the operator wrote it, for peers that cannot read it themselves.
    pub source: String,
}

/// What came of a version that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// It is newer and in force now.
    Applied,
    /// The one in force is as new; its age may have fallen.
    Confirmed,
    /// It is older than the one in force and was dropped.
    Stale,
}

/// The table in force at this process.
#[derive(Debug, Default)]
pub struct CurrentTable {
    table: Option<Rc<RouteTable>>,
    /// The document of that table; empty while there is none.
    source: String,
    /// When the table was surely the newest one. Never falls.
    confirmed_at_ms: u64,
}

impl CurrentTable {
    /// The table in force, if any is known.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// The operator's document that the table in force was made from, if any is known.
    pub fn source(&self) -> Option<&str> {
        self.table.is_some().then_some(self.source.as_str())
    }

    /// Takes a version that was read by a call sent at `sent_ms`. A process never goes back to an
    /// older version.
    pub fn update(&mut self, offered: TableWithSource, sent_ms: u64) -> TableChange {
        let TableWithSource { table, source } = offered;
        let held = self.table.as_ref().map(|held| held.version);
        let change = match held {
            Some(version) if table.version < version => return TableChange::Stale,
            Some(version) if table.version == version => TableChange::Confirmed,
            _ => {
                self.table = Some(Rc::new(table));
                self.source = source;
                TableChange::Applied
            }
        };
        self.confirm(sent_ms);
        change
    }

    /// Notes that a call sent at `sent_ms` showed nothing newer. Counted from the sending: the
    /// reply may have been under way for any part of the time since. Says nothing where no table is
    /// known: the first one has the age of the call that read it.
    pub fn confirm(&mut self, sent_ms: u64) {
        if self.table.is_some() {
            self.confirmed_at_ms = self.confirmed_at_ms.max(sent_ms);
        }
    }

    /// When the table was last known to be the newest.
    pub fn confirmed_at_ms(&self) -> u64 {
        self.confirmed_at_ms
    }

    /// Time since the table was last known to be the newest.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_at_ms)
    }
}
