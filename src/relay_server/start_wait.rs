//! Delays requests at an instance that has just started until it has its data.

use std::time::Duration;

use tokio::time::timeout;

use super::node::Node;

/// How long a process counts as just started. Data still missing after that is not about to arrive.
const STARTUP_MS: u64 = 1_000;
/// Longest wait of a request for the route table and the endpoint list at a process that has just
/// started. They usually arrive sooner, even when all instances have started at once; a caller that
/// is refused instead retries long after its response was due.
const START_WAIT_TIMEOUT_MS: u64 = 250;

impl<A> Node<A> {
    /// Whether the route table and the endpoint list are known.
    pub(super) fn is_informed(&self) -> bool {
        self.table.borrow().table().is_some() && self.fleet.borrow().is_loaded()
    }

    /// Wakes requests that wait for the route table and the endpoint list, once both are known.
    pub(crate) fn update_informed(&self) {
        if !*self.informed.borrow() && self.is_informed() {
            self.informed.send_replace(true);
        }
    }

    /// Waits for the route table and the endpoint list if the process has just started.
    pub(crate) async fn wait_until_informed(&self, now_ms: u64) {
        let mut informed = self.informed.subscribe();
        if *informed.borrow() || now_ms >= self.started_ms + STARTUP_MS {
            return;
        }
        let limit = Duration::from_millis(START_WAIT_TIMEOUT_MS);
        let is_informed = informed.wait_for(|is_informed| *is_informed);
        if timeout(limit, is_informed).await.is_err() {
            log::debug!("route table and endpoint list did not arrive in time for a request");
        }
    }
}
