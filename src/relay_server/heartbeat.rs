//! Contents and encoding of the datagrams that instances send to one another.
//!
//! A datagram consists of the sender's heartbeat, which is the same for all recipients in an availability
//! zone, and a part for the one recipient. The encoding is binary; JSON takes three times as many bytes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::compact_loads;
use super::list_log::ListWatermark;
use crate::demand::{DemandReport, ZoneSum};
use crate::fleet::{EngineLoad, LimitReport};
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::quarantine::EvidenceReport;
use crate::relay::{RetryAmount, RetryLoan};
use crate::wire::engine::LayerRange;

/// What an instance reports to its peers about itself and the endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    /// Address for callers.
    pub(super) front: SocketAddr,
    /// Speed of its link. Instances with faster links rank ahead of others.
    pub(super) link_mbps: u32,
    /// Interval in which its heartbeats reach every instance of other zones. Their timeout for this
    /// instance depends on it.
    pub(super) cross_zone_interval_ms: u32,
    /// Whether the sender sends each heartbeat to its whole zone for the time being.
    pub(super) is_active: bool,
    pub(super) availability: Availability,
    /// Version of the route table in force.
    pub(super) table: u64,
    /// Age of the route table.
    pub(super) table_age_ms: u64,
    /// How much of the endpoint list the sender knows.
    pub(super) list: ListWatermark,
    /// Age of the endpoint list.
    pub(super) list_age_ms: u64,
    /// Time since the store last answered the sender, if it reads the store itself.
    pub(super) store_age_ms: Option<u64>,
    /// Time of sending, on the sender's clock.
    pub(super) sent_ms: u64,
    /// Services of which no endpoint accepts the sender's connections.
    pub(super) unreached: Vec<ServiceName>,
    /// Endpoints that do not answer.
    pub(super) unhealthy: Vec<EndpointId>,
    /// Endpoints that are leaving or have left.
    pub(super) leaving: Vec<EndpointId>,
    /// Endpoints that have themselves told the sender that they are leaving. This holds whatever the
    /// endpoint list shows.
    pub(super) self_reported_leaving: Vec<EndpointId>,
    /// Engines that were ordered to load other layers.
    pub(super) layer_moves: Vec<(EndpointId, LayerRange)>,
    /// Load that the sender's streams put on each engine.
    #[serde(with = "compact_loads")]
    pub(super) held: Vec<(EndpointId, EngineLoad)>,
    /// Leases on orders to engines that the sender has released: for each service, the highest fencing
    /// token under which it issued orders.
    pub(super) released_leases: Vec<(ServiceName, u64)>,
    /// Number of instances that the sender knows of, including itself.
    pub(super) known_instances: u32,
    /// Retries that the sender lacks; empty in heartbeats to other zones.
    pub(super) retry_needs: Vec<RetryAmount>,
    /// Evidence about requests during which endpoints crashed.
    pub(super) evidence: EvidenceReport,
    /// Rate limits that endpoints have announced to the sender.
    pub(super) limits: Vec<LimitReport>,
    /// What callers ask for.
    pub(super) demand: HeartbeatDemand,
}

/// Demand that a heartbeat reports. A single report of the sender or of its zone, so that no recipient can add
/// one to the other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum HeartbeatDemand {
    /// In the sender's zone: it has no streams. In other zones: it says nothing about demand.
    #[default]
    Empty,
    /// Demand of the sender's callers, only in its own zone; never empty.
    Instance(Vec<DemandReport>),
    /// Demand of the sender's zone, only in other zones.
    Zone(ZoneSum),
}

/// Identifies the newest heartbeat that the sender of a datagram has received from its recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Echo {
    /// The process of the recipient that sent that heartbeat.
    pub(super) incarnation: Incarnation,
    /// Its time of sending, on the recipient's clock.
    pub(super) sent_ms: u64,
}

/// The part of a datagram that only concerns its recipient.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerPart {
    pub(super) echo: Option<Echo>,
    /// Interval in which heartbeats of the sender reach the recipient; 0 if they are of different zones.
    pub(super) interval_ms: u32,
    /// Retries lent for the needs in the heartbeat that `echo` identifies.
    pub(super) lent: Vec<RetryLoan>,
    /// Unused remainders of the recipient's loans.
    pub(super) returned: Vec<RetryLoan>,
}

/// What an instance can do for callers and for other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Availability {
    /// It serves every request.
    pub(crate) is_ready: bool,
    /// It accepts requests, but may have to refuse those with keys.
    pub(crate) is_open: bool,
    /// It reads the store itself and gets answers, so it can take the lease on orders to engines.
    pub(crate) reaches_store: bool,
    /// Changes of the store reach it promptly: the store answers it, or an instance of its zone that it
    /// hears.
    pub(crate) receives_store_updates: bool,
    /// Endpoints of every service accept connections from it, so it serves all requests without another
    /// instance.
    pub(crate) reaches_endpoints: bool,
}

impl Availability {
    /// Whether the instance serves every request and receives changes promptly.
    pub(crate) fn is_current(self) -> bool {
        self.is_ready && self.receives_store_updates
    }

    /// Whether the instance can issue orders to engines.
    pub(crate) fn may_lead(self) -> bool {
        self.is_ready && self.reaches_store
    }
}

/// The part of a heartbeat that the instance knows outside its peer book.
#[derive(Clone, Debug)]
pub(crate) struct OwnState {
    pub(crate) availability: Availability,
    /// Version of the route table in force.
    pub(crate) table: u64,
    /// Age of the route table.
    pub(crate) table_age_ms: u64,
    /// How much of the endpoint list is known here.
    pub(crate) list: ListWatermark,
    /// Age of the endpoint list.
    pub(crate) list_age_ms: u64,
    /// Time since the store last answered, if this instance reads it.
    pub(crate) store_age_ms: Option<u64>,
    /// Services of which no endpoint accepts connections of this instance.
    pub(crate) unreached: Vec<ServiceName>,
    /// Load that this instance's streams put on engines.
    pub(crate) held: Vec<HeldLoad>,
    /// Retries that this instance lacks.
    pub(crate) retry_needs: Vec<RetryAmount>,
    /// Evidence for peers about requests during which endpoints crashed.
    pub(crate) evidence: EvidenceReport,
    /// Rate limits that endpoints have announced to this instance.
    pub(crate) limits: Vec<LimitReport>,
    /// Demand of this instance's callers, for its own zone.
    pub(crate) demand: Vec<DemandReport>,
    /// Demand of the zone, for other zones; `None` if this instance does not report it.
    pub(crate) zone_demand: Option<ZoneSum>,
}

/// Load that an instance's streams put on one engine.
#[derive(Clone, Debug)]
pub(crate) struct HeldLoad {
    pub(crate) endpoint: EndpointId,
    /// The engine's availability zone.
    pub(crate) zone: ZoneName,
    pub(crate) load: EngineLoad,
}

impl From<Vec<DemandReport>> for HeartbeatDemand {
    fn from(reports: Vec<DemandReport>) -> Self {
        if reports.is_empty() {
            Self::Empty
        } else {
            Self::Instance(reports)
        }
    }
}

impl From<Option<ZoneSum>> for HeartbeatDemand {
    fn from(sum: Option<ZoneSum>) -> Self {
        sum.map_or(Self::Empty, Self::Zone)
    }
}

/// Encodes the part of a datagram that is the same for all recipients in a zone.
pub(super) fn heartbeat_bytes(heartbeat: &Heartbeat) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(heartbeat)
}

/// Encodes a datagram from an encoded heartbeat and the part for its recipient.
pub(super) fn datagram(
    heartbeat_bytes: &[u8],
    peer_part: &PeerPart,
) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(peer_part, heartbeat_bytes.to_vec())
}

pub(super) fn read_datagram(bytes: &[u8]) -> Result<(Heartbeat, PeerPart), postcard::Error> {
    let (heartbeat, rest) = postcard::take_from_bytes(bytes)?;
    Ok((heartbeat, postcard::from_bytes(rest)?))
}
