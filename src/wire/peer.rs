//! Messages between the controls of one cell.

use serde::{Deserialize, Serialize};

use super::local::DocumentInForce;
use crate::ids::{Incarnation, InstanceId, ServiceName};

/// What one control tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// Sender.
    pub from: InstanceId,
    /// The sender's process.
    pub incarnation: Incarnation,
}

/// Answer to a [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerReply {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
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
    /// The documents.
    pub documents: Vec<DocumentInForce>,
}
