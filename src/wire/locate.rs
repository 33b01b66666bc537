//! Response to `GET /v1/locate`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{InstanceId, ServiceName, ZoneName};

/// Entries that serve a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateResponse {
    /// The service.
    pub service: ServiceName,
    /// Entries in the order to try them. Never empty.
    pub entries: Vec<LocatedEntry>,
    /// How long the response may be cached.
    pub ttl_ms: u64,
}

/// An entry that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocatedEntry {
    /// Its instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address for clients.
    pub address: SocketAddr,
}
