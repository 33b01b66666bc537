//! What every HTTP handler needs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix::Addr;

use super::actor::EntryActor;
use super::caller::CallerCount;
use super::clock::Clock;
use crate::settings::Secret;
use crate::telemetry::Counters;

/// What a request's body may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest body.
    pub(crate) max_bytes: usize,
    /// Longest wait for the whole body: a caller that goes silent holds nothing for longer.
    pub(crate) timeout_ms: u64,
}

/// Shared by the HTTP workers; cheap to clone.
#[derive(Clone)]
pub(crate) struct Gateway {
    /// The entry's actor.
    pub(crate) actor: Addr<EntryActor>,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Callers without their whole answer.
    pub(crate) callers: CallerCount,
    /// What a request's body may take.
    pub(crate) body_limits: BodyLimits,
    /// Key shared by the system's own processes.
    pub(crate) peer_key: Secret,
    /// The process's counters.
    pub(crate) counters: Counters,
    /// Whether connections are closed behind each response.
    pub(crate) stopping: Arc<AtomicBool>,
}

impl Gateway {
    /// Whether the process is shutting down.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// From now on connections are closed behind each response.
    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }
}
