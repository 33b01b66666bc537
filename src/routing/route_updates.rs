//! Keeps routes and capacities up to date.

use crate::document::{ModelOffer, ServiceKind};
use crate::ids::ServiceName;

use super::endpoints::Change;
use super::lanes::Lane;
use super::policy::Policy;
use super::router::Router;
use super::routes::Routes;
use super::slot_allocation;

/// How long nothing must have changed before the search for better lanes starts.
const SETTLE_PERIOD_MS: u64 = 250;

impl<P> Router<P>
where
    P: Policy,
{
    /// Returns the index of the routes for a model and adapter, and builds them if they do not
    /// exist.
    pub(super) fn routes_for(
        &mut self,
        service: &ServiceName,
        model: &ModelOffer,
        adapter: Option<&str>,
        now_ms: u64,
    ) -> usize {
        let matches = |routes: &Routes| routes.matches(service, model, adapter);
        if let Some(at) = self.routes.iter().position(matches) {
            return at;
        }
        if adapter.is_some() {
            // Slots are allocated for the model without adapters.
            self.routes_for(service, model, None, now_ms);
        }
        let built = Routes::build(&self.table, service, model, adapter, now_ms);
        self.routes.push(built);
        let at = self.routes.len() - 1;
        self.allocate_slots(at);
        if adapter.is_some() {
            // The search for better lanes includes these routes.
            self.pending_routes.insert(0, self.routes[at].clone());
        }
        at
    }

    /// Allocates slots according to the lanes of a model; does nothing for routes of an adapter.
    pub(super) fn allocate_slots(&mut self, at: usize) {
        if self.routes[at].adapter.is_some() {
            return;
        }
        let routes = &self.routes[at];
        if !self.policy.uses_lanes() {
            return slot_allocation::allocate_slots(&mut self.table, &self.own_slots);
        }
        // A model or version with a layer that has no holder cannot serve requests.
        if routes.lanes.is_empty() {
            return;
        }
        let holders = routes.holders();
        let lanes: Vec<Lane> = routes.lanes.iter().map(|(_, lane)| lane.clone()).collect();
        let own = self.own_slots.for_service(&routes.service);
        slot_allocation::allocate_lane_slots(&mut self.table, &holders, &lanes, own);
    }

    /// Updates routes after a change. The search for better lanes runs while nothing changes, a
    /// little at each tick. Until it is finished, the current lanes stay in use, so that streams do
    /// not move to other engines more often than necessary.
    pub(super) fn update_routes(&mut self, now_ms: u64) {
        if self
            .routes_expire_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
        {
            self.changed_at_ms = None;
        }
        match self.changed_at_ms {
            None => {
                self.changed_at_ms = Some(now_ms);
                self.routes_expire_ms = self.table.next_backoff_end_ms(now_ms);
                self.rebuild_pending(now_ms);
            }
            Some(changed_at_ms) if now_ms >= changed_at_ms + SETTLE_PERIOD_MS => {
                self.improve_pending()
            }
            Some(_) => {}
        }
    }

    /// Restarts the search for every model and every adapter that was requested.
    fn rebuild_pending(&mut self, now_ms: u64) {
        self.pending_routes.clear();
        self.capacities.clear();
        for (service, document) in self.documents.clone() {
            let ServiceKind::Model(models) = &document.kind else {
                continue;
            };
            let models = models.values();
            let offers = models.flat_map(|model| self.loaded_offers(&service, model));
            let offers: Vec<ModelOffer> = offers.collect();
            let mut capacity = 0.0;
            for offer in &offers {
                self.routes_for(&service, offer, None, now_ms);
                let fresh = Routes::build(&self.table, &service, offer, None, now_ms);
                capacity += fresh.bound_tokens_per_s;
                self.pending_routes.push(fresh);
            }
            self.capacities.insert(service, capacity);
        }
        for routes in &self.routes {
            if let Some(adapter) = routes.adapter.as_deref() {
                let (service, model) = (&routes.service, &routes.model);
                let fresh = Routes::build(&self.table, service, model, Some(adapter), now_ms);
                self.pending_routes.push(fresh);
            }
        }
    }

    fn improve_pending(&mut self) {
        let Some(routes) = self.pending_routes.last_mut() else {
            return;
        };
        if !routes.improve(&self.table) {
            return;
        }
        let Some(better) = self.pending_routes.pop() else {
            return;
        };
        let known = self.routes.iter().position(|routes| {
            routes.matches(&better.service, &better.model, better.adapter.as_deref())
        });
        match known {
            Some(at) => {
                self.routes[at] = better;
                self.allocate_slots(at);
            }
            None => self.routes.push(better),
        }
    }

    pub(super) fn apply_change(&mut self, change: Change) {
        match change {
            Change::None => {}
            Change::Availability => self.changed_at_ms = None,
            Change::Structure | Change::Incarnation => self.clear_routes(),
        }
    }

    /// Discards all routes, because indices or layers have changed.
    pub(super) fn clear_routes(&mut self) {
        self.routes.clear();
        self.pending_routes.clear();
        self.changed_at_ms = None;
    }
}
