//! Messages between the entry process and the control process of one instance.
//!
//! The entry calls `exchange` on its control process a few times per second, using JSON-RPC over
//! WebSocket.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::platform::{InstancePhase, InstanceRole};
use crate::ids::{AccountId, EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};

/// Report from an entry process to its control process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Version of the snapshot the entry uses, or 0 if it has none.
    pub known_snapshot: u64,
    /// Whether the entry is shutting down and rejects new requests.
    #[serde(default)]
    pub stopping: bool,
    /// Requests in flight.
    #[serde(default)]
    pub in_flight: u32,
    /// Demand per service and account since the last report.
    #[serde(default)]
    pub demands: Vec<AccountDemand>,
    /// Endpoints that reported to the entry that they are draining.
    #[serde(default)]
    pub draining_endpoints: Vec<EndpointId>,
    /// Decisions to record for `fescuectl explain` and the audit trail, oldest first.
    #[serde(default)]
    pub decisions: Vec<DecisionRecord>,
    /// Document revisions in force at the entry. A control process that has a lower revision sends
    /// no snapshot.
    #[serde(default)]
    pub revisions: IndexMap<ServiceName, u64>,
    /// Current capacity of each service, as seen by the entry.
    #[serde(default)]
    pub capacities: Vec<ServiceCapacity>,
}

/// Current capacity of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceCapacity {
    /// Service.
    pub service: ServiceName,
    /// Tokens per second.
    pub tokens_per_s: f64,
}

/// Demand of one account for one service at one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// Service.
    pub service: ServiceName,
    /// Account.
    pub account: AccountId,
    /// Tokens requested per second, including those of refused requests.
    pub wanted_tokens_per_s: f64,
    /// Tokens generated per second.
    pub spent_tokens_per_s: f64,
}

/// A decision about a request, recorded for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time of the decision, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The request.
    pub request: crate::ids::RequestId,
    /// Account that sent the request.
    pub account: AccountId,
    /// The service.
    pub service: ServiceName,
    /// Selected endpoints, in order.
    pub endpoints: Vec<EndpointId>,
    /// The decision.
    pub decision: Decision,
}

/// Kind of a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// The request was sent to the endpoints.
    Routed {
        /// Chain epoch, or 0 for a call to an application service.
        epoch: u32,
    },
    /// The request was refused or abandoned.
    Refused {
        /// Final error returned to the client.
        refusal: crate::outcome::Refusal,
    },
    /// The response was completed.
    Completed,
}

/// Reply from a control process to its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// The snapshot, if the entry does not have it yet.
    pub snapshot: Option<Snapshot>,
}

/// Everything the entry needs for routing. Always replaced as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version. A restarted control process starts above any version it may have sent before.
    pub version: u64,
    /// Documents in force.
    pub documents: Vec<DocumentInForce>,
    /// Endpoints of all services.
    pub endpoints: Vec<EndpointRecord>,
    /// Entry instances that `locate` may return.
    pub entries: Vec<EntryRecord>,
    /// This entry's portion of each account's fair share.
    #[serde(default)]
    pub shares: Vec<AccountShare>,
    /// This entry's portion of each service's slots. Services that are not listed are divided
    /// equally between the entries.
    #[serde(default)]
    pub parts: Vec<EntrySlotRange>,
}

/// A document in force at this instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentInForce {
    /// Service.
    pub service: ServiceName,
    /// Revision. Increases with each accepted change.
    pub revision: u64,
    /// The accepted document, in TOML.
    pub text: String,
}

/// An endpoint, as known to this instance.
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
    /// Address for requests.
    pub address: SocketAddr,
    /// `Leaving` as soon as any source reports it.
    pub phase: InstancePhase,
}

/// An entry instance, as known to this instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address for clients.
    pub address: SocketAddr,
    /// Whether it accepts new requests.
    pub serving: bool,
}

/// The portion of an account's fair share that this entry may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Service.
    pub service: ServiceName,
    /// Account.
    pub account: AccountId,
    /// Portion of the service's capacity, in tokens per second.
    pub tokens_per_s: f64,
    /// Tokens per second that the account could use at this entry if its demand were higher, or 0
    /// if unknown.
    #[serde(default)]
    pub entitled_tokens_per_s: f64,
}

/// The portion of a service's slots that this entry uses under contention: pieces `first_piece`
/// (inclusive) to `end_piece` (exclusive) of [`crate::fairness::PIECE_COUNT`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySlotRange {
    /// Service.
    pub service: ServiceName,
    /// First piece.
    pub first_piece: u32,
    /// One past the last piece.
    pub end_piece: u32,
}
