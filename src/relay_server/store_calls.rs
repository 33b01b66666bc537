//! Calls to the platform's store, counted by cause and outcome.

use super::adapter::Adapter;
use super::node::Node;
use crate::clients::{TableFailure, TableService};
use crate::wire::platform::{Rows, ScanRows, TransactReply, Transaction};

/// Timeout of a call that reads or writes the system's own rows.
const ROWS_TIMEOUT_MS: u64 = 800;

/// Why the store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Reads or watches the route table.
    Table,
    /// Reads or watches the endpoint list.
    Endpoints,
    /// Reads records of a few instances at a start.
    Contacts,
    /// Reads the records of all instances.
    ReadRecords,
    /// Writes records of instances.
    WriteRecords,
    /// Reads or writes rows of the request quarantine.
    Quarantine,
    /// Reads or writes a lease.
    Lease,
}

impl StoreCall {
    /// Name in counters.
    fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Endpoints => "endpoints",
            Self::Contacts => "contacts",
            Self::ReadRecords => "read_records",
            Self::WriteRecords => "write_records",
            Self::Quarantine => "quarantine",
            Self::Lease => "lease",
        }
    }
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// Executes a transaction on the system's own rows.
    pub(crate) async fn transact_rows(
        &self,
        cause: StoreCall,
        transaction: &Transaction,
    ) -> Result<TransactReply, TableFailure> {
        let store = self.adapter.store();
        let reply = store.transact(transaction, ROWS_TIMEOUT_MS).await;
        self.count_store_call(cause, reply.is_ok());
        reply
    }

    /// Reads a range of the system's own rows.
    pub(crate) async fn scan_rows(
        &self,
        cause: StoreCall,
        request: &ScanRows,
    ) -> Result<Rows, TableFailure> {
        let store = self.adapter.store();
        let rows = store.scan(request, ROWS_TIMEOUT_MS).await;
        self.count_store_call(cause, rows.is_ok());
        rows
    }

    /// Counts a call to the store that has ended.
    pub(crate) fn count_store_call(&self, cause: StoreCall, is_answered: bool) {
        let outcome = if is_answered { "answered" } else { "failed" };
        let name = format!("relay.store.calls.{}.{outcome}", cause.name());
        self.counters.count(&name);
    }
}
