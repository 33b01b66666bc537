//! Placement of model layers on engines, done by one instance at a time under a lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use tokio::time::sleep;

use super::adapter::{Adapter, EngineControl, OrderFailure};
use super::checks::answering_lifetime;
use super::node::Node;
use super::peer_book::HolderStatus;
use super::store_calls::StoreCall;
use crate::clients::call_table;
use crate::clock::boot_ms;
use crate::fleet::Phase;
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::lease::{Lease, LeaseEvent, LeaseTiming};
use crate::placement::{PlacedEngine, PlacementOrder, PlacementPlanner, ZoneLoad, ZoneSizing};
use crate::route_table::EngineModel;

/// Interval between checks for orders to send.
const PLACEMENT_INTERVAL_MS: u64 = 300;
/// How long the endpoint list must be unchanged before the first orders are sent: engines register
/// one after another at startup, and a plan for all of them is better.
const SETTLE_MS: u64 = 900;
/// Timeout of a lease call to the store.
const LEASE_CALL_TIMEOUT_MS: u64 = 600;
/// Timeout for the report of an engine before it is moved.
const REPORT_TIMEOUT_MS: u64 = 200;
/// Times of the lease: short, because no engine gets layers while nobody holds it. The holder
/// keeps it only while there are orders to send.
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    lease_ms: 3_000,
    margin_ms: 300,
    renew_ms: 1_000,
    watch_ms: 500,
    retry_ms: 200,
};
/// How long the lease is kept after the last order, in case more orders follow.
const IDLE_LEASE_TTL_MS: u64 = 4_000;

struct PlacementTask {
    lease: Lease,
    placement: PlacementPlanner,
    last_order_ms: Option<u64>,
    seen_engines: usize,
    engines_changed_ms: u64,
    /// The newest sizing of each zone that was logged.
    reported_sizings: IndexMap<ZoneName, ZoneSizing>,
}

/// Places the layers of every model until the process exits.
pub(crate) async fn place_layers<A>(node: Rc<Node<A>>)
where
    A: Adapter,
{
    let mut tasks: IndexMap<ServiceName, PlacementTask> = IndexMap::new();
    loop {
        sleep(Duration::from_millis(PLACEMENT_INTERVAL_MS)).await;
        let Some(table) = node.routes() else {
            continue;
        };
        let peer_orders = node.peer_orders.take();
        for (service, spec) in &table.services {
            let Some(model) = &spec.model else {
                continue;
            };
            if !tasks.contains_key(service) {
                tasks.insert(service.clone(), PlacementTask::new(&node, service));
            }
            tasks[service]
                .tick(&node, service, model, &peer_orders)
                .await;
        }
    }
}

impl PlacementTask {
    fn new<A>(node: &Node<A>, service: &ServiceName) -> Self {
        let instance = node.settings.instance.clone();
        Self {
            lease: Lease::with_times(service.clone(), instance, node.incarnation, LEASE_TIMING),
            placement: PlacementPlanner::default(),
            last_order_ms: None,
            seen_engines: 0,
            engines_changed_ms: 0,
            reported_sizings: IndexMap::new(),
        }
    }

    /// Runs one round of placement. `peer_orders` are the orders that other processes have announced
    /// since the previous round, for engines of any service.
    async fn tick<A>(
        &mut self,
        node: &Rc<Node<A>>,
        service: &ServiceName,
        model: &EngineModel,
        peer_orders: &[PlacementOrder],
    ) where
        A: Adapter,
    {
        let now_ms = boot_ms();
        let engines = engines(node, service);
        let is_own = |order: &&PlacementOrder| engines.iter().any(|it| it.id == order.endpoint);
        for order in peer_orders.iter().filter(is_own) {
            self.placement.order_reported(order.clone(), model, now_ms);
        }
        if engines.len() != self.seen_engines {
            self.seen_engines = engines.len();
            self.engines_changed_ms = now_ms;
        }
        let is_start = engines.iter().all(|engine| engine.layers.is_none());
        let is_settled = !is_start || now_ms >= self.engines_changed_ms + SETTLE_MS;
        let reaches_engines = !node.fleet.borrow().reach.is_lost(service);
        let may_lead = reaches_engines && node.availability().may_lead();
        let is_first = may_lead && node.peers.borrow().is_preferred_leader_for(service, now_ms);
        let orders = if is_first && is_settled {
            let loads = zone_loads(node, service, now_ms);
            let orders = self.placement.due_orders(&engines, model, &loads, now_ms);
            self.record_sizings(node, service);
            orders
        } else {
            self.placement.reset_uncovered_timers();
            Vec::new()
        };
        if !orders.is_empty() {
            self.last_order_ms = Some(now_ms);
        }
        let is_recent = self
            .last_order_ms
            .is_some_and(|at_ms| now_ms < at_ms + IDLE_LEASE_TTL_MS);
        self.set_lease_wanted(node, service, is_first && is_recent);
        self.maintain_lease(node, service).await;
        let held = self
            .lease
            .may_send_orders(node.settings.bounds.engines_check_fence, boot_ms());
        if let Some(held) = held {
            for (order, result) in send_orders(node, orders, held.fence).await {
                self.record_order_result(node, order, &result, &engines, model);
            }
        }
    }

    /// Logs zones whose layout is based on another reserve than before, or no longer sustains their demand or
    /// does so again.
    fn record_sizings<A>(&mut self, node: &Node<A>, service: &ServiceName) {
        for (zone, sizing) in self.placement.sizings() {
            let reported = self.reported_sizings.insert(zone.clone(), *sizing);
            let is_new = reported.is_none_or(|it| {
                it.reserve_factor.total_cmp(&sizing.reserve_factor).is_ne()
                    || it.is_sufficient() != sizing.is_sufficient()
            });
            if !is_new {
                continue;
            }
            node.counters.count("relay.layout.sizings");
            log::info!(
                service = service.as_str(),
                zone = zone.as_str(),
                demand_per_s = sizing.load.map(|load| load.demand_per_s),
                rejected_per_s = sizing.load.map(|load| load.rejected_per_s),
                sustained_per_s = sizing.sustained_per_s,
                reserve_factor = sizing.reserve_factor,
                is_sufficient = sizing.is_sufficient();
                "reserve or sufficiency of a zone's layout has changed"
            );
        }
    }

    /// Sets whether the lease is wanted. A release is announced to peers at once: they cannot rely on
    /// reading it from the store, which may be what this instance has lost.
    fn set_lease_wanted<A>(&mut self, node: &Node<A>, service: &ServiceName, is_wanted: bool)
    where
        A: Adapter,
    {
        self.lease.want(is_wanted);
        if is_wanted {
            return;
        }
        if let Some(held) = self.lease.held(boot_ms()) {
            log::info!(service = service.as_str(), fence = held.fence; "released the lease");
            node.peers
                .borrow_mut()
                .announce_lease_release(service, held.fence);
            node.wake_streams();
        }
    }

    /// Checks whether the process that holds the lease has terminated.
    fn check_holder<A>(&mut self, node: &Node<A>, service: &ServiceName) {
        let Some(holder) = self.lease.holder() else {
            return;
        };
        let status = node
            .peers
            .borrow()
            .lease_holder_status(service, &holder, boot_ms());
        let are_fenced = node.settings.bounds.engines_check_fence;
        let has_ended =
            status == HolderStatus::Ended || (status == HolderStatus::PresumedEnded && are_fenced);
        if has_ended && self.lease.record_holder_ended(holder.fence) {
            log::info!(
                service = service.as_str(),
                holder = holder.instance.as_str(),
                fence = holder.fence,
                evidence = status.log_value();
                "lease holder has terminated"
            );
        }
    }

    async fn maintain_lease<A>(&mut self, node: &Rc<Node<A>>, service: &ServiceName)
    where
        A: Adapter,
    {
        self.check_holder(node, service);
        while let Some(call) = self.lease.due(boot_ms()) {
            let result = call_table(node.adapter.store(), &call, LEASE_CALL_TIMEOUT_MS).await;
            let is_ok = result.is_ok();
            node.count_store_call(StoreCall::Lease, is_ok);
            match self.lease.answered(result, boot_ms()) {
                Some(LeaseEvent::Taken { fence }) => {
                    log::info!(service = service.as_str(), fence; "acquired the lease");
                }
                Some(LeaseEvent::Lost) => {
                    log::warn!(service = service.as_str(); "lost the lease");
                }
                None => {}
            }
            self.check_holder(node, service);
            if !is_ok {
                return;
            }
        }
    }

    /// Records the result of an order.
    fn record_order_result<A>(
        &mut self,
        node: &Rc<Node<A>>,
        order: PlacementOrder,
        result: &Result<(), OrderFailure>,
        engines: &[PlacedEngine],
        model: &EngineModel,
    ) where
        A: Adapter,
    {
        match result {
            // An order without a reply may have been executed; the endpoint list will show it.
            Ok(()) | Err(OrderFailure::NoReply) => {
                node.record_move(&order);
                self.placement.order_sent(order, engines, model, boot_ms());
            }
            Err(failure) => {
                self.placement.order_refused(&order.endpoint, boot_ms());
                if *failure == OrderFailure::NoListener {
                    node.record_refused(&order.endpoint);
                }
            }
        }
    }
}

/// Sends orders concurrently.
async fn send_orders<A>(
    node: &Rc<Node<A>>,
    orders: Vec<PlacementOrder>,
    fence: u64,
) -> Vec<(PlacementOrder, Result<(), OrderFailure>)>
where
    A: Adapter,
{
    let results = orders.into_iter().map(|order| async move {
        let result = send_order(node, &order, fence).await;
        (order, result)
    });
    join_all(results).await
}

async fn send_order<A>(
    node: &Rc<Node<A>>,
    order: &PlacementOrder,
    fence: u64,
) -> Result<(), OrderFailure>
where
    A: Adapter,
{
    let address = node.address_of(&order.endpoint);
    let address = address.ok_or(OrderFailure::Unknown)?;
    check_movable(node, &order.endpoint, address).await?;
    let result = node
        .adapter
        .engines()
        .place(address, order.layers, fence)
        .await;
    let outcome = match &result {
        Ok(()) => "taken".to_owned(),
        Err(failure) => failure.to_string(),
    };
    log::info!(
        endpoint = order.endpoint.as_str(),
        first = order.layers.first,
        end = order.layers.end,
        fence,
        outcome = outcome.as_str();
        "sent a placement order to an engine"
    );
    node.counters.count("relay.orders.place");
    result
}

/// Probes an engine before it gets an order: one that has been idle may have become slow without
/// this being noticed, or may be executing an order from another process.
async fn check_movable<A>(
    node: &Rc<Node<A>>,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Result<(), OrderFailure>
where
    A: Adapter,
{
    let engines = node.adapter.engines();
    let report = engines.report(address, REPORT_TIMEOUT_MS).await?;
    if !answering_lifetime(endpoint, &report).may_be_current() {
        log::info!(
            endpoint = endpoint.as_str(),
            born_unix_ms = report.started_unix_ms;
            "engine is not moved: a different process answers at its address"
        );
        return Err(OrderFailure::Unknown);
    }
    node.record_slowness(endpoint, report.slowness);
    let is_very_slow = node
        .fleet
        .borrow()
        .get(endpoint)
        .is_some_and(|known| known.health.is_very_slow(boot_ms()));
    if report.is_busy || is_very_slow {
        log::info!(
            endpoint = endpoint.as_str(),
            busy = report.is_busy,
            slowness = report.slowness;
            "engine is not moved: it is busy or too slow"
        );
        return Err(OrderFailure::Conflict(Some(address)));
    }
    Ok(())
}

/// Load of each zone where it is known.
fn zone_loads<A>(node: &Node<A>, service: &ServiceName, now_ms: u64) -> IndexMap<ZoneName, ZoneLoad>
where
    A: Adapter,
{
    let demands = node.zone_demands(service, now_ms).into_iter();
    let loads = demands.map(|(zone, demand)| {
        let load = ZoneLoad {
            demand_per_s: demand.peak_streams_per_s,
            rejected_per_s: demand.peak_rejected_per_s,
        };
        (zone, load)
    });
    loads.collect()
}

fn engines<A>(node: &Rc<Node<A>>, service: &ServiceName) -> Vec<PlacedEngine> {
    let now_ms = boot_ms();
    let fleet = node.fleet.borrow();
    fleet
        .of_service(service)
        // The endpoint list keeps an engine that does not answer for three more heartbeats.
        .filter(|known| known.listed.phase == Phase::Live && !known.is_lost())
        .filter_map(|known| {
            let listed = &known.listed;
            Some(PlacedEngine {
                id: listed.id.clone(),
                zone: listed.zone.clone(),
                kind: listed.kind.clone()?,
                layers: listed.layers,
                held_token_layers: known.token_layers(),
                is_very_slow: known.health.is_very_slow(now_ms),
            })
        })
        .collect()
}
