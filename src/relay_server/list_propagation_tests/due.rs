//! What is to happen in a simulated deployment, in order of time.

use std::cmp::Reverse;

use super::world::Event;

/// An event at one instance.
pub(super) struct Due {
    pub(super) at_ms: u64,
    /// Order among those of one moment.
    pub(super) number: u64,
    pub(super) to: usize,
    pub(super) generation: u32,
    pub(super) event: Event,
}

impl Due {
    fn key(&self) -> Reverse<(u64, u64)> {
        Reverse((self.at_ms, self.number))
    }
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
