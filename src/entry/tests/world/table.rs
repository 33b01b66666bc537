//! Simulated table service: conditional transactions whose replies may be lost.

use super::{Lifetime, Simulation};
use crate::clients::TableFailure;
use crate::control::tests::fake_table::FakeTable;
use crate::instance::{CallId, EntryMessage, TableCall};

/// The table's rows and the end of the current outage.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: FakeTable,
    pub(super) outage_until_ms: u64,
}

impl Simulation {
    pub(super) fn call_table(&mut self, by: Lifetime, call: CallId, table: TableCall) {
        let failure = self.table_failure();
        let takes_effect = match failure {
            Some(TableFailure::ReplyLost) => self.draw(0, 2) == 0,
            Some(_) => false,
            None => true,
        };
        let reply = takes_effect.then(|| self.table.rows.call(&table));
        let result = match (failure, reply) {
            (None, Some(reply)) => Ok(reply),
            (failure, _) => Err(failure.unwrap_or(TableFailure::NotSent)),
        };
        let wait_ms = match result {
            Err(TableFailure::ReplyLost) => 1_000,
            _ => self.draw(1, 20),
        };
        self.send(wait_ms, by, EntryMessage::TableAnswered { call, result });
    }

    fn table_failure(&mut self) -> Option<TableFailure> {
        if self.now_ms < self.table.outage_until_ms {
            return Some(TableFailure::NotSent);
        }
        if self.draw_fault(12) {
            return Some(TableFailure::ReplyLost);
        }
        self.draw_fault(20).then_some(TableFailure::Throttled)
    }
}
