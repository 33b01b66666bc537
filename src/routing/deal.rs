//! Dealing the slots of engines to the entries that serve, so that their parts add up.

use indexmap::IndexMap;

use crate::ids::ServiceName;
use crate::wire::engine::{EngineState, LayerRange};
use crate::wire::platform::InstanceRole;

use super::endpoints::{Endpoint, EndpointTable};
use super::lanes::Lane;
use super::limits::{EntrySlots, OwnSlots};

/// Takes the own slots of the lanes. Engines of the service that are in no lane get none.
pub(crate) fn lane_slots(
    table: &mut EndpointTable,
    holders: &[usize],
    lanes: &[Lane],
    own: OwnSlots,
) {
    let mut slots: IndexMap<usize, (u32, u32)> =
        holders.iter().map(|engine| (*engine, (0, 0))).collect();
    for lane in lanes {
        for run in &lane.runs {
            let (owned, dealt) = slots.entry(run.engine).or_default();
            *owned += lane.owned(own);
            *dealt += lane.slots;
        }
    }
    for (engine, (owned, dealt)) in slots {
        if let Some((_, endpoint)) = table.all.get_index_mut(engine) {
            endpoint.limit.set_dealt(owned, dealt);
        }
    }
}

/// Deals the slots of all engines to the entries, and takes the own ones. Engines that hold the
/// same layers are dealt one after the other, so that an entry owns about as many slots for
/// each range of layers and can make whole chains of them.
pub(crate) fn slots(table: &mut EndpointTable, own: &EntrySlots) {
    let mut classes: IndexMap<(ServiceName, LayerRange), Vec<usize>> = IndexMap::new();
    for (index, endpoint) in table.all.values().enumerate() {
        if let (InstanceRole::Engine, Some(state)) = (endpoint.role, &endpoint.state) {
            let class = (endpoint.service.clone(), state.layers);
            classes.entry(class).or_default().push(index);
        }
    }
    for engines in classes.values_mut() {
        engines.sort_by(|one, other| id(table, *one).cmp(&id(table, *other)));
        let mut dealt = 0;
        for engine in engines {
            let Some((_, endpoint)) = table.all.get_index_mut(*engine) else {
                continue;
            };
            let slots = slot_count(endpoint);
            let owned = own.at(&endpoint.service).count(dealt, slots);
            endpoint.limit.set_dealt(owned, slots);
            dealt += u64::from(slots);
        }
    }
}

fn id(table: &EndpointTable, engine: usize) -> Option<&str> {
    table.all.get_index(engine).map(|(id, _)| id.as_str())
}

fn slot_count(endpoint: &Endpoint) -> u32 {
    endpoint.state.as_ref().map_or(1, EngineState::slots)
}
