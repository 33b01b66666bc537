//! Which engines are ordered to change now.

use indexmap::IndexMap;

use crate::document::ModelOffer;
use crate::ids::EndpointId;
use crate::wire::engine::{EngineAssignment, EngineState};

use super::capacity::Capacity;
use super::desired::desired;
use super::view::EngineView;

/// Most engines that load weights for one service at once; the weight store limits its rate.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Part of the full capacity that may be away at any load.
const MAX_UNAVAILABLE_FRACTION: f64 = 0.25;
/// Capacity kept over what is in use.
const HEADROOM: f64 = 1.25;

/// What to order now.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Plan {
    /// Orders to send.
    pub(crate) orders: Vec<(EndpointId, EngineAssignment)>,
    /// Engines that do not hold what they should, those under order included.
    pub(crate) unfinished: usize,
}

/// An engine that should change.
struct Candidate<'a> {
    engine: &'a EngineView<'a>,
    state: &'a EngineState,
    desired: EngineAssignment,
}

/// Works out the orders. `models` are those of one service.
pub(crate) fn plan(models: &IndexMap<String, ModelOffer>, engines: &[EngineView<'_>]) -> Plan {
    let mut plan = Plan::default();
    let mut under_way = 0;
    let mut candidates = Vec::new();
    for engine in engines.iter().filter(|engine| !engine.leaving) {
        let Some(state) = engine.state else {
            continue;
        };
        let Some(desired) = desired(models, engines, state) else {
            continue;
        };
        if desired.is_held_by(state) {
            continue;
        }
        plan.unfinished += 1;
        if engine.ordered == Some(&desired) {
            under_way += 1;
        } else {
            candidates.push(Candidate {
                engine,
                state,
                desired,
            });
        }
    }
    for offer in models.values() {
        let own = candidates
            .iter()
            .filter(|it| it.desired.model == offer.name);
        let own: Vec<&Candidate<'_>> = own.collect();
        let free = MAX_CONCURRENT_LOADS.saturating_sub(under_way + plan.orders.len());
        plan.orders.extend(select_orders(offer, engines, own, free));
    }
    plan
}

/// Chooses up to `free` engines of one model, one after the other, each time the one whose layers
/// have least of the new version, so that whole chains of it come about early.
fn select_orders(
    offer: &ModelOffer,
    engines: &[EngineView<'_>],
    mut candidates: Vec<&Candidate<'_>>,
    free: usize,
) -> Vec<(EndpointId, EngineAssignment)> {
    let mut available = available_capacity(offer, engines);
    let mut planned = planned_capacity(offer, engines);
    let least = min_capacity(offer, engines);
    let mut chosen = Vec::new();
    while chosen.len() < free && !candidates.is_empty() {
        let next = candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| (index, rank(offer, &planned, candidate)))
            .min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map_or(0, |(index, _)| index);
        let candidate = candidates.remove(next);
        let state = candidate.state;
        if candidate.desired.disturbs(state) && state.model == offer.name {
            let mut without = available.clone();
            without.remove(state, &state.version, state.layers);
            if without.usable() < least {
                continue;
            }
            available = without;
        }
        planned.remove(state, &state.version, state.layers);
        planned.add(state, &offer.version, candidate.desired.layers);
        chosen.push((candidate.engine.endpoint.clone(), candidate.desired.clone()));
    }
    chosen
}

fn rank<'a>(
    offer: &ModelOffer,
    then: &Capacity,
    candidate: &Candidate<'a>,
) -> (f64, (u32, &'a EndpointId)) {
    let part = then.min_share(&offer.version, candidate.desired.layers);
    let busy = candidate.state.running + candidate.state.waiting;
    (part, (busy, candidate.engine.endpoint))
}

/// Capacity of the engines that take new work and are not about to stop.
fn available_capacity(offer: &ModelOffer, engines: &[EngineView<'_>]) -> Capacity {
    let mut capacity = Capacity::new(offer.layers);
    for (engine, state) in of_model(offer, engines) {
        let stops = engine.ordered.is_some_and(|order| order.disturbs(state));
        if !stops && !state.draining {
            capacity.add(state, &state.version, state.layers);
        }
    }
    capacity
}

/// Capacity once every order under way is fulfilled.
fn planned_capacity(offer: &ModelOffer, engines: &[EngineView<'_>]) -> Capacity {
    let mut capacity = Capacity::new(offer.layers);
    for (engine, state) in of_model(offer, engines) {
        match engine.ordered {
            Some(order) => capacity.add(state, &order.version, order.layers),
            None => capacity.add(state, &state.version, state.layers),
        }
    }
    capacity
}

/// Capacity that must stay: what is in use with some headroom, but not more than leaves
/// [`MAX_UNAVAILABLE_FRACTION`]. Always more than nothing, so that no layer is left without an engine.
fn min_capacity(offer: &ModelOffer, engines: &[EngineView<'_>]) -> f64 {
    let mut all = Capacity::new(offer.layers);
    let mut slots = 0;
    let mut busy = 0;
    for (_, state) in of_model(offer, engines) {
        all.add(state, &state.version, state.layers);
        slots += state.slots();
        busy += state.running + state.waiting;
    }
    let full = all.full();
    let in_use = f64::from(busy) / f64::from(slots.max(1)) * full;
    let kept = (in_use * HEADROOM).min(full * (1.0 - MAX_UNAVAILABLE_FRACTION));
    kept.max(f64::MIN_POSITIVE)
}

fn of_model<'a>(
    offer: &'a ModelOffer,
    engines: &'a [EngineView<'a>],
) -> impl Iterator<Item = (&'a EngineView<'a>, &'a EngineState)> {
    engines
        .iter()
        .filter(|engine| !engine.leaving)
        .filter_map(|engine| Some((engine, engine.state?)))
        .filter(|(_, state)| state.model == offer.name)
}
