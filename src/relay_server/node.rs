//! State that the tasks of one instance share. All of them run on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use tokio::sync::{Notify, watch};

use super::adapter::Adapter;
use super::caller_connections::CallerConnections;
use super::capacity_queue::CapacityQueues;
use super::checks::CheckCache;
use super::document_changes::DocumentHistory;
use super::fleet_lines::log_changes;
use super::heartbeat::Availability;
use super::life_signs::ProbedReplicas;
use super::list_log::ListLog;
use super::memory_budget::MemoryBudget;
use super::peer_book::PeerBook;
use super::planned_stop::PlannedStop;
use super::reroutes::Reroutes;
use super::retry_share::ShareBasis;
use super::settings::RelaySettings;
use super::store_health::StoreHealth;
use super::uplink::Uplink;
use super::upstream::UpstreamPool;
use crate::clock::boot_ms;
use crate::demand::{DemandBook, DemandMeter};
use crate::fleet::{Chain, ChainStage, EndpointFailure, Fleet, FleetChange, Phase};
use crate::ids::{EndpointId, Incarnation, PromptPartId};
use crate::placement::PlacementOrder;
use crate::quarantine::{DigestKey, Quarantine, RequestFeatures, RequestParts};
use crate::relay::{DelegationHistory, ProbeHistory, RetryBudget, RunTimes};
use crate::route_table::{CurrentTable, RouteTable};
use crate::telemetry::Counters;

/// How long callers' connections may wait to be accepted at an instance that says that it is ready.
const MAX_ACCEPT_DELAY_MS: u64 = 500;

/// Shared state of one instance.
pub(crate) struct Node<A> {
    pub(crate) adapter: A,
    pub(crate) settings: RelaySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) counters: Counters,
    pub(crate) table: RefCell<CurrentTable>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) budget: RefCell<RetryBudget>,
    /// What the own share of the retry budget depended on when it was last reported.
    pub(super) reported_share_basis: Cell<Option<ShareBasis>>,
    /// Demand of this instance's callers.
    pub(crate) demand_meter: RefCell<DemandMeter>,
    /// Demand of the zones.
    pub(crate) demand_book: RefCell<DemandBook>,
    /// Streams that wait for capacity, of services whose priorities differ.
    pub(crate) capacity_queues: Rc<CapacityQueues>,
    /// Durations of streams.
    pub(crate) run_times: RefCell<RunTimes>,
    pub(crate) upstreams: UpstreamPool,
    /// Connections to instances that serve requests for this one.
    pub(crate) delegates: UpstreamPool,
    /// Instances that could not serve requests for this one lately.
    pub(crate) delegation_history: RefCell<DelegationHistory>,
    pub(crate) checks: RefCell<CheckCache>,
    /// Orders to change the chains of running streams.
    pub(super) reroutes: Reroutes,
    /// Engines' responses to this instance's probes, to distinguish a saturated link from a dead engine.
    pub(crate) prompt_answers: RefCell<ProbeHistory>,
    pub(crate) peers: RefCell<PeerBook>,
    /// Orders that peers sent to engines, not yet processed by this instance's placement task.
    pub(crate) peer_orders: RefCell<Vec<PlacementOrder>>,
    /// Whether this instance can reach the store.
    pub(crate) store: Cell<StoreHealth>,
    /// Whether this instance reads the store itself.
    pub(crate) reads_store: watch::Sender<bool>,
    /// Whether the instances' records have been read at least once.
    pub(crate) are_records_loaded: Cell<bool>,
    /// Recent reads of the endpoint list that other instances may need.
    pub(crate) list_log: RefCell<ListLog>,
    /// Versions of the document that were in force here lately.
    pub(super) document_history: RefCell<DocumentHistory>,
    /// Open connections of callers.
    pub(crate) caller_connections: RefCell<CallerConnections>,
    /// First and last time at which connections could not be accepted, since the last that was.
    accept_failing_ms: Cell<Option<(u64, u64)>>,
    /// Memory of the bodies of all requests that are being served.
    pub(crate) request_memory: MemoryBudget,
    /// Memory of all responses, and of events that are not complete or wait for their caller.
    pub(crate) response_memory: MemoryBudget,
    /// Budget of this instance's link for serving peers.
    pub(crate) uplink: RefCell<Uplink>,
    /// When the process started.
    pub(super) started_ms: u64,
    /// Whether the route table and the endpoint list are known.
    pub(super) informed: watch::Sender<bool>,
    /// Notified when an endpoint was found unreachable.
    pub(crate) endpoint_unreachable: Notify,
    /// Notified when data has arrived from a replica, or the state of endpoints has changed, which makes requests look
    /// for a replica again.
    pub(crate) replica_signal: Notify,
    /// Replicas that are not to be probed for signs of life now.
    pub(crate) probed_replicas: RefCell<ProbedReplicas>,
    /// Notified when a heartbeat must be sent to peers at once.
    pub(crate) heartbeat_due: Notify,
    /// Engines that rejected a request for lack of capacity, still to be announced to peers.
    pub(crate) unannounced_full_engines: RefCell<Vec<EndpointId>>,
    /// Notified when there are such engines.
    pub(crate) full_engines_notify: Notify,
    /// Notified when a peer turns out to have newer data than this instance.
    pub(crate) peer_ahead_notify: Notify,
    /// Incremented when the state of endpoints has changed, which makes running streams check their
    /// chains.
    pub(crate) chain_check_signal: watch::Sender<u64>,
    /// Key of the deployment's request digests, once it has been read from the store.
    pub(crate) digest_key: RefCell<Option<DigestKey>>,
    /// Requests suspected of crashing endpoints.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// The planned stop, once it has begun.
    pub(super) stop: Cell<Option<PlannedStop>>,
    /// Whether requests without a response get a final one now.
    pub(super) serving_ended: watch::Sender<bool>,
    /// Number of callers' requests without a complete response.
    pub(crate) open_requests: Cell<u64>,
    /// How many of them other instances have received from callers.
    pub(crate) open_delegated: Cell<u64>,
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// The initial state of an instance, without a route table or endpoint list.
    pub(crate) fn new(adapter: A, settings: RelaySettings) -> Self {
        let incarnation = Incarnation::generate(&mut rand::rng());
        let response_memory = MemoryBudget::for_instance(settings.memory_mb);
        Self {
            peers: RefCell::new(PeerBook::new(&settings, incarnation, boot_ms())),
            uplink: RefCell::new(Uplink::new(settings.link_mbps)),
            caller_connections: RefCell::new(CallerConnections::new(settings.max_sockets)),
            accept_failing_ms: Cell::default(),
            request_memory: MemoryBudget::for_instance(settings.memory_mb),
            adapter,
            settings,
            incarnation,
            counters: Counters::new(),
            table: RefCell::default(),
            fleet: RefCell::default(),
            budget: RefCell::new(RetryBudget::starting(boot_ms())),
            reported_share_basis: Cell::default(),
            demand_meter: RefCell::default(),
            demand_book: RefCell::default(),
            capacity_queues: Rc::default(),
            run_times: RefCell::default(),
            upstreams: UpstreamPool::new(response_memory.clone()),
            delegates: UpstreamPool::new(response_memory.clone()),
            response_memory,
            delegation_history: RefCell::default(),
            checks: RefCell::default(),
            reroutes: Reroutes::default(),
            prompt_answers: RefCell::default(),
            peer_orders: RefCell::default(),
            store: Cell::default(),
            reads_store: watch::Sender::new(false),
            are_records_loaded: Cell::new(false),
            list_log: RefCell::default(),
            document_history: RefCell::default(),
            started_ms: boot_ms(),
            informed: watch::Sender::new(false),
            endpoint_unreachable: Notify::new(),
            replica_signal: Notify::new(),
            probed_replicas: RefCell::default(),
            heartbeat_due: Notify::new(),
            unannounced_full_engines: RefCell::default(),
            full_engines_notify: Notify::new(),
            peer_ahead_notify: Notify::new(),
            chain_check_signal: watch::Sender::new(0),
            digest_key: RefCell::default(),
            quarantine: RefCell::default(),
            stop: Cell::new(None),
            serving_ended: watch::Sender::new(false),
            open_requests: Cell::new(0),
            open_delegated: Cell::new(0),
        }
    }

    /// The route table in force, if any.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().table().cloned()
    }

    /// Whether the instance accepts callers: it has the data to serve them and is not stopping.
    pub(crate) fn is_open(&self) -> bool {
        self.is_informed() && self.stop.get().is_none()
    }

    /// Whether callers should prefer this instance: it is open, accepts connections, and its route table is
    /// recent enough for keys to be trusted.
    pub(crate) fn is_ready(&self) -> bool {
        let now_ms = boot_ms();
        let age_ms = self.table.borrow().age_ms(now_ms);
        let is_trusted = age_ms <= self.settings.bounds.key_trust_ms;
        self.is_open() && is_trusted && self.accepts_connections(now_ms)
    }

    fn accepts_connections(&self, now_ms: u64) -> bool {
        let failing = self.accept_failing_ms.get();
        // A failure is retried at once, so that an older one is over.
        failing.is_none_or(|(first_ms, last_ms)| {
            last_ms < first_ms + MAX_ACCEPT_DELAY_MS || now_ms >= last_ms + MAX_ACCEPT_DELAY_MS
        })
    }

    /// Records that a caller's connection was accepted.
    pub(super) fn record_accept(&self) {
        self.accept_failing_ms.set(None);
    }

    /// Records that no connection can be accepted.
    pub(super) fn record_accept_failure(&self, now_ms: u64) {
        let first_ms = match self.accept_failing_ms.get() {
            Some((first_ms, last_ms)) if now_ms < last_ms + MAX_ACCEPT_DELAY_MS => first_ms,
            _ => {
                self.counters.count("relay.accept_failures");
                log::warn!(
                    caller_connections = self.caller_connections.borrow().count(),
                    max_sockets = self.settings.max_sockets;
                    "connections cannot be accepted for want of sockets"
                );
                now_ms
            }
        };
        self.accept_failing_ms.set(Some((first_ms, now_ms)));
    }

    /// Whether callers should use this instance, and whether it can supply others with data.
    pub(crate) fn availability(&self) -> Availability {
        Availability {
            is_ready: self.is_ready(),
            is_open: self.is_open(),
            reaches_store: self.reads_store() && self.store.get().is_answering(),
            receives_store_updates: self.receives_store_updates(),
            reaches_endpoints: self.fleet.borrow().reach.lost_services().next().is_none(),
        }
    }

    /// Whether this instance reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        *self.reads_store.borrow()
    }

    /// Whether changes in the store reach this instance promptly, directly or through its zone.
    pub(crate) fn receives_store_updates(&self) -> bool {
        if self.reads_store() {
            self.store.get().is_answering()
        } else {
            self.peers.borrow().zone_has_store_reader(boot_ms())
        }
    }

    /// Re-evaluates whether this instance reads the store.
    pub(crate) fn update_store_reading(&self, now_ms: u64) {
        let reads = self.reads_store();
        let answered_ms = self.store.get().last_answer_ms();
        let view = self
            .peers
            .borrow()
            .store_reader_view(reads, answered_ms, now_ms);
        let must_wait = view.awaits_records(self.are_records_loaded.get(), now_ms);
        let should_read = view.should_read(now_ms) && !must_wait;
        if should_read == reads {
            return;
        }
        let newest_answer_age_ms = view.answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        log::info!(
            place = view.rank,
            answered_before = view.answered_ahead,
            newest_answer_age_ms;
            "{}", if should_read { "instance reads the store" } else { "instance gets updates from others of its zone" }
        );
        self.counters.count(if should_read {
            "relay.reading.begun"
        } else {
            "relay.reading.ended"
        });
        self.reads_store.send_replace(should_read);
    }

    /// Has a heartbeat sent at once, so that peers learn what this instance has read.
    pub(crate) fn request_heartbeat(&self) {
        self.peers.borrow_mut().request_heartbeat();
        self.heartbeat_due.notify_one();
    }

    /// What a request has in common with others; `None` until the key of the digests is known.
    pub(crate) fn request_features(
        &self,
        parts: &RequestParts<'_>,
        prompt_parts: &[PromptPartId],
    ) -> Option<RequestFeatures> {
        let key = self.digest_key.borrow();
        let key = key.as_ref()?;
        let prompt_parts = prompt_parts.iter();
        Some(RequestFeatures {
            request: key.digest(parts)?,
            prompt_parts: prompt_parts
                .filter_map(|part| key.prompt_part_digest(part))
                .collect(),
        })
    }

    /// A random number, uniform over all of `u64`.
    pub(crate) fn random_u64(&self) -> u64 {
        rand::rng().random()
    }

    /// Records a failure of an endpoint, and announces it if the endpoint is excluded from now on.
    pub(crate) fn record_failure(&self, endpoint: &EndpointId, failure: EndpointFailure) {
        let is_excluded = self
            .fleet
            .borrow_mut()
            .record_failure(endpoint, failure, boot_ms());
        if is_excluded {
            self.handle_exclusion(endpoint, failure);
        }
    }

    /// Records that an engine has not answered a probe sent at `asked_ms` although the link was idle.
    pub(crate) fn record_unanswered(&self, endpoint: &EndpointId, asked_ms: u64) {
        let is_excluded = self
            .fleet
            .borrow_mut()
            .get_mut(endpoint)
            .is_some_and(|known| known.record_unanswered(asked_ms, boot_ms()));
        if is_excluded {
            self.handle_exclusion(endpoint, EndpointFailure::Unreachable);
        }
    }

    /// The address of an endpoint, if it is listed.
    pub(super) fn address_of(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        fleet.get(endpoint).map(|known| known.listed.address)
    }

    fn handle_exclusion(&self, endpoint: &EndpointId, failure: EndpointFailure) {
        let now_ms = boot_ms();
        let ago = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let (asked_ms, heard_ms) = {
            let fleet = self.fleet.borrow();
            let known = fleet.get(endpoint);
            let asked_ms = known.and_then(|it| it.health.unanswered_since_ms());
            (asked_ms, known.map_or(0, |it| it.last_heard.at_ms()))
        };
        log::warn!(
            endpoint = endpoint.as_str(),
            cause = failure.name(),
            asked_ago_ms = asked_ms.map(ago),
            heard_ago_ms = (heard_ms > 0).then_some(ago(heard_ms));
            "endpoint is left out"
        );
        self.counters.count("relay.endpoints.left_out");
        if failure.loses_requests() {
            self.handle_loss(endpoint);
        }
    }

    /// Records that an engine rejected a request for lack of capacity, and announces it if this was
    /// not known.
    pub(crate) fn record_full(&self, endpoint: &EndpointId) {
        let mut fleet = self.fleet.borrow_mut();
        let known = fleet.get_mut(endpoint);
        if known.is_some_and(|known| known.health.record_full(boot_ms())) {
            self.unannounced_full_engines
                .borrow_mut()
                .push(endpoint.clone());
            self.full_engines_notify.notify_one();
        }
    }

    /// Records that the engines of a chain accepted a request.
    pub(crate) fn record_accepted(&self, chain: &Chain) {
        let mut fleet = self.fleet.borrow_mut();
        for stage in chain.stages() {
            if let Some(known) = fleet.get_mut(&stage.endpoint) {
                known.health.record_accepted();
            }
        }
    }

    /// Records and announces that an engine was ordered to hold other layers: it gets no new requests for
    /// layers that it gives up or has not loaded.
    pub(crate) fn record_move(&self, order: &PlacementOrder) {
        self.record_peer_move(order);
        self.peers.borrow_mut().announce_layer_move(order);
        self.wake_streams();
    }

    /// Records that a peer ordered an engine to hold other layers.
    pub(crate) fn record_peer_move(&self, order: &PlacementOrder) {
        if let Some(known) = self.fleet.borrow_mut().get_mut(&order.endpoint) {
            known.set_ordered_layers(order.layers, boot_ms());
        }
    }

    /// Records the slowness factor that an engine reported.
    pub(crate) fn record_slowness(&self, endpoint: &EndpointId, factor: f64) {
        let now_ms = boot_ms();
        let mut fleet = self.fleet.borrow_mut();
        let Some(known) = fleet.get_mut(endpoint) else {
            return;
        };
        if known.health.record_slowness(factor, now_ms) {
            drop(fleet);
            log::warn!(endpoint = endpoint.as_str(), factor; "engine is slow");
            self.wake_streams();
        }
    }

    /// Makes running streams check their chains, and waiting ones look for capacity.
    pub(crate) fn wake_streams(&self) {
        self.chain_check_signal.send_modify(|count| *count += 1);
        self.replica_signal.notify_waiters();
        self.wake_waiting_streams();
    }

    /// Makes waiting streams look for capacity, which may have become available.
    pub(crate) fn wake_waiting_streams(&self) {
        self.capacity_queues.wake(boot_ms());
    }

    /// Whether requests may still be sent to an endpoint that was selected earlier. Checked once the
    /// connection is established, which takes up to 300 ms: an endpoint that has begun to leave
    /// meanwhile must not get new requests.
    pub(crate) fn accepts_requests(&self, endpoint: &EndpointId) -> bool {
        let fleet = self.fleet.borrow();
        let known = fleet.get(endpoint);
        known.is_some_and(|known| known.listed.phase == Phase::Live)
    }

    /// Has streams check their chains and peers check an endpoint that does not accept connections. An
    /// instance that reaches no endpoint of the service says nothing about them.
    fn handle_loss(&self, endpoint: &EndpointId) {
        let fleet = self.fleet.borrow();
        let Some(known) = fleet.get(endpoint) else {
            return;
        };
        self.upstreams.discard(known.listed.address);
        self.wake_streams();
        if !fleet.reach.is_lost(&known.listed.service) {
            self.peers.borrow_mut().announce_unhealthy(endpoint);
        }
    }

    /// The stage to probe for an engine that a peer reports as unhealthy: the peer may be unable to
    /// reach it while this instance can. `None` if the engine is already known to be unverified.
    pub(crate) fn stage_to_check(&self, endpoint: &EndpointId) -> Option<ChainStage> {
        let fleet = self.fleet.borrow();
        let known = fleet.get(endpoint)?;
        let is_new = !known.health.is_unverified();
        known.stage().filter(|_| is_new)
    }

    /// Applies changes that a read of the endpoint list has brought, and announces endpoints that
    /// leave. Expired entries are not announced: each instance sees by itself when an entry returns.
    pub(crate) fn apply_list_changes(&self, changes: &[FleetChange]) {
        self.apply_changes(changes);
        let mut peers = self.peers.borrow_mut();
        for change in changes {
            if let Some(id) = change.departed() {
                peers.announce_leaving(id);
            }
        }
    }

    /// Logs changes of the endpoint list and applies those that concern only this instance.
    pub(crate) fn apply_changes(&self, changes: &[FleetChange]) {
        log_changes(&self.fleet.borrow(), changes, boot_ms());
        if !changes.is_empty() {
            self.wake_waiting_streams();
        }
        for change in changes {
            match change {
                FleetChange::Restarted { address, .. } => {
                    self.counters.count("relay.endpoints.restarted");
                    // Pooled connections lead to the process that has terminated.
                    self.upstreams.discard(*address);
                    self.wake_streams();
                }
                FleetChange::Unusable(_) => self.counters.count("relay.entries.unusable"),
                _ => {}
            }
        }
    }

    /// Adds the tokens of a stream to the load of the engines in its chain, or subtracts them.
    pub(crate) fn hold_tokens(&self, chain: &Chain, tokens: u64, is_held: bool) {
        let mut fleet = self.fleet.borrow_mut();
        for (index, stage) in chain.stages().iter().enumerate() {
            let Some(known) = fleet.get_mut(&stage.endpoint) else {
                continue;
            };
            let amount = tokens * u64::from(stage.layers.len());
            let is_first = u32::from(index == 0);
            if is_held {
                known.held_token_layers += amount;
                known.in_flight += is_first;
            } else {
                known.held_token_layers = known.held_token_layers.saturating_sub(amount);
                known.in_flight = known.in_flight.saturating_sub(is_first);
            }
        }
        drop(fleet);
        if !is_held {
            self.wake_waiting_streams();
        }
    }
}
