//! What the tasks of one instance share. All run on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use rand::RngExt;
use tokio::sync::{Notify, watch};

use super::adapter::Adapter;
use super::checks::CheckCache;
use super::fleet_lines::log_changes;
use super::heartbeat::Availability;
use super::list_log::ListLog;
use super::peer_book::PeerBook;
use super::settings::RelaySettings;
use super::store_contact::StoreHealth;
use super::uplink::Uplink;
use super::upstream::UpstreamPool;
use crate::clock::boot_ms;
use crate::fleet::{Chain, ChainStage, EndpointFailure, Fleet, FleetChange, Phase};
use crate::ids::{EndpointId, Incarnation, ServiceName};
use crate::placement::PlacementOrder;
use crate::quarantine::{DigestKey, Quarantine, RequestDigest, RequestParts};
use crate::relay::{
    AttemptLimit, BudgetShare, ProbeHistory, RetryBudget, RetryConditions, RetryPurpose, RunTimes,
};
use crate::route_table::{CurrentTable, RouteTable};
use crate::telemetry::Counters;

/// Shared state of one instance.
pub(crate) struct Node<A> {
    pub(crate) adapter: A,
    pub(crate) settings: RelaySettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) counters: Counters,
    pub(crate) table: RefCell<CurrentTable>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) budget: RefCell<RetryBudget>,
    /// How long streams take.
    pub(crate) run_times: RefCell<RunTimes>,
    pub(crate) upstreams: UpstreamPool,
    pub(crate) checks: RefCell<CheckCache>,
    /// Answers of engines to questions of this instance, to tell a full link from a dead engine.
    pub(crate) prompt_answers: RefCell<ProbeHistory>,
    pub(crate) peers: RefCell<PeerBook>,
    /// Orders that peers gave to engines, not yet taken up by the duty of this instance.
    pub(crate) peer_orders: RefCell<Vec<PlacementOrder>>,
    /// Whether the store answers this instance.
    pub(crate) store: Cell<StoreHealth>,
    /// Whether this instance reads the store itself.
    pub(crate) reads_store: watch::Sender<bool>,
    /// Whether the instances' records were read once.
    pub(crate) are_records_loaded: Cell<bool>,
    /// Reads of the endpoint list that others may need.
    pub(crate) list_log: RefCell<ListLog>,
    /// What this instance's link carries for peers.
    pub(crate) uplink: RefCell<Uplink>,
    /// When the process started.
    pub(super) started_ms: u64,
    /// Whether the routes and the endpoints are known.
    pub(super) informed: watch::Sender<bool>,
    /// Told when there is something that peers must hear at once.
    pub(crate) heartbeat_due: Notify,
    /// Engines that have turned a request away, of which others are to be told.
    pub(crate) unannounced_full_engines: RefCell<Vec<EndpointId>>,
    /// Told when there are such engines.
    pub(crate) full_engines_notify: Notify,
    /// Told when a peer is heard to know more than this instance.
    pub(crate) peer_ahead_notify: Notify,
    /// Grows whenever endpoints were found unsound; streams look at their chains then.
    pub(crate) chain_check_signal: watch::Sender<u64>,
    /// Key of the deployment's request digests, once the store has told it.
    pub(crate) digest_key: RefCell<Option<DigestKey>>,
    /// Requests under which endpoints have ended.
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) stopping_since_ms: Cell<Option<u64>>,
    /// Requests of callers that have no whole answer yet.
    pub(crate) open_requests: Cell<u64>,
}

impl<A> Node<A>
where
    A: Adapter,
{
    /// The state of an instance that knows nothing yet.
    pub(crate) fn new(adapter: A, settings: RelaySettings) -> Self {
        let incarnation = Incarnation::generate(&mut rand::rng());
        Self {
            peers: RefCell::new(PeerBook::new(&settings, incarnation, boot_ms())),
            uplink: RefCell::new(Uplink::new(settings.link_mbps)),
            adapter,
            settings,
            incarnation,
            counters: Counters::new(),
            table: RefCell::default(),
            fleet: RefCell::default(),
            budget: RefCell::new(RetryBudget::starting(boot_ms())),
            run_times: RefCell::default(),
            upstreams: UpstreamPool::new(),
            checks: RefCell::default(),
            prompt_answers: RefCell::default(),
            peer_orders: RefCell::default(),
            store: Cell::default(),
            reads_store: watch::Sender::new(false),
            are_records_loaded: Cell::new(false),
            list_log: RefCell::default(),
            started_ms: boot_ms(),
            informed: watch::Sender::new(false),
            heartbeat_due: Notify::new(),
            unannounced_full_engines: RefCell::default(),
            full_engines_notify: Notify::new(),
            peer_ahead_notify: Notify::new(),
            chain_check_signal: watch::Sender::new(0),
            digest_key: RefCell::default(),
            quarantine: RefCell::default(),
            stopping_since_ms: Cell::new(None),
            open_requests: Cell::new(0),
        }
    }

    /// The table of routes in force, if any.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().table().cloned()
    }

    /// Whether the instance takes callers: it knows enough to serve and is not about to stop.
    pub(crate) fn is_open(&self) -> bool {
        self.is_informed() && self.stopping_since_ms.get().is_none()
    }

    /// Whether callers are best served here: it is open, and its table is fresh enough for keys to
    /// be trusted.
    pub(crate) fn is_ready(&self) -> bool {
        let age_ms = self.table.borrow().age_ms(boot_ms());
        self.is_open() && age_ms <= self.settings.bounds.key_trust_ms
    }

    /// Whether callers should come here, and what it can do for the others.
    pub(crate) fn availability(&self) -> Availability {
        Availability {
            is_ready: self.is_ready(),
            is_open: self.is_open(),
            reaches_store: self.reads_store() && self.store.get().is_answering(),
            receives_store_updates: self.receives_store_updates(),
        }
    }

    /// Whether this instance reads the store itself.
    pub(crate) fn reads_store(&self) -> bool {
        *self.reads_store.borrow()
    }

    /// Whether what the store has reaches this instance soon.
    pub(crate) fn receives_store_updates(&self) -> bool {
        if self.reads_store() {
            self.store.get().is_answering()
        } else {
            self.peers.borrow().zone_has_store_reader(boot_ms())
        }
    }

    /// Decides anew whether this instance reads the store.
    pub(crate) fn update_store_reading(&self, now_ms: u64) {
        let reads = self.reads_store();
        let answered_ms = self.store.get().last_answer_ms();
        let view = self
            .peers
            .borrow()
            .store_reader_view(reads, answered_ms, now_ms);
        let waits = !self.are_records_loaded.get() && view.awaits_records(now_ms);
        let should_read = view.should_read(now_ms) && !waits;
        if should_read == reads {
            return;
        }
        let newest_answer_age_ms = view.answered_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        log::info!(
            place = view.rank,
            answered_before = view.answered_ahead,
            newest_answer_age_ms;
            "{}", if should_read { "instance reads the store" } else { "instance is told by others of its zone" }
        );
        self.counters.count(if should_read {
            "relay.reading.begun"
        } else {
            "relay.reading.ended"
        });
        self.reads_store.send_replace(should_read);
    }

    /// Has peers told at once what this instance has read.
    pub(crate) fn request_heartbeat(&self) {
        self.peers.borrow_mut().request_heartbeat();
        self.heartbeat_due.notify_one();
    }

    /// By what a request is known when it comes again; `None` as long as the key is not known.
    pub(crate) fn digest(&self, parts: &RequestParts<'_>) -> Option<RequestDigest> {
        let key = self.digest_key.borrow();
        key.as_ref()?.digest(parts)
    }

    /// Notes a caller's request for a service.
    pub(crate) fn count_request(&self, service: &ServiceName) {
        let share = self.budget_share();
        self.budget.borrow_mut().request(service, share, boot_ms());
    }

    /// Takes one repeat out of the budget, if one is left.
    pub(crate) fn take_retry(&self, service: &ServiceName, purpose: RetryPurpose) -> bool {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        let is_left = budget.take(service, share, purpose, boot_ms());
        self.counters.count(if is_left {
            "relay.repeats.allowed"
        } else {
            "relay.repeats.over_budget"
        });
        is_left
    }

    /// Puts a repeat back of which nothing arrived anywhere.
    pub(crate) fn cancel_retry(&self, service: &ServiceName) {
        self.counters.count("relay.repeats.cancelled");
        self.budget.borrow_mut().refund(service);
    }

    /// Whether one more repeat is within the budget.
    pub(crate) fn has_retry(&self, service: &ServiceName, purpose: RetryPurpose) -> bool {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.has_left(service, share, purpose, boot_ms())
    }

    /// Repeats left at this instance, for log lines.
    pub(crate) fn retries_left(&self, service: &ServiceName) -> u32 {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.remaining(service, share, boot_ms())
    }

    /// Counts a request that ended at a limit.
    pub(crate) fn count_given_up(&self, limit: AttemptLimit) {
        let name = format!("relay.given_up.{}", limit.name());
        self.counters.count(&name);
    }

    /// When one more repeat will be within the budget by the passing of time; not after the present
    /// if one is left now.
    pub(crate) fn next_retry_ms(
        &self,
        service: &ServiceName,
        purpose: RetryPurpose,
        now_ms: u64,
    ) -> u64 {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.next_available_ms(service, share, purpose, now_ms)
    }

    /// Notes that a repeat is waited for, so that one is asked for of other instances.
    pub(crate) fn note_retry_demand(&self, service: &ServiceName, purpose: RetryPurpose) {
        let share = self.budget_share();
        let mut budget = self.budget.borrow_mut();
        budget.note_demand(service, share, purpose, boot_ms());
        self.counters.count("relay.repeats.awaited");
    }

    /// What decides when a refused request should be asked for again.
    pub(crate) fn retry_conditions(&self, load_ms: u64, run_ms: u64) -> RetryConditions {
        RetryConditions {
            other_instances_serve: self.peers.borrow().has_ready_peer(boot_ms()),
            load_ms,
            run_ms,
            random: self.draw(),
        }
    }

    /// A number drawn evenly from all of `u64`.
    pub(crate) fn draw(&self) -> u64 {
        rand::rng().random()
    }

    /// Notes a trouble at an endpoint, and tells everybody if it is left out from now on.
    pub(crate) fn record_failure(&self, endpoint: &EndpointId, trouble: EndpointFailure) {
        let is_out = self
            .fleet
            .borrow_mut()
            .record_failure(endpoint, trouble, boot_ms());
        if is_out {
            self.left_out(endpoint, trouble);
        }
    }

    /// Notes that an engine has not answered a question of `asked_ms` while the link was free.
    pub(crate) fn record_unanswered(&self, endpoint: &EndpointId, asked_ms: u64) {
        let is_out = self
            .fleet
            .borrow_mut()
            .get_mut(endpoint)
            .is_some_and(|known| known.record_unanswered(asked_ms, boot_ms()));
        if is_out {
            self.left_out(endpoint, EndpointFailure::Unreachable);
        }
    }

    /// When something last came from an endpoint, or over it; 0 if nothing did.
    pub(crate) fn last_heard_ms(&self, endpoint: &EndpointId) -> u64 {
        let fleet = self.fleet.borrow();
        fleet
            .get(endpoint)
            .map_or(0, |known| known.last_heard.at_ms())
    }

    fn left_out(&self, endpoint: &EndpointId, trouble: EndpointFailure) {
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
            cause = trouble.name(),
            asked_ago_ms = asked_ms.map(ago),
            heard_ago_ms = (heard_ms > 0).then_some(ago(heard_ms));
            "endpoint is left out"
        );
        self.counters.count("relay.endpoints.left_out");
        if trouble.loses_requests() {
            self.unsound(endpoint);
        }
    }

    /// Notes that an engine turned a request away for want of room. Others are told if that is news.
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

    /// Notes that the engines of a chain take requests.
    pub(crate) fn record_accepted(&self, chain: &Chain) {
        let mut fleet = self.fleet.borrow_mut();
        for stage in chain.stages() {
            if let Some(known) = fleet.get_mut(&stage.endpoint) {
                known.health.record_accepted();
            }
        }
    }

    /// Notes that an engine was ordered to hold other layers: nothing new is sent to it until it has
    /// them.
    pub(crate) fn record_move(&self, order: &PlacementOrder) {
        self.record_peer_move(order);
        self.peers.borrow_mut().announce_layer_move(order);
        self.wake_streams();
    }

    /// Notes that a peer ordered an engine to hold other layers.
    pub(crate) fn record_peer_move(&self, order: &PlacementOrder) {
        if let Some(known) = self.fleet.borrow_mut().get_mut(&order.endpoint) {
            known.set_reported_layers(None, boot_ms());
        }
    }

    /// Takes an engine's report of how slow it is.
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

    /// Has running streams look at their chains.
    pub(crate) fn wake_streams(&self) {
        self.chain_check_signal.send_modify(|count| *count += 1);
    }

    /// Whether requests may be sent to an endpoint that was chosen before. Asked last, when there is a
    /// connection: that takes up to 300 ms, and an endpoint that leaves meanwhile is to be left alone.
    pub(crate) fn accepts_requests(&self, endpoint: &EndpointId) -> bool {
        let fleet = self.fleet.borrow();
        let known = fleet.get(endpoint);
        known.is_some_and(|known| known.listed.phase == Phase::Live)
    }

    /// Tells streams and peers that an endpoint is unsound.
    fn unsound(&self, endpoint: &EndpointId) {
        if let Some(known) = self.fleet.borrow().get(endpoint) {
            self.upstreams.discard(known.listed.address);
        }
        self.wake_streams();
        self.peers.borrow_mut().announce_unhealthy(endpoint);
    }

    /// The engine that a peer says is unsound, as a stage to be checked: the peer may be cut off
    /// from it while this instance is not.
    pub(crate) fn stage_to_check(&self, endpoint: &EndpointId) -> Option<ChainStage> {
        let fleet = self.fleet.borrow();
        let known = fleet.get(endpoint)?;
        let is_news = !known.health.is_unverified();
        known.stage().filter(|_| is_news)
    }

    /// Acts on what a read of the endpoint list has changed. Peers are told what the list shows, not
    /// what is made of a lapse: each sees by itself when an entry is back.
    pub(crate) fn fleet_changed(&self, changes: &[FleetChange]) {
        self.apply_changes(changes);
        let mut peers = self.peers.borrow_mut();
        for change in changes {
            if let FleetChange::Leaving(id) | FleetChange::Removed(id) = change {
                peers.announce_leaving(id);
            }
        }
    }

    /// Acts on changes of the endpoint list that concern this instance only, with a line on each.
    pub(crate) fn apply_changes(&self, changes: &[FleetChange]) {
        log_changes(&self.fleet.borrow(), changes, boot_ms());
        for change in changes {
            match change {
                FleetChange::Restarted { address, .. } => {
                    self.counters.count("relay.endpoints.restarted");
                    // Kept connections lead to the process that has ended.
                    self.upstreams.discard(*address);
                    self.wake_streams();
                }
                FleetChange::Unusable(_) => self.counters.count("relay.entries.unusable"),
                _ => {}
            }
        }
    }

    /// Counts the tokens of a stream at the engines of its chain, or takes them off.
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
    }

    /// What all instances may repeat together, as far as it is known here.
    pub(super) fn budget_share(&self) -> BudgetShare {
        let bounds = &self.settings.bounds;
        BudgetShare {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window_ms: bounds.retry_window_ms,
            instances: self.peers.borrow().known_instances(),
        }
    }
}
