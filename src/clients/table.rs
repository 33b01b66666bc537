//! Client for the platform's table service.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::TableFailure;
use super::http::{HttpCall, HttpPeer};
use crate::instance::{TableCall, TableReply};
use crate::wire::platform::{ReadRows, Rows, ScanRows, TransactReply, Transaction};

const MAX_REPLY_BYTES: usize = 16 << 20;

/// The platform's transactional table service.
pub trait TableService {
    /// Commits the writes if all conditions hold.
    fn transact(
        &self,
        transaction: &Transaction,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<TransactReply, TableFailure>>;

    /// Reads rows by key.
    fn read(
        &self,
        request: &ReadRows,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Rows, TableFailure>>;

    /// Reads a range of rows in key order.
    fn scan(
        &self,
        request: &ScanRows,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Rows, TableFailure>>;
}

/// Executes a table call of any kind.
pub(crate) async fn call_table<T>(
    table: &T,
    call: &TableCall,
    timeout_ms: u64,
) -> Result<TableReply, TableFailure>
where
    T: TableService,
{
    match call {
        TableCall::Transact(transaction) => {
            let reply = table.transact(transaction, timeout_ms).await?;
            Ok(TableReply::Transacted(reply))
        }
        TableCall::Read(request) => {
            let rows = table.read(request, timeout_ms).await?;
            Ok(TableReply::Read(rows))
        }
        TableCall::Scan(request) => {
            let rows = table.scan(request, timeout_ms).await?;
            Ok(TableReply::Read(rows))
        }
    }
}

/// [`TableService`] over HTTP.
pub struct HttpTable {
    peer: HttpPeer,
}

impl HttpTable {
    /// Creates a client for a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
        }
    }

    async fn call<A, R>(&self, path: &str, request: &A, timeout_ms: u64) -> Result<R, TableFailure>
    where
        A: Serialize,
        R: DeserializeOwned,
    {
        let call = HttpCall::post_json(path, request)?;
        let reply = self.peer.call(call, timeout_ms, MAX_REPLY_BYTES).await?;
        match reply.status {
            200 => serde_json::from_slice(&reply.body).map_err(|_| TableFailure::ReplyLost),
            429 | 503 => Err(TableFailure::Throttled),
            _ => Err(TableFailure::ReplyLost),
        }
    }
}

impl TableService for HttpTable {
    async fn transact(
        &self,
        transaction: &Transaction,
        timeout_ms: u64,
    ) -> Result<TransactReply, TableFailure> {
        self.call("/v1/transact", transaction, timeout_ms).await
    }

    async fn read(&self, request: &ReadRows, timeout_ms: u64) -> Result<Rows, TableFailure> {
        self.call("/v1/read", request, timeout_ms).await
    }

    async fn scan(&self, request: &ScanRows, timeout_ms: u64) -> Result<Rows, TableFailure> {
        self.call("/v1/scan", request, timeout_ms).await
    }
}
