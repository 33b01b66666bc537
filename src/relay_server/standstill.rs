//! What an instance does when it goes on after a standstill of its process.

use super::node::Node;
use crate::clock::boot_ms;

impl<A> Node<A> {
    /// Records that this process stood still for `lasted_ms` until now.
    pub(super) fn record_standstill(&self, lasted_ms: u64) {
        self.counters.count("process.standstills");
        self.counters.time_ms("process.standstill", lasted_ms);
        log::warn!(
            lasted_ms,
            open_requests = self.open_requests.get();
            "process stood still"
        );
        let mut peers = self.peers.borrow_mut();
        peers.extend_silences(lasted_ms, boot_ms());
    }
}
