//! What an entry is told when its process starts.

use std::net::SocketAddr;

use crate::ids::{Incarnation, InstanceId, ZoneName};

/// Identity, clock offset and limits of one entry process.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers and other entries connect.
    pub advertise: SocketAddr,
    /// This process lifetime.
    pub incarnation: Incarnation,
    /// Seed of every random choice. Two processes must never share one.
    pub seed: u64,
    /// Unix time at `now_ms == 0`, in milliseconds.
    pub unix_at_start_ms: u64,
    /// Limits.
    pub limits: EntryLimits,
    /// Where the accounts' shares come from.
    pub shares: ShareSource,
}

/// Where an entry takes the accounts' shares from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareSource {
    /// From control, which knows the demand at every entry.
    #[default]
    Control,
    /// From what is asked here alone: the baseline of measurements.
    LocalDemand,
}

/// Limits that keep the entry's memory bounded whatever callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// Largest prompt or body of a request.
    pub max_body_bytes: usize,
    /// Largest `max_tokens` of a completion.
    pub max_tokens: u32,
    /// Most requests waiting and running at once.
    pub max_attempts: usize,
    /// Most callers that share one running answer.
    pub max_joined: usize,
    /// Size of all recorded answers together.
    pub recorded_bytes: usize,
    /// How long an answer is recorded.
    pub recorded_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_tokens: 1 << 16,
            max_attempts: 20_000,
            max_joined: 64,
            recorded_bytes: 32 << 20,
            recorded_ms: 300_000,
        }
    }
}
