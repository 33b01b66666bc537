//! The JSON-RPC interfaces of a control process, over WebSocket. One listener serves all three.
//!
//! Every call carries the caller's key: the processes' shared key for [`LocalApi`] and
//! [`PeerApi`], an operator's key for [`OperatorApi`]. A fault is an error object whose `data` is
//! an [`OperatorFault`](crate::wire::operator::OperatorFault).

mod fault;

pub use fault::{fault_of, into_error_object};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use crate::ids::ServiceName;
use crate::wire::local::{EntryReport, ExchangeReply};
use crate::wire::operator::{
    AcceptReply, AcceptRequest, AuditPage, DocumentReply, ExplainReply, ExplainSubject,
    HistoryEntry, StatusReply,
};
use crate::wire::peer::{FetchDocuments, FetchedDocuments, PeerMessage, PeerReply};

/// Largest response of any call, in bytes: a snapshot, or the documents of a whole cell.
pub const MAX_MESSAGE_BYTES: u32 = 32 * 1024 * 1024;
/// Largest request that a control takes, in bytes: one document, or a report. It is read before
/// its key is looked at.
pub const MAX_REQUEST_BYTES: u32 = 1024 * 1024;

/// Calls of an entry to the control of its own instance.
#[rpc(client, server, namespace = "local")]
pub trait LocalApi {
    /// Hands in the entry's report; the reply has what the entry does not know yet.
    #[method(name = "exchange")]
    async fn exchange(
        &self,
        key: String,
        report: EntryReport,
    ) -> Result<ExchangeReply, ErrorObjectOwned>;
}

/// Calls between the controls of one cell.
#[rpc(client, server, namespace = "peer")]
pub trait PeerApi {
    /// Exchanges heartbeats and digests; each side answers with what the other lacks.
    #[method(name = "gossip")]
    async fn gossip(
        &self,
        key: String,
        message: PeerMessage,
    ) -> Result<PeerReply, ErrorObjectOwned>;

    /// Fetches documents in force at the called instance.
    #[method(name = "fetch")]
    async fn fetch(
        &self,
        key: String,
        fetch: FetchDocuments,
    ) -> Result<FetchedDocuments, ErrorObjectOwned>;

    /// Explains from the decisions kept at the called instance only.
    #[method(name = "explain")]
    async fn explain(
        &self,
        key: String,
        subject: ExplainSubject,
    ) -> Result<ExplainReply, ErrorObjectOwned>;
}

/// Calls of operators; each is checked against the documents in force.
#[rpc(client, server, namespace = "operator")]
pub trait OperatorApi {
    /// Accepts a document on top of the revision it was made from. Idempotent by change id.
    #[method(name = "accept")]
    async fn accept(
        &self,
        key: String,
        request: AcceptRequest,
    ) -> Result<AcceptReply, ErrorObjectOwned>;

    /// The documents in force at this instance that the operator may read.
    #[method(name = "documents")]
    async fn documents(&self, key: String) -> Result<Vec<HistoryEntry>, ErrorObjectOwned>;

    /// One document: the one in force, or a past revision.
    #[method(name = "document")]
    async fn document(
        &self,
        key: String,
        service: ServiceName,
        revision: Option<u64>,
    ) -> Result<DocumentReply, ErrorObjectOwned>;

    /// Accepted revisions, newest first.
    #[method(name = "history")]
    async fn history(
        &self,
        key: String,
        service: ServiceName,
        limit: u32,
    ) -> Result<Vec<HistoryEntry>, ErrorObjectOwned>;

    /// The cell as this instance knows it.
    #[method(name = "status")]
    async fn status(&self, key: String) -> Result<StatusReply, ErrorObjectOwned>;

    /// A page of the audit trail, oldest first; `after` is a cursor from an earlier page.
    #[method(name = "audit")]
    async fn audit(
        &self,
        key: String,
        after: Option<String>,
        limit: u32,
    ) -> Result<AuditPage, ErrorObjectOwned>;

    /// Explains what was decided about a request, an endpoint or an account, and why.
    #[method(name = "explain")]
    async fn explain(
        &self,
        key: String,
        subject: ExplainSubject,
    ) -> Result<ExplainReply, ErrorObjectOwned>;

    /// The process's counters, as text.
    #[method(name = "metrics")]
    async fn metrics(&self, key: String) -> Result<String, ErrorObjectOwned>;
}
