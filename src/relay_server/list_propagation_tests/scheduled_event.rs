//! Events of a simulated deployment, ordered by time.

use std::cmp::Reverse;

use super::simulation::Event;

/// An event that is due at one instance. The earliest one is the greatest.
pub(super) struct ScheduledEvent {
    pub(super) at_ms: u64,
    /// Order of events that are due at the same time.
    pub(super) sequence: u64,
    pub(super) instance: usize,
    /// Generation of the instance's process that the event is for.
    pub(super) generation: u32,
    pub(super) event: Event,
}

impl ScheduledEvent {
    fn key(&self) -> Reverse<(u64, u64)> {
        Reverse((self.at_ms, self.sequence))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
