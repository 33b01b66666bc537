//! Bytes that this instance moves over the network, by kind of traffic and by whether they stay in its
//! availability zone. Headers of the network and of HTTP are not included.

use std::fmt::Write;

use super::adapter::Adapter;
use super::node::Node;
use crate::ids::{EndpointId, InstanceId, ZoneName};
use crate::telemetry::Counters;

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrafficKind {
    /// Heartbeats to other instances.
    Heartbeats,
    /// Notices to other instances that engines are full.
    FullNotices,
    /// Endpoint lists and changes of them, given to other instances.
    EndpointLists,
    /// Parts of the operator's document, given to other instances.
    Documents,
    /// Bodies of requests that other instances serve for this one.
    DelegatedRequests,
    /// Bodies of their responses, received from these instances.
    DelegatedResponses,
    /// Bodies of requests sent to endpoints.
    EndpointRequests,
    /// Bodies of responses received from endpoints.
    EndpointResponses,
}

impl TrafficKind {
    pub(super) const ALL: [Self; 8] = [
        Self::Heartbeats,
        Self::FullNotices,
        Self::EndpointLists,
        Self::Documents,
        Self::DelegatedRequests,
        Self::DelegatedResponses,
        Self::EndpointRequests,
        Self::EndpointResponses,
    ];

    /// Its name in log lines.
    pub(super) fn value(self) -> &'static str {
        match self {
            Self::Heartbeats => "heartbeats",
            Self::FullNotices => "full",
            Self::EndpointLists => "lists",
            Self::Documents => "documents",
            Self::DelegatedRequests => "delegated_requests",
            Self::DelegatedResponses => "delegated_responses",
            Self::EndpointRequests => "requests",
            Self::EndpointResponses => "responses",
        }
    }

    /// Name of the counter of its bytes.
    pub(super) fn metric_name(self, scope: TrafficScope) -> &'static str {
        match (self, scope) {
            (Self::Heartbeats, TrafficScope::InZone) => "relay.heartbeats.bytes_in_zone",
            (Self::Heartbeats, TrafficScope::BetweenZones) => {
                "relay.heartbeats.bytes_between_zones"
            }
            (Self::FullNotices, TrafficScope::InZone) => "relay.full.bytes_in_zone",
            (Self::FullNotices, TrafficScope::BetweenZones) => "relay.full.bytes_between_zones",
            (Self::EndpointLists, TrafficScope::InZone) => "relay.lists.bytes_in_zone",
            (Self::EndpointLists, TrafficScope::BetweenZones) => "relay.lists.bytes_between_zones",
            (Self::Documents, TrafficScope::InZone) => "relay.documents.bytes_in_zone",
            (Self::Documents, TrafficScope::BetweenZones) => "relay.documents.bytes_between_zones",
            (Self::DelegatedRequests, TrafficScope::InZone) => {
                "relay.delegated_requests.bytes_in_zone"
            }
            (Self::DelegatedRequests, TrafficScope::BetweenZones) => {
                "relay.delegated_requests.bytes_between_zones"
            }
            (Self::DelegatedResponses, TrafficScope::InZone) => {
                "relay.delegated_responses.bytes_in_zone"
            }
            (Self::DelegatedResponses, TrafficScope::BetweenZones) => {
                "relay.delegated_responses.bytes_between_zones"
            }
            (Self::EndpointRequests, TrafficScope::InZone) => "relay.requests.bytes_in_zone",
            (Self::EndpointRequests, TrafficScope::BetweenZones) => {
                "relay.requests.bytes_between_zones"
            }
            (Self::EndpointResponses, TrafficScope::InZone) => "relay.responses.bytes_in_zone",
            (Self::EndpointResponses, TrafficScope::BetweenZones) => {
                "relay.responses.bytes_between_zones"
            }
        }
    }
}

/// Whether bytes stay in the availability zone of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrafficScope {
    /// The other end is of the same zone.
    InZone,
    /// The other end is of another zone, or its zone is unknown.
    BetweenZones,
}

impl TrafficScope {
    /// Scope of traffic of an instance in `own` with something in `other`.
    pub(super) fn between(own: &ZoneName, other: Option<&ZoneName>) -> Self {
        Self::of_same_zone(other == Some(own))
    }

    pub(super) fn of_same_zone(is_same_zone: bool) -> Self {
        if is_same_zone {
            Self::InZone
        } else {
            Self::BetweenZones
        }
    }

    /// Its name in queries between instances.
    pub(super) fn value(self) -> &'static str {
        match self {
            Self::InZone => "in_zone",
            Self::BetweenZones => "between_zones",
        }
    }

    /// Reads the name; other ones count as between zones.
    pub(super) fn from_value(text: &str) -> Self {
        Self::of_same_zone(text == Self::InZone.value())
    }
}

/// Bytes between zones since the start of the process, by kind, such as `heartbeats:1200,requests:90`. Kinds
/// without bytes are left out.
pub(super) fn bytes_between_zones(counters: &Counters) -> String {
    let mut sums = String::new();
    for kind in TrafficKind::ALL {
        let bytes = counters.value(kind.metric_name(TrafficScope::BetweenZones));
        if bytes > 0 {
            let separator = if sums.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(sums, "{separator}{}:{bytes}", kind.value());
        }
    }
    sums
}

impl<A> Node<A>
where
    A: Adapter,
{
    pub(super) fn count_traffic(&self, kind: TrafficKind, scope: TrafficScope, bytes: usize) {
        self.counters.add(kind.metric_name(scope), bytes as u64);
    }

    /// Scope of traffic with an endpoint.
    pub(super) fn scope_of_endpoint(&self, endpoint: &EndpointId) -> TrafficScope {
        let fleet = self.fleet.borrow();
        let zone = fleet.get(endpoint).map(|known| &known.listed.zone);
        TrafficScope::between(&self.settings.zone, zone)
    }

    /// Scope of traffic with another instance.
    pub(super) fn scope_of_instance(&self, instance: &InstanceId) -> TrafficScope {
        let peers = self.peers.borrow();
        let zone = peers.peers.get(instance).map(|peer| &peer.zone);
        TrafficScope::between(&self.settings.zone, zone)
    }
}
