//! How much of a document an instance hands to a peer that asks.

/// What a peer that asks for a document is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// So much of it, now.
    Given {
        /// Length of what is given.
        bytes: usize,
    },
}

/// What the link of this instance has to carry for peers.
#[derive(Debug)]
pub(super) struct Uplink;

impl Uplink {
    /// The link of an instance, by its speed in megabits a second; 0 if that is not known.
    pub(super) fn new(_link_mbps: u32) -> Self {
        Self
    }

    /// Decides on a peer that lacks so much of a document.
    pub(super) fn admit(&mut self, lacking_bytes: usize, _now_ms: u64) -> Admission {
        Admission::Given {
            bytes: lacking_bytes,
        }
    }
}
