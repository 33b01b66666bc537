//! Measures the demand of this instance's callers and exchanges it with peers.

use indexmap::IndexMap;

use super::adapter::Adapter;
use super::heartbeat::{Heartbeat, HeartbeatDemand};
use super::node::Node;
use super::peer::MIN_DEMAND_TTL_MS;
use super::request::RelayedRequest;
use crate::demand::{DemandBook, DemandReport, ReportSource, ZoneDemand, ZoneSum, render_gauges};
use crate::ids::{InstanceId, ServiceName, ZoneName};

impl<A> Node<A>
where
    A: Adapter,
{
    /// Records a stream that has arrived. The instance that has the caller counts it.
    pub(crate) fn record_arrival(&self, request: &RelayedRequest) {
        if request.delegation.is_some() {
            return;
        }
        self.demand_meter.borrow_mut().record_arrival(
            &request.service,
            request.priority,
            request.ask.prompt_tokens.unwrap_or(0),
            request.arrived_ms,
        );
    }

    /// Records that a stream, whose arrival was recorded, ended without having been served.
    pub(crate) fn record_unserved(&self, request: &RelayedRequest, now_ms: u64) {
        if request.delegation.is_some() {
            return;
        }
        let mut meter = self.demand_meter.borrow_mut();
        meter.record_unserved(&request.service, request.priority, now_ms);
    }

    /// Records that an engine rejected a stream for lack of capacity, wherever its caller is.
    pub(crate) fn record_rejected(&self, request: &RelayedRequest, now_ms: u64) {
        let mut meter = self.demand_meter.borrow_mut();
        meter.record_rejected(&request.service, request.priority, now_ms);
    }

    /// Updates the demand of all zones before a heartbeat. Returns that of this instance's callers.
    pub(crate) fn update_demand(&self, now_ms: u64) -> Vec<DemandReport> {
        let reports = self.demand_meter.borrow_mut().reports(now_ms);
        let own = ReportSource {
            zone: &self.settings.zone,
            instance: &self.settings.instance,
            incarnation: self.incarnation,
            sent_ms: now_ms,
            // Renewed with each heartbeat.
            ttl_ms: MIN_DEMAND_TTL_MS,
        };
        let mut book = self.demand_book.borrow_mut();
        book.apply(&own, &reports, now_ms);
        if let Some(table) = self.routes() {
            for (service, spec) in &table.services {
                if let Some(model) = &spec.model {
                    book.observe(service, model.load_ms, now_ms);
                }
            }
        }
        reports
    }

    /// The demand of the zone for other zones. Only readers of the store report it, since bytes between zones
    /// are expensive and a few instances suffice. While the store answers nobody, all instances of a zone come
    /// to read it; then only the top-ranked ones report.
    pub(crate) fn zone_demand_for_others(&self, now_ms: u64) -> Option<ZoneSum> {
        let is_answered = self.store.get().is_answering();
        let is_reporter = is_answered || self.peers.borrow().is_top_ranked_in_zone(now_ms);
        if !self.reads_store() || !is_reporter {
            return None;
        }
        let book = self.demand_book.borrow();
        book.zone_sum(&self.settings.zone, now_ms)
    }

    /// Applies the demand in a peer's heartbeat, which must be the newest of its process.
    pub(super) fn apply_demand(&self, heartbeat: &Heartbeat, now_ms: u64) {
        let ttl_ms = self.peers.borrow().demand_ttl_ms(&heartbeat.instance);
        let Some(ttl_ms) = ttl_ms else {
            return;
        };
        let own = (&self.settings.instance, &self.settings.zone);
        let mut book = self.demand_book.borrow_mut();
        apply_demand(&mut book, own, heartbeat, ttl_ms, now_ms);
    }

    /// Demand for a service by zone. Zones of which it is unknown are left out.
    pub(crate) fn zone_demands(
        &self,
        service: &ServiceName,
        now_ms: u64,
    ) -> IndexMap<ZoneName, ZoneDemand> {
        let book = self.demand_book.borrow();
        let demands = book.zones().into_iter().filter_map(|zone| {
            let demand = book.zone_demand(service, &zone, now_ms)?;
            Some((zone, demand))
        });
        demands.collect()
    }

    /// Demand by service, zone and priority for the metrics page.
    pub(crate) fn demand_gauges(&self, now_ms: u64) -> String {
        let Some(table) = self.routes() else {
            return String::new();
        };
        let services = table.services.keys();
        let demands = services.map(|it| (it.clone(), self.zone_demands(it, now_ms)));
        render_gauges(&demands.collect())
    }
}

/// Applies the demand in a heartbeat. Reports of single instances are accepted from the own zone only, and
/// sums of zones from other zones only, so that no stream is counted twice.
pub(super) fn apply_demand(
    book: &mut DemandBook,
    (own_instance, own_zone): (&InstanceId, &ZoneName),
    heartbeat: &Heartbeat,
    ttl_ms: u64,
    now_ms: u64,
) {
    // A late heartbeat of an earlier process of this instance must not replace its own report.
    if heartbeat.instance == *own_instance {
        return;
    }
    let source = ReportSource {
        zone: &heartbeat.zone,
        instance: &heartbeat.instance,
        incarnation: heartbeat.incarnation,
        sent_ms: heartbeat.sent_ms,
        ttl_ms,
    };
    let is_same_zone = heartbeat.zone == *own_zone;
    match &heartbeat.demand {
        HeartbeatDemand::Empty if is_same_zone => book.apply(&source, &[], now_ms),
        HeartbeatDemand::Instance(reports) if is_same_zone => {
            book.apply(&source, reports, now_ms);
        }
        HeartbeatDemand::Zone(sum) if !is_same_zone => book.apply_zone_sum(&source, sum, now_ms),
        HeartbeatDemand::Empty | HeartbeatDemand::Instance(_) | HeartbeatDemand::Zone(_) => {}
    }
}
