//! Keeping routes and capacities up to date.

use crate::document::{ModelOffer, ServiceKind};
use crate::ids::ServiceName;

use super::deal;
use super::endpoints::Change;
use super::lanes::Lane;
use super::policy::Policy;
use super::router::Router;
use super::routes::Routes;

/// How long nothing must have changed before better lanes are looked for.
const SETTLE_MS: u64 = 250;

impl<P> Router<P>
where
    P: Policy,
{
    /// Index of the routes for a model and adapter; builds them if structure has changed.
    pub(super) fn routes_for(
        &mut self,
        service: &ServiceName,
        model: &ModelOffer,
        adapter: Option<&str>,
        now_ms: u64,
    ) -> usize {
        let serves = |routes: &Routes| routes.serve(service, model, adapter);
        if let Some(at) = self.routes.iter().position(serves) {
            return at;
        }
        if adapter.is_some() {
            // The slots are dealt for the model without adapters.
            self.routes_for(service, model, None, now_ms);
        }
        let built = Routes::build(&self.table, service, model, adapter, now_ms);
        self.routes.push(built);
        let at = self.routes.len() - 1;
        self.deal(at);
        if adapter.is_some() {
            // Better lanes are looked for here too.
            self.next.insert(0, self.routes[at].clone());
        }
        at
    }

    /// Deals the slots by the lanes of a model without adapters.
    pub(super) fn deal(&mut self, at: usize) {
        if self.routes[at].adapter.is_some() {
            return;
        }
        let routes = &self.routes[at];
        if !self.policy.uses_lanes() {
            return deal::slots(&mut self.table, &self.own_slots);
        }
        // Nothing is served from a model or version whose layers are not all held.
        if routes.lanes.is_empty() {
            return;
        }
        let holders = routes.holders();
        let lanes: Vec<Lane> = routes.lanes.iter().map(|(_, lane)| lane.clone()).collect();
        let own = self.own_slots.at(&routes.service);
        deal::lane_slots(&mut self.table, &holders, &lanes, own);
    }

    /// Brings routes up to date after a change. Better lanes are looked for while nothing changes,
    /// a little at each tick; until they are found the lanes in use stay, so that streams do not
    /// move to other engines more often than they must.
    pub(super) fn keep_routes(&mut self, now_ms: u64) {
        if self
            .routes_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
        {
            self.changed_at_ms = None;
        }
        match self.changed_at_ms {
            None => {
                self.changed_at_ms = Some(now_ms);
                self.routes_until_ms = self.table.next_return_ms(now_ms);
                self.build_next(now_ms);
            }
            Some(changed_at_ms) if now_ms >= changed_at_ms + SETTLE_MS => self.improve_next(),
            Some(_) => {}
        }
    }

    /// Begins anew for every model, and every adapter that was asked for.
    fn build_next(&mut self, now_ms: u64) {
        self.next.clear();
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
                self.next.push(fresh);
            }
            self.capacities.insert(service, capacity);
        }
        for routes in &self.routes {
            if let Some(adapter) = routes.adapter.as_deref() {
                let (service, model) = (&routes.service, &routes.model);
                let fresh = Routes::build(&self.table, service, model, Some(adapter), now_ms);
                self.next.push(fresh);
            }
        }
    }

    fn improve_next(&mut self) {
        let Some(routes) = self.next.last_mut() else {
            return;
        };
        if !routes.improve(&self.table) {
            return;
        }
        let Some(better) = self.next.pop() else {
            return;
        };
        let known = self.routes.iter().position(|routes| {
            routes.serve(&better.service, &better.model, better.adapter.as_deref())
        });
        match known {
            Some(at) => {
                self.routes[at] = better;
                self.deal(at);
            }
            None => self.routes.push(better),
        }
    }

    pub(super) fn changed(&mut self, change: Change) {
        match change {
            Change::None => {}
            Change::Trust => self.changed_at_ms = None,
            Change::Structure | Change::Incarnation => self.drop_routes(),
        }
    }

    /// Routes must not be used any more: indices or layers have changed.
    pub(super) fn drop_routes(&mut self) {
        self.routes.clear();
        self.next.clear();
        self.changed_at_ms = None;
    }
}
