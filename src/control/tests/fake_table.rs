//! The table service as a map.

use indexmap::IndexMap;

use crate::instance::{TableCall, TableReply};
use crate::wire::platform::{Condition, Row, Rows, TransactReply, Transaction, Write};

/// Rows and the version of the last write.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeTable {
    pub(crate) rows: IndexMap<String, Row>,
    version: u64,
    /// Calls carried out.
    pub(crate) calls: u64,
}

impl FakeTable {
    /// Carries out one call.
    pub(crate) fn call(&mut self, call: &TableCall) -> TableReply {
        self.calls += 1;
        match call {
            TableCall::Transact(transaction) => TableReply::Transacted(self.transact(transaction)),
            TableCall::Read(ask) => {
                let rows = ask.keys.iter().filter_map(|key| self.rows.get(key));
                TableReply::Read(Rows {
                    rows: rows.cloned().collect(),
                })
            }
            TableCall::Scan(ask) => {
                let after = ask.after.as_deref().unwrap_or("");
                let mut rows: Vec<Row> = self.rows.values().cloned().collect();
                rows.retain(|row| row.key.starts_with(&ask.prefix) && row.key.as_str() > after);
                rows.sort_by(|a, b| a.key.cmp(&b.key));
                rows.truncate(ask.limit as usize);
                TableReply::Read(Rows { rows })
            }
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> TransactReply {
        let unmet = transaction
            .conditions
            .iter()
            .filter(|condition| !self.holds(condition));
        let unmet: Vec<&String> = unmet.map(key_of).collect();
        if !unmet.is_empty() {
            let rows = unmet.iter().filter_map(|key| self.rows.get(*key));
            return TransactReply::Conflict {
                rows: rows.cloned().collect(),
            };
        }
        self.version += 1;
        for write in &transaction.writes {
            self.write(write);
        }
        TransactReply::Committed {
            version: self.version,
        }
    }

    fn holds(&self, condition: &Condition) -> bool {
        let row = self.rows.get(key_of(condition));
        match condition {
            Condition::BeAbsent { .. } => row.is_none(),
            Condition::BeAtVersion { version, .. } => row.is_some_and(|it| it.version == *version),
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    version: self.version,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.swap_remove(key);
            }
        }
    }
}

fn key_of(condition: &Condition) -> &String {
    match condition {
        Condition::BeAbsent { key } | Condition::BeAtVersion { key, .. } => key,
    }
}
