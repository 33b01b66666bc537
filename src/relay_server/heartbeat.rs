//! The datagram that instances send one another, and its bytes.
//!
//! A datagram is the sender's heartbeat, the same for a whole availability zone, followed by a part
//! for its one recipient. It is binary: text takes three times the bytes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::list_log::ListWatermark;
use crate::fleet::{EngineLoad, LimitReport};
use crate::ids::{EndpointId, Incarnation, InstanceId, ServiceName, ZoneName};
use crate::quarantine::EvidenceReport;
use crate::relay::{RetryAmount, RetryLoan};
use crate::wire::engine::LayerRange;

/// What an instance tells the others of itself and of the endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(super) instance: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) zone: ZoneName,
    /// Where callers connect.
    pub(super) front: SocketAddr,
    /// Speed of its link: the fastest instances speak for their zone.
    pub(super) link_mbps: u32,
    /// How long it takes until everybody in other zones has been told of it: the silence of one that
    /// tells them often soon means something.
    pub(super) turn_ms: u32,
    pub(super) availability: Availability,
    /// Version of the table of routes in force.
    pub(super) table: u64,
    /// Age of that table.
    pub(super) table_age_ms: u64,
    /// How far the sender knows the list of endpoints.
    pub(super) list: ListWatermark,
    /// Age of that list.
    pub(super) list_age_ms: u64,
    /// Time since the store last answered the sender, if it reads the store itself.
    pub(super) store_age_ms: Option<u64>,
    /// When it was sent, on the sender's clock.
    pub(super) sent_ms: u64,
    /// Endpoints that do not answer.
    pub(super) unhealthy: Vec<EndpointId>,
    /// Endpoints that are leaving or gone.
    pub(super) leaving: Vec<EndpointId>,
    /// Endpoints that have said to the sender that they leave, which holds whatever the list shows.
    pub(super) said_leaving: Vec<EndpointId>,
    /// Engines that were ordered to hold other layers.
    pub(super) moving: Vec<(EndpointId, LayerRange)>,
    /// What this instance's streams take up, by engine.
    pub(super) held: Vec<(EndpointId, EngineLoad)>,
    /// Leases on the orders to engines that this instance gave up, by service, and the highest
    /// fencing number it gave orders under.
    pub(super) given_up: Vec<(ServiceName, u64)>,
    /// Instances that the sender knows of, itself included.
    pub(super) known_instances: u32,
    /// Repeats that the sender lacks; told to its own zone.
    pub(super) retry_needs: Vec<RetryAmount>,
    /// What is known of requests under which endpoints have ended.
    pub(super) evidence: EvidenceReport,
    /// Limits that endpoints have named to the sender.
    pub(super) limits: Vec<LimitReport>,
}

/// The newest heartbeat that the sender of a datagram has from its recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Echo {
    /// The recipient's process that sent it.
    pub(super) incarnation: Incarnation,
    /// When it was sent, on the recipient's clock.
    pub(super) sent_ms: u64,
}

/// Part of a datagram for its one recipient.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerPart {
    pub(super) echo: Option<Echo>,
    /// Repeats lent for the needs in the heartbeat that `echo` names.
    pub(super) lent: Vec<RetryLoan>,
    /// What the sender has not used of the recipient's loans.
    pub(super) given_back: Vec<RetryLoan>,
}

/// Whether callers should come to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Availability {
    /// It serves everybody.
    pub(crate) is_ready: bool,
    /// It serves, though it may have to refuse requests with keys.
    pub(crate) is_open: bool,
    /// It reads the store itself and is answered, so that it can take the lease on orders to engines.
    pub(crate) reaches_store: bool,
    /// What the store has reaches it soon: it is answered itself, or hears one in its zone that is.
    pub(crate) receives_store_updates: bool,
}

impl Availability {
    /// Whether the instance serves everybody and learns of changes as soon as any.
    pub(crate) fn is_current(self) -> bool {
        self.is_ready && self.receives_store_updates
    }

    /// Whether the instance can give orders to engines.
    pub(crate) fn may_lead(self) -> bool {
        self.is_ready && self.reaches_store
    }
}

/// What an instance says of itself.
#[derive(Clone, Debug)]
pub(crate) struct OwnState {
    /// Whether callers should come here.
    pub(crate) availability: Availability,
    /// Version of the table of routes in force.
    pub(crate) table: u64,
    /// Age of that table.
    pub(crate) table_age_ms: u64,
    /// How far the list of endpoints is known.
    pub(crate) list: ListWatermark,
    /// Age of that list.
    pub(crate) list_age_ms: u64,
    /// Time since the store last answered, if it is read here.
    pub(crate) store_age_ms: Option<u64>,
    /// What this instance's streams hold.
    pub(crate) held: Vec<HeldLoad>,
    /// Repeats that are missing here.
    pub(crate) retry_needs: Vec<RetryAmount>,
    /// What others should know of requests under which endpoints have ended.
    pub(crate) evidence: EvidenceReport,
    /// Limits that endpoints have named to this instance.
    pub(crate) limits: Vec<LimitReport>,
}

/// What an instance's streams hold at one engine.
#[derive(Clone, Debug)]
pub(crate) struct HeldLoad {
    pub(crate) endpoint: EndpointId,
    /// The engine's availability zone.
    pub(crate) zone: ZoneName,
    pub(crate) load: EngineLoad,
}

/// Writes the part of a datagram that all of its recipients share.
pub(super) fn heartbeat_bytes(heartbeat: &Heartbeat) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(heartbeat)
}

/// Writes a whole datagram.
pub(super) fn datagram(
    heartbeat_bytes: &[u8],
    peer_part: &PeerPart,
) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_extend(peer_part, heartbeat_bytes.to_vec())
}

/// Reads a datagram.
pub(super) fn read_datagram(bytes: &[u8]) -> Result<(Heartbeat, PeerPart), postcard::Error> {
    let (heartbeat, rest) = postcard::take_from_bytes(bytes)?;
    Ok((heartbeat, postcard::from_bytes(rest)?))
}
