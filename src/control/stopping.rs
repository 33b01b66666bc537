//! A planned stop: peers hear of it, the entry finishes, the audit trail is written.

use super::Control;
use crate::instance::ControlEffect;

/// How long a control that stops alone waits before it goes: time for peers and its entry to
/// hear of it.
const GRACE_MS: u64 = 1_000;
/// How long operators' calls, the audit trail and leases may take to be settled once the entry has
/// finished.
const SETTLE_LIMIT_MS: u64 = 5_000;

/// How far a planned stop has got.
#[derive(Clone, Debug, Default)]
pub(super) struct Stopping {
    begun_ms: Option<u64>,
    entry_done_ms: Option<u64>,
    done: bool,
}

impl Stopping {
    /// Whether the process was told to stop.
    pub(super) fn has_begun(&self) -> bool {
        self.begun_ms.is_some()
    }
}

impl Control {
    pub(super) fn stop(&mut self, now_ms: u64) {
        self.stopping.begun_ms.get_or_insert(now_ms);
    }

    /// Lets the process go once nothing waits for it. An entry that is stopping too is waited
    /// for until it has finished; one that is not goes on with its last snapshot.
    pub(super) fn end_stop(&mut self, now_ms: u64) {
        let Some(begun_ms) = self.stopping.begun_ms else {
            return;
        };
        let entry_works = self.entry.is_there(now_ms) && self.entry.is_stopping();
        if self.stopping.done || entry_works || now_ms < begun_ms + GRACE_MS {
            return;
        }
        let done_ms = *self.stopping.entry_done_ms.get_or_insert(now_ms);
        let answered = self.acceptances.is_empty() && self.gatherings.is_empty();
        let handed_over = answered && self.audit.is_empty() && !self.orders.holds_any(now_ms);
        if handed_over || now_ms >= done_ms + SETTLE_LIMIT_MS {
            self.stopping.done = true;
            self.emit(ControlEffect::Stopped);
        }
    }
}
