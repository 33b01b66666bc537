//! Configuration of an entry process.

use std::net::SocketAddr;

use crate::ids::{Incarnation, InstanceId, ZoneName};

/// Identity, clock offset and limits of one entry process.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address that callers and other entries connect to.
    pub advertise: SocketAddr,
    /// This process lifetime.
    pub incarnation: Incarnation,
    /// Seed of every random choice. Two processes must never share one.
    pub seed: u64,
    /// Unix time at `now_ms == 0`, in milliseconds.
    pub unix_at_start_ms: u64,
    /// Limits on requests and memory.
    pub limits: EntryLimits,
    /// Where the accounts' shares come from.
    pub shares: ShareSource,
}

/// Where an entry takes the accounts' shares from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ShareSource {
    /// From the control, which knows the demand at all entries.
    #[default]
    Control,
    /// From the demand at this entry alone; the baseline in benchmarks.
    LocalDemand,
}

/// Limits that bound the entry's memory regardless of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// Maximum size of a request's prompt or body.
    pub max_body_bytes: usize,
    /// Maximum value of `max_tokens` in a completion.
    pub max_tokens: u32,
    /// Maximum number of queued and running requests.
    pub max_attempts: usize,
    /// Maximum number of callers that share one running answer.
    pub max_callers_per_request: usize,
    /// Maximum total size of all recorded answers.
    pub max_recorded_bytes: usize,
    /// How long a recorded answer is kept.
    pub recorded_ttl_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_tokens: 1 << 16,
            max_attempts: 20_000,
            max_callers_per_request: 64,
            max_recorded_bytes: 32 << 20,
            recorded_ttl_ms: 300_000,
        }
    }
}
