//! Requests that come to an instance which has just started.

use std::time::Duration;

use tokio::time::timeout;

use super::node::Node;

/// How long a process counts as just started. After that, what it lacks is not there in a moment.
const STARTUP_MS: u64 = 1_000;
/// Longest wait of a request for the routes and the endpoints at a process that has just started. It has
/// them sooner as a rule, also when all have started at once; a caller that is sent away instead comes
/// back long after its answer was due.
const START_WAIT_MS: u64 = 250;

impl<A> Node<A> {
    /// Whether the routes and the endpoints are known.
    pub(super) fn is_informed(&self) -> bool {
        self.table.borrow().table().is_some() && self.fleet.borrow().is_loaded()
    }

    /// Wakes requests that wait for the routes and the endpoints, once both are known.
    pub(crate) fn update_informed(&self) {
        if !*self.informed.borrow() && self.is_informed() {
            self.informed.send_replace(true);
        }
    }

    /// Waits for the routes and the endpoints where the process has just started and has them in a moment.
    pub(crate) async fn wait_until_informed(&self, now_ms: u64) {
        let mut informed = self.informed.subscribe();
        if *informed.borrow() || now_ms >= self.started_ms + STARTUP_MS {
            return;
        }
        let limit = Duration::from_millis(START_WAIT_MS);
        let is_informed = informed.wait_for(|is_informed| *is_informed);
        if timeout(limit, is_informed).await.is_err() {
            log::debug!("routes and endpoints are not known soon enough for a request");
        }
    }
}
