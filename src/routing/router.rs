//! The router and its state.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::document::{Document, ModelOffer};
use crate::ids::{EndpointId, ServiceName, StreamId, ZoneName};
use crate::wire::engine::{CacheEvents, EngineState, Stage};
use crate::wire::local::{EndpointRecord, EntrySlotRange};

use super::affinity::PrefixHints;
use super::applications;
use super::endpoints::{Change, EndpointTable, Health};
use super::policy::Policy;
use super::polls::{self, Poll};
use super::routes::Routes;
use super::slot_limit::{EntrySlots, LoadReport};
use super::streams::Reservations;

/// Request for a chain.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The stream; its slots are reserved under this id.
    pub stream: StreamId,
    /// The service.
    pub service: &'a ServiceName,
    /// The model.
    pub model: &'a ModelOffer,
    /// The adapter, if any.
    pub adapter: Option<&'a str>,
    /// The prompt.
    pub prompt: &'a str,
    /// The chain of the previous epoch if the stream is rebuilt, otherwise empty.
    pub previous: &'a [Stage],
    /// Engines that must not be used.
    pub exclude: &'a [EndpointId],
}

/// Why no chain was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// Every chain has an engine at its learned limit; the request can wait.
    #[error("every chain is at its concurrency limit")]
    Full,
    /// No chain of usable engines covers all layers.
    #[error("no usable engines cover every layer of the model")]
    Incomplete,
}

/// Selects chains and replicas under policy `P`.
#[derive(Clone, Debug)]
pub struct Router<P>
where
    P: Policy,
{
    pub(super) policy: P,
    pub(super) own_zone: ZoneName,
    pub(super) rng: SmallRng,
    pub(super) table: EndpointTable,
    pub(super) documents: IndexMap<ServiceName, Document>,
    pub(super) reservations: Reservations,
    pub(super) hints: PrefixHints,
    /// Routes in use; empty after a change of structure.
    pub(super) routes: Vec<Routes>,
    /// When the next backoff of an endpoint ends, which changes the routes.
    pub(super) routes_expire_ms: Option<u64>,
    /// Time of the last change that the routes reflect; `None` if they are out of date.
    pub(super) changed_at_ms: Option<u64>,
    /// Routes for which better lanes are being searched; they replace the routes in use.
    pub(super) pending_routes: Vec<Routes>,
    /// Throughput bound of each model service, in tokens per second.
    pub(super) capacities: IndexMap<ServiceName, f64>,
    pub(super) turn: u64,
    pub(super) own_slots: EntrySlots,
}

impl<P> Router<P>
where
    P: Policy,
{
    /// Creates a router without endpoints.
    pub fn new(policy: P, own_zone: ZoneName, seed: u64) -> Self {
        Self {
            policy,
            own_zone,
            rng: SmallRng::seed_from_u64(seed),
            table: EndpointTable::default(),
            documents: IndexMap::new(),
            reservations: Reservations::default(),
            hints: PrefixHints::default(),
            routes: Vec::new(),
            routes_expire_ms: None,
            changed_at_ms: None,
            pending_routes: Vec::new(),
            capacities: IndexMap::new(),
            turn: 0,
            own_slots: EntrySlots {
                rank: seed,
                entries: 1,
                parts: Vec::new(),
            },
        }
    }

    /// Sets the documents in force.
    pub fn set_documents(&mut self, documents: &IndexMap<ServiceName, Document>) {
        if self.documents != *documents {
            self.documents = documents.clone();
            self.clear_routes();
        }
    }

    /// Sets the number of serving entries; each owns a part of every engine's slots.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.set_entry_rank(self.own_slots.rank as usize, entries);
    }

    /// Sets the rank of this entry in the sorted list of serving entries, and their number. If all
    /// entries have different ranks, their parts of each engine's slots add up exactly.
    pub fn set_entry_rank(&mut self, rank: usize, entries: usize) {
        let (rank, entries) = (rank as u64, entries.max(1) as u64);
        if (rank, entries) != (self.own_slots.rank, self.own_slots.entries) {
            (self.own_slots.rank, self.own_slots.entries) = (rank, entries);
            (0..self.routes.len()).for_each(|at| self.allocate_slots(at));
        }
    }

    /// Sets the parts of the slots that control assigned to this entry by the shares of accounts.
    /// For services that are not listed, all entries have equal parts.
    pub fn set_entry_parts(&mut self, parts: &[EntrySlotRange]) {
        if parts != self.own_slots.parts {
            self.own_slots.parts = parts.to_vec();
            (0..self.routes.len()).for_each(|at| self.allocate_slots(at));
        }
    }

    /// Replaces the list of endpoints.
    pub fn set_endpoints(&mut self, endpoints: &[EndpointRecord], _now_ms: u64) {
        let change = self.table.replace(endpoints);
        self.apply_change(change);
    }

    /// Records the state reported by an engine; `None` if it did not answer in time.
    pub fn set_engine_state(
        &mut self,
        endpoint: &EndpointId,
        state: Option<&EngineState>,
        now_ms: u64,
    ) {
        let change = self.table.set_state(endpoint, state, now_ms);
        self.apply_change(change);
        let entries = self.own_slots.entries as u32;
        let draw = self.rng.random();
        let Some((known, state)) = self.table.endpoints.get_mut(endpoint).zip(state) else {
            return;
        };
        if change == Change::Incarnation {
            self.hints.remove_engine(known.number);
        }
        let report = LoadReport {
            running: state.running,
            waiting: state.waiting,
            outstanding: known.outstanding,
            entries,
        };
        known.slot_limit.apply_report(report, draw);
    }

    /// Records an engine's cache events.
    pub fn add_cache_events(&mut self, endpoint: &EndpointId, events: &CacheEvents, now_ms: u64) {
        let Some(known) = self.table.endpoints.get_mut(endpoint) else {
            return;
        };
        known.cache_after = events.last;
        for event in &events.events {
            if event.evicted {
                self.hints.remove(event.block, known.number);
            } else {
                self.hints.add(event.block, known.number, now_ms);
            }
        }
    }

    /// Returns the polls that are due, each of them once. Also updates routes and capacities, and
    /// must be called at every tick.
    pub fn due_polls(&mut self, now_ms: u64) -> Vec<Poll> {
        self.update_routes(now_ms);
        polls::due(&mut self.table, &mut self.rng, now_ms)
    }

    /// Releases the slots of a stream.
    pub fn release(&mut self, stream: StreamId, _now_ms: u64) {
        self.reservations.release(&mut self.table, stream);
    }

    /// Tokens per second that the usable engines of a service could generate: the maximum flow,
    /// summed over its models, as of the last call to [`Self::due_polls`].
    pub fn capacity_tokens_per_s(&self, service: &ServiceName) -> f64 {
        self.capacities.get(service).copied().unwrap_or(0.0)
    }

    /// Returns the offer, followed by the same offer with each other version that an engine of the
    /// service holds. While engines are being upgraded, chains of both versions serve requests.
    pub fn loaded_offers(&self, service: &ServiceName, model: &ModelOffer) -> Vec<ModelOffer> {
        let mut offers = vec![model.clone()];
        let engines = self
            .table
            .endpoints
            .values()
            .filter(|it| it.service == *service);
        for state in engines.filter_map(|engine| engine.state.as_ref()) {
            let known = offers.iter().any(|offer| offer.version == state.version);
            if state.model == model.name && !known {
                offers.push(ModelOffer {
                    version: state.version.clone(),
                    ..model.clone()
                });
            }
        }
        offers
    }

    /// Selects a replica and reserves a slot on it; `None` if all are excluded, unavailable or
    /// full.
    pub fn reserve_replica(
        &mut self,
        service: &ServiceName,
        exclude: &[EndpointId],
        now_ms: u64,
    ) -> Option<(EndpointId, SocketAddr)> {
        let Self {
            table,
            own_zone,
            rng,
            ..
        } = self;
        let index = applications::select_replica(table, service, own_zone, exclude, rng, now_ms)?;
        let (id, endpoint) = self.table.endpoints.get_index_mut(index)?;
        endpoint.call_limit.begin(endpoint.outstanding, now_ms);
        endpoint.outstanding += 1;
        Some((id.clone(), endpoint.address))
    }

    /// Releases the slot of a call.
    pub fn release_replica(&mut self, endpoint: &EndpointId, now_ms: u64) {
        if let Some(endpoint) = self.table.endpoints.get_mut(endpoint) {
            endpoint.call_limit.end(endpoint.outstanding, now_ms);
            // A completed call clears earlier faults, unless the replica has just failed.
            if now_ms >= endpoint.health.avoid_until_ms {
                endpoint.health = Health::default();
            }
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    /// Returns the endpoints that reported that they are draining.
    pub fn draining_endpoints(&mut self) -> Vec<EndpointId> {
        self.table.draining_endpoints()
    }
}
