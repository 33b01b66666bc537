//! Fair shares: weighted max-min, worked out alike on every node.

mod max_min;
mod parts;
mod split;
#[cfg(test)]
mod tests;

pub use max_min::{ShareClaim, max_min};
pub use parts::{EntryPieces, PIECE_COUNT, assign_entry_pieces};
pub use split::{EntryDemand, EntryShare, divide_capacity};
