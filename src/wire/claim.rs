//! Query from one entry to another about the state of a claim: `POST /internal/claims`,
//! authenticated by a bearer token, the key shared by the processes of this system.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};

/// Path of the claim query.
pub const CLAIMS_PATH: &str = "/internal/claims";

/// Asks whether a process is working on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatusRequest {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// Instance that holds the claim.
    pub instance: InstanceId,
    /// Incarnation of the process that holds the claim.
    pub incarnation: Incarnation,
    /// Key of the claim's row in the table service.
    pub claim: String,
}

/// Whether the process is working on the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatusResponse {
    /// Also `false` if the responding process has another incarnation.
    pub working: bool,
}
