//! Orders: what an engine is to hold, and its state as others see it.

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{
    EngineAssignment, EngineError, EngineErrorCode, EngineOrder, EngineState, LinkState,
};

use super::core::{Core, Output, refusal};
use super::executor::SLOT_BATCHES;
use super::link::degrade;

/// Orders seen and the change under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Orders {
    /// Highest fencing number seen.
    pub(crate) fence: u64,
    /// What the engine will hold, once its weights are there and no stream needs the old ones.
    pub(crate) pending: Option<Pending>,
}

/// A change under way.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    desired: EngineAssignment,
    loaded: bool,
}

impl Core {
    /// Takes an order, or refuses it for its fencing number.
    pub(crate) fn order(&mut self, order: EngineOrder) -> Result<(), EngineError> {
        if order.fence < self.orders.fence {
            if self.node.checks_fence {
                self.counters.stale_orders_refused += 1;
                return Err(refusal(EngineErrorCode::StaleFence));
            }
            self.counters.stale_orders_taken += 1;
        }
        if order.desired.layers.is_empty() {
            return Err(refusal(EngineErrorCode::Malformed));
        }
        self.orders.fence = self.orders.fence.max(order.fence);
        self.counters.orders += 1;
        self.aim_at(order.desired);
        Ok(())
    }

    fn aim_at(&mut self, desired: EngineAssignment) {
        let pending = self.orders.pending.as_ref();
        if pending.is_some_and(|pending| pending.desired == desired) {
            return;
        }
        if desired == self.held {
            self.orders.pending = None;
            return;
        }
        let parts = parts_to_load(&self.held, &desired);
        self.orders.pending = Some(Pending {
            desired: desired.clone(),
            loaded: false,
        });
        self.outputs.push(Output::Load { desired, parts });
    }

    /// The weights of an assignment are there.
    pub(crate) fn loaded(&mut self, desired: &EngineAssignment, now_us: u64) {
        let pending = self.orders.pending.as_mut();
        if let Some(pending) = pending.filter(|pending| pending.desired == *desired) {
            pending.loaded = true;
        }
        self.change_assignment(now_us);
    }

    /// Whether it takes no new streams.
    pub(crate) fn is_draining(&self) -> bool {
        let pending = self.orders.pending.as_ref();
        self.faults.drain || pending.is_some_and(|change| change.loaded && disturbs(self, change))
    }

    /// Lets a loaded change take effect once no stream needs what it replaces.
    pub(crate) fn change_assignment(&mut self, now_us: u64) {
        let Some(pending) = self.orders.pending.as_ref().filter(|change| change.loaded) else {
            return;
        };
        let in_use = self.streams.values().any(|stream| stream.is_active());
        let disturbs = disturbs(self, pending);
        if disturbs && in_use {
            return;
        }
        self.held = pending.desired.clone();
        self.orders.pending = None;
        self.counters.assignments += 1;
        if disturbs {
            let stopped: Vec<StreamId> = self.streams.keys().copied().collect();
            for id in stopped {
                self.forget(id, now_us);
            }
            self.cache.clear(now_us);
        }
    }

    /// The engine as it shows itself. Load figures are those of the last sweep.
    pub(crate) fn state(&self, now_us: u64, behind: &[EndpointId]) -> EngineState {
        let links = behind
            .iter()
            .map(|name| (name.clone(), self.link_to(name)))
            .collect();
        EngineState {
            endpoint: self.node.name.clone(),
            incarnation: self.incarnation,
            accelerator: self.node.accelerator.clone(),
            model: self.held.model.clone(),
            version: self.held.version.clone(),
            adapters: self.held.adapters.clone(),
            layers: self.held.layers,
            fence: self.orders.fence,
            draining: self.is_draining(),
            layer_tokens_per_s: self.node.layer_tokens_per_s,
            batch_limit: self.node.batch_limit,
            stream_limit: self.node.batch_limit * SLOT_BATCHES,
            running: self.load.running,
            waiting: self.load.waiting,
            load_age_ms: now_us.saturating_sub(self.load.at_us) / 1000,
            links,
        }
    }

    /// The link to another engine as it is now.
    pub(crate) fn link_to(&self, to: &EndpointId) -> LinkState {
        let Some(peer) = self.peers.get(to) else {
            return LinkState {
                delay_us: 0,
                bandwidth_bytes_per_s: u64::MAX,
            };
        };
        let factor = self.faults.links.get(to).copied();
        match factor.or(self.faults.all_links) {
            Some(factor) => degrade(peer.link, factor),
            None => peer.link,
        }
    }
}

/// Whether a change touches what streams in flight use.
fn disturbs(core: &Core, change: &Pending) -> bool {
    let desired = &change.desired;
    let adapters = &core.held.adapters;
    desired.model != core.held.model
        || desired.version != core.held.version
        || !desired.layers.covers(core.held.layers)
        || !adapters.iter().all(|held| desired.adapters.contains(held))
}

/// Layers and adapters that are not there yet.
fn parts_to_load(held: &EngineAssignment, desired: &EngineAssignment) -> u32 {
    let same_weights = held.model == desired.model && held.version == desired.version;
    let layers = (desired.layers.first..desired.layers.end).filter(|layer| {
        let there = held.layers.first <= *layer && *layer < held.layers.end;
        !(same_weights && there)
    });
    let adapters = desired
        .adapters
        .iter()
        .filter(|adapter| !(same_weights && held.adapters.contains(adapter)));
    (layers.count() + adapters.count()) as u32
}
