//! Decides which instances of an availability zone read the platform's store. The others receive its
//! contents from those, so that the number of calls does not grow with the fleet: when all 195 instances
//! read the store, they made 11,700 calls in 48 s.
//!
//! There is no election. Each instance decides from its rank among the instances that it hears, and one
//! starts reading whenever the data it hears gets old, for whatever reason. More readers than needed
//! cost calls; fewer cost only the time until the next instance starts reading.

use super::introduction::FIRST_START_MS;

/// Instances of a zone that read the store, one of which issues the orders to engines. With three, two
/// may fail at once without any delay.
pub(super) const READERS_PER_ZONE: usize = 3;
/// Age of the newest store answer known in a zone at which further instances start reading. A watch
/// without changes is answered after 1.7 s, and peers hear of it up to one heartbeat later.
pub(super) const STORE_STALE_MS: u64 = 2_050;
/// How long an instance that has just started, and is not ranked among the readers, listens for other
/// readers. When all instances start at once, the first heartbeats arrive within 500 ms.
const LISTEN_MS: u64 = 1_000;
/// How long an instance that knows of no others waits for their records.
const RECORDS_WAIT_MS: u64 = 300;
/// Delay that each further rank adds before an instance starts reading. Several heartbeats pass between
/// the first and the tenth, so that an instance that the store answers is heard before hundreds have
/// called the store.
const STAGGER_MS: u64 = 60;
/// Upper limit of that delay.
const MAX_STAGGER_MS: u64 = 1_500;

/// What an instance bases its decision on.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreReaderView {
    /// Number of instances of the zone that are ranked ahead of this one.
    pub(super) rank: usize,
    /// Instances ranked ahead that the store has answered recently.
    pub(super) answered_ahead: usize,
    /// When the store last answered any instance of the zone, as far as known here.
    pub(super) answered_ms: Option<u64>,
    /// When the process started to listen for heartbeats.
    pub(super) started_ms: u64,
    /// Whether the whole deployment starts for the first time.
    pub(super) is_first_start: bool,
    /// Whether this instance reads the store now.
    pub(super) is_reader: bool,
}

impl StoreReaderView {
    /// Whether the instance has to read the store.
    pub(super) fn should_read(self, now_ms: u64) -> bool {
        if self.rank < READERS_PER_ZONE {
            return true;
        }
        if self.is_reader {
            return self.answered_ahead < READERS_PER_ZONE;
        }
        let ranks_behind = (self.rank - READERS_PER_ZONE) as u64;
        let stagger_ms = (ranks_behind * STAGGER_MS).min(MAX_STAGGER_MS);
        now_ms >= self.stale_from_ms() + stagger_ms
    }

    /// Whether the process has started so recently that it may not know its rank yet. Records or a peer's
    /// list tell it, unless the other instances have only just introduced themselves.
    pub(super) fn awaits_records(self, are_records_loaded: bool, now_ms: u64) -> bool {
        if self.is_first_start {
            return now_ms < self.started_ms + FIRST_START_MS;
        }
        !are_records_loaded && now_ms < self.started_ms + RECORDS_WAIT_MS
    }

    fn stale_from_ms(self) -> u64 {
        match self.answered_ms {
            Some(answered_ms) => answered_ms + STORE_STALE_MS,
            None => self.started_ms + LISTEN_MS,
        }
    }
}
