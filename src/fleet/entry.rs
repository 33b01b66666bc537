//! Entries of the platform's list of endpoints, and what a read of the list gives.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{EndpointId, EndpointName, InstanceId, ServiceName, ZoneName};
use crate::wire::engine::LayerRange;

/// Whether an endpoint is there to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// In service.
    Live,
    /// On its way out; takes no new work.
    Leaving,
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Names one lifetime of the endpoint's process.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Phase.
    pub phase: Phase,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Kind of accelerator; engines only.
    pub kind: Option<String>,
    /// Layers that it holds; engines only. `None` for an engine that is empty.
    pub layers: Option<LayerRange>,
}

/// Why an entry of the list names no endpoint that could be used.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum EntryError {
    /// Its bytes cannot be decoded.
    #[error("its bytes cannot be decoded: {0}")]
    Undecodable(String),
    /// A field is missing or of another type.
    #[error("a field is missing or of another type: {0}")]
    Malformed(String),
    /// It is in a state that is not known.
    #[error("its state {0:?} is not known")]
    UnknownState(String),
}

/// An entry of the list that names no endpoint to use. Entries may come from writers that are no
/// endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableEntry {
    /// Its name.
    pub name: EndpointName,
    /// What is wrong with it.
    pub fault: EntryError,
}

/// How much of the list a read covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingScope {
    /// The whole list: what it does not name is missing.
    Full,
    /// What has changed since the last read, with the names of entries that were removed.
    Changes {
        /// Entries removed.
        removed: Vec<EndpointName>,
    },
}

/// What one read of the list gave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListingRead {
    /// How much of the list was read.
    pub scope: ListingScope,
    /// Entries that name an endpoint.
    pub entries: Vec<ListedEndpoint>,
    /// Entries that do not.
    pub unusable: Vec<UnusableEntry>,
}

impl ListingRead {
    /// A whole list, all of its entries usable.
    pub fn full(entries: Vec<ListedEndpoint>) -> Self {
        Self {
            scope: ListingScope::Full,
            entries,
            unusable: Vec::new(),
        }
    }

    /// Changes, all of the entries usable.
    pub fn changes(entries: Vec<ListedEndpoint>, removed: Vec<EndpointName>) -> Self {
        Self {
            scope: ListingScope::Changes { removed },
            entries,
            unusable: Vec::new(),
        }
    }
}

/// Why an endpoint is taken as live though a peer said that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiveReason {
    /// The list has shown it in service since.
    ListedSince,
    /// The list has been read since, and has had it in service all along.
    NeverMissing,
}

impl LiveReason {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::ListedSince => "listed_since",
            Self::NeverMissing => "never_missing",
        }
    }
}

/// An endpoint that a peer said is leaving, and that is taken as live again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveAgain {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Who had said that it leaves.
    pub reported_by: InstanceId,
    /// When.
    pub reported_ms: u64,
    /// Why that does not go any more.
    pub reason: LiveReason,
}

/// What a read changed, for log lines.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// A new endpoint.
    Joined(EndpointId),
    /// Its process has started again: nothing that was known of it holds.
    Restarted {
        /// The lifetime that has ended.
        ended: EndpointId,
        /// Where it took requests.
        address: SocketAddr,
        /// The one that has begun.
        begun: EndpointId,
    },
    /// It takes no new work from now on.
    Leaving(EndpointId),
    /// It takes work again, which a peer had said it would not.
    LiveAgain(LiveAgain),
    /// It is gone.
    Removed(EndpointId),
    /// It is taken for gone: its entry lapsed while the list was away, and has not come back.
    Expired(EndpointId),
    /// It holds other layers.
    Layers(EndpointId, Option<LayerRange>),
    /// An entry names no endpoint to use. Said once for each entry and fault.
    Unusable(UnusableEntry),
}
