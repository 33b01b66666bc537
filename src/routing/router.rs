//! The router: everything known of the endpoints.

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
use super::endpoints::{Change, EndpointTable, Trust};
use super::limits::{EntrySlots, Report};
use super::policy::Policy;
use super::polls::{self, Poll};
use super::routes::Routes;
use super::streams::Reservations;

/// What a chain is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct RouteAsk<'a> {
    /// The stream; its slots are kept under this id.
    pub stream: StreamId,
    /// The service.
    pub service: &'a ServiceName,
    /// The model.
    pub model: &'a ModelOffer,
    /// The adapter, if any.
    pub adapter: Option<&'a str>,
    /// The prompt.
    pub prompt: &'a str,
    /// The chain of the last epoch when the stream is rebuilt, else empty.
    pub previous: &'a [Stage],
    /// Engines that must not be used.
    pub exclude: &'a [EndpointId],
}

/// Why there is no chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// Every chain has an engine at its learnt limit: wait.
    #[error("every chain is at its concurrency limit")]
    Full,
    /// No chain of usable engines covers the layers.
    #[error("no usable engines cover every layer of the model")]
    Incomplete,
}

/// Chooses chains and replicas under policy `P`.
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
    /// When an endpoint's avoidance ends, which changes the routes.
    pub(super) routes_until_ms: Option<u64>,
    /// Time of the last change that routes took in; `None` if there was one since.
    pub(super) changed_at_ms: Option<u64>,
    /// Routes for which better lanes are being looked for; they replace those in use.
    pub(super) next: Vec<Routes>,
    /// Bound of each model service, in tokens a second.
    pub(super) capacities: IndexMap<ServiceName, f64>,
    pub(super) turn: u64,
    pub(super) own_slots: EntrySlots,
}

impl<P> Router<P>
where
    P: Policy,
{
    /// A router that knows of no endpoint yet.
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
            routes_until_ms: None,
            changed_at_ms: None,
            next: Vec::new(),
            capacities: IndexMap::new(),
            turn: 0,
            own_slots: EntrySlots {
                rank: seed,
                entries: 1,
                parts: Vec::new(),
            },
        }
    }

    /// Takes the documents in force.
    pub fn set_documents(&mut self, documents: &IndexMap<ServiceName, Document>) {
        if self.documents != *documents {
            self.documents = documents.clone();
            self.drop_routes();
        }
    }

    /// Takes the number of entries that serve; each owns a part of every engine's batch.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.set_entry_rank(self.own_slots.rank as usize, entries);
    }

    /// Takes this entry's place in the sorted list of entries that serve, and their number. With
    /// different places at all entries their parts of each batch add up to it exactly.
    pub fn set_entry_rank(&mut self, rank: usize, entries: usize) {
        let (rank, entries) = (rank as u64, entries.max(1) as u64);
        if (rank, entries) != (self.own_slots.rank, self.own_slots.entries) {
            (self.own_slots.rank, self.own_slots.entries) = (rank, entries);
            (0..self.routes.len()).for_each(|at| self.deal(at));
        }
    }

    /// Takes this entry's parts of the slots as control deals them by the shares of accounts; the
    /// parts of a service that is not named are equal.
    pub fn set_entry_parts(&mut self, parts: &[EntrySlotRange]) {
        if parts != self.own_slots.parts {
            self.own_slots.parts = parts.to_vec();
            (0..self.routes.len()).for_each(|at| self.deal(at));
        }
    }

    /// Takes the whole list of endpoints.
    pub fn set_endpoints(&mut self, endpoints: &[EndpointRecord], _now_ms: u64) {
        let change = self.table.replace(endpoints);
        self.changed(change);
    }

    /// Takes what an engine says of itself; `None` if it did not answer in time.
    pub fn set_engine_state(
        &mut self,
        endpoint: &EndpointId,
        state: Option<&EngineState>,
        now_ms: u64,
    ) {
        let change = self.table.set_state(endpoint, state, now_ms);
        self.changed(change);
        let entries = self.own_slots.entries as u32;
        let draw = self.rng.random();
        let Some((known, state)) = self.table.all.get_mut(endpoint).zip(state) else {
            return;
        };
        if change == Change::Incarnation {
            self.hints.forget(known.number);
        }
        let report = Report {
            running: state.running,
            waiting: state.waiting,
            outstanding: known.outstanding,
            entries,
        };
        known.limit.learn(report, draw);
    }

    /// Takes an engine's cache events.
    pub fn add_cache_events(&mut self, endpoint: &EndpointId, events: &CacheEvents, now_ms: u64) {
        let Some(known) = self.table.all.get_mut(endpoint) else {
            return;
        };
        known.cache_after = events.last;
        for event in &events.events {
            if event.evicted {
                self.hints.evict(event.block, known.number);
            } else {
                self.hints.store(event.block, known.number, now_ms);
            }
        }
    }

    /// Questions that are due now; each is returned once. Brings routes and capacities up to date
    /// too, and is to be called at every tick.
    pub fn polls(&mut self, now_ms: u64) -> Vec<Poll> {
        self.keep_routes(now_ms);
        polls::due(&mut self.table, &mut self.rng, now_ms)
    }

    /// Gives back the slots of a stream.
    pub fn release(&mut self, stream: StreamId, _now_ms: u64) {
        self.reservations.release(&mut self.table, stream);
    }

    /// Tokens a second that the usable engines of a service could generate: the maximum flow,
    /// summed over its models, as of the last [`Self::polls`].
    pub fn capacity_tokens_per_s(&self, service: &ServiceName) -> f64 {
        self.capacities.get(service).copied().unwrap_or(0.0)
    }

    /// The offer, and behind it the same offer under each other version that an engine of the
    /// service holds. While engines change from one version to another, chains of both serve.
    pub fn offers_held(&self, service: &ServiceName, model: &ModelOffer) -> Vec<ModelOffer> {
        let mut offers = vec![model.clone()];
        let engines = self.table.all.values().filter(|it| it.service == *service);
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

    /// Chooses a replica and keeps a slot on it; `None` if all are excluded, away or full.
    pub fn pick_application(
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
        let index = applications::pick(table, service, own_zone, exclude, rng, now_ms)?;
        let (id, endpoint) = self.table.all.get_index_mut(index)?;
        endpoint.calls.begin(endpoint.outstanding, now_ms);
        endpoint.outstanding += 1;
        Some((id.clone(), endpoint.address))
    }

    /// Gives back the slot of a call.
    pub fn release_application(&mut self, endpoint: &EndpointId, now_ms: u64) {
        if let Some(endpoint) = self.table.all.get_mut(endpoint) {
            endpoint.calls.end(endpoint.outstanding, now_ms);
            // After a call that ended the replica is trusted again, unless it has just failed.
            if now_ms >= endpoint.trust.avoid_until_ms {
                endpoint.trust = Trust::default();
            }
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    /// Endpoints that said they drain.
    pub fn drained(&mut self) -> Vec<EndpointId> {
        self.table.drained()
    }
}
