//! Allocates the slots of engines to the serving entries, so that their parts add up exactly.

use indexmap::IndexMap;

use crate::ids::ServiceName;
use crate::wire::engine::{EngineState, LayerRange};
use crate::wire::platform::InstanceRole;

use super::endpoints::{Endpoint, EndpointTable};
use super::lanes::Lane;
use super::slot_limit::{EntrySlots, OwnSlots};

/// Sets the slots that this entry owns in the lanes. Engines of the service that are in no lane get
/// none.
pub(crate) fn allocate_lane_slots(
    table: &mut EndpointTable,
    holders: &[usize],
    lanes: &[Lane],
    own: OwnSlots,
) {
    let mut slots: IndexMap<usize, (u32, u32)> =
        holders.iter().map(|engine| (*engine, (0, 0))).collect();
    for lane in lanes {
        for run in &lane.runs {
            let (owned, allocated) = slots.entry(run.engine).or_default();
            *owned += lane.owned(own);
            *allocated += lane.slots;
        }
    }
    for (engine, (owned, allocated)) in slots {
        if let Some((_, endpoint)) = table.endpoints.get_index_mut(engine) {
            endpoint.slot_limit.set_allocation(owned, allocated);
        }
    }
}

/// Allocates the slots of all engines to the entries and sets those that this entry owns. Engines
/// that hold the same layers are numbered consecutively, so that an entry owns about as many slots
/// for each range of layers and can form complete chains.
pub(crate) fn allocate_slots(table: &mut EndpointTable, own: &EntrySlots) {
    let mut classes: IndexMap<(ServiceName, LayerRange), Vec<usize>> = IndexMap::new();
    for (index, endpoint) in table.endpoints.values().enumerate() {
        if let (InstanceRole::Engine, Some(state)) = (endpoint.role, &endpoint.state) {
            let class = (endpoint.service.clone(), state.layers);
            classes.entry(class).or_default().push(index);
        }
    }
    for engines in classes.values_mut() {
        engines.sort_by(|one, other| id(table, *one).cmp(&id(table, *other)));
        let mut allocated = 0;
        for engine in engines {
            let Some((_, endpoint)) = table.endpoints.get_index_mut(*engine) else {
                continue;
            };
            let slots = slot_count(endpoint);
            let owned = own.for_service(&endpoint.service).count(allocated, slots);
            endpoint.slot_limit.set_allocation(owned, slots);
            allocated += u64::from(slots);
        }
    }
}

fn id(table: &EndpointTable, engine: usize) -> Option<&str> {
    table.endpoints.get_index(engine).map(|(id, _)| id.as_str())
}

fn slot_count(endpoint: &Endpoint) -> u32 {
    endpoint.state.as_ref().map_or(1, EngineState::slots)
}
