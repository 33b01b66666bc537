//! Which engines are asked for their state and cache events, and when.

use std::net::SocketAddr;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::EndpointId;
use crate::wire::platform::InstanceRole;

use super::endpoints::{Endpoint, EndpointTable};

/// Mean time between two questions for an engine's state.
const STATE_POLL_MS: u64 = 500;
/// Mean time between two questions for an engine's cache events.
const CACHE_POLL_MS: u64 = 1_000;
/// Each time is drawn within this part around its mean, so that entries do not ask in step.
const JITTER_PARTS: u64 = 5;

/// A question to an engine that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// What to ask.
    pub kind: PollKind,
}

/// What to ask an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// Its state.
    State,
    /// Its cache events.
    CacheEvents {
        /// Only events after this one.
        after: u64,
    },
}

/// Questions that are due; each is returned once. A suspected engine is asked for its state more
/// often than others and when its backoff ends, and not for cache events.
pub(crate) fn due(table: &mut EndpointTable, rng: &mut SmallRng, now_ms: u64) -> Vec<Poll> {
    let mut due = Vec::new();
    for endpoint in table.all.values_mut() {
        if endpoint.role != InstanceRole::Engine {
            continue;
        }
        if now_ms >= endpoint.poll_state_at_ms {
            endpoint.poll_state_at_ms = now_ms + jittered_ms(STATE_POLL_MS, rng);
            due.push(poll(endpoint, PollKind::State));
        }
        if now_ms >= endpoint.poll_cache_at_ms {
            endpoint.poll_cache_at_ms = now_ms + jittered_ms(CACHE_POLL_MS, rng);
            if endpoint.takes_work(now_ms) {
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
    let spread_ms = mean_ms / JITTER_PARTS;
    mean_ms - spread_ms + rng.random_range(0..=2 * spread_ms)
}
