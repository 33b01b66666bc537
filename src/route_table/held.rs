//! The newest known version of the route table and its age.

use std::rc::Rc;

use super::RouteTable;

/// A version and the operator's document that it was built from.
#[derive(Clone, Debug, PartialEq)]
pub struct TableWithSource {
    /// The parsed version.
    pub table: RouteTable,
    /// The document as written by the operator, for peers that cannot read it themselves.
    pub source: String,
}

/// Result of offering a version to [`CurrentTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// The version is newer and has been applied.
    Applied,
    /// The version equals the current one, whose age may have decreased.
    Confirmed,
    /// The version is older than the current one and was discarded.
    Stale,
}

/// The route table that this process uses.
#[derive(Debug, Default)]
pub struct CurrentTable {
    table: Option<Rc<RouteTable>>,
    /// The document of the table; empty while there is none.
    source: String,
    /// Latest time at which the table was known to be the newest. Never decreases.
    confirmed_at_ms: u64,
}

impl CurrentTable {
    /// The current table, if any.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// The operator's document that the current table was built from, if any.
    pub fn source(&self) -> Option<&str> {
        self.table.is_some().then_some(self.source.as_str())
    }

    /// Offers a version read by a call sent at `sent_ms`. Older versions are never applied.
    pub fn update(&mut self, offered: TableWithSource, sent_ms: u64) -> TableChange {
        let TableWithSource { table, source } = offered;
        let current = self.table.as_ref().map(|table| table.version);
        let change = match current {
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

    /// Records that a call sent at `sent_ms` found no newer version. The send time counts because
    /// the reply may have been in transit for any part of the time since. Has no effect while there
    /// is no table: the first table has the age of the call that read it.
    pub fn confirm(&mut self, sent_ms: u64) {
        if self.table.is_some() {
            self.confirmed_at_ms = self.confirmed_at_ms.max(sent_ms);
        }
    }

    /// Time at which the table was last known to be the newest.
    pub fn confirmed_at_ms(&self) -> u64 {
        self.confirmed_at_ms
    }

    /// Time since the table was last known to be the newest.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_at_ms)
    }
}
