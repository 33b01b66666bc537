//! Messages and effects of the control's state machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::entry::{CallId, TableCall, TableReply};
use super::key::PresentedKey;
use crate::clients::{EngineCallFailure, InstanceListFailure, TableFailure};
use crate::ids::{EndpointId, ServiceName};
use crate::wire::engine::{EngineOrder, EngineState};
use crate::wire::local::{EntryReport, ExchangeReply};
use crate::wire::operator::{
    AcceptReply, AcceptRequest, AuditEntry, AuditPage, DocumentReply, ExplainReply, ExplainSubject,
    HistoryEntry, OperatorFault, StatusReply,
};
use crate::wire::peer::{FetchDocuments, FetchedDocuments, PeerMessage, PeerReply};
use crate::wire::platform::InstanceList;

/// A call between controls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerCall {
    /// Exchange what is known.
    Gossip(PeerMessage),
    /// Fetch documents in force.
    Fetch(FetchDocuments),
    /// Explain from the decisions kept there.
    Explain(ExplainSubject),
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerAnswer {
    /// Answer to an exchange.
    Gossip(PeerReply),
    /// Answer to a fetch.
    Fetch(FetchedDocuments),
    /// Answer to an explanation.
    Explain(ExplainReply),
}

/// Why a call to a peer has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerFailure {
    /// No connection, or no answer in time.
    #[error("the peer does not answer")]
    NoReply,
    /// The peer answered with a fault.
    #[error("the peer refused the call")]
    Refused,
}

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OperatorCall {
    /// Accept a document.
    Accept(AcceptRequest),
    /// List the documents in force.
    Documents,
    /// Show one document.
    Document {
        /// Service.
        service: ServiceName,
        /// A past revision; the one in force if absent.
        revision: Option<u64>,
    },
    /// Show accepted revisions.
    History {
        /// Service.
        service: ServiceName,
        /// Most entries to return.
        limit: u32,
    },
    /// Show the cell.
    Status,
    /// Show a page of the audit trail.
    Audit {
        /// Cursor of an earlier page.
        after: Option<String>,
        /// Most entries to return.
        limit: u32,
    },
    /// Explain decisions.
    Explain(ExplainSubject),
    /// Show the process's counters; the driver adds them to the answer.
    Metrics,
}

/// The answer to an [`OperatorCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "answer", rename_all = "snake_case")]
pub enum OperatorAnswer {
    /// Result of an acceptance.
    Accept(AcceptReply),
    /// Documents in force.
    Documents(Vec<HistoryEntry>),
    /// One document.
    Document(DocumentReply),
    /// Accepted revisions.
    History(Vec<HistoryEntry>),
    /// The cell.
    Status(StatusReply),
    /// A page of the audit trail.
    Audit(AuditPage),
    /// An explanation.
    Explain(ExplainReply),
    /// The operator may see the counters.
    Metrics,
}

/// What reaches the control's state machine.
///
/// Each effect that carries a [`CallId`] is answered by one message with the same id; where the
/// other side says nothing within the effect's timeout, the driver answers with a failure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "message", rename_all = "snake_case")]
pub enum ControlMessage {
    /// The entry of this instance reports and asks for what it does not know.
    EntryReported {
        /// The call to answer.
        call: CallId,
        /// The report.
        report: EntryReport,
    },
    /// A peer calls.
    PeerAsked {
        /// The call to answer.
        call: CallId,
        /// What it asks.
        ask: PeerCall,
    },
    /// A peer answered, or failed to.
    PeerAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<PeerAnswer, PeerFailure>,
    },
    /// An operator calls.
    OperatorAsked {
        /// The call to answer.
        call: CallId,
        /// The operator's key.
        key: PresentedKey,
        /// What is asked.
        ask: OperatorCall,
    },
    /// The platform's instance list was read, or could not be.
    InstancesRead {
        /// The call.
        call: CallId,
        /// The list; `None` if it is as it was when this process last read it.
        result: Result<Option<InstanceList>, InstanceListFailure>,
    },
    /// The table service answered, or failed to.
    TableAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<TableReply, TableFailure>,
    },
    /// An engine answered a question or an order, or failed to.
    EngineAnswered {
        /// The call.
        call: CallId,
        /// What the engine holds.
        result: Result<EngineState, EngineCallFailure>,
    },
    /// Time has passed. The driver sends one at least every [`CONTROL_TICK_MS`].
    Tick,
    /// The process was told to stop.
    Stop,
}

/// Longest time between two ticks of a control.
pub const CONTROL_TICK_MS: u64 = 50;

/// What the control's state machine wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "effect", rename_all = "snake_case")]
pub enum ControlEffect {
    /// Answer the entry.
    AnswerEntry {
        /// The call.
        call: CallId,
        /// The answer.
        reply: ExchangeReply,
    },
    /// Answer a peer.
    AnswerPeer {
        /// The call.
        call: CallId,
        /// The answer.
        answer: PeerAnswer,
    },
    /// Answer an operator.
    AnswerOperator {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<OperatorAnswer, OperatorFault>,
    },
    /// Call a peer.
    CallPeer {
        /// The call.
        call: CallId,
        /// Where the peer's control listens.
        address: SocketAddr,
        /// What to ask.
        ask: PeerCall,
        /// How long to wait.
        timeout_ms: u64,
        /// Whether an open connection must not be used.
        fresh_connection: bool,
    },
    /// Read the platform's instance list.
    ReadInstances {
        /// The call.
        call: CallId,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// Call the table service.
    CallTable {
        /// The call.
        call: CallId,
        /// What to do.
        table: TableCall,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// Ask an engine what it holds.
    ReadEngine {
        /// The call.
        call: CallId,
        /// The engine.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// Send an order to an engine, unless the lease has run out by now. The driver compares
    /// `valid_until_ms` with its clock right before the first byte leaves.
    SendOrder {
        /// The call.
        call: CallId,
        /// The engine.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
        /// End of the lease, on the clock of `now_ms`.
        valid_until_ms: u64,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// A change of state was noted; the driver writes a log line.
    Recorded {
        /// The audit entry.
        entry: AuditEntry,
    },
    /// Everything has been handed over after a stop; the process may exit.
    Stopped,
}
