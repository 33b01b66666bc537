//! The router: everything known of the endpoints, and the plans made from it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::document::{Document, ModelOffer};
use crate::ids::{EndpointId, ServiceName, StreamId, ZoneName};
use crate::wire::engine::{CacheEvents, EngineState, Stage};
use crate::wire::local::EndpointRecord;
use crate::wire::platform::InstanceRole;

use super::applications;
use super::chain::{Run, search};
use super::endpoints::{EndpointFault, EndpointTable};
use super::graph::Graph;
use super::policy::{Candidate, Policy};

/// Time between two questions for an engine's state.
const STATE_POLL_MS: u64 = 500;
/// Time between two questions for an engine's cache events.
const CACHE_POLL_MS: u64 = 1_000;

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

/// A question to an engine that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// What to ask.
    pub kind: PollKind,
}

/// What to ask an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// Its state.
    State,
    /// Its cache events.
    CacheEvents {
        /// Only events after this one.
        after: u64,
    },
}

/// Chooses chains and replicas under policy `P`.
#[derive(Clone, Debug)]
pub struct Router<P>
where
    P: Policy,
{
    policy: P,
    own_zone: ZoneName,
    rng: SmallRng,
    table: EndpointTable,
    /// Documents of all services.
    documents: IndexMap<ServiceName, Document>,
    /// Engines of each stream that holds slots.
    streams: IndexMap<StreamId, Vec<EndpointId>>,
    turn: u64,
    entry_count: usize,
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
            streams: IndexMap::new(),
            turn: 0,
            entry_count: 1,
        }
    }

    /// Takes the documents in force.
    pub fn set_documents(&mut self, documents: &IndexMap<ServiceName, Document>) {
        self.documents = documents.clone();
    }

    /// Takes the number of entries that serve; limits start from a fair part of each batch.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entry_count = entries.max(1);
    }

    /// Takes the whole list of endpoints.
    pub fn set_endpoints(&mut self, endpoints: &[EndpointRecord], _now_ms: u64) {
        self.table.replace(endpoints);
    }

    /// Takes what an engine says of itself; `None` if it did not answer in time.
    pub fn set_engine_state(
        &mut self,
        endpoint: &EndpointId,
        state: Option<&EngineState>,
        now_ms: u64,
    ) {
        self.table.set_state(endpoint, state, now_ms);
    }

    /// Takes an engine's cache events.
    pub fn add_cache_events(&mut self, endpoint: &EndpointId, events: &CacheEvents, _now_ms: u64) {
        if let Some(known) = self.table.all.get_mut(endpoint) {
            known.cache_after = events.last;
        }
    }

    /// Questions that are due now; each is returned once.
    pub fn polls(&mut self, now_ms: u64) -> Vec<Poll> {
        let mut due = Vec::new();
        for endpoint in self.table.all.values_mut() {
            if endpoint.role != InstanceRole::Engine {
                continue;
            }
            if now_ms >= endpoint.poll_state_at_ms {
                endpoint.poll_state_at_ms = now_ms + STATE_POLL_MS;
                due.push(Poll {
                    endpoint: endpoint.id.clone(),
                    address: endpoint.address,
                    kind: PollKind::State,
                });
            }
            if now_ms >= endpoint.poll_cache_at_ms {
                endpoint.poll_cache_at_ms = now_ms + CACHE_POLL_MS;
                due.push(Poll {
                    endpoint: endpoint.id.clone(),
                    address: endpoint.address,
                    kind: PollKind::CacheEvents {
                        after: endpoint.cache_after,
                    },
                });
            }
        }
        due
    }

    /// Chooses a chain and keeps a slot on each of its engines under the stream. A second plan
    /// for the same stream replaces the slots of the first.
    pub fn plan(&mut self, ask: &RouteAsk<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        self.release(ask.stream, now_ms);
        let graph = Graph::build(&self.table, ask.service, ask.model, ask.adapter, &[]);
        let Some(runs) = self.choose(&graph, ask, true, now_ms) else {
            let possible = self.choose(&graph, ask, false, now_ms).is_some();
            return Err(if possible {
                NoRoute::Full
            } else {
                NoRoute::Incomplete
            });
        };
        Ok(self.reserve(ask.stream, &runs))
    }

    fn choose(
        &mut self,
        graph: &Graph,
        ask: &RouteAsk<'_>,
        within_limits: bool,
        now_ms: u64,
    ) -> Option<Vec<Run>> {
        let Self {
            table, policy, rng, ..
        } = self;
        search(graph, |_, previous, engine| {
            let (id, endpoint) = table.all.get_index(engine)?;
            let same_engine = previous == Some(engine);
            let usable = endpoint.takes_work(now_ms)
                && (!within_limits || same_engine || endpoint.has_room())
                && !ask.exclude.contains(id);
            let candidate = Candidate {
                same_engine,
                weight: endpoint.state.as_ref()?.layer_tokens_per_s,
                outstanding: endpoint.outstanding,
                link_outstanding: endpoint.outstanding,
                limit: endpoint.limit,
                last_turn: endpoint.last_turn,
                cached: false,
            };
            usable.then(|| policy.rank(&candidate, rng.random()))
        })
    }

    fn reserve(&mut self, stream: StreamId, runs: &[Run]) -> Vec<Stage> {
        let mut stages = Vec::with_capacity(runs.len());
        for run in runs {
            self.turn += 1;
            let Some((id, endpoint)) = self.table.all.get_index_mut(run.engine) else {
                continue;
            };
            endpoint.outstanding += 1;
            endpoint.last_turn = self.turn;
            stages.push(Stage {
                endpoint: id.clone(),
                address: endpoint.address,
                layers: run.layers,
                recompute: true,
                import_from: None,
            });
        }
        let engines = stages.iter().map(|stage| stage.endpoint.clone()).collect();
        self.streams.insert(stream, engines);
        stages
    }

    /// Gives back the slots of a stream.
    pub fn release(&mut self, stream: StreamId, _now_ms: u64) {
        for engine in self.streams.swap_remove(&stream).unwrap_or_default() {
            if let Some(endpoint) = self.table.all.get_mut(&engine) {
                endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
            }
        }
    }

    /// Takes the time between two tokens of a stream, or from dispatch to its first token.
    pub fn observe_token(&mut self, _stream: StreamId, _gap_ms: u64, _now_ms: u64) {}

    /// Notes that an endpoint failed; it is avoided for a time that grows with each fault.
    pub fn observe_fault(&mut self, endpoint: &EndpointId, fault: EndpointFault, now_ms: u64) {
        self.table.fault(endpoint, fault, now_ms);
    }

    /// Time between two tokens to expect of a chain, in milliseconds.
    pub fn expected_gap_ms(&self, _chain: &[Stage]) -> f64 {
        100.0
    }

    /// Tokens a second that the usable engines of a service could generate.
    pub fn capacity_tokens_per_s(&self, _service: &ServiceName) -> f64 {
        1_000.0
    }

    /// Chooses a replica and keeps a slot on it; `None` if all are excluded, away or full.
    pub fn pick_application(
        &mut self,
        service: &ServiceName,
        exclude: &[EndpointId],
        now_ms: u64,
    ) -> Option<(EndpointId, SocketAddr)> {
        let index = applications::pick(&self.table, service, &self.own_zone, exclude, now_ms)?;
        let (id, endpoint) = self.table.all.get_index_mut(index)?;
        endpoint.outstanding += 1;
        Some((id.clone(), endpoint.address))
    }

    /// Gives back the slot of a call.
    pub fn release_application(&mut self, endpoint: &EndpointId, _now_ms: u64) {
        if let Some(endpoint) = self.table.all.get_mut(endpoint) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
        }
    }

    /// Endpoints that said they drain.
    pub fn drained(&mut self) -> Vec<EndpointId> {
        self.table.drained()
    }
}
