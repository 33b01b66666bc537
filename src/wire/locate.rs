//! Reply of `GET /v1/locate`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, ServiceName, ZoneName};

/// Addresses to use for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateResponse {
    /// The service.
    pub service: ServiceName,
    /// Entries to try in this order; never empty.
    pub entries: Vec<LocatedEntry>,
    /// How long to keep the answer.
    pub ttl_ms: u64,
}

/// An entry that takes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedEntry {
    /// Its instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where to connect.
    pub address: SocketAddr,
}
