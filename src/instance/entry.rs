//! Messages and effects of the entry's state machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::key::PresentedKey;
use crate::clients::TableFailure;
use crate::ids::{
    EndpointId, IdempotencyKey, Incarnation, InstanceId, RequestId, ServiceName, StreamId,
};
use crate::outcome::Refusal;
use crate::wire::engine::{
    CacheEvents, EngineError, EngineState, OpenStream, StreamEvent, StreamProgress,
};
use crate::wire::local::{EntryReport, Snapshot};
use crate::wire::platform::{ReadRows, Rows, ScanRows, TransactReply, Transaction};

/// One caller waiting on an open connection. Numbers are never used twice in a process lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallerId(pub u64);

/// One call of the entry to something outside. Numbers are never used twice in a process lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// When an answer is of no use any more, on the clock of `now_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Deadline {
    /// The time.
    pub at_ms: u64,
}

/// A caller's request, read but not yet checked against any document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The key from the `Authorization` header.
    pub key: Option<PresentedKey>,
    /// Request id; drawn by the driver if the caller sent none.
    pub request: RequestId,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Deadline, if the caller sent one.
    pub deadline: Option<Deadline>,
    /// SHA-256 over method, path and body.
    pub digest: [u8; 32],
    /// What is asked.
    pub body: RequestBody,
}

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RequestBody {
    /// A completion by a model.
    Completion {
        /// `model` or `model:adapter`.
        model: String,
        /// The prompt; messages of a chat are joined by the driver.
        prompt: String,
        /// Most tokens to generate.
        max_tokens: u32,
    },
    /// A call of an application service.
    Application {
        /// Service.
        service: ServiceName,
        /// HTTP method, upper case.
        method: String,
        /// Path and query behind the service's name; begins with a slash.
        path: String,
        /// `Content-Type` of the body, if any.
        content_type: Option<String>,
        /// Body.
        body: Vec<u8>,
    },
}

/// An answer of an application endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationReply {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a call to an application endpoint has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplicationFailure {
    /// No byte of the request left: it surely did not run.
    NotSent,
    /// The request was sent and no whole reply came: it may have run.
    ReplyLost,
}

/// Why a stream has no further events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamFailure {
    /// No connection could be made: the engine ran nothing.
    NotSent,
    /// The engine refused: it ran nothing.
    Refused {
        /// Its error.
        error: EngineError,
    },
    /// The connection broke, or its bytes could not be read.
    Broken,
}

/// A call to the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TableCall {
    /// A conditional write.
    Transact(Transaction),
    /// A read.
    Read(ReadRows),
    /// A read in key order; answered by [`TableReply::Read`].
    Scan(ScanRows),
}

/// The table service's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum TableReply {
    /// Answer to a conditional write.
    Transacted(TransactReply),
    /// Answer to a read.
    Read(Rows),
}

/// What reaches the entry's state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "message", rename_all = "snake_case")]
pub enum EntryMessage {
    /// A caller asks.
    Arrived {
        /// The caller.
        caller: CallerId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller's connection is gone; nothing can be answered to it.
    CallerGone {
        /// The caller.
        caller: CallerId,
    },
    /// The control's view changed.
    SnapshotChanged {
        /// The whole view.
        snapshot: Snapshot,
    },
    /// An engine said what it holds, or did not answer.
    EngineStateRead {
        /// The engine.
        endpoint: EndpointId,
        /// Its state; `None` if it did not answer in time.
        state: Option<EngineState>,
    },
    /// An engine's cache events were read.
    CacheEventsRead {
        /// The engine.
        endpoint: EndpointId,
        /// The events.
        events: CacheEvents,
    },
    /// An open stream has an event.
    StreamEvent {
        /// The call that opened it.
        call: CallId,
        /// The event.
        event: StreamEvent,
    },
    /// A stream has no further events.
    StreamFailed {
        /// The call that opened it.
        call: CallId,
        /// Why.
        failure: StreamFailure,
    },
    /// A stage answered a probe, or did not.
    StreamProbed {
        /// The probe.
        call: CallId,
        /// Progress; `None` if the stage did not answer in time or does not know the stream.
        progress: Option<StreamProgress>,
        /// Whether the stage answered at all.
        reachable: bool,
    },
    /// An application endpoint answered, or failed to.
    ApplicationAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<ApplicationReply, ApplicationFailure>,
    },
    /// The table service answered, or failed to.
    TableAnswered {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<TableReply, TableFailure>,
    },
    /// The holder of a claim was asked whether it still works on it.
    HolderAnswered {
        /// The call.
        call: CallId,
        /// Whether that incarnation works on it; `None` without an answer.
        working: Option<bool>,
    },
    /// Another entry asks whether this incarnation works on a claim.
    HolderAsked {
        /// The call to answer.
        call: CallId,
        /// Incarnation in the claim.
        incarnation: Incarnation,
        /// Key of the claim's row.
        claim: String,
    },
    /// Time has passed. The driver sends one at least every [`TICK_MS`].
    Tick,
    /// The process was told to stop: finish what is in flight, take nothing new.
    Stop,
}

/// Longest time between two ticks.
pub const TICK_MS: u64 = 20;

/// What the entry's state machine wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "effect", rename_all = "snake_case")]
pub enum EntryEffect {
    /// Send the next token of an answer. The first one sends the head too.
    SendToken {
        /// The caller.
        caller: CallerId,
        /// Position; 0, 1, 2, ... for each caller.
        position: u32,
        /// Text.
        text: String,
    },
    /// End a streamed answer: it is whole.
    SendEnd {
        /// The caller.
        caller: CallerId,
        /// Tokens in all.
        positions: u32,
        /// Whether `max_tokens` ended it.
        cut_by_length: bool,
    },
    /// Send an application's answer, whole.
    SendReply {
        /// The caller.
        caller: CallerId,
        /// The answer.
        reply: ApplicationReply,
        /// Whether it is a recorded one.
        replayed: bool,
    },
    /// Send a final word other than an answer.
    SendRefusal {
        /// The caller.
        caller: CallerId,
        /// The final word.
        refusal: Refusal,
    },
    /// Open a stream at an engine.
    OpenStream {
        /// The call.
        call: CallId,
        /// The first stage.
        address: SocketAddr,
        /// The stream.
        open: OpenStream,
        /// Whether a pooled connection must not be used.
        fresh_connection: bool,
    },
    /// Stop reading a stream; no message about the call is wanted any more.
    DropStream {
        /// The call that opened it.
        call: CallId,
    },
    /// Cancel a stream at one stage.
    CancelStream {
        /// The stage.
        address: SocketAddr,
        /// The stream.
        stream: StreamId,
        /// Highest epoch to cancel.
        epoch: u32,
    },
    /// Ask one stage how far it is, on a fresh connection.
    ProbeStream {
        /// The probe.
        call: CallId,
        /// The stage.
        address: SocketAddr,
        /// The stream.
        stream: StreamId,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// Ask an engine what it holds.
    ReadEngineState {
        /// The engine.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
    },
    /// Ask an engine for cache events.
    ReadCacheEvents {
        /// The engine.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// Only events after this one.
        after: u64,
    },
    /// Call an application endpoint.
    CallApplication {
        /// The call.
        call: CallId,
        /// The endpoint.
        address: SocketAddr,
        /// HTTP method, upper case.
        method: String,
        /// Path and query.
        path: String,
        /// `Content-Type` of the body, if any.
        content_type: Option<String>,
        /// Body.
        body: Vec<u8>,
        /// Passed on as `X-Request-Id`.
        request: RequestId,
        /// Passed on as `Idempotency-Key`.
        idempotency_key: Option<IdempotencyKey>,
        /// How long to wait for the whole reply.
        timeout_ms: u64,
        /// Whether a pooled connection must not be used.
        fresh_connection: bool,
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
    /// Ask the holder of a claim whether it still works on it.
    AskHolder {
        /// The call.
        call: CallId,
        /// The holder's instance.
        instance: InstanceId,
        /// Where that instance takes requests.
        address: SocketAddr,
        /// Incarnation in the claim.
        incarnation: Incarnation,
        /// Key of the claim's row.
        claim: String,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// Answer another entry that asked about a claim.
    AnswerHolder {
        /// The call to answer.
        call: CallId,
        /// Whether this incarnation works on it.
        working: bool,
    },
    /// Tell the control; its reply comes as a snapshot.
    Report {
        /// The report.
        report: EntryReport,
    },
    /// Everything in flight has ended after a stop; the process may exit.
    Stopped,
}
