//! Streams that hold slots on engines, and the number of streams on each lane.

use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{EndpointId, StreamId};
use crate::wire::engine::{LayerRange, Stage};

use super::endpoints::EndpointTable;

/// The slots that a stream holds.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) stages: Vec<Slot>,
    /// First block of the prompt, if it has a complete one.
    pub(crate) block: Option<u64>,
    /// Whether a hint said that the first engine caches this block.
    pub(crate) hinted: bool,
    pub(crate) prompt_tokens: u32,
    /// Tokens observed since the plan.
    pub(crate) tokens: u32,
    /// Tokens of the same stream observed before the plan.
    pub(crate) tokens_before: u32,
}

/// A slot on one engine.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) endpoint: EndpointId,
    /// Number of the engine in the endpoint table.
    pub(crate) number: u32,
    pub(crate) layers: LayerRange,
}

/// All streams that hold slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    pub(crate) streams: IndexMap<StreamId, Reservation>,
    /// Number of streams on each lane, by its key.
    lanes: IndexMap<u64, u32>,
}

/// Returns the key of a chain, given the number and layers of each engine.
pub(crate) fn lane_key<I>(stages: I) -> u64
where
    I: Iterator<Item = (u32, LayerRange)>,
{
    let mut hasher = Xxh3::new();
    for (number, layers) in stages {
        hasher.update(&number.to_le_bytes());
        hasher.update(&layers.first.to_le_bytes());
        hasher.update(&layers.end.to_le_bytes());
    }
    hasher.digest()
}

impl Reservation {
    fn lane_key(&self) -> u64 {
        lane_key(self.stages.iter().map(|slot| (slot.number, slot.layers)))
    }
}

impl Reservations {
    /// Reserves a slot on every engine of the chain.
    pub(crate) fn reserve(
        &mut self,
        table: &mut EndpointTable,
        stream: StreamId,
        stages: &[Stage],
        mut reservation: Reservation,
        turn: &mut u64,
    ) {
        for stage in stages {
            let Some(endpoint) = table.endpoints.get_mut(&stage.endpoint) else {
                continue;
            };
            *turn += 1;
            endpoint.outstanding += 1;
            endpoint.last_turn = *turn;
            reservation.stages.push(Slot {
                endpoint: stage.endpoint.clone(),
                number: endpoint.number,
                layers: stage.layers,
            });
        }
        *self.lanes.entry(reservation.lane_key()).or_insert(0) += 1;
        self.streams.insert(stream, reservation);
    }

    /// Releases the slots of a stream.
    pub(crate) fn release(
        &mut self,
        table: &mut EndpointTable,
        stream: StreamId,
    ) -> Option<Reservation> {
        let reservation = self.streams.swap_remove(&stream)?;
        for slot in &reservation.stages {
            if let Some(endpoint) = table.endpoints.get_mut(&slot.endpoint)
                && endpoint.number == slot.number
            {
                crate::invariant::check(endpoint.outstanding > 0, "routing.slots", || {
                    format!("{} released more often than reserved", slot.endpoint)
                });
                endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
            }
        }
        decrement(&mut self.lanes, &reservation.lane_key());
        Some(reservation)
    }

    /// Returns the number of streams on a lane.
    pub(crate) fn count_on_lane(&self, key: u64) -> u32 {
        self.lanes.get(&key).copied().unwrap_or(0)
    }
}

fn decrement<K>(counts: &mut IndexMap<K, u32>, key: &K)
where
    K: std::hash::Hash + Eq,
{
    let Some(count) = counts.get_mut(key) else {
        return;
    };
    *count = count.saturating_sub(1);
    if *count == 0 {
        counts.swap_remove(key);
    }
}
