//! Selection of the engines that are ordered to change now.

use indexmap::IndexMap;

use crate::document::ModelOffer;
use crate::ids::EndpointId;
use crate::wire::engine::{EngineAssignment, EngineState};

use super::capacity::Capacity;
use super::desired::desired;
use super::view::EngineView;

/// Maximum number of engines that load weights for one service at the same time; the weight store
/// limits its rate.
const MAX_CONCURRENT_LOADS: usize = 4;
/// Fraction of the full capacity that may be unavailable at any load.
const MAX_UNAVAILABLE_FRACTION: f64 = 0.25;
/// Factor of the kept capacity over the capacity in use.
const HEADROOM: f64 = 1.25;

/// Orders to send now.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Plan {
    pub(crate) orders: Vec<(EndpointId, EngineAssignment)>,
    /// Engines that do not hold their assignment, including those with a pending order.
    pub(crate) unfinished: usize,
}

/// An engine that should change.
struct Candidate<'a> {
    engine: &'a EngineView<'a>,
    state: &'a EngineState,
    desired: EngineAssignment,
}

/// Computes the orders. `models` are those of one service.
pub(crate) fn plan(models: &IndexMap<String, ModelOffer>, engines: &[EngineView<'_>]) -> Plan {
    let mut plan = Plan::default();
    let mut in_progress = 0;
    let mut candidates = Vec::new();
    for engine in engines.iter().filter(|engine| !engine.leaving) {
        let Some(state) = engine.state else {
            continue;
        };
        let Some(desired) = desired(models, engines, state) else {
            continue;
        };
        if desired.matches_state(state) {
            continue;
        }
        plan.unfinished += 1;
        if engine.ordered == Some(&desired) {
            in_progress += 1;
        } else {
            candidates.push(Candidate {
                engine,
                state,
                desired,
            });
        }
    }
    for offer in models.values() {
        let of_offer = candidates
            .iter()
            .filter(|it| it.desired.model == offer.name);
        let of_offer: Vec<&Candidate<'_>> = of_offer.collect();
        let free = MAX_CONCURRENT_LOADS.saturating_sub(in_progress + plan.orders.len());
        plan.orders
            .extend(select_orders(offer, engines, of_offer, free));
    }
    plan
}

/// Selects up to `free` engines of one model, one by one. Each time it takes the engine whose
/// layers have the smallest share of the new version, so that complete chains of it exist early.
fn select_orders(
    offer: &ModelOffer,
    engines: &[EngineView<'_>],
    mut candidates: Vec<&Candidate<'_>>,
    free: usize,
) -> Vec<(EndpointId, EngineAssignment)> {
    let mut available = available_capacity(offer, engines);
    let mut planned = planned_capacity(offer, engines);
    let minimum = min_capacity(offer, engines);
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
        if candidate.desired.interrupts_work(state) && state.model == offer.name {
            let mut remaining = available.clone();
            remaining.remove(state, &state.version, state.layers);
            if remaining.usable() < minimum {
                continue;
            }
            available = remaining;
        }
        planned.remove(state, &state.version, state.layers);
        planned.add(state, &offer.version, candidate.desired.layers);
        chosen.push((candidate.engine.endpoint.clone(), candidate.desired.clone()));
    }
    chosen
}

fn rank<'a>(
    offer: &ModelOffer,
    planned: &Capacity,
    candidate: &Candidate<'a>,
) -> (f64, (u32, &'a EndpointId)) {
    let part = planned.min_share(&offer.version, candidate.desired.layers);
    let busy = candidate.state.running + candidate.state.waiting;
    (part, (busy, candidate.engine.endpoint))
}

/// Capacity of the engines that accept new work and are not about to stop.
fn available_capacity(offer: &ModelOffer, engines: &[EngineView<'_>]) -> Capacity {
    let mut capacity = Capacity::new(offer.layers);
    for (engine, state) in of_model(offer, engines) {
        let stops = engine
            .ordered
            .is_some_and(|order| order.interrupts_work(state));
        if !stops && !state.draining {
            capacity.add(state, &state.version, state.layers);
        }
    }
    capacity
}

/// Capacity once all pending orders are carried out.
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

/// Capacity that must remain: the capacity in use plus headroom, but at most what
/// [`MAX_UNAVAILABLE_FRACTION`] leaves. Always positive, so that no layer is left without an
/// engine.
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
