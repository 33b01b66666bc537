//! What a control knows from the start.

use std::net::SocketAddr;

use crate::ids::{Incarnation, InstanceId, ZoneName};
use crate::instance::PresentedKey;
use crate::keys::{self, Secret};

/// What a control knows from the start.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// This instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect to its entry.
    pub address: SocketAddr,
    /// Where peers connect to this process.
    pub control_address: SocketAddr,
    /// This process.
    pub incarnation: Incarnation,
    /// Wall clock, in milliseconds since the Unix epoch, where `now_ms` is 0.
    pub unix_offset_ms: u64,
    /// Seed of every random choice.
    pub seed: u64,
    /// The key that the system's own processes share.
    pub peers_key: Secret,
}

impl ControlConfig {
    /// The wall clock's time, for records that people read; no decision depends on it.
    pub(crate) fn unix_ms(&self, now_ms: u64) -> u64 {
        self.unix_offset_ms + now_ms
    }

    /// Whether a key is the one that the system's own processes share.
    pub(crate) fn is_peers_key(&self, key: &PresentedKey) -> bool {
        let known = [keys::digest(self.peers_key.expose())];
        keys::matches(&known, key.expose())
    }
}
