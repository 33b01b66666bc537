//! State shared by the HTTP handlers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix::Addr;

use super::actor::EntryActor;
use super::caller::CallerTracker;
use super::clock::Clock;
use crate::settings::Secret;
use crate::telemetry::Counters;

/// Limits on a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Maximum size.
    pub(crate) max_bytes: usize,
    /// Time limit for receiving the complete body, so that a silent caller cannot hold resources
    /// for longer.
    pub(crate) timeout_ms: u64,
}

/// State shared by the HTTP workers; cheap to clone.
#[derive(Clone)]
pub(crate) struct Gateway {
    /// The entry's actor.
    pub(crate) actor: Addr<EntryActor>,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Callers with incomplete responses.
    pub(crate) callers: CallerTracker,
    /// Limits on request bodies.
    pub(crate) body_limits: BodyLimits,
    /// Shared key that authenticates the system's own processes to each other.
    pub(crate) peer_key: Secret,
    /// The process's counters.
    pub(crate) counters: Counters,
    /// Whether connections are closed after each response.
    pub(crate) stopping: Arc<AtomicBool>,
}

impl Gateway {
    /// Whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Makes the server close each connection after its next response.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
