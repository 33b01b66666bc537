use std::cell::Cell;
use std::rc::Rc;

/// When an endpoint was last heard from, directly or as a stage of a chain. Clones share the time,
/// so that a stream records each event without a map lookup.
#[derive(Clone, Debug, Default)]
pub struct LastHeard(Rc<Cell<u64>>);

impl LastHeard {
    /// Records that something was received.
    pub fn record(&self, now_ms: u64) {
        self.0.set(now_ms.max(self.0.get()));
    }

    /// When something was last received; 0 if nothing was.
    pub fn at_ms(&self) -> u64 {
        self.0.get()
    }
}
