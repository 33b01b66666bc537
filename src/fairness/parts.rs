//! Partition of a service's slots among entries, by the shares of the accounts at each entry.

use indexmap::IndexMap;

use super::split::EntryShare;
use crate::ids::InstanceId;

/// Number of equal pieces into which a service's slots are divided.
pub const PIECE_COUNT: u32 = 1_024;
/// Minimum of an entry, as a fraction of an equal division: its demand may rise before the next
/// shares are computed.
const MIN_FRACTION_OF_EQUAL: f64 = 0.25;

/// The pieces of one entry: the half-open range from `first` to `end`, out of [`PIECE_COUNT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryPieces {
    /// Index of the first piece.
    pub first: u32,
    /// Index after the last piece; greater than `first` unless there are more entries than pieces.
    pub end: u32,
}

/// Assigns the pieces of a service to `entries` in proportion to their shares.
///
/// Every piece is assigned to exactly one entry. The result does not depend on the order of the
/// arguments, so all nodes with the same shares compute the same assignment.
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
    raise_to_minimum(&mut wanted);
    assign_ranges(&wanted)
}

/// Raises every entry to the minimum; all entries are equal if there is no demand.
fn raise_to_minimum(wanted: &mut IndexMap<InstanceId, f64>) {
    let total: f64 = wanted.values().sum();
    let equal = if total > 0.0 {
        total / wanted.len() as f64
    } else {
        1.0
    };
    for wanted in wanted.values_mut() {
        *wanted = wanted.max(equal * MIN_FRACTION_OF_EQUAL);
    }
}

fn assign_ranges(wanted: &IndexMap<InstanceId, f64>) -> IndexMap<InstanceId, EntryPieces> {
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
