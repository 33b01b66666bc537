//! Events of a simulated deployment, ordered by time.

use std::cmp::Reverse;
use std::rc::Rc;

use super::super::adapter::FeedRead;
use super::super::heartbeat::{Heartbeat, PeerPart};
use super::super::list_sync::ListUpdate;
use crate::fleet::ListingRead;
use crate::ids::InstanceId;

pub(super) enum Event {
    SendHeartbeat,
    HeartbeatReceived {
        from: usize,
        heartbeat: Rc<Heartbeat>,
        peer_part: PeerPart,
    },
    /// Start of a read or watch of the list.
    ListCall,
    /// The store answers a watch because its wait is over.
    ListWatchExpired {
        sent_ms: u64,
    },
    /// End of a read or watch of the list; `read` is `None` if the call failed.
    ListCallEnded {
        sent_ms: u64,
        read: Option<FeedRead<ListingRead>>,
    },
    TableCall,
    TableCallEnded {
        is_answered: bool,
    },
    /// Check whether a peer knows more.
    Poll,
    PeerTimedOut(InstanceId),
    PeerResponded {
        requested_position: u64,
        sent_ms: u64,
        update: ListUpdate,
        age_ms: u64,
    },
    Sweep,
}

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
