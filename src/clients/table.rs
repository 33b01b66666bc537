//! The table service.

use std::future::Future;

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::TableFailure;
use super::http::{HttpCall, HttpPeer};
use crate::instance::{TableCall, TableReply};
use crate::wire::platform::{ReadRows, Rows, ScanRows, TransactReply, Transaction};

const REPLY_LIMIT_BYTES: usize = 16 << 20;

/// The platform's transactional table service.
pub trait TableService {
    /// Writes if the conditions hold.
    fn transact(
        &self,
        transaction: &Transaction,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<TransactReply, TableFailure>>;

    /// Reads rows by key.
    fn read(
        &self,
        ask: &ReadRows,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Rows, TableFailure>>;

    /// Reads rows in key order.
    fn scan(
        &self,
        ask: &ScanRows,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Rows, TableFailure>>;
}

/// Makes one call, whichever it is.
pub(crate) async fn call_table<T>(
    table: &T,
    ask: &TableCall,
    timeout_ms: u64,
) -> Result<TableReply, TableFailure>
where
    T: TableService,
{
    match ask {
        TableCall::Transact(transaction) => {
            let reply = table.transact(transaction, timeout_ms).await?;
            Ok(TableReply::Transacted(reply))
        }
        TableCall::Read(rows) => {
            let rows = table.read(rows, timeout_ms).await?;
            Ok(TableReply::Read(rows))
        }
        TableCall::Scan(rows) => {
            let rows = table.scan(rows, timeout_ms).await?;
            Ok(TableReply::Read(rows))
        }
    }
}

/// The table service over HTTP.
pub struct HttpTable {
    peer: HttpPeer,
}

impl HttpTable {
    /// The service under a base URL.
    pub fn new(base_url: &str) -> Self {
        Self {
            peer: HttpPeer::new(base_url),
        }
    }

    async fn call<A, R>(&self, path: &str, ask: &A, timeout_ms: u64) -> Result<R, TableFailure>
    where
        A: Serialize,
        R: DeserializeOwned,
    {
        let call = HttpCall::post_json(path, ask)?;
        let reply = self.peer.call(call, timeout_ms, REPLY_LIMIT_BYTES).await?;
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

    async fn read(&self, ask: &ReadRows, timeout_ms: u64) -> Result<Rows, TableFailure> {
        self.call("/v1/read", ask, timeout_ms).await
    }

    async fn scan(&self, ask: &ScanRows, timeout_ms: u64) -> Result<Rows, TableFailure> {
        self.call("/v1/scan", ask, timeout_ms).await
    }
}
