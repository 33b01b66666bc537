//! Protocol of a model engine: HTTP with JSON bodies, and server-sent events for token streams.
//!
//! | call | body | reply |
//! | --- | --- | --- |
//! | `GET /v1/state` | | [`EngineState`] |
//! | `POST /v1/streams` | [`OpenStream`] | server-sent [`StreamEvent`]s, or an [`EngineError`] |
//! | `GET /v1/streams/{id}` | | [`StreamProgress`], or 404 |
//! | `POST /v1/streams/{id}/cancel` | [`CancelStream`] | 204 |
//! | `GET /v1/cache-events?after=N` | | [`CacheEvents`] |
//! | `POST /v1/orders` | [`EngineOrder`] | 200 [`EngineState`], or an [`EngineError`] |
//!
//! The entry opens a stream at the first stage. Stages exchange activations and tokens over direct
//! links between the engines. The last stage returns each token to the first, which starts the next
//! position and reports the token. Text is split into tokens at white space.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Incarnation, RequestId, StreamId};

/// A half-open range of model layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer of the range.
    pub first: u16,
    /// One past the last layer. Greater than `first`.
    pub end: u16,
}

impl LayerRange {
    /// Number of layers in the range.
    pub fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the range contains no layers.
    pub fn is_empty(self) -> bool {
        self.end <= self.first
    }

    /// Whether the range contains every layer of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}

/// One stage of a pipeline: an engine and the layers it runs for this stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The engine.
    pub endpoint: EndpointId,
    /// Address of its HTTP API.
    pub address: SocketAddr,
    /// Layers this stage runs; a subset of those the engine holds.
    pub layers: LayerRange,
    /// Whether the stage must recompute the positions before the start. Not needed if it kept its
    /// KV state from an earlier epoch and no later stage is being rebuilt.
    #[serde(default = "yes")]
    pub recompute: bool,
    /// Engine to import the KV state of this stream from, instead of recomputing it.
    #[serde(default)]
    pub import_from: Option<SocketAddr>,
}

fn yes() -> bool {
    true
}

/// Opens a stream, or rebuilds an existing one with a higher epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStream {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// The stream.
    pub stream: StreamId,
    /// Chain epoch. Engines reject an epoch below the highest they have seen for the stream.
    pub epoch: u32,
    /// The request, for the engine's logs.
    pub request: RequestId,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Stages in layer order. Together they cover each layer of the model exactly once.
    pub chain: Vec<Stage>,
    /// The prompt.
    pub prompt: String,
    /// Tokens the entry has already received. The stream resumes at position `generated.len()`.
    #[serde(default)]
    pub generated: Vec<String>,
    /// Total number of positions to generate, including those in `generated`.
    pub max_tokens: u32,
    /// Scheduling class; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
}

/// An event of an open stream. Positions count from 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// A generated token.
    Token {
        /// Epoch of the chain that generated it.
        epoch: u32,
        /// Position of the token.
        position: u32,
        /// Text of the token, without a separator.
        text: String,
    },
    /// The first stage is alive. Does not imply progress.
    Heartbeat {
        /// Epoch of the chain.
        epoch: u32,
        /// Positions completed so far.
        position: u32,
    },
    /// The stream is complete. No event follows.
    End {
        /// Epoch of the chain.
        epoch: u32,
        /// Total number of positions generated.
        positions: u32,
        /// Why it ended.
        reason: EndReason,
    },
    /// The chain failed. No event follows.
    Failed {
        /// Epoch of the chain.
        epoch: u32,
        /// First position that was not completed.
        position: u32,
        /// The failed stage, if known.
        stage: Option<EndpointId>,
        /// Cause of the failure.
        cause: EngineErrorCode,
    },
}

impl StreamEvent {
    /// Whether this is the last event of its stream.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed { .. })
    }
}

/// Why a stream ended successfully.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model emitted its end of text.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Error codes returned by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The epoch is below the highest seen for the stream.
    StaleEpoch,
    /// The engine does not hold the layers, model, version or adapter.
    NotHeld,
    /// The queue is full.
    Overloaded,
    /// The engine is leaving service or changing its assignment.
    Draining,
    /// The KV state that the stage was to reuse or import is missing.
    KvMissing,
    /// A stage could not be reached or stopped responding.
    StageUnreachable,
    /// The stream was cancelled.
    Cancelled,
    /// The fencing token of an order is below the highest seen.
    StaleFence,
    /// The request could not be parsed.
    Malformed,
}

/// Body of an engine's error response. The engine did no work for the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// Error code.
    pub code: EngineErrorCode,
    /// The failed stage, if it is another engine.
    #[serde(default)]
    pub stage: Option<EndpointId>,
}

/// Progress of an engine on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamProgress {
    /// Highest epoch seen.
    pub epoch: u32,
    /// Positions this engine has completed in that epoch.
    pub position: u32,
}

/// Cancels all epochs of a stream up to and including the given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelStream {
    /// Highest epoch to cancel.
    pub epoch: u32,
}

/// A link from one engine to another, as measured by the sending engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkState {
    /// One-way delay.
    pub delay_us: u64,
    /// Bandwidth.
    pub bandwidth_bytes_per_s: u64,
}

/// State reported by an engine. Load figures may be stale; layers, model and incarnation are
/// current.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine.
    pub endpoint: EndpointId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Accelerator type.
    pub accelerator: String,
    /// Loaded model.
    pub model: String,
    /// Loaded version.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Loaded layers.
    pub layers: LayerRange,
    /// Highest fencing token seen in an order.
    #[serde(default)]
    pub fence: u64,
    /// Whether it rejects new streams.
    #[serde(default)]
    pub draining: bool,
    /// Throughput at a full batch, in layers times tokens per second.
    pub layer_tokens_per_s: f64,
    /// Maximum number of streams in a batch.
    pub batch_limit: u32,
    /// Maximum number of concurrent streams, at any stage of their chains. 0 means `batch_limit`.
    #[serde(default)]
    pub stream_limit: u32,
    /// Streams running, as of `load_age_ms` ago.
    pub running: u32,
    /// Streams waiting, as of `load_age_ms` ago.
    pub waiting: u32,
    /// Age of the load figures.
    pub load_age_ms: u64,
    /// Measured links to engines that hold the layers following this engine's.
    #[serde(default)]
    pub links: IndexMap<EndpointId, LinkState>,
}

impl EngineState {
    /// Maximum number of concurrent streams; at least `batch_limit`.
    pub fn slots(&self) -> u32 {
        self.stream_limit.max(self.batch_limit)
    }
}

/// Prompt prefixes stored in or evicted from an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the last event. Numbers may have gaps.
    pub last: u64,
    /// Events after the requested sequence number, oldest first.
    pub events: Vec<CacheEvent>,
}

/// One change to an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub number: u64,
    /// XXH3 hash of the first [`CACHE_BLOCK_TOKENS`] tokens, joined by single spaces.
    pub block: u64,
    /// Whether the block was evicted rather than stored.
    pub evicted: bool,
}

/// Number of tokens in a cache block.
pub const CACHE_BLOCK_TOKENS: usize = 16;

/// An order to an engine. Orders are declarative: they state what the engine should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token of the sender's lease. Some engines reject one below the highest seen.
    pub fence: u64,
    /// Desired assignment.
    pub desired: EngineAssignment,
}

/// Model, version, adapters and layers that an engine should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAssignment {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapters.
    pub adapters: Vec<String>,
    /// Layers.
    pub layers: LayerRange,
}

impl EngineAssignment {
    /// Whether an engine holds exactly this assignment. The order of adapters does not matter.
    pub fn matches_state(&self, state: &EngineState) -> bool {
        let same_adapters = state.adapters.len() == self.adapters.len()
            && self.adapters.iter().all(|it| state.adapters.contains(it));
        state.model == self.model
            && state.version == self.version
            && state.layers == self.layers
            && same_adapters
    }

    /// Whether an engine must interrupt its work to apply this assignment.
    pub fn interrupts_work(&self, state: &EngineState) -> bool {
        let keeps_adapters = state.adapters.iter().all(|it| self.adapters.contains(it));
        state.model != self.model
            || state.version != self.version
            || !self.layers.covers(state.layers)
            || !keeps_adapters
    }
}
