//! The stand-in fleet with its addresses: what a fleet runner writes and every stand-in reads.

use std::net::SocketAddr;

use fescueshore::ids::{EndpointId, InstanceId, ServiceName, ZoneName};
use fescueshore::wire::engine::LayerRange;
use serde::{Deserialize, Serialize};

/// A fleet on loopback. Names are unique over all lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// Platform stand-ins.
    pub platform: PlatformNodes,
    /// Entry instances.
    pub entries: Vec<EntryNode>,
    /// Model engines.
    pub engines: Vec<EngineNode>,
    /// Replicas of application services.
    pub applications: Vec<ApplicationNode>,
    /// Link classes; the first that matches a pair of engines holds.
    pub links: Vec<LinkClass>,
}

/// Addresses of the platform stand-ins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformNodes {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// Instance list.
    pub instances: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
}

/// An entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryNode {
    /// Instance.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where its control listens.
    pub control_address: SocketAddr,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineNode {
    /// Endpoint.
    pub name: EndpointId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where its HTTP API listens.
    pub address: SocketAddr,
    /// Where it takes activations and tokens from other engines.
    pub link_address: SocketAddr,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Model held at the start.
    pub model: String,
    /// Version held at the start.
    pub version: String,
    /// Adapters held at the start.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Layers held at the start.
    pub layers: LayerRange,
    /// Rate at a full batch, in layers times tokens a second.
    pub layer_tokens_per_s: f64,
    /// Streams that fit in a batch.
    pub batch_limit: u32,
    /// Streams that may wait.
    pub queue_limit: u32,
    /// Tokens whose KV state fits in memory.
    pub kv_capacity_tokens: u64,
    /// Activation of one token between two layers.
    pub activation_bytes: u32,
    /// Whether orders with an old fencing number are refused.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A replica of an application service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplicationNode {
    /// Endpoint.
    pub name: EndpointId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Time a call takes.
    pub call_ms: u64,
    /// Calls run at once.
    pub concurrency: u32,
    /// Whether it deduplicates by idempotency key.
    #[serde(default)]
    pub deduplicates: bool,
}

/// Delay and bandwidth of the links between engines that match.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkClass {
    /// Sender's kind of accelerator; any if absent.
    #[serde(default)]
    pub from_accelerator: Option<String>,
    /// Receiver's kind of accelerator; any if absent.
    #[serde(default)]
    pub to_accelerator: Option<String>,
    /// Whether the two must be in the same availability zone (or must not be); any if absent.
    #[serde(default)]
    pub same_zone: Option<bool>,
    /// One-way delay.
    pub delay_us: u64,
    /// Bandwidth of each sender's link to each receiver.
    pub bandwidth_bytes_per_s: u64,
}
