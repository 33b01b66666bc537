//! When something last came from an endpoint.

use std::cell::Cell;
use std::rc::Rc;

/// When something last came from an endpoint, or over it as a stage of a chain. Clones share the time,
/// so that a stream notes each event without a look into a map.
#[derive(Clone, Debug, Default)]
pub struct LastHeard(Rc<Cell<u64>>);

impl LastHeard {
    /// Notes that something came.
    pub fn record(&self, now_ms: u64) {
        self.0.set(now_ms.max(self.0.get()));
    }

    /// When something last came; 0 if nothing ever did.
    pub fn at_ms(&self) -> u64 {
        self.0.get()
    }
}
