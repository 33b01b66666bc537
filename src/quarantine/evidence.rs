//! Evidence about the features of requests during whose runs endpoints terminated.

use serde::{Deserialize, Serialize};

use super::FeatureDigest;
use crate::ids::EndpointId;

/// Whether an endpoint at which a run broke off is still alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointLiveness {
    /// Its process has terminated.
    Ended,
    /// Data has arrived from it since: only the connection broke.
    Alive,
    /// Not known yet.
    Unknown,
}

/// Report of an instance that an endpoint terminated when it had begun to run a request with this feature
/// and had delivered nothing yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashReport {
    pub(crate) feature: FeatureDigest,
    pub(crate) endpoint: EndpointId,
    /// Time since the endpoint terminated.
    pub(crate) age_ms: u32,
}

/// Report of an instance that an endpoint survived a request with a suspected feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClearanceReport {
    pub(crate) feature: FeatureDigest,
    /// Time since this was observed.
    pub(crate) age_ms: u32,
}
