//! Positions in the history of the platform's store.
//!
//! The store numbers its writes. When it is restored from a backup, it gives numbers out again for other writes, in
//! a new epoch. A position has the epoch in its high bits, so that positions go on increasing.

/// Bits of a position that hold the store's version.
const VERSION_BITS: u32 = 48;

/// A version of the store and the epoch in which it was given out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// How often the store was restored from a backup.
    pub epoch: u64,
    /// Version within the epoch.
    pub version: u64,
}

impl From<u64> for StorePosition {
    fn from(position: u64) -> Self {
        Self {
            epoch: position >> VERSION_BITS,
            version: position & ((1 << VERSION_BITS) - 1),
        }
    }
}

impl From<StorePosition> for u64 {
    fn from(position: StorePosition) -> Self {
        (position.epoch << VERSION_BITS) | position.version
    }
}
