//! Beats as they are kept, and as they are written.

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::InstanceId;
use crate::wire::peer::{HeartbeatDigest, HeartbeatDigestEntry};

/// Unit of ages on the wire.
const AGE_UNIT_MS: u64 = 100;

/// How recent the knowledge of one instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Beat {
    /// Grows while the instance's control runs, over restarts too.
    pub(crate) number: u64,
    /// Number at which its state last changed; never above `number`.
    pub(crate) state: u64,
    /// Number at which its demand last changed; never above `number`.
    pub(crate) demand: u64,
    /// Time since this number was heard; 0 for the own instance.
    pub(crate) age_ms: u64,
}

/// Beats by instance.
pub(crate) type BeatMap = IndexMap<InstanceId, Beat>;

/// Hash of sorted names.
pub(super) fn order_hash(order: &[InstanceId]) -> u32 {
    let mut hasher = Xxh3::new();
    for name in order {
        hasher.update(name.as_str().as_bytes());
        hasher.update(b"\n");
    }
    // Half of the hash is enough to tell a few lists apart.
    hasher.digest() as u32
}

/// Writes beats; `order` is the sorted list of the instances known here.
pub(super) fn encode(order: &[InstanceId], beats: &BeatMap, with_names: bool) -> HeartbeatDigest {
    let highest = beats.values().map(|beat| beat.number).max().unwrap_or(0);
    let value = |(position, name): (usize, &InstanceId)| -> Option<HeartbeatDigestEntry> {
        let beat = beats.get(name)?;
        Some((
            u16::try_from(position).ok()?,
            highest - beat.number,
            beat.number.saturating_sub(beat.state),
            beat.number.saturating_sub(beat.demand),
            beat.age_ms / AGE_UNIT_MS,
        ))
    };
    HeartbeatDigest {
        order: order_hash(order),
        names: if with_names {
            order.to_vec()
        } else {
            Vec::new()
        },
        highest,
        values: order.iter().enumerate().filter_map(value).collect(),
    }
}

/// Reads beats; `None` if they refer to a list that is not the one known here.
pub(super) fn decode(order: &[InstanceId], beats: &HeartbeatDigest) -> Option<BeatMap> {
    let names = if !beats.names.is_empty() {
        &beats.names
    } else if beats.order == order_hash(order) {
        order
    } else {
        return None;
    };
    let read = beats.values.iter().filter_map(|value| {
        let (position, back, state_age, demand_age, age) = *value;
        let name = names.get(usize::from(position))?;
        let number = beats.highest.saturating_sub(back);
        let beat = Beat {
            number,
            state: number.saturating_sub(state_age),
            demand: number.saturating_sub(demand_age),
            age_ms: age.saturating_mul(AGE_UNIT_MS),
        };
        Some((name.clone(), beat))
    });
    Some(read.collect())
}
