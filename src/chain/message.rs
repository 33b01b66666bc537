//! What reaches a chain and what it wants done.

use std::net::SocketAddr;

use crate::ids::{EndpointId, RequestId, StreamId};
use crate::instance::{Deadline, StreamFailure};
use crate::outcome::RefusalCode;
use crate::routing::{EndpointFault, NoRoute};
use crate::wire::engine::{OpenStream, Stage, StreamEvent, StreamProgress};

/// What does not change over the life of a chain.
#[derive(Clone, Debug)]
pub(crate) struct ChainSpec {
    /// The stream; the same in every epoch.
    pub(crate) stream: StreamId,
    /// The request.
    pub(crate) request: RequestId,
    /// Model name.
    pub(crate) model: String,
    /// Model version; the whole answer comes from one version.
    pub(crate) version: String,
    /// Adapter, if any.
    pub(crate) adapter: Option<String>,
    /// The prompt.
    pub(crate) prompt: String,
    /// Most tokens to generate; greater than 0.
    pub(crate) max_tokens: u32,
    /// When the answer is of no use any more.
    pub(crate) deadline: Option<Deadline>,
}

/// What the engines' own history lets a chain expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedTiming {
    /// Time between two tokens.
    pub(crate) gap_ms: f64,
    /// Mean deviation of that.
    pub(crate) deviation_ms: f64,
    /// Time to the first token of an epoch, if every stage recomputes; longest to be expected.
    pub(crate) first_ms: f64,
    /// Longest time a living stage is expected to take to answer a probe.
    pub(crate) probe_ms: f64,
}

/// What a stage said when it was probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeAnswer {
    /// No answer in time, or no connection.
    Unreachable,
    /// It does not know the stream.
    UnknownStream,
    /// How far it is.
    Progress(StreamProgress),
}

/// What reaches a chain.
#[derive(Clone, Debug)]
pub(crate) enum ChainMessage {
    /// Stages for the next epoch were chosen.
    Planned {
        /// The stages, in layer order.
        stages: Vec<Stage>,
        /// What to expect of them.
        expected: ExpectedTiming,
    },
    /// No stages could be chosen.
    NoRoute {
        /// Why.
        reason: NoRoute,
    },
    /// The retry budget does not allow another rebuild now.
    RetryDenied,
    /// An event of an open stream.
    Event(StreamEvent),
    /// An open stream has no further events.
    StreamFailed {
        /// Epoch it was opened for.
        epoch: u32,
        /// Why.
        failure: StreamFailure,
    },
    /// A stage was probed.
    Probed {
        /// Round of probes.
        round: u32,
        /// Index of the stage.
        stage: usize,
        /// What it said.
        answer: ProbeAnswer,
    },
    /// Time has passed.
    Wake {
        /// Time between two tokens that the engines' history lets expect by now.
        gap_ms: f64,
    },
}

/// Why an event of a stream was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DropCause {
    /// Its epoch is not the current one.
    OtherEpoch,
    /// Its position was delivered before.
    Repeated,
    /// A position before it is missing.
    Ahead,
    /// The chain has ended.
    AfterEnd,
}

/// What a chain wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ChainEffect {
    /// Choose stages for the next epoch and answer with `Planned`, `NoRoute` or `RetryDenied`.
    Plan {
        /// Endpoints not to use.
        exclude: Vec<EndpointId>,
        /// Whether it is charged to the retry budget.
        is_retry: bool,
    },
    /// Open the stream of the current epoch; any older one is to be dropped.
    Open {
        /// What to send to the first stage.
        open: OpenStream,
        /// Whether a pooled connection must not be used.
        fresh_connection: bool,
    },
    /// Cancel an epoch, and those before it, at a stage.
    Cancel {
        /// The stage.
        address: SocketAddr,
        /// The epoch.
        epoch: u32,
    },
    /// Ask a stage how far it is.
    Probe {
        /// Round of probes.
        round: u32,
        /// Index of the stage.
        stage: usize,
        /// Its address.
        address: SocketAddr,
        /// How long to wait.
        timeout_ms: u64,
    },
    /// A stage was found at fault.
    Fault {
        /// The stage.
        endpoint: EndpointId,
        /// What is wrong with it.
        fault: EndpointFault,
    },
    /// The next token.
    Token {
        /// Position.
        position: u32,
        /// Text.
        text: String,
        /// Time since the token before; for the first of an epoch since that was opened.
        gap_ms: u64,
    },
    /// The first token of an epoch that recomputed everything came.
    Prefilled {
        /// Time since the epoch was opened.
        took_ms: u64,
        /// Tokens that were computed.
        tokens: u32,
    },
    /// The answer is whole.
    Done {
        /// Tokens in all.
        positions: u32,
        /// Whether `max_tokens` ended it.
        cut_by_length: bool,
    },
    /// The answer cannot be completed.
    GiveUp {
        /// Why.
        code: RefusalCode,
    },
    /// An event was dropped.
    Dropped(DropCause),
}
