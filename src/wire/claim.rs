//! The question an entry asks another about a claim: `POST /internal/claims`, with the key shared
//! by the system's own processes as bearer token.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};

/// Path of the question.
pub const CLAIMS_PATH: &str = "/internal/claims";

/// Asks whether a process works on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatusRequest {
    /// [`super::WIRE_VERSION`] of the sender.
    pub wire_version: u16,
    /// The holder's instance.
    pub instance: InstanceId,
    /// The holder's process lifetime.
    pub incarnation: Incarnation,
    /// Key of the claim's row.
    pub claim: String,
}

/// Whether that process works on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatusResponse {
    /// `false` too if the process that answers is another one.
    pub working: bool,
}
