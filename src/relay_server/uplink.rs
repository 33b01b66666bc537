//! How much of a document an instance hands to a peer that asks, and when.
//!
//! The link that hands documents on also carries callers' answers and health checks. Served all at once,
//! dozens of peers would fill it, run into their limit together, and live engines would go unheard. So a document is handed over in parts, few at a time, and the others are told when to come
//! again; whoever has it whole hands it on as well.

/// Longest time for which parts that are handed over at the same time take up the link, half of what a
/// health check waits for its answer.
const MOST_QUEUED_US: u64 = 60_000;
/// Time for which a link is counted as taken, for each two it takes to carry a part: two thirds of a link
/// are for documents at most, the rest is for callers and engines. With half, long documents would be late
/// at hundreds of instances.
const TAKEN_PER_TWO: u64 = 3;
/// Time for which one part takes up the link.
const PART_MS: u64 = 25;
/// Longest part: it takes up a receiver's link of 20 Mbit/s for as long.
const LONGEST_PART_BYTES: usize = 62_500;
/// Shortest part, over any link.
const SHORTEST_PART_BYTES: usize = 4 << 10;
/// Longest time for which a peer is told to wait: others have the document by then.
const LONGEST_WAIT_US: u64 = 250_000;
/// What a link is taken for whose speed is not known, in megabits a second.
pub(super) const UNKNOWN_LINK_MBPS: u32 = 20;

/// What a peer that asks for a document is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// So much of it, now.
    Granted {
        /// Length of what is given.
        bytes: usize,
    },
    /// Nothing: there is room again then.
    Busy {
        /// Time until then.
        wait_ms: u64,
    },
}

/// What the link of this instance has to carry for peers.
#[derive(Debug)]
pub(super) struct Uplink {
    link_mbps: u64,
    /// When all that was given has left, at the documents' share of the link.
    free_at_us: u64,
    /// Up to when peers that were turned away were told to come again. Each is told another time, so
    /// that they do not come together.
    promised_until_us: u64,
}

impl Uplink {
    /// The link of an instance, by its speed in megabits a second; 0 if that is not known.
    pub(super) fn new(link_mbps: u32) -> Self {
        let known = Some(link_mbps).filter(|it| *it > 0);
        Self {
            link_mbps: u64::from(known.unwrap_or(UNKNOWN_LINK_MBPS)),
            free_at_us: 0,
            promised_until_us: 0,
        }
    }

    /// Decides on a peer that lacks so much of a document.
    pub(super) fn admit(&mut self, lacking_bytes: usize, now_ms: u64) -> Admission {
        let now_us = now_ms * 1_000;
        let bytes = lacking_bytes.min(self.part_bytes());
        let takes_us = bytes as u64 * 8 * TAKEN_PER_TWO / (2 * self.link_mbps);
        let free_at_us = self.free_at_us.max(now_us);
        let is_idle = free_at_us == now_us;
        if is_idle || free_at_us + takes_us <= now_us + MOST_QUEUED_US {
            self.free_at_us = free_at_us + takes_us;
            return Admission::Granted { bytes };
        }
        let latest_us = now_us + LONGEST_WAIT_US;
        let promised_us = self.promised_until_us.max(free_at_us) + takes_us;
        self.promised_until_us = promised_us.min(latest_us);
        let wait_us = self
            .promised_until_us
            .saturating_sub(now_us + MOST_QUEUED_US);
        Admission::Busy {
            wait_ms: wait_us.div_ceil(1_000).max(1),
        }
    }

    fn part_bytes(&self) -> usize {
        let carried_bytes = self.link_mbps * 1_000 / 8 * PART_MS;
        usize::try_from(carried_bytes)
            .unwrap_or(LONGEST_PART_BYTES)
            .clamp(SHORTEST_PART_BYTES, LONGEST_PART_BYTES)
    }
}
