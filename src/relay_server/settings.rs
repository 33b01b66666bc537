//! What a relaying instance needs to know to start.

use std::net::SocketAddr;

use crate::ids::{InstanceId, ZoneName};

/// Settings of a relaying instance. An adapter makes them from the platform's own form.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where else the instance answers: its own pages.
    pub local_page_addresses: Vec<SocketAddr>,
    /// Where counters are read.
    pub metrics: Option<SocketAddr>,
    /// Where datagrams of peers arrive, and where they ask for a snapshot.
    pub peers: SocketAddr,
    /// Speed of the instance's link, in megabits a second; 0 if it is not known.
    pub link_mbps: u32,
    /// Bounds that the deployment promises.
    pub bounds: RelayBounds,
}

/// Bounds that the deployment promises.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayBounds {
    /// Age of the table of routes at which keys in it are no longer trusted.
    pub key_trust_ms: u64,
    /// Time from a planned stop's signal to the end of the process.
    pub stop_limit_ms: u64,
    /// Longest time for which callers keep an answer on where to connect.
    pub locate_lifetime_ms: u64,
    /// Repeats for each request, over all instances.
    pub retry_ratio: f64,
    /// Repeats beside that in a window, over all instances.
    pub retry_slack: f64,
    /// Length of the window.
    pub retry_window_ms: u64,
    /// Whether engines turn away orders under an old fencing number.
    pub engines_check_fence: bool,
}
