//! Settings of instances in tests.

use std::net::SocketAddr;

use super::settings::{RelayBounds, RelaySettings};
use crate::ids::{InstanceId, ZoneName};

/// Settings of an instance, with the bounds of a typical deployment.
pub(super) fn settings(
    instance: InstanceId,
    zone: ZoneName,
    front: SocketAddr,
    peers: SocketAddr,
    link_mbps: u32,
) -> RelaySettings {
    RelaySettings {
        instance,
        zone,
        front,
        local_page_addresses: Vec::new(),
        metrics: None,
        peers,
        link_mbps,
        memory_mb: 0,
        max_sockets: 0,
        is_first_start: false,
        bounds: RelayBounds {
            key_trust_ms: 4_900,
            stop_limit_ms: 8_000,
            locate_lifetime_ms: 1_000,
            retry_ratio: 0.2,
            retry_slack: 200.0,
            retry_window_ms: 10_000,
            engines_check_fence: true,
        },
    }
}
