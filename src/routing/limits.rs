//! How many streams of this entry may be at an engine.
//!
//! Queues stand at the entry, so the entries together should use an engine's batch and no more.
//! Each entry owns a part of the batch, dealt so that the parts add up ([`dealt_part`]); slots that
//! stay free over several reports are lent, a part of them to each entry.

/// Reports over which a slot must have been free to be lent.
const REPORTS: usize = 3;

/// The limit of one endpoint at this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlotLimit {
    /// Slots that are this entry's own; may be 0.
    owned: u32,
    /// Slots that are dealt to all entries; at most the engine's batch.
    dealt: u32,
    /// Slots beyond that may be used now.
    limit: f64,
    /// Free slots in the last reports.
    free: [i64; REPORTS],
}

/// Load as an engine reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Report {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Streams of this entry there.
    pub(crate) outstanding: u32,
    /// Entries that serve; at least 1.
    pub(crate) entries: u32,
}

impl Default for SlotLimit {
    fn default() -> Self {
        Self {
            owned: 1,
            dealt: 1,
            limit: 1.0,
            free: [0; REPORTS],
        }
    }
}

impl SlotLimit {
    /// Slots that may be used.
    pub(crate) fn slots(&self) -> u32 {
        self.limit as u32
    }

    /// Sets how many slots are this entry's own, and how many are dealt to all entries.
    pub(crate) fn set_dealt(&mut self, owned: u32, dealt: u32) {
        if (owned, dealt) != (self.owned, self.dealt) {
            self.owned = owned;
            self.dealt = dealt;
            self.limit = f64::from(owned);
        }
    }

    /// The endpoint refused: its queue is full.
    pub(crate) fn refused(&mut self) {
        self.limit = (self.limit - 1.0).max(f64::from(self.owned.min(1)));
    }

    /// Takes a report; `draw` is uniform in `0.0..1.0`.
    pub(crate) fn learn(&mut self, report: Report, draw: f64) {
        let used = i64::from(report.running) + i64::from(report.waiting);
        self.free.rotate_left(1);
        self.free[REPORTS - 1] = i64::from(self.dealt) - used;
        let spare = self.free.iter().copied().min().unwrap_or(0).max(0);
        let lent = (spare as f64 / f64::from(report.entries.max(1)) + draw).floor();
        let base = f64::from(report.outstanding.max(self.owned));
        self.limit = if spare > 0 {
            base + lent
        } else {
            f64::from(self.owned)
        };
    }
}

/// The part of `batch_limit` slots that entry `rank` of `entries` owns, when the slots of all
/// engines before them in the deal number `dealt_before`.
pub(crate) fn dealt_part(dealt_before: u64, batch_limit: u32, rank: u64, entries: u64) -> u32 {
    let entries = entries.max(1);
    let owned_below = |slots: u64| (slots + entries - 1 - rank % entries) / entries;
    (owned_below(dealt_before + u64::from(batch_limit)) - owned_below(dealt_before)) as u32
}
