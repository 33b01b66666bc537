//! Events at the instances of a simulated deployment.

use super::links::LinkEvent;

pub(super) enum Event {
    SendHeartbeat,
    HeartbeatReceived {
        from: usize,
        table: u64,
    },
    StoreRead {
        table: u64,
    },
    /// The regular check whether a peer has a newer version.
    Poll,
    /// An additional check, after waiting for a busy peer.
    Retry,
    Request {
        from: usize,
        call: u64,
        received: Received,
    },
    Rejected {
        call: u64,
        wait_ms: u64,
    },
    Timeout {
        call: u64,
    },
    Link(LinkEvent),
    Applied {
        table: u64,
    },
}

/// The part of a document that an instance has received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Received {
    pub(super) version: u64,
    pub(super) bytes: usize,
}
