//! Rows in memory, with conditional transactions.

use std::collections::BTreeMap;

use fescueshore::wire::platform::{
    Condition, ReadRows, Row, Rows, ScanRows, TransactReply, Transaction, Write,
};

/// The rows, in key order since scans need it.
#[derive(Debug, Default)]
pub(crate) struct Store {
    rows: BTreeMap<String, Row>,
    /// Version of the last commit; only grows.
    version: u64,
}

impl Store {
    /// Applies all writes if all conditions hold, else none.
    pub(crate) fn transact(&mut self, transaction: Transaction) -> TransactReply {
        let unmet: Vec<&Condition> = transaction
            .conditions
            .iter()
            .filter(|condition| !self.holds(condition))
            .collect();
        if !unmet.is_empty() {
            let rows = unmet
                .into_iter()
                .filter_map(|condition| self.rows.get(key_of(condition)).cloned())
                .collect();
            return TransactReply::Conflict { rows };
        }
        self.version += 1;
        for write in transaction.writes {
            self.write(write);
        }
        TransactReply::Committed {
            version: self.version,
        }
    }

    fn holds(&self, condition: &Condition) -> bool {
        match condition {
            Condition::BeAbsent { key } => !self.rows.contains_key(key),
            Condition::BeAtVersion { key, version } => self
                .rows
                .get(key)
                .is_some_and(|row| row.version == *version),
        }
    }

    fn write(&mut self, write: Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    version: self.version,
                    value,
                };
                self.rows.insert(key, row);
            }
            Write::Delete { key } => {
                self.rows.remove(&key);
            }
        }
    }

    /// Reads rows by key; those that do not exist are left out.
    pub(crate) fn read(&self, ask: &ReadRows) -> Rows {
        let rows = ask
            .keys
            .iter()
            .filter_map(|key| self.rows.get(key).cloned())
            .collect();
        Rows { rows }
    }

    /// Reads rows in key order.
    pub(crate) fn scan(&self, ask: &ScanRows) -> Rows {
        let rows = self
            .rows
            .range(ask.prefix.clone()..)
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(&ask.prefix))
            .filter(|row| ask.after.as_ref().is_none_or(|after| row.key > *after))
            .take(ask.limit as usize)
            .cloned()
            .collect();
        Rows { rows }
    }

    /// Number of rows.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }
}

fn key_of(condition: &Condition) -> &str {
    match condition {
        Condition::BeAbsent { key } | Condition::BeAtVersion { key, .. } => key,
    }
}
