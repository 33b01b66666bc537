//! Messages between the entry and the control process of one instance.
//!
//! The entry calls `exchange` on its control (JSON-RPC over WebSocket) a few times a second.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::platform::{InstancePhase, InstanceRole};
use crate::ids::{AccountId, EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};

/// What the entry tells its control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// The entry process.
    pub incarnation: Incarnation,
    /// Version of the snapshot the entry runs on; 0 for none.
    pub known_snapshot: u64,
    /// Whether the entry is shutting down and takes no new requests.
    #[serde(default)]
    pub stopping: bool,
    /// Requests in flight.
    #[serde(default)]
    pub in_flight: u32,
    /// Demand per service and account since the last report.
    #[serde(default)]
    pub demands: Vec<AccountDemand>,
    /// Endpoints that told the entry they are draining.
    #[serde(default)]
    pub draining_endpoints: Vec<EndpointId>,
    /// Decisions to keep for `fescuectl explain` and the audit trail, newest last.
    #[serde(default)]
    pub decisions: Vec<DecisionRecord>,
    /// Revisions in force at the entry; a control that knows a lower one hands out nothing.
    #[serde(default)]
    pub revisions: IndexMap<ServiceName, u64>,
    /// What each service can generate now, as the entry sees it.
    #[serde(default)]
    pub capacities: Vec<ServiceCapacity>,
}

/// What a service can generate now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Service.
    pub service: ServiceName,
    /// Tokens a second.
    pub tokens_per_s: f64,
}

/// What one account asks of one service at one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// Service.
    pub service: ServiceName,
    /// Account.
    pub account: AccountId,
    /// Tokens asked for a second, refused requests included.
    pub wanted_tokens_per_s: f64,
    /// Tokens generated a second.
    pub spent_tokens_per_s: f64,
}

/// One decision about a request, for people to read later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The request.
    pub request: crate::ids::RequestId,
    /// The account that asked.
    pub account: AccountId,
    /// The service.
    pub service: ServiceName,
    /// Endpoints chosen, in order.
    pub endpoints: Vec<EndpointId>,
    /// What was decided.
    pub decision: Decision,
}

/// Kinds of decisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// The request was sent to the endpoints.
    Routed {
        /// Chain epoch; 0 for a call of an application service.
        epoch: u32,
    },
    /// The request was refused or given up on.
    Refused {
        /// The final word.
        refusal: crate::outcome::Refusal,
    },
    /// The answer was completed.
    Completed,
}

/// What the control tells its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// The snapshot, if the entry does not know it yet.
    pub snapshot: Option<Snapshot>,
}

/// Everything the entry needs to route; replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version; a control that restarts begins above any version it can have handed out.
    pub version: u64,
    /// Documents in force.
    pub documents: Vec<DocumentInForce>,
    /// Endpoints of all services.
    pub endpoints: Vec<EndpointRecord>,
    /// Entry instances that `locate` may name.
    pub entries: Vec<EntryRecord>,
    /// This entry's part of each account's fair share.
    #[serde(default)]
    pub shares: Vec<AccountShare>,
    /// This entry's part of the slots of each service; all entries' parts are equal where none is
    /// told.
    #[serde(default)]
    pub parts: Vec<EntrySlotRange>,
}

/// A document in force at this instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentInForce {
    /// Service.
    pub service: ServiceName,
    /// Revision; grows with each accepted change.
    pub revision: u64,
    /// The document as accepted: TOML.
    pub text: String,
}

/// An endpoint as this instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Engine or application.
    pub role: InstanceRole,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// `Leaving` as soon as any source says so.
    pub phase: InstancePhase,
}

/// An entry instance as this instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Whether it takes new requests.
    pub serving: bool,
}

/// The part of an account's fair share that this entry may spend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Service.
    pub service: ServiceName,
    /// Account.
    pub account: AccountId,
    /// Tokens a second, of the service's capacity.
    pub tokens_per_s: f64,
    /// Tokens a second that the account could have here if it asked for more; 0 if not told.
    #[serde(default)]
    pub entitled_tokens_per_s: f64,
}

/// The part of a service's slots that this entry uses while there is contention: the pieces from
/// `first_piece` up to `end_piece`, of [`crate::fairness::PIECES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySlotRange {
    /// Service.
    pub service: ServiceName,
    /// First piece.
    pub first_piece: u32,
    /// One past the last piece.
    pub end_piece: u32,
}
