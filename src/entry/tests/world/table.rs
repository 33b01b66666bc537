//! The table service: conditional transactions, whose replies may be lost.

use indexmap::IndexMap;

use super::{Lifetime, World};
use crate::instance::{CallId, EntryMessage, TableCall, TableReply};
use crate::platform::TableFailure;
use crate::wire::platform::{Condition, Row, Rows, TransactReply, Transaction, Write};

#[derive(Debug, Default)]
pub(super) struct Table {
    rows: IndexMap<String, Row>,
    version: u64,
    pub(super) outage_until_ms: u64,
}

impl Table {
    fn transact(&mut self, transaction: &Transaction) -> TransactReply {
        let unmet = |condition: &&Condition| match condition {
            Condition::BeAbsent { key } => self.rows.contains_key(key),
            Condition::BeAtVersion { key, version } => {
                self.rows.get(key).is_none_or(|row| row.version != *version)
            }
        };
        let unmet: Vec<&Condition> = transaction.conditions.iter().filter(unmet).collect();
        if !unmet.is_empty() {
            let rows = unmet.iter().filter_map(|condition| match condition {
                Condition::BeAbsent { key } | Condition::BeAtVersion { key, .. } => {
                    self.rows.get(key).cloned()
                }
            });
            let rows = rows.collect();
            return TransactReply::Conflict { rows };
        }
        self.version += 1;
        for write in &transaction.writes {
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
        TransactReply::Committed {
            version: self.version,
        }
    }

    fn read(&self, keys: &[String]) -> Rows {
        let rows = keys.iter().filter_map(|key| self.rows.get(key).cloned());
        Rows {
            rows: rows.collect(),
        }
    }
}

impl World {
    pub(super) fn call_table(&mut self, by: Lifetime, call: CallId, table: TableCall) {
        let failure = self.table_failure();
        let takes_effect = match failure {
            Some(TableFailure::ReplyLost) => self.draw(0, 2) == 0,
            Some(_) => false,
            None => true,
        };
        let reply = takes_effect.then(|| match &table {
            TableCall::Transact(it) => TableReply::Transacted(self.table.transact(it)),
            TableCall::Read(it) => TableReply::Read(self.table.read(&it.keys)),
            TableCall::Scan(_) => TableReply::Read(Rows::default()),
        });
        let result = match (failure, reply) {
            (None, Some(reply)) => Ok(reply),
            (failure, _) => Err(failure.unwrap_or(TableFailure::NotSent)),
        };
        let wait_ms = match result {
            Err(TableFailure::ReplyLost) => 1_000,
            _ => self.draw(1, 20),
        };
        self.tell(wait_ms, by, EntryMessage::TableAnswered { call, result });
    }

    fn table_failure(&mut self) -> Option<TableFailure> {
        if self.now_ms < self.table.outage_until_ms {
            return Some(TableFailure::NotSent);
        }
        if self.fault(12) {
            return Some(TableFailure::ReplyLost);
        }
        self.fault(20).then_some(TableFailure::Throttled)
    }
}
