//! Gossip messages between the control processes of one cell.
//!
//! An exchange is a [`PeerMessage`] and its [`PeerReply`]. Both sides summarize what they know in a
//! [`HeartbeatDigest`]; full states and demands are sent only if the other side lacks them. Field
//! names are short on the wire because each control process sends several messages per second.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::operator::DocumentReply;
use crate::ids::{AccountId, EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};

/// Message from one control process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// [`super::WIRE_VERSION`] of the sender.
    #[serde(rename = "w")]
    pub wire_version: u16,
    /// Sending instance.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// Instances the sender has heard from recently, including itself. Absent if the message only
    /// carries updates.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub beats: Option<HeartbeatDigest>,
    /// Updates the receiver may lack.
    #[serde(rename = "n", default, skip_serializing_if = "PeerUpdates::is_empty")]
    pub news: PeerUpdates,
}

/// Reply to a [`PeerMessage`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// [`super::WIRE_VERSION`] of the sender.
    #[serde(rename = "w")]
    pub wire_version: u16,
    /// Heartbeats that are newer here than in the message.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub beats: Option<HeartbeatDigest>,
    /// Updates that the sender of the message lacks.
    #[serde(rename = "n", default, skip_serializing_if = "PeerUpdates::is_empty")]
    pub news: PeerUpdates,
    /// Instances whose state is older here than the message indicates.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub want_states: Vec<InstanceId>,
    /// Instances whose demand is older here than the message indicates.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub want_demands: Vec<InstanceId>,
}

/// Compact digest of how recent the sender's knowledge of some instances is.
///
/// Instance names are omitted if both sides know the same instances: values then refer to positions
/// in the sorted list of names, and both sides send the hash of that list to detect a mismatch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatDigest {
    /// Hash of the sorted names of all instances known to the sender.
    #[serde(rename = "o", default)]
    pub order: u32,
    /// Names that positions refer to. Empty if they refer to the receiver's own sorted list.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub names: Vec<InstanceId>,
    /// Highest heartbeat number. Values are encoded as differences from it.
    #[serde(rename = "m", default)]
    pub highest: u64,
    /// One value per instance.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<HeartbeatDigestEntry>,
}

/// Position of the instance, distance of its heartbeat number from the highest, number of
/// heartbeats since its state and since its demand changed, and tenths of a second since the
/// heartbeat was received.
pub type HeartbeatDigestEntry = (u16, u64, u64, u64, u64);

/// Updated states, demands and documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdates {
    /// States.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub states: Vec<PeerState>,
    /// Demands.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<PeerDemand>,
    /// Recently accepted documents.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub documents: Vec<DocumentReply>,
}

impl PeerUpdates {
    /// Whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty() && self.demands.is_empty() && self.documents.is_empty()
    }
}

/// State that an instance reports of itself. Changes rarely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation of its control process.
    #[serde(rename = "c")]
    pub incarnation: Incarnation,
    /// Number of the heartbeat at which it last changed.
    #[serde(rename = "n")]
    pub number: u64,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Address for clients.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Listen address of its control process.
    #[serde(rename = "k")]
    pub control_address: SocketAddr,
    /// Whether it accepts new requests.
    #[serde(rename = "p")]
    pub phase: PeerPhase,
    /// Document revisions in force there.
    #[serde(rename = "r", default, skip_serializing_if = "IndexMap::is_empty")]
    pub revisions: IndexMap<ServiceName, u64>,
    /// Endpoints marked as leaving in its copy of the instance list.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<EndpointId>,
    /// Endpoints that reported to its entry that they accept no new work.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<EndpointId>,
}

/// State of an entry instance, as reported by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerPhase {
    /// Has no documents in force yet, or its entry process is not running.
    #[default]
    NotReady,
    /// Accepts new requests.
    Serving,
    /// Shutting down: finishes requests in flight and accepts no new ones.
    Stopping,
}

/// Demand of all accounts at one entry. Changes often.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDemand {
    /// Instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Number of the heartbeat at which it last changed.
    #[serde(rename = "n")]
    pub number: u64,
    /// Demand per service.
    #[serde(rename = "s")]
    pub services: IndexMap<ServiceName, ServiceDemand>,
}

/// Demand of all accounts for one service at one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Capacity of the service in tokens per second, as seen by this entry.
    #[serde(rename = "c", default)]
    pub capacity_tokens_per_s: u64,
    /// Tokens requested per second, by account. Accounts without demand are omitted.
    #[serde(rename = "w", default)]
    pub wanted_tokens_per_s: IndexMap<AccountId, u64>,
}

/// Request for documents in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchDocuments {
    /// Services to return documents for; all services if empty.
    pub services: Vec<ServiceName>,
}

/// Response to [`FetchDocuments`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchedDocuments {
    /// Whether the sender's documents come from the store, or from a peer that has read the store.
    pub ready: bool,
    /// Documents in force.
    pub documents: Vec<DocumentReply>,
}
