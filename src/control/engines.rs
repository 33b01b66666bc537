//! Leases and orders: brings the engines of each model service to what its document says.
//!
//! One instance of the cell leads for a service, by rendezvous hashing. It looks at the engines at
//! a slow pace, takes the lease only while some engine differs, and gives it back afterwards.

use indexmap::IndexMap;

use super::Control;
use super::calls::Purpose;
use super::engine_book::EngineBook;
use crate::clients::{EngineCallFailure, TableFailure};
use crate::document::{Document, ServiceKind};
use crate::ids::{EndpointId, ServiceName};
use crate::instance::{CallId, ControlEffect, TableReply};
use crate::lease::{HeldLease, Lease, LeaseEvent, MAX_ORDER_DELAY_MS};
use crate::membership::rank;
use crate::orders::plan;
use crate::wire::engine::{EngineAssignment, EngineErrorCode, EngineOrder, EngineState};
use crate::wire::operator::{AuditEvent, LeaseStatus};
use crate::wire::platform::InstanceRole;

/// How long an engine may take to say what it holds.
const READ_TIMEOUT_MS: u64 = 2_000;
/// How long the lease is kept once every engine holds what it should.
const KEEP_LEASE_MS: u64 = 10_000;

/// One model service.
#[derive(Clone, Debug)]
struct Service {
    lease: Lease,
    book: EngineBook,
    /// When some engine last differed from its document.
    unfinished_ms: Option<u64>,
}

/// The model services.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineOrders {
    services: IndexMap<ServiceName, Service>,
}

impl EngineOrders {
    /// Whether a lease is still in force here.
    pub(super) fn holds_any(&self, now_ms: u64) -> bool {
        let mut services = self.services.values();
        services.any(|service| service.lease.held(now_ms).is_some())
    }

    /// What was last ordered of an engine.
    pub(super) fn last_order(&self, endpoint: &EndpointId) -> Option<(u64, &EngineAssignment)> {
        let mut services = self.services.values();
        services.find_map(|service| service.book.last_order(endpoint))
    }
}

impl Control {
    /// Looks at every model service.
    pub(super) fn settle_orders(&mut self, now_ms: u64) {
        if !self.is_ready() {
            return;
        }
        let documents = self.documents.iter();
        let services: Vec<ServiceName> = documents
            .filter(|(_, held)| matches!(held.document.kind, ServiceKind::Model(_)))
            .map(|(service, _)| service.clone())
            .collect();
        for name in services {
            self.settle_service(&name, now_ms);
        }
    }

    fn settle_service(&mut self, name: &ServiceName, now_ms: u64) {
        let mut service = match self.orders.services.swap_remove(name) {
            Some(service) => service,
            None => self.new_service(name),
        };
        let leads = self.leads(name, now_ms);
        if leads || service.lease.held(now_ms).is_some() {
            self.look_at_engines(name, &mut service, now_ms);
        } else {
            service.lease.want(false);
            service.book.clear();
        }
        if let Some(call) = service.lease.due(now_ms) {
            self.call_table(Purpose::Lease(name.clone()), call);
        }
        self.orders.services.insert(name.clone(), service);
    }

    fn new_service(&self, name: &ServiceName) -> Service {
        let config = &self.config;
        Service {
            lease: Lease::new(name.clone(), config.instance.clone(), config.incarnation),
            book: EngineBook::default(),
            unfinished_ms: None,
        }
    }

    fn leads(&self, name: &ServiceName, now_ms: u64) -> bool {
        let subject = format!("orders of {name}");
        let live = self.gossip.live(now_ms);
        !self.stopping.has_begun() && rank(&subject, &self.config.instance, live) == 0
    }

    fn look_at_engines(&mut self, name: &ServiceName, service: &mut Service, now_ms: u64) {
        let Some(held) = self.documents.get(name) else {
            return;
        };
        let document = held.document.clone();
        let engines = self
            .endpoint_records()
            .into_iter()
            .filter(|record| record.role == InstanceRole::Engine && record.service == *name)
            .collect();
        service.book.set_engines(engines);
        let ServiceKind::Model(models) = &document.kind else {
            return;
        };
        let plan = plan(models, &service.book.views());
        let busy = plan.unfinished > 0;
        if busy {
            service.unfinished_ms = Some(now_ms);
        }
        let lately = service
            .unfinished_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < KEEP_LEASE_MS);
        service.lease.want(lately && !self.stopping.has_begun());
        let may_order = service
            .lease
            .may_send_orders(document.engines_check_fence, now_ms);
        if let Some(lease) = may_order.filter(|_| service.book.is_swept()) {
            for (endpoint, desired) in plan.orders {
                self.order(name, service, lease, endpoint, desired, now_ms);
            }
        }
        self.read_engines(name, service, busy, now_ms);
    }

    fn order(
        &mut self,
        name: &ServiceName,
        service: &mut Service,
        lease: HeldLease,
        endpoint: EndpointId,
        desired: EngineAssignment,
        now_ms: u64,
    ) {
        let unix_ms = self.config.unix_ms(now_ms);
        let Some(address) = service.book.ordered(&endpoint, &desired, unix_ms, now_ms) else {
            return;
        };
        let purpose = Purpose::Order(name.clone(), endpoint.clone(), lease.fence);
        let call = self.calls.start(purpose);
        let event = AuditEvent::OrderSent {
            service: name.clone(),
            endpoint: endpoint.clone(),
            fence: lease.fence,
            version: desired.version.clone(),
            adapters: desired.adapters.clone(),
        };
        self.record(event, now_ms);
        self.emit(ControlEffect::SendOrder {
            call,
            endpoint,
            address,
            order: EngineOrder {
                fence: lease.fence,
                desired,
            },
            valid_until_ms: lease.valid_until_ms,
            timeout_ms: MAX_ORDER_DELAY_MS,
        });
    }

    fn read_engines(&mut self, name: &ServiceName, service: &mut Service, busy: bool, now_ms: u64) {
        while let Some((endpoint, address)) = service.book.next_read(busy, now_ms) {
            let purpose = Purpose::ReadEngine(name.clone(), endpoint.clone());
            let call = self.calls.start(purpose);
            self.emit(ControlEffect::ReadEngine {
                call,
                endpoint,
                address,
                timeout_ms: READ_TIMEOUT_MS,
            });
        }
    }

    pub(super) fn lease_answered(
        &mut self,
        name: &ServiceName,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) {
        let Some(service) = self.orders.services.get_mut(name) else {
            return;
        };
        let event = service.lease.answered(result, now_ms);
        if let Some(LeaseEvent::Taken { fence }) = event {
            let service = name.clone();
            self.record(AuditEvent::LeaseTaken { service, fence }, now_ms);
        }
    }

    pub(super) fn engine_answered(
        &mut self,
        call: CallId,
        result: Result<EngineState, EngineCallFailure>,
        now_ms: u64,
    ) {
        match self.calls.finish(call) {
            Some(Purpose::ReadEngine(name, endpoint)) => {
                if let Some(service) = self.orders.services.get_mut(&name) {
                    service.book.read(&endpoint, result.ok(), now_ms);
                }
            }
            Some(Purpose::Order(name, endpoint, fence)) => {
                self.order_answered(name, endpoint, fence, result, now_ms);
            }
            _ => {}
        }
    }

    fn order_answered(
        &mut self,
        name: ServiceName,
        endpoint: EndpointId,
        fence: u64,
        result: Result<EngineState, EngineCallFailure>,
        now_ms: u64,
    ) {
        let Some(service) = self.orders.services.get_mut(&name) else {
            return;
        };
        let stale = matches!(&result, Err(EngineCallFailure::Refused { error })
            if error.code == EngineErrorCode::StaleFence);
        service.book.order_answered(&endpoint, result.ok(), now_ms);
        if stale {
            let event = AuditEvent::OrderRefused {
                service: name,
                endpoint,
                fence,
            };
            self.record(event, now_ms);
        }
    }

    /// Leases in force at this instance, of documents that `may_read` lets through.
    pub(super) fn lease_statuses<F>(&self, may_read: F, now_ms: u64) -> Vec<LeaseStatus>
    where
        F: Fn(&Document) -> bool,
    {
        let services = self.orders.services.iter();
        let held = services.filter_map(|(name, service)| {
            let document = &self.documents.get(name)?.document;
            let lease = service.lease.held(now_ms).filter(|_| may_read(document))?;
            Some(LeaseStatus {
                service: name.clone(),
                holder: self.config.instance.clone(),
                fence: lease.fence,
            })
        });
        held.collect()
    }
}
