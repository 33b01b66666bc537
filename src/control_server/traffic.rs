//! Bytes that the control sends and receives, by the other side.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::telemetry::Counters;

/// The other side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum OtherSide {
    /// A connection that has not made a call yet.
    Unknown = 0,
    /// The entry of the same instance.
    Entry = 1,
    /// The control of another instance.
    Peer = 2,
    /// An operator.
    Operator = 3,
    /// Table service, instance list and engines.
    Platform = 4,
}

impl OtherSide {
    const ALL: [Self; 5] = [
        Self::Unknown,
        Self::Entry,
        Self::Peer,
        Self::Operator,
        Self::Platform,
    ];

    /// The side that calls methods of this name.
    pub(super) fn of_method(method: &str) -> Self {
        match method.split_once('_').map(|(namespace, _)| namespace) {
            Some("local") => Self::Entry,
            Some("peer") => Self::Peer,
            Some("operator") => Self::Operator,
            _ => Self::Unknown,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Entry => "entry",
            Self::Peer => "peer",
            Self::Operator => "operator",
            Self::Platform => "platform",
        }
    }
}

#[derive(Debug, Default)]
struct Bytes {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Bytes by the other side; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(super) struct Traffic(Arc<[Bytes; 5]>);

impl Traffic {
    /// Counts bytes written.
    pub(super) fn sent(&self, side: OtherSide, bytes: usize) {
        let counter = &self.0[side as usize].sent;
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes read.
    pub(super) fn received(&self, side: OtherSide, bytes: usize) {
        let counter = &self.0[side as usize].received;
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Publishes the counts. `control.bytes_sent` and `control.bytes_received` hold what leaves
    /// the instance: peers and the platform.
    pub(super) fn publish(&self, counters: &Counters) {
        let mut sent_total = 0;
        let mut received_total = 0;
        for side in OtherSide::ALL {
            let bytes = &self.0[side as usize];
            let sent = bytes.sent.load(Ordering::Relaxed);
            let received = bytes.received.load(Ordering::Relaxed);
            let name = side.name();
            counters.gauge(&format!("control.bytes_sent.{name}"), sent);
            counters.gauge(&format!("control.bytes_received.{name}"), received);
            if matches!(side, OtherSide::Peer | OtherSide::Platform) {
                sent_total += sent;
                received_total += received;
            }
        }
        counters.gauge("control.bytes_sent", sent_total);
        counters.gauge("control.bytes_received", received_total);
    }
}

/// The other side of one connection, learnt from its first call.
#[derive(Clone, Debug)]
pub(super) struct Side(Arc<AtomicU64>);

impl Side {
    /// A connection to or from a known side.
    pub(super) fn new(side: OtherSide) -> Self {
        Self(Arc::new(AtomicU64::new(side as u64)))
    }

    /// Sets the side.
    pub(super) fn set(&self, side: OtherSide) {
        self.0.store(side as u64, Ordering::Relaxed);
    }

    /// The side.
    pub(super) fn get(&self) -> OtherSide {
        let number = self.0.load(Ordering::Relaxed) as usize;
        OtherSide::ALL
            .get(number)
            .copied()
            .unwrap_or(OtherSide::Unknown)
    }
}
