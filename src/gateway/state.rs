//! What every HTTP handler needs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix::Addr;

use super::actor::EntryActor;
use super::caller::CallerCount;
use super::clock::Clock;
use crate::settings::Secret;
use crate::telemetry::Counters;

/// Shared by the HTTP workers; cheap to clone.
#[derive(Clone)]
pub(crate) struct Gateway {
    /// The entry's actor.
    pub(crate) actor: Addr<EntryActor>,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Callers without their whole answer.
    pub(crate) callers: CallerCount,
    /// Largest body of a request.
    pub(crate) max_body_bytes: usize,
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
