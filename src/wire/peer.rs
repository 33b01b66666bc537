//! Messages between the controls of one cell.
//!
//! One exchange is a [`PeerMessage`] and its [`PeerReply`]. Both sides tell what they know by
//! [`HeartbeatDigest`]; whole states and demands pass only where the other side lacks them. Field names on
//! the wire are short, since each control sends several messages a second.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::operator::DocumentReply;
use crate::ids::{AccountId, EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};

/// What one control tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// [`super::WIRE_VERSION`] of the sender.
    #[serde(rename = "w")]
    pub wire_version: u16,
    /// Sender.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// Instances the sender has heard of lately, itself included; absent where only news are sent.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub beats: Option<HeartbeatDigest>,
    /// What the receiver may lack.
    #[serde(rename = "n", default, skip_serializing_if = "PeerUpdates::is_empty")]
    pub news: PeerUpdates,
}

/// Answer to a [`PeerMessage`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// [`super::WIRE_VERSION`] of the sender.
    #[serde(rename = "w")]
    pub wire_version: u16,
    /// Beats that are newer here than in the message.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub beats: Option<HeartbeatDigest>,
    /// What the message's sender lacks.
    #[serde(rename = "n", default, skip_serializing_if = "PeerUpdates::is_empty")]
    pub news: PeerUpdates,
    /// Instances whose state is older here than the message says.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub want_states: Vec<InstanceId>,
    /// Instances whose demand is older here than the message says.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub want_demands: Vec<InstanceId>,
}

/// How recent the sender's knowledge of some instances is.
///
/// Where both sides know the same instances, none is named: the values give positions in the
/// sorted list of them, whose hash both sides tell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatDigest {
    /// Hash of the sorted names of all instances that the sender knows.
    #[serde(rename = "o", default)]
    pub order: u32,
    /// The names that positions refer to; empty where the receiver's own sorted list will do.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub names: Vec<InstanceId>,
    /// The highest number; the values count back from it.
    #[serde(rename = "m", default)]
    pub highest: u64,
    /// One value for each instance.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub values: Vec<HeartbeatDigestEntry>,
}

/// Position, the beat's number counted back from the highest, how many numbers ago the state and
/// the demand changed, and tenths of a second since the beat was heard.
pub type HeartbeatDigestEntry = (u16, u64, u64, u64, u64);

/// States, demands and documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdates {
    /// States.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub states: Vec<PeerState>,
    /// Demands.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<PeerDemand>,
    /// Documents just accepted.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub documents: Vec<DocumentReply>,
}

impl PeerUpdates {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty() && self.demands.is_empty() && self.documents.is_empty()
    }
}

/// What an instance says of itself; changes seldom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its control process.
    #[serde(rename = "c")]
    pub incarnation: Incarnation,
    /// Number of the beat with which it changed.
    #[serde(rename = "n")]
    pub number: u64,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Where callers connect.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where its control listens.
    #[serde(rename = "k")]
    pub control_address: SocketAddr,
    /// Whether it takes new requests.
    #[serde(rename = "p")]
    pub phase: PeerPhase,
    /// Revisions in force there.
    #[serde(rename = "r", default, skip_serializing_if = "IndexMap::is_empty")]
    pub revisions: IndexMap<ServiceName, u64>,
    /// Endpoints that the instance list shows to it as leaving.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<EndpointId>,
    /// Endpoints that told its entry they take no new work now.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<EndpointId>,
}

/// What an entry instance does, in its own words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerPhase {
    /// It has no documents in force yet, or its entry is not there.
    #[default]
    NotReady,
    /// It takes new requests.
    Serving,
    /// It finishes what is in flight.
    Stopping,
}

/// What the accounts ask of one entry; changes often.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDemand {
    /// Instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Number of the beat with which it changed.
    #[serde(rename = "n")]
    pub number: u64,
    /// Per service.
    #[serde(rename = "s")]
    pub services: IndexMap<ServiceName, ServiceDemand>,
}

/// What the accounts ask of one service at one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Tokens a second the service can generate, as this entry sees it.
    #[serde(rename = "c", default)]
    pub capacity_tokens_per_s: u64,
    /// Tokens a second asked for, per account; accounts that ask for nothing are left out.
    #[serde(rename = "w", default)]
    pub wanted_tokens_per_s: IndexMap<AccountId, u64>,
}

/// Asks for documents in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchDocuments {
    /// Services; all of them if empty.
    pub services: Vec<ServiceName>,
}

/// Documents in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchedDocuments {
    /// Whether the sender's documents come from the store, or from a peer that has heard from it.
    pub ready: bool,
    /// The documents.
    pub documents: Vec<DocumentReply>,
}
