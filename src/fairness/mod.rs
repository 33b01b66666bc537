//! Weighted max-min fair shares, computed deterministically so that all nodes agree.

mod max_min;
mod parts;
mod split;
#[cfg(test)]
mod tests;

pub use max_min::{ShareClaim, max_min};
pub use parts::{EntryPieces, PIECE_COUNT, assign_entry_pieces};
pub use split::{EntryDemand, EntryShare, divide_capacity};
