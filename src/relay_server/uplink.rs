//! Rate control for handing documents to peers: how many bytes to send now, or when to ask again.
//!
//! The link that carries documents to peers also carries responses to callers and health checks. If
//! dozens of peers were served at once, they would fill it and time out together, and live engines would
//! be taken for dead. Documents are therefore sent in parts, a few at a time, and the other peers are told
//! when to ask again. A peer that has the complete document hands it on as well.

/// Limit of the link time taken up by parts in flight at once: half of a health check's timeout.
const MAX_QUEUED_US: u64 = 60_000;
/// Link time charged for every two units of time that a part takes to transmit. Documents thus use at
/// most two thirds of a link and leave the rest to callers and engines. With half of the link, long
/// documents arrived late at hundreds of instances.
const CHARGED_PER_TWO: u64 = 3;
/// Link time that one part takes up.
const PART_MS: u64 = 25;
/// This many bytes take up a receiver's 20 Mbit/s link for [`PART_MS`].
const MAX_PART_BYTES: usize = 62_500;
/// Applies whatever the speed of the link.
const MIN_PART_BYTES: usize = 4 << 10;
/// Longest time that a peer is told to wait: by then, other peers have the document.
const MAX_WAIT_US: u64 = 250_000;
/// Speed assumed for a link of unknown speed, in megabits per second.
pub(super) const UNKNOWN_LINK_MBPS: u32 = 20;

/// Answer to a peer that asks for a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// A part may be sent now.
    Granted { bytes: usize },
    /// The link is busy; the peer has to ask again later.
    Busy { wait_ms: u64 },
}

/// Use of this instance's link for documents.
#[derive(Debug)]
pub(super) struct Uplink {
    link_mbps: u64,
    /// When all granted parts have been sent, at the documents' share of the link.
    free_at_us: u64,
    /// The latest time at which a peer was told to ask again. Each gets a different time, so that they
    /// do not all ask at once.
    reserved_until_us: u64,
}

impl Uplink {
    /// Takes the speed of the link in megabits per second; 0 if unknown.
    pub(super) fn new(link_mbps: u32) -> Self {
        let known = Some(link_mbps).filter(|it| *it > 0);
        Self {
            link_mbps: u64::from(known.unwrap_or(UNKNOWN_LINK_MBPS)),
            free_at_us: 0,
            reserved_until_us: 0,
        }
    }

    /// Decides how to answer a peer that lacks `missing_bytes` of a document.
    pub(super) fn admit(&mut self, missing_bytes: usize, now_ms: u64) -> Admission {
        let now_us = now_ms * 1_000;
        let bytes = missing_bytes.min(self.part_bytes());
        let charged_us = bytes as u64 * 8 * CHARGED_PER_TWO / (2 * self.link_mbps);
        let free_at_us = self.free_at_us.max(now_us);
        let is_idle = free_at_us == now_us;
        if is_idle || free_at_us + charged_us <= now_us + MAX_QUEUED_US {
            self.free_at_us = free_at_us + charged_us;
            return Admission::Granted { bytes };
        }
        let latest_us = now_us + MAX_WAIT_US;
        let reserved_us = self.reserved_until_us.max(free_at_us) + charged_us;
        self.reserved_until_us = reserved_us.min(latest_us);
        let wait_us = self
            .reserved_until_us
            .saturating_sub(now_us + MAX_QUEUED_US);
        Admission::Busy {
            wait_ms: wait_us.div_ceil(1_000).max(1),
        }
    }

    fn part_bytes(&self) -> usize {
        let carried_bytes = self.link_mbps * 1_000 / 8 * PART_MS;
        usize::try_from(carried_bytes)
            .unwrap_or(MAX_PART_BYTES)
            .clamp(MIN_PART_BYTES, MAX_PART_BYTES)
    }
}
