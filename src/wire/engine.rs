//! The protocol of a model engine: HTTP with JSON bodies, token streams as server-sent events.
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
//! The entry opens a stream at the first stage. Activations and tokens pass between the stages
//! over the engines' own links; the last stage hands each token back to the first, which starts
//! the next position and reports the token. Text is split into tokens by white space.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Incarnation, RequestId, StreamId};

/// A half-open range of model layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer of the range.
    pub first: u16,
    /// One past the last layer; greater than `first`.
    pub end: u16,
}

impl LayerRange {
    /// Number of layers in the range.
    pub fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Whether the range holds no layer.
    pub fn is_empty(self) -> bool {
        self.end <= self.first
    }

    /// Whether every layer of `other` lies in this range.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}

/// One stage of a chain: an engine and the layers it runs for this stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The engine.
    pub endpoint: EndpointId,
    /// Where its HTTP API listens.
    pub address: SocketAddr,
    /// The layers this stage runs; within what the engine holds.
    pub layers: LayerRange,
    /// Whether the stage must run the positions before the start again. A stage that kept its KV
    /// state from an earlier epoch and has no rebuilt stage behind it need not.
    #[serde(default = "yes")]
    pub recompute: bool,
    /// An engine to import the KV state of this stream from instead of recomputing it.
    #[serde(default)]
    pub import_from: Option<SocketAddr>,
}

fn yes() -> bool {
    true
}

/// Opens a stream, or rebuilds one under a higher epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenStream {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// The stream.
    pub stream: StreamId,
    /// Chain epoch; engines refuse an epoch below the highest they have seen for the stream.
    pub epoch: u32,
    /// The request, for the engine's own records.
    pub request: RequestId,
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The stages in layer order; they cover every layer of the model exactly once.
    pub chain: Vec<Stage>,
    /// The prompt.
    pub prompt: String,
    /// Tokens the entry already holds; the stream goes on at position `generated.len()`.
    #[serde(default)]
    pub generated: Vec<String>,
    /// Positions to generate in all, the ones already held included.
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
        /// Epoch of the chain that ran it.
        epoch: u32,
        /// Position of the token.
        position: u32,
        /// Its text, without separator.
        text: String,
    },
    /// The first stage is alive; says nothing of progress.
    Heartbeat {
        /// Epoch of the chain.
        epoch: u32,
        /// Positions finished so far.
        position: u32,
    },
    /// The stream is whole; no event follows.
    End {
        /// Epoch of the chain.
        epoch: u32,
        /// Positions generated in all.
        positions: u32,
        /// Why it ended.
        reason: EndReason,
    },
    /// The chain cannot go on; no event follows.
    Failed {
        /// Epoch of the chain.
        epoch: u32,
        /// First position that was not finished.
        position: u32,
        /// The stage at fault, if known.
        stage: Option<EndpointId>,
        /// What went wrong.
        cause: EngineErrorCode,
    },
}

impl StreamEvent {
    /// Whether no event follows.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Failed { .. })
    }
}

/// Why a stream is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended its answer.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// Error codes of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorCode {
    /// The epoch is below the highest seen for the stream.
    StaleEpoch,
    /// The engine does not hold the layers, model, version or adapter.
    NotHeld,
    /// The queue is full.
    Overloaded,
    /// The engine is leaving or changing its role.
    Draining,
    /// KV state that the stage was to reuse or import is not there.
    KvMissing,
    /// A stage could not be reached or stopped answering.
    StageUnreachable,
    /// The stream was cancelled.
    Cancelled,
    /// The fencing number of an order is below the highest seen.
    StaleFence,
    /// The request cannot be read.
    Malformed,
}

/// Body of an engine's error reply. The engine ran nothing for the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineError {
    /// What went wrong.
    pub code: EngineErrorCode,
    /// The stage at fault, if it is another engine.
    #[serde(default)]
    pub stage: Option<EndpointId>,
}

/// How far an engine has got with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamProgress {
    /// Highest epoch seen.
    pub epoch: u32,
    /// Positions this engine has finished in that epoch.
    pub position: u32,
}

/// Cancels a stream up to and including an epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelStream {
    /// Highest epoch to cancel.
    pub epoch: u32,
}

/// A link from one engine to another, as the sending engine measures it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkState {
    /// One-way delay.
    pub delay_us: u64,
    /// Bandwidth.
    pub bandwidth_bytes_per_s: u64,
}

/// What an engine says of itself. Load figures lag; layers, model and incarnation do not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its process lifetime.
    pub incarnation: Incarnation,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Model held.
    pub model: String,
    /// Version held.
    pub version: String,
    /// Adapters held.
    pub adapters: Vec<String>,
    /// Layers held.
    pub layers: LayerRange,
    /// Highest fencing number seen in an order.
    #[serde(default)]
    pub fence: u64,
    /// Whether it takes no new streams.
    #[serde(default)]
    pub draining: bool,
    /// Rate at a full batch, in layers times tokens a second.
    pub layer_tokens_per_s: f64,
    /// Streams that fit in a batch.
    pub batch_limit: u32,
    /// Streams held at once, at whatever stage of their chains; 0 stands for `batch_limit`.
    #[serde(default)]
    pub stream_limit: u32,
    /// Streams running, as of `load_age_ms` ago.
    pub running: u32,
    /// Streams waiting, as of `load_age_ms` ago.
    pub waiting: u32,
    /// Age of the load figures.
    pub load_age_ms: u64,
    /// Measured links to engines that hold the layers behind this one's.
    #[serde(default)]
    pub links: IndexMap<EndpointId, LinkState>,
}

impl EngineState {
    /// Streams held at once; at least a batch.
    pub fn slots(&self) -> u32 {
        self.stream_limit.max(self.batch_limit)
    }
}

/// Prompt prefixes that entered or left an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the last event; numbers may have gaps.
    pub last: u64,
    /// The events after the one asked for, oldest first.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub number: u64,
    /// XXH3 of the first [`CACHE_BLOCK_TOKENS`] tokens, joined by one space.
    pub block: u64,
    /// Whether the block was evicted rather than stored.
    pub evicted: bool,
}

/// Tokens in a cache block.
pub const CACHE_BLOCK_TOKENS: usize = 16;

/// An order to an engine. Orders are convergent: they state what the engine should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the holder's lease; some engines refuse one below the highest seen.
    pub fence: u64,
    /// What the engine should hold.
    pub desired: EngineAssignment,
}

/// What an engine is to hold.
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
    /// Whether an engine holds exactly this, adapters in any order.
    pub fn matches_state(&self, state: &EngineState) -> bool {
        let same_adapters = state.adapters.len() == self.adapters.len()
            && self.adapters.iter().all(|it| state.adapters.contains(it));
        state.model == self.model
            && state.version == self.version
            && state.layers == self.layers
            && same_adapters
    }

    /// Whether an engine has to stop work to come to hold this.
    pub fn interrupts_work(&self, state: &EngineState) -> bool {
        let keeps_adapters = state.adapters.iter().all(|it| self.adapters.contains(it));
        state.model != self.model
            || state.version != self.version
            || !self.layers.covers(state.layers)
            || !keeps_adapters
    }
}
