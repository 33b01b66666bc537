//! How many streams of this entry may be at an engine.
//!
//! Queues stand at the entry, so the entries together should use an engine's batch and no more.
//! Each entry owns a part of the batch, dealt so that the parts add up ([`dealt_part`]); slots that
//! stay free over several reports are lent, a part of them to each entry.

use crate::fairness::PIECES;
use crate::ids::ServiceName;
use crate::wire::local::EntrySlotRange;

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
        if dealt == self.dealt {
            // What is lent to it stays lent until the next report.
            let lent = (self.limit - f64::from(self.owned)).max(0.0);
            self.limit = f64::from(owned) + lent;
        } else {
            self.limit = f64::from(owned);
        }
        self.owned = owned;
        self.dealt = dealt;
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

/// Which slots of a service are this entry's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnSlots {
    /// Every `entries`-th, from slot `rank` on.
    Equal { rank: u64, entries: u64 },
    /// Those in the pieces from `first` up to `end`.
    Pieces { first: u32, end: u32 },
}

impl OwnSlots {
    /// How many of `slots` slots are own, when `dealt_before` slots come before them.
    pub(crate) fn count(self, dealt_before: u64, slots: u32) -> u32 {
        match self {
            Self::Equal { rank, entries } => dealt_part(dealt_before, slots, rank, entries),
            Self::Pieces { first, end } => (dealt_before..dealt_before + u64::from(slots))
                .filter(|slot| (first..end).contains(&piece_of(*slot)))
                .count() as u32,
        }
    }
}

/// The piece that a slot lies in. Slots that follow one another lie far apart, so that each range of
/// pieces has about its part of any few slots in a row.
fn piece_of(slot: u64) -> u32 {
    /// Near [`PIECES`] over the golden ratio, and odd: each piece has its turn. Of the steps near it
    /// this one deals most evenly: at most 3.1 slots off a range's part of any 199 in a row, over
    /// all ranges and starts; the nearest one, 633, up to 4.6.
    const STEP: u64 = 635;
    (slot * STEP % u64::from(PIECES)) as u32
}

/// This entry's own slots at each service.
#[derive(Clone, Debug)]
pub(crate) struct EntrySlots {
    pub(crate) rank: u64,
    /// Entries that serve; at least 1.
    pub(crate) entries: u64,
    /// Pieces told by control; all entries have the same part of the other services.
    pub(crate) parts: Vec<EntrySlotRange>,
}

impl EntrySlots {
    /// The own slots at a service.
    pub(crate) fn at(&self, service: &ServiceName) -> OwnSlots {
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
