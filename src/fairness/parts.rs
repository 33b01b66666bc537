//! Each entry's part of a service's slots, from the shares of the accounts behind it.

use indexmap::IndexMap;

use super::split::EntryShare;
use crate::ids::InstanceId;

/// Number of equal pieces that a service's slots are thought to be cut into.
pub const PIECE_COUNT: u32 = 1_024;
/// An entry has at least this part of what it would have if all had the same: its demand may rise
/// before the next shares.
const LEAST_OF_EQUAL: f64 = 0.25;

/// The pieces of one entry: from `first` up to `end`, of [`PIECE_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPieces {
    /// First piece.
    pub first: u32,
    /// One past the last piece; greater than `first` but where there are more entries than pieces.
    pub end: u32,
}

/// Deals the pieces of a service to `entries` in proportion to their shares.
///
/// Every piece is dealt to one entry. The result depends on neither order, so that each node that
/// knows the same shares deals alike.
pub fn assign_entry_pieces(
    shares: &[EntryShare],
    entries: &[InstanceId],
) -> IndexMap<InstanceId, EntryPieces> {
    let mut wanted: IndexMap<InstanceId, f64> =
        entries.iter().map(|entry| (entry.clone(), 0.0)).collect();
    wanted.sort_unstable_keys();
    let mut sorted: Vec<&EntryShare> = shares.iter().collect();
    sorted.sort_by(|a, b| (&a.entry, &a.account).cmp(&(&b.entry, &b.account)));
    for share in sorted {
        if let Some(wanted) = wanted.get_mut(&share.entry) {
            *wanted += share.tokens_per_s;
        }
    }
    raise_to_least(&mut wanted);
    deal(&wanted)
}

/// Gives every entry its least; all the same where nothing is asked.
fn raise_to_least(wanted: &mut IndexMap<InstanceId, f64>) {
    let total: f64 = wanted.values().sum();
    let equal = if total > 0.0 {
        total / wanted.len() as f64
    } else {
        1.0
    };
    for wanted in wanted.values_mut() {
        *wanted = wanted.max(equal * LEAST_OF_EQUAL);
    }
}

fn deal(wanted: &IndexMap<InstanceId, f64>) -> IndexMap<InstanceId, EntryPieces> {
    let total: f64 = wanted.values().sum();
    let mut before = 0.0;
    let mut first = 0;
    wanted
        .iter()
        .map(|(entry, wanted)| {
            before += wanted;
            let end = (before / total * f64::from(PIECE_COUNT)).round() as u32;
            let pieces = EntryPieces { first, end };
            first = end;
            (entry.clone(), pieces)
        })
        .collect()
}
