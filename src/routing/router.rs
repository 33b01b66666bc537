//! The router: everything known of the endpoints, and the plans made from it.

use std::net::SocketAddr;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::document::{Document, ModelOffer, ServiceKind};
use crate::ids::{EndpointId, ServiceName, StreamId, ZoneName};
use crate::wire::engine::{CacheEvents, EngineState, Stage};
use crate::wire::local::EndpointRecord;

use super::affinity::{PrefixHints, first_block};
use super::applications;
use super::chain::{Run, search};
use super::deal;
use super::endpoints::{Change, Endpoint, EndpointFault, EndpointTable, Trust};
use super::lanes::Lane;
use super::limits::Report;
use super::policy::{Candidate, Policy};
use super::polls::{self, Poll};
use super::rebuild;
use super::routes::Routes;
use super::streams::{Reservation, Reservations};

/// Rank of a lane whose own slots are used up, above that of any other.
const LENT_RANK: f64 = 10.0;
/// What a lane gains in rank if all its engines likely cache the prompt.
const WARM_RANK: f64 = 1.0;

/// How long nothing must have changed before better lanes are looked for.
const SETTLE_MS: u64 = 250;

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
    policy: P,
    own_zone: ZoneName,
    rng: SmallRng,
    table: EndpointTable,
    documents: IndexMap<ServiceName, Document>,
    reservations: Reservations,
    hints: PrefixHints,
    /// Routes in use; empty after a change of structure.
    routes: Vec<Routes>,
    /// When an endpoint's avoidance ends, which changes the routes.
    routes_until_ms: Option<u64>,
    /// Time of the last change that routes took in; `None` if there was one since.
    changed_at_ms: Option<u64>,
    /// Bound of each model service, in tokens a second.
    capacities: IndexMap<ServiceName, f64>,
    turn: u64,
    entry_rank: u64,
    entry_count: u64,
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
            capacities: IndexMap::new(),
            turn: 0,
            entry_rank: seed,
            entry_count: 1,
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
        self.set_entry_rank(self.entry_rank as usize, entries);
    }

    /// Takes this entry's place in the sorted list of entries that serve, and their number. With
    /// different places at all entries their parts of each batch add up to it exactly.
    pub fn set_entry_rank(&mut self, rank: usize, entries: usize) {
        let (rank, entries) = (rank as u64, entries.max(1) as u64);
        if (rank, entries) != (self.entry_rank, self.entry_count) {
            (self.entry_rank, self.entry_count) = (rank, entries);
            self.drop_routes();
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
        let entries = self.entry_count as u32;
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

    /// Chooses a chain and keeps a slot on each of its engines under the stream. A second plan
    /// for the same stream replaces the slots of the first, also when it finds no chain.
    ///
    /// A stream that is rebuilt does not wait for slots: engines admit it before new ones.
    pub fn plan(&mut self, ask: &RouteAsk<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        let before = self.reservations.release(&mut self.table, ask.stream);
        let tokens_before = before.map_or(0, |held| held.tokens_before + held.tokens);
        let stages = if ask.previous.is_empty() {
            self.plan_new(ask, now_ms)?
        } else {
            self.plan_rebuilt(ask, tokens_before, now_ms)?
        };
        self.check(ask, &stages, now_ms);
        self.reserve(ask, &stages, tokens_before, now_ms);
        Ok(stages)
    }

    fn plan_new(&mut self, ask: &RouteAsk<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        if self.policy.uses_lanes()
            && let Some(runs) = self.choose_lane(ask, now_ms)
        {
            return Ok(self.stages(&runs));
        }
        if self.may_search(ask, now_ms)
            && let Some(runs) = self.choose(ask, true, now_ms)
        {
            return Ok(self.stages(&runs));
        }
        let possible = self.choose(ask, false, now_ms).is_some();
        Err(if possible {
            NoRoute::Full
        } else {
            NoRoute::Incomplete
        })
    }

    fn plan_rebuilt(
        &mut self,
        ask: &RouteAsk<'_>,
        tokens_before: u32,
        now_ms: u64,
    ) -> Result<Vec<Stage>, NoRoute> {
        let positions = tokens_before + count_tokens(ask.prompt);
        let replaced = self.replace_lost(ask, true, now_ms);
        let replaced = replaced.or_else(|| self.replace_lost(ask, false, now_ms));
        let anew = self.choose(ask, true, now_ms);
        let anew = match (&replaced, anew) {
            (None, None) => self.choose(ask, false, now_ms),
            (_, anew) => anew,
        };
        [replaced, anew]
            .into_iter()
            .flatten()
            .map(|runs| {
                let mut stages = self.stages(&runs);
                rebuild::mark(&self.table, ask, &mut stages);
                let cost_ms = rebuild::cost_ms(&stages, &self.stage_ms(&stages), positions);
                (cost_ms, stages)
            })
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, stages)| stages)
            .ok_or(NoRoute::Incomplete)
    }

    /// A lane with a slot of this entry's own, or one that is lent.
    fn choose_lane(&mut self, ask: &RouteAsk<'_>, now_ms: u64) -> Option<Vec<Run>> {
        let at = self.routes_for(ask.service, ask.model, ask.adapter, now_ms);
        let cached = self.hints.holders(first_block(ask.prompt), now_ms);
        let mut best: Option<(f64, usize)> = None;
        for (number, (key, lane)) in self.routes[at].lanes.iter().enumerate() {
            let Some(warm) = self.lane_warmth(ask, lane, &cached, now_ms) else {
                continue;
            };
            let used = f64::from(self.reservations.on_lane(*key));
            let owned = f64::from(lane.owned(self.entry_rank, self.entry_count));
            let draw: f64 = self.rng.random();
            let lent = if used < owned { 0.0 } else { LENT_RANK };
            let part = (used + draw) / owned.max(1.0);
            let rank = lent + part - WARM_RANK * warm;
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, number));
            }
        }
        best.map(|(_, number)| self.routes[at].lanes[number].1.runs.clone())
    }

    /// Part of the lane's engines that likely cache the prompt; `None` if one cannot be used.
    fn lane_warmth(
        &self,
        ask: &RouteAsk<'_>,
        lane: &Lane,
        cached: &[u32],
        now_ms: u64,
    ) -> Option<f64> {
        let mut warm = 0;
        for run in &lane.runs {
            let (id, endpoint) = self.table.all.get_index(run.engine)?;
            let usable = endpoint.takes_work(now_ms) && endpoint.has_room(now_ms);
            if !usable || rebuild::is_excluded(ask, id) {
                return None;
            }
            let is_warm = cached.contains(&endpoint.number) && endpoint.hints.is_followed(now_ms);
            warm += usize::from(is_warm);
        }
        Some(warm as f64 / lane.runs.len() as f64)
    }

    /// Whether chains may be searched beside the lanes: some lane has lost an engine.
    fn may_search(&mut self, ask: &RouteAsk<'_>, now_ms: u64) -> bool {
        if !self.policy.uses_lanes() {
            return true;
        }
        let at = self.routes_for(ask.service, ask.model, ask.adapter, now_ms);
        let lanes = &self.routes[at].lanes;
        let lost = |run: &Run| {
            let found = self.table.all.get_index(run.engine);
            found.is_none_or(|(id, e)| !e.takes_work(now_ms) || rebuild::is_excluded(ask, id))
        };
        lanes.is_empty() || lanes.iter().flat_map(|(_, lane)| &lane.runs).any(lost)
    }

    /// A chain by the policy's ranks.
    fn choose(&mut self, ask: &RouteAsk<'_>, within_limits: bool, now_ms: u64) -> Option<Vec<Run>> {
        let at = self.routes_for(ask.service, ask.model, ask.adapter, now_ms);
        let cached = self.hints.holders(first_block(ask.prompt), now_ms);
        let Self {
            table,
            policy,
            rng,
            routes,
            ..
        } = self;
        let routes = &routes[at];
        search(&routes.graph, |step| {
            let (id, endpoint) = table.all.get_index(step.engine)?;
            let has_room = step.same_engine || !within_limits || endpoint.has_room(now_ms);
            if !has_room || !endpoint.takes_work(now_ms) || rebuild::is_excluded(ask, id) {
                return None;
            }
            let rate = endpoint
                .state
                .as_ref()
                .map_or(0.0, |state| state.layer_tokens_per_s);
            let candidate = Candidate {
                same_engine: step.same_engine,
                layer_tokens_per_s: rate,
                outstanding: endpoint.outstanding,
                last_turn: endpoint.last_turn,
                cached: cached.contains(&endpoint.number) && endpoint.hints.is_followed(now_ms),
            };
            Some(policy.rank(&candidate, rng.random()))
        })
    }

    /// A chain that keeps the living stages of the last one.
    fn replace_lost(
        &mut self,
        ask: &RouteAsk<'_>,
        within_limits: bool,
        now_ms: u64,
    ) -> Option<Vec<Run>> {
        let Self { table, rng, .. } = self;
        let kept = rebuild::kept_stages(table, ask, now_ms);
        rebuild::replace_lost(table, ask, &kept, |step| {
            let (id, endpoint) = table.all.get_index(step.engine)?;
            let has_room = !within_limits || endpoint.has_room(now_ms);
            let usable = has_room && endpoint.takes_work(now_ms);
            (usable && !rebuild::is_excluded(ask, id))
                .then(|| reported_load(endpoint) + rng.random_range(0.0..0.1))
        })
    }

    /// Index of the routes for a model and adapter; builds them if structure has changed.
    fn routes_for(
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
        if adapter.is_none() {
            self.deal(at);
        }
        at
    }

    /// Deals the slots by the lanes of a model without adapters.
    fn deal(&mut self, at: usize) {
        let (rank, entries) = (self.entry_rank, self.entry_count);
        let routes = &self.routes[at];
        if !self.policy.uses_lanes() || routes.lanes.is_empty() {
            return deal::slots(&mut self.table, rank, entries);
        }
        let holders = routes.holders();
        let lanes: Vec<Lane> = routes.lanes.iter().map(|(_, lane)| lane.clone()).collect();
        deal::lane_slots(&mut self.table, &holders, &lanes, rank, entries);
    }

    /// Builds routes after a change, and looks for better lanes while nothing changes.
    fn keep_routes(&mut self, now_ms: u64) {
        if self
            .routes_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
        {
            self.changed_at_ms = None;
        }
        let Some(changed_at_ms) = self.changed_at_ms else {
            self.changed_at_ms = Some(now_ms);
            return self.update_routes(now_ms);
        };
        if now_ms < changed_at_ms + SETTLE_MS {
            return;
        }
        for at in 0..self.routes.len() {
            let found = self.routes[at].improve(&self.table);
            if found && self.routes[at].adapter.is_none() {
                self.deal(at);
            }
        }
    }

    fn update_routes(&mut self, now_ms: u64) {
        self.routes.clear();
        self.routes_until_ms = self.table.next_return_ms(now_ms);
        self.update_capacities(now_ms);
    }

    fn changed(&mut self, change: Change) {
        match change {
            Change::None => {}
            Change::Trust => self.changed_at_ms = None,
            Change::Structure | Change::Incarnation => self.drop_routes(),
        }
    }

    /// Routes must not be used any more: indices or layers have changed.
    fn drop_routes(&mut self) {
        self.routes.clear();
        self.changed_at_ms = None;
    }

    fn stages(&self, runs: &[Run]) -> Vec<Stage> {
        let stage = |run: &Run| {
            let (id, endpoint) = self.table.all.get_index(run.engine)?;
            Some(Stage {
                endpoint: id.clone(),
                address: endpoint.address,
                layers: run.layers,
                recompute: true,
                import_from: None,
            })
        };
        runs.iter().filter_map(stage).collect()
    }

    fn reserve(&mut self, ask: &RouteAsk<'_>, stages: &[Stage], tokens_before: u32, now_ms: u64) {
        let block = first_block(ask.prompt);
        let cached = self.hints.holders(block, now_ms);
        let first = stages
            .first()
            .and_then(|stage| self.table.all.get(&stage.endpoint));
        let reservation = Reservation {
            stages: Vec::with_capacity(stages.len()),
            block,
            hinted: first.is_some_and(|endpoint| cached.contains(&endpoint.number)),
            prompt_tokens: count_tokens(ask.prompt),
            tokens: 0,
            tokens_before,
        };
        let Self {
            table,
            reservations,
            turn,
            ..
        } = self;
        reservations.take(table, ask.stream, stages, reservation, turn);
    }

    /// Asserts what every plan must satisfy.
    fn check(&self, ask: &RouteAsk<'_>, stages: &[Stage], now_ms: u64) {
        let covers = stages.first().map(|stage| stage.layers.first) == Some(0)
            && stages.last().map(|stage| stage.layers.end) == Some(ask.model.layers)
            && stages
                .windows(2)
                .all(|pair| pair[0].layers.end == pair[1].layers.first);
        crate::invariant::check(covers, "routing.layers_once", || format!("{stages:?}"));
        let all_take_work = stages.iter().all(|stage| {
            let endpoint = self.table.all.get(&stage.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.takes_work(now_ms))
        });
        crate::invariant::check(all_take_work, "routing.no_work_to_leaving", || {
            format!("{stages:?}")
        });
    }

    /// Gives back the slots of a stream.
    pub fn release(&mut self, stream: StreamId, _now_ms: u64) {
        self.reservations.release(&mut self.table, stream);
    }

    /// Takes the time between two tokens of a stream, or from dispatch to its first token.
    pub fn observe_token(&mut self, stream: StreamId, gap_ms: u64, now_ms: u64) {
        let Some(held) = self.reservations.streams.get_mut(&stream) else {
            return;
        };
        held.tokens += 1;
        if held.tokens == 1 {
            self.learn_first_token(stream, gap_ms, now_ms);
            return;
        }
        let slots = &held.stages;
        let expected_ms: f64 = slots
            .iter()
            .filter_map(|slot| self.table.all.get(&slot.endpoint))
            .zip(slots)
            .map(|(endpoint, slot)| stage_ms(endpoint, slot.layers.len()))
            .sum();
        if expected_ms <= 0.0 {
            return;
        }
        let ratio = gap_ms as f64 / expected_ms;
        let mut trusted_again = false;
        for slot in slots {
            if let Some(endpoint) = self.table.all.get_mut(&slot.endpoint) {
                let prior_ms = prior_layer_ms(endpoint);
                endpoint.gaps.learn(ratio, prior_ms);
                trusted_again |= endpoint.trust.token(now_ms);
            }
        }
        if trusted_again {
            self.changed_at_ms = None;
        }
    }

    fn learn_first_token(&mut self, stream: StreamId, gap_ms: u64, now_ms: u64) {
        let Some(held) = self.reservations.streams.get(&stream) else {
            return;
        };
        let Some(block) = held.block else {
            return;
        };
        let ms_per_token = gap_ms as f64 / f64::from(held.prompt_tokens.max(1));
        let first = held
            .stages
            .first()
            .and_then(|slot| self.table.all.get_mut(&slot.endpoint));
        if let Some(endpoint) = first {
            endpoint.hints.learn(held.hinted, ms_per_token, now_ms);
        }
        for slot in &held.stages {
            self.hints.store(block, slot.number, now_ms);
        }
    }

    /// Notes that an endpoint failed; it is avoided for a time that grows with each fault.
    pub fn observe_fault(&mut self, endpoint: &EndpointId, fault: EndpointFault, now_ms: u64) {
        let change = self.table.fault(endpoint, fault, now_ms);
        self.changed(change);
    }

    /// Time between two tokens to expect of a chain, from its engines' own history, in
    /// milliseconds.
    pub fn expected_gap_ms(&self, chain: &[Stage]) -> f64 {
        self.stage_ms(chain).iter().sum()
    }

    /// Mean deviation of the gaps of a chain from what is expected, in milliseconds.
    pub fn gap_deviation_ms(&self, chain: &[Stage]) -> f64 {
        let deviation = |stage: &Stage| {
            let endpoint = self.table.all.get(&stage.endpoint);
            endpoint.map_or(1.0, |endpoint| endpoint.gaps.deviation())
        };
        let parts = self.stage_ms(chain);
        chain
            .iter()
            .zip(parts)
            .map(|(stage, ms)| deviation(stage) * ms)
            .sum()
    }

    fn stage_ms(&self, chain: &[Stage]) -> Vec<f64> {
        let time = |stage: &Stage| {
            let endpoint = self.table.all.get(&stage.endpoint);
            endpoint.map_or(0.0, |endpoint| stage_ms(endpoint, stage.layers.len()))
        };
        chain.iter().map(time).collect()
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

    fn update_capacities(&mut self, now_ms: u64) {
        let mut capacities = IndexMap::new();
        for (service, document) in &self.documents.clone() {
            let ServiceKind::Model(models) = &document.kind else {
                continue;
            };
            let offers = models
                .values()
                .flat_map(|model| self.offers_held(service, model));
            let offers: Vec<ModelOffer> = offers.collect();
            let bounds = offers.iter().map(|offer| {
                let at = self.routes_for(service, offer, None, now_ms);
                self.routes[at].bound_tokens_per_s
            });
            capacities.insert(service.clone(), bounds.sum());
        }
        self.capacities = capacities;
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

fn stage_ms(endpoint: &Endpoint, layers: u16) -> f64 {
    endpoint.gaps.layer_ms(prior_layer_ms(endpoint)) * f64::from(layers)
}

/// Time for one layer of one token in a full batch, by what the engine says of itself.
fn prior_layer_ms(endpoint: &Endpoint) -> f64 {
    let state = endpoint.state.as_ref();
    state.map_or(0.0, |state| {
        f64::from(state.batch_limit) * 1e3 / state.layer_tokens_per_s.max(1.0)
    })
}

/// Part of the batch in use, by the engine's last report and this entry's streams.
fn reported_load(endpoint: &Endpoint) -> f64 {
    endpoint.state.as_ref().map_or(0.0, |state| {
        let used = (state.running + state.waiting).max(endpoint.outstanding);
        f64::from(used) / f64::from(state.slots().max(1))
    })
}

fn count_tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}
