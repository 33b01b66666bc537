//! Settings of a relaying instance.

use std::net::SocketAddr;

use crate::ids::{InstanceId, ZoneName};

/// Settings of a relaying instance. An adapter creates them from the platform's configuration format.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Further addresses on which the instance serves its local pages.
    pub local_page_addresses: Vec<SocketAddr>,
    /// Address of the metrics page, if it is served.
    pub metrics: Option<SocketAddr>,
    /// Address for peers: UDP for their datagrams, TCP for their snapshot requests.
    pub peers: SocketAddr,
    /// Speed of the instance's network link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Memory of the instance in megabytes; 0 if unknown.
    pub memory_mb: u32,
    /// Number of sockets that the process may open; 0 if unknown.
    pub max_sockets: u32,
    /// Whether the whole deployment starts for the first time, so that no instance is known yet.
    pub is_first_start: bool,
    /// Bounds that the deployment guarantees.
    pub bounds: RelayBounds,
}

/// Bounds that the deployment guarantees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayBounds {
    /// Age of the route table above which its keys are no longer trusted.
    pub key_trust_ms: u64,
    /// Time limit from the signal of a planned stop to process exit.
    pub stop_limit_ms: u64,
    /// Longest time for which callers keep the addresses that they located.
    pub locate_lifetime_ms: u64,
    /// Retries allowed per request, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed in addition per window, over all instances.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window_ms: u64,
    /// Whether engines reject orders with an outdated fencing token.
    pub engines_check_fence: bool,
}
