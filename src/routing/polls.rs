//! Schedule for polling engines for their state and cache events.

use std::net::SocketAddr;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::EndpointId;
use crate::wire::platform::InstanceRole;

use super::endpoints::{Endpoint, EndpointTable};

/// Mean interval between polls of an engine's state.
const STATE_POLL_INTERVAL_MS: u64 = 500;
/// Mean interval between polls of an engine's cache events.
const CACHE_POLL_INTERVAL_MS: u64 = 1_000;
/// Each interval varies by up to its mean divided by this, so that entries do not poll in lockstep.
const JITTER_DIVISOR: u64 = 5;

/// A poll of an engine that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The engine to poll.
    pub endpoint: EndpointId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// What to request.
    pub kind: PollKind,
}

/// What to request from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The engine's state.
    State,
    /// The engine's cache events.
    CacheEvents {
        /// Sequence number after which events are requested.
        after: u64,
    },
}

/// Returns the polls that are due, each of them once. The state of a suspected engine is polled
/// more often than that of others and when its backoff ends; its cache events are not polled.
pub(crate) fn due(table: &mut EndpointTable, rng: &mut SmallRng, now_ms: u64) -> Vec<Poll> {
    let mut due = Vec::new();
    for endpoint in table.endpoints.values_mut() {
        if endpoint.role != InstanceRole::Engine {
            continue;
        }
        if now_ms >= endpoint.poll_state_at_ms {
            endpoint.poll_state_at_ms = now_ms + jittered_ms(STATE_POLL_INTERVAL_MS, rng);
            due.push(poll(endpoint, PollKind::State));
        }
        if now_ms >= endpoint.poll_cache_at_ms {
            endpoint.poll_cache_at_ms = now_ms + jittered_ms(CACHE_POLL_INTERVAL_MS, rng);
            if endpoint.accepts_work(now_ms) {
                let after = endpoint.cache_after;
                due.push(poll(endpoint, PollKind::CacheEvents { after }));
            }
        }
    }
    due
}

fn poll(endpoint: &Endpoint, kind: PollKind) -> Poll {
    Poll {
        endpoint: endpoint.id.clone(),
        address: endpoint.address,
        kind,
    }
}

fn jittered_ms(mean_ms: u64, rng: &mut SmallRng) -> u64 {
    let spread_ms = mean_ms / JITTER_DIVISOR;
    mean_ms - spread_ms + rng.random_range(0..=2 * spread_ms)
}
