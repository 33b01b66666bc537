//! Entries of the platform's endpoint list, and the results of reading it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{EndpointId, EndpointName, InstanceId, ServiceName, ZoneName};
use crate::wire::engine::LayerRange;

/// Whether an endpoint stays in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// In service.
    Live,
    /// Leaving; gets no new work.
    Leaving,
}

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Identifies one lifetime of the endpoint's process.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it stays in service.
    pub phase: Phase,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Kind of accelerator; engines only.
    pub kind: Option<String>,
    /// Layers that it holds; engines only. `None` for an engine without layers.
    pub layers: Option<LayerRange>,
}

/// Why a list entry cannot be used as an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum EntryError {
    /// The bytes cannot be decoded.
    #[error("its bytes cannot be decoded: {0}")]
    Undecodable(String),
    /// A field is missing or has another type.
    #[error("a field is missing or of another type: {0}")]
    Malformed(String),
    /// The state is unknown.
    #[error("its state {0:?} is not known")]
    UnknownState(String),
}

/// A list entry that cannot be used. The list may contain entries by writers that are not
/// endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableEntry {
    /// Name of the entry.
    pub name: EndpointName,
    /// Reason that it cannot be used.
    pub fault: EntryError,
}

/// How much of the list a read covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingScope {
    /// The full list: an endpoint that is not in it is missing.
    Full,
    /// Changes since the last read, with the names of removed entries.
    Changes {
        /// Names of removed entries.
        removed: Vec<EndpointName>,
    },
}

/// Result of one read of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListingRead {
    /// How much of the list was read.
    pub scope: ListingScope,
    /// Usable entries.
    pub entries: Vec<ListedEndpoint>,
    /// Entries that cannot be used.
    pub unusable: Vec<UnusableEntry>,
}

impl ListingRead {
    /// A read of the full list without unusable entries.
    pub fn full(entries: Vec<ListedEndpoint>) -> Self {
        Self {
            scope: ListingScope::Full,
            entries,
            unusable: Vec::new(),
        }
    }

    /// A read of changes without unusable entries.
    pub fn changes(entries: Vec<ListedEndpoint>, removed: Vec<EndpointName>) -> Self {
        Self {
            scope: ListingScope::Changes { removed },
            entries,
            unusable: Vec::new(),
        }
    }
}

/// Why an endpoint counts as live although a peer reported it as leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiveReason {
    /// The list has shown it in service after the report.
    ListedSince,
    /// The list has been read after the report and has shown it in service throughout.
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

/// An endpoint that a peer reported as leaving and that counts as live again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveAgain {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Peer that reported it as leaving; `None` if this instance knew it from an earlier list.
    pub reported_by: Option<InstanceId>,
    /// Time of the report.
    pub reported_ms: u64,
    /// Why the report no longer applies.
    pub reason: LiveReason,
}

/// What a read changed, for log lines.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// New endpoint.
    Joined(EndpointId),
    /// The endpoint's process was restarted; nothing known about the previous one applies.
    Restarted {
        /// Lifetime that has ended.
        ended: EndpointId,
        /// Address of the ended lifetime.
        address: SocketAddr,
        /// Lifetime that has started.
        started: EndpointId,
    },
    /// The endpoint gets no new work from now on.
    Leaving(EndpointId),
    /// The endpoint gets new work again after a peer had reported it as leaving.
    LiveAgain(LiveAgain),
    /// The endpoint had left before the store was restored from a backup that has it in service. It still gets
    /// no new work.
    KeptOut(EndpointId),
    /// The endpoint was removed from the list.
    Removed(EndpointId),
    /// The endpoint is treated as removed: its entry expired while the list was unavailable and has
    /// not returned, or has become unusable.
    Expired(EndpointId),
    /// The endpoint holds other layers.
    Layers(EndpointId, Option<LayerRange>),
    /// An entry cannot be used. Reported once for each entry and fault.
    Unusable(UnusableEntry),
}

impl FleetChange {
    /// The endpoint to announce to peers as leaving, if the change requires that.
    pub fn departed(&self) -> Option<&EndpointId> {
        match self {
            Self::Leaving(id) | Self::Removed(id) | Self::KeptOut(id) => Some(id),
            _ => None,
        }
    }
}
