//! Which instances of an availability zone read the platform's store. The others are told by them, so
//! that the calls to the store do not grow with the fleet: 195 instances made 11,700 calls in 48 s.
//!
//! Nobody is elected: each instance decides by its place among those it hears, and one steps in
//! whenever what it hears gets old, whatever the cause. More readers than needed cost calls, fewer cost
//! nothing but the time until the next steps in.

/// Instances of a zone that read the store, and one of which gives the orders to engines. With three,
/// two may fail at once and nobody waits.
pub(super) const READERS_PER_ZONE: usize = 3;
/// Age of the newest answer of the store known in a zone at which others step in. A watch that brings
/// nothing is answered after 1.7 s, and heard of up to a heartbeat later.
pub(super) const STALE_MS: u64 = 2_050;
/// How long an instance that has just started, and does not come first, listens for others that read the
/// store. After the start of all at once the first heartbeats come within half a second.
const LISTEN_MS: u64 = 1_000;
/// How long one that knows of no others waits for their records.
const RECORDS_WAIT_MS: u64 = 300;
/// How much later each next instance of a zone steps in: some heartbeats go by between the first and
/// the tenth, so that one which the store answers is heard before hundreds have called.
const STEP_MS: u64 = 60;
/// Longest wait of the last instance beyond the first one's.
const MOST_STEPS_MS: u64 = 1_500;

/// What an instance goes by.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreReaderView {
    /// Instances of the zone that come before it.
    pub(super) rank: usize,
    /// Those of them that the store has lately answered.
    pub(super) answered_ahead: usize,
    /// When the store last answered anybody in the zone, by what is heard here.
    pub(super) answered_ms: Option<u64>,
    /// Since when the process listens.
    pub(super) started_ms: u64,
    /// Whether it reads now.
    pub(super) is_reader: bool,
}

impl StoreReaderView {
    /// Whether the instance is to read the store.
    pub(super) fn should_read(self, now_ms: u64) -> bool {
        if self.rank < READERS_PER_ZONE {
            return true;
        }
        if self.is_reader {
            return self.answered_ahead < READERS_PER_ZONE;
        }
        let steps = (self.rank - READERS_PER_ZONE) as u64;
        let wait_ms = (steps * STEP_MS).min(MOST_STEPS_MS);
        now_ms >= self.stale_from_ms() + wait_ms
    }

    /// Whether the process has just started and may not know of the others yet.
    pub(super) fn awaits_records(self, now_ms: u64) -> bool {
        now_ms < self.started_ms + RECORDS_WAIT_MS
    }

    fn stale_from_ms(self) -> u64 {
        match self.answered_ms {
            Some(answered_ms) => answered_ms + STALE_MS,
            None => self.started_ms + LISTEN_MS,
        }
    }
}
