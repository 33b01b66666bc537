//! Limit on this entry's concurrent streams on an engine.
//!
//! Requests queue at the entry, so the entries together should use the slots of an engine and no
//! more. Each entry owns a part of the slots, allocated so that the parts add up ([`entry_part`]).
//! Slots that stay free over several reports are lent, a part of them to each entry.

use crate::fairness::PIECE_COUNT;
use crate::ids::ServiceName;
use crate::wire::local::EntrySlotRange;

/// Number of consecutive reports in which a slot must have been free to be lent.
const LENDING_REPORTS: usize = 3;

/// Limit of one endpoint at this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlotLimit {
    /// Slots that this entry owns; may be 0.
    owned: u32,
    /// Slots that are allocated to all entries together; at most the engine's slots.
    allocated: u32,
    /// Slots that may be used now, including lent ones.
    limit: f64,
    /// Free slots in the most recent reports.
    free: [i64; LENDING_REPORTS],
}

/// Load reported by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadReport {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Streams of this entry on the engine.
    pub(crate) outstanding: u32,
    /// Number of serving entries; at least 1.
    pub(crate) entries: u32,
}

impl Default for SlotLimit {
    fn default() -> Self {
        Self {
            owned: 1,
            allocated: 1,
            limit: 1.0,
            free: [0; LENDING_REPORTS],
        }
    }
}

impl SlotLimit {
    /// Number of slots that may be used.
    pub(crate) fn slots(&self) -> u32 {
        self.limit as u32
    }

    /// Sets how many slots this entry owns and how many are allocated to all entries together.
    pub(crate) fn set_allocation(&mut self, owned: u32, allocated: u32) {
        if allocated == self.allocated {
            // Lent slots stay lent until the next report.
            let lent = (self.limit - f64::from(self.owned)).max(0.0);
            self.limit = f64::from(owned) + lent;
        } else {
            self.limit = f64::from(owned);
        }
        self.owned = owned;
        self.allocated = allocated;
    }

    /// Records that the endpoint refused work because its queue is full.
    pub(crate) fn record_refusal(&mut self) {
        self.limit = (self.limit - 1.0).max(f64::from(self.owned.min(1)));
    }

    /// Updates the limit from a report; `draw` is uniform in `0.0..1.0`.
    pub(crate) fn apply_report(&mut self, report: LoadReport, draw: f64) {
        let used = i64::from(report.running) + i64::from(report.waiting);
        self.free.rotate_left(1);
        self.free[LENDING_REPORTS - 1] = i64::from(self.allocated) - used;
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

/// Returns how many of `batch_limit` slots the entry `rank` of `entries` owns, if `slots_before`
/// slots are allocated on the engines before.
pub(crate) fn entry_part(slots_before: u64, batch_limit: u32, rank: u64, entries: u64) -> u32 {
    let entries = entries.max(1);
    let owned_below = |slots: u64| (slots + entries - 1 - rank % entries) / entries;
    (owned_below(slots_before + u64::from(batch_limit)) - owned_below(slots_before)) as u32
}

/// The slots of a service that this entry owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnSlots {
    /// Every `entries`-th slot, starting with `rank`.
    Equal { rank: u64, entries: u64 },
    /// The slots in the pieces from `first` up to but excluding `end`.
    Pieces { first: u32, end: u32 },
}

impl OwnSlots {
    /// Returns how many of `slots` slots are owned, if `slots_before` slots come before them.
    pub(crate) fn count(self, slots_before: u64, slots: u32) -> u32 {
        match self {
            Self::Equal { rank, entries } => entry_part(slots_before, slots, rank, entries),
            Self::Pieces { first, end } => (slots_before..slots_before + u64::from(slots))
                .filter(|slot| (first..end).contains(&piece_of(*slot)))
                .count() as u32,
        }
    }
}

/// Returns the piece that contains a slot. Consecutive slots lie far apart, so that each range of
/// pieces gets roughly its part of any few consecutive slots.
fn piece_of(slot: u64) -> u32 {
    /// Close to [`PIECE_COUNT`] divided by the golden ratio, and odd, so that every piece is reached. Of
    /// the nearby steps, this one distributes slots most evenly: over all ranges and starts, a
    /// range is at most 3.1 slots off its part of any 199 consecutive slots. The nearest step, 633,
    /// is up to 4.6 slots off.
    const PIECE_STEP: u64 = 635;
    (slot * PIECE_STEP % u64::from(PIECE_COUNT)) as u32
}

/// The slots that this entry owns in each service.
#[derive(Clone, Debug)]
pub(crate) struct EntrySlots {
    pub(crate) rank: u64,
    /// Number of serving entries; at least 1.
    pub(crate) entries: u64,
    /// Pieces assigned by control; in services that are not listed, all entries have equal parts.
    pub(crate) parts: Vec<EntrySlotRange>,
}

impl EntrySlots {
    /// Returns the owned slots of a service.
    pub(crate) fn for_service(&self, service: &ServiceName) -> OwnSlots {
        match self.parts.iter().find(|part| part.service == *service) {
            Some(part) => OwnSlots::Pieces {
                first: part.first_piece,
                end: part.end_piece,
            },
            None => OwnSlots::Equal {
                rank: self.rank,
                entries: self.entries,
            },
        }
    }
}
