//! The newest version of the table and its age.

use std::rc::Rc;

use super::RouteTable;

/// What came of a version that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// It is newer and in force now.
    InForce,
    /// The one in force is as new; its age may have fallen.
    Confirmed,
    /// It is older than the one in force and was dropped.
    Older,
}

/// The table in force at this process.
#[derive(Debug, Default)]
pub struct HeldTable {
    table: Option<Rc<RouteTable>>,
    /// When the table was surely the newest one. Never falls.
    newest_at_ms: u64,
}

impl HeldTable {
    /// The table in force, if any is known.
    pub fn table(&self) -> Option<&Rc<RouteTable>> {
        self.table.as_ref()
    }

    /// Takes a version that was read by a call sent at `sent_ms`. A process never goes back to an
    /// older version.
    pub fn offer(&mut self, table: RouteTable, sent_ms: u64) -> TableChange {
        let held = self.table.as_ref().map(|held| held.version);
        let change = match held {
            Some(version) if table.version < version => return TableChange::Older,
            Some(version) if table.version == version => TableChange::Confirmed,
            _ => {
                self.table = Some(Rc::new(table));
                TableChange::InForce
            }
        };
        self.confirm(sent_ms);
        change
    }

    /// Notes that a call sent at `sent_ms` showed nothing newer. Counted from the sending: the
    /// reply may have been under way for any part of the time since.
    pub fn confirm(&mut self, sent_ms: u64) {
        self.newest_at_ms = self.newest_at_ms.max(sent_ms);
    }

    /// When the table was last known to be the newest.
    pub fn newest_at_ms(&self) -> u64 {
        self.newest_at_ms
    }

    /// Time since the table was last known to be the newest.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.newest_at_ms)
    }
}
