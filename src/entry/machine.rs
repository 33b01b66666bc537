//! The entry's state machine: its state and the dispatch of each message.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::attempt::{Attempt, AttemptId};
use super::book::RequestRegistry;
use super::claimed::OpenClaim;
use super::config::EntryConfig;
use super::counts::Counts;
use super::directory::Directory;
use super::streams::probe_answer;
use crate::admission::Admission;
use crate::chain::{MovingAverage, PrefillHistory, ProbeHistory};
use crate::ids::{EndpointId, ServiceName};
use crate::instance::{CallId, CallerId, EntryEffect, EntryMessage};
use crate::routing::{Policy, PollKind, Router};
use crate::wire::local::{DecisionRecord, EntryRecord};

/// How long a stop waits until the answers that were sent are recorded in the table service.
const RECORDING_TIMEOUT_MS: u64 = 30_000;

/// An outgoing call that has not been completely answered yet.
#[derive(Clone, Debug)]
pub(super) enum Call {
    /// An open stream.
    Stream { attempt: AttemptId, epoch: u32 },
    /// A probe of a stage.
    Probe {
        attempt: AttemptId,
        round: u32,
        stage: usize,
        sent_at_ms: u64,
    },
    /// A call to an application endpoint.
    Application { attempt: AttemptId },
    /// A call to the table service for a claim.
    Table { attempt: AttemptId, is_read: bool },
    /// A request to the holder of a claim.
    Holder { attempt: AttemptId },
}

/// The decision logic of one entry process; it does no I/O.
pub struct Entry<P>
where
    P: Policy,
{
    pub(super) config: EntryConfig,
    pub(super) directory: Directory,
    pub(super) router: Router<P>,
    pub(super) admission: Admission,
    pub(super) rng: SmallRng,
    pub(super) requests: RequestRegistry,
    /// Queued and running requests; each is registered as running in `requests`.
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Waiting callers, each also listed in its attempt.
    pub(super) callers: IndexMap<CallerId, AttemptId>,
    /// Outgoing calls that may still be answered.
    pub(super) calls: IndexMap<CallId, Call>,
    pub(super) next_call: u64,
    /// Unsettled claims; a claim may outlive its attempt.
    pub(super) claims: IndexMap<AttemptId, OpenClaim>,
    pub(super) prefill: IndexMap<String, PrefillHistory>,
    pub(super) probe_times: ProbeHistory,
    /// Average duration of calls, by application service.
    pub(super) call_times_ms: IndexMap<ServiceName, MovingAverage>,
    /// Services that had no free endpoint at the last dispatch; cleared when that may have changed.
    pub(super) full_services: IndexSet<ServiceName>,
    /// Whether a queued request may have become dispatchable.
    pub(super) dispatch_due: bool,
    /// Since when no chain of live engines covers all layers of a service.
    pub(super) incomplete_since_ms: IndexMap<ServiceName, u64>,
    pub(super) entries: Vec<EntryRecord>,
    /// Version of the last snapshot applied; never decreases.
    pub(super) snapshot_version: u64,
    pub(super) stopping: bool,
    stop_at_ms: u64,
    stopped: bool,
    pub(super) next_report_ms: u64,
    pub(super) decisions: VecDeque<DecisionRecord>,
    pub(super) counts: Counts,
    /// Effects of the message being handled.
    pub(super) effects: Vec<EntryEffect>,
}

impl<P> Entry<P>
where
    P: Policy,
{
    /// Creates an entry that has no snapshot yet.
    pub fn new(config: EntryConfig, policy: P) -> Self {
        let router = Router::new(policy, config.zone.clone(), config.seed);
        Self {
            router,
            admission: Admission::new(config.seed.wrapping_add(1)),
            rng: SmallRng::seed_from_u64(config.seed.wrapping_add(2)),
            config,
            directory: Directory::default(),
            requests: RequestRegistry::default(),
            attempts: IndexMap::new(),
            callers: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            claims: IndexMap::new(),
            prefill: IndexMap::new(),
            probe_times: ProbeHistory::default(),
            call_times_ms: IndexMap::new(),
            full_services: IndexSet::new(),
            dispatch_due: false,
            incomplete_since_ms: IndexMap::new(),
            entries: Vec::new(),
            snapshot_version: 0,
            stopping: false,
            stop_at_ms: 0,
            stopped: false,
            next_report_ms: 0,
            decisions: VecDeque::new(),
            counts: Counts::default(),
            effects: Vec::new(),
        }
    }

    /// Handles a message and returns the effects to execute, in order.
    pub fn handle(&mut self, message: EntryMessage, now_ms: u64) -> Vec<EntryEffect> {
        match message {
            EntryMessage::Arrived { caller, request } => self.on_arrived(caller, request, now_ms),
            EntryMessage::CallerGone { caller } => self.on_caller_gone(caller, now_ms),
            EntryMessage::SnapshotChanged { snapshot } => self.on_snapshot(&snapshot, now_ms),
            EntryMessage::EngineStateRead { endpoint, state } => {
                self.router
                    .set_engine_state(&endpoint, state.as_ref(), now_ms);
                self.request_dispatch();
            }
            EntryMessage::CacheEventsRead { endpoint, events } => {
                self.router.add_cache_events(&endpoint, &events, now_ms);
            }
            EntryMessage::StreamEvent { call, event } => self.on_stream_event(call, event, now_ms),
            EntryMessage::StreamFailed { call, failure } => {
                self.on_stream_failed(call, failure, now_ms);
            }
            EntryMessage::StreamProbed {
                call,
                progress,
                reachable,
            } => self.on_probed(call, probe_answer(progress, reachable), now_ms),
            EntryMessage::ApplicationAnswered { call, result } => {
                self.on_application_answered(call, result, now_ms);
            }
            EntryMessage::TableAnswered { call, result } => {
                self.on_table_answered(call, result, now_ms);
            }
            EntryMessage::HolderAnswered { call, working } => {
                self.on_holder_answered(call, working, now_ms);
            }
            EntryMessage::HolderAsked {
                call,
                incarnation,
                claim,
            } => self.on_holder_asked(call, incarnation, &claim),
            EntryMessage::Tick => self.on_tick(now_ms),
            EntryMessage::Stop => self.on_stop(now_ms),
        }
        self.dispatch(now_ms);
        self.check_stopped(now_ms);
        std::mem::take(&mut self.effects)
    }

    /// Number of queued and running requests.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns and resets the counters, by name.
    pub fn take_counts(&mut self) -> IndexMap<&'static str, u64> {
        self.counts.take()
    }

    /// Schedules a dispatch of all queues: services that were full may have capacity now.
    pub(super) fn request_dispatch(&mut self) {
        self.full_services.clear();
        self.dispatch_due = true;
    }

    fn on_tick(&mut self, now_ms: u64) {
        self.request_dispatch();
        self.requests.expire(now_ms);
        self.wake_chains(now_ms);
        self.wake_claims(now_ms);
        self.cancel_orphans(now_ms);
        self.refuse_expired(now_ms);
        self.poll_engines(now_ms);
        self.report_if_due(now_ms);
    }

    fn poll_engines(&mut self, now_ms: u64) {
        for poll in self.router.due_polls(now_ms) {
            let effect = poll_effect(poll.endpoint, poll.address, poll.kind);
            self.effects.push(effect);
        }
    }

    fn on_stop(&mut self, now_ms: u64) {
        if !self.stopping {
            self.stopping = true;
            self.stop_at_ms = now_ms;
        }
        self.report(now_ms);
    }

    /// Emits `Stopped` once no request is in flight. Also waits for answers that were sent but not
    /// yet recorded, up to a timeout, so that an outage of the table service cannot block the stop.
    pub(super) fn check_stopped(&mut self, now_ms: u64) {
        if !self.stopping || self.stopped || !self.attempts.is_empty() {
            return;
        }
        let waited_ms = now_ms.saturating_sub(self.stop_at_ms);
        if self.claims.is_empty() || waited_ms >= RECORDING_TIMEOUT_MS {
            self.stopped = true;
            self.effects.push(EntryEffect::Stopped);
        }
    }

    /// Assigns an id to an outgoing call and registers it.
    pub(super) fn register_call(&mut self, call: Call) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, call);
        id
    }

    /// Removes an attempt while `run` works on it, and reinserts it unless it has ended.
    pub(super) fn with_attempt<F>(&mut self, id: AttemptId, run: F)
    where
        F: FnOnce(&mut Self, &mut Attempt) -> Flow,
    {
        let Some(mut attempt) = self.attempts.swap_remove(&id) else {
            return;
        };
        if run(self, &mut attempt) == Flow::Continue {
            self.attempts.insert(id, attempt);
        }
    }
}

/// Whether an attempt continues or has received its final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// It is queued or running.
    Continue,
    /// It has ended and all its resources are released.
    Ended,
}

fn poll_effect(endpoint: EndpointId, address: SocketAddr, kind: PollKind) -> EntryEffect {
    match kind {
        PollKind::State => EntryEffect::ReadEngineState { endpoint, address },
        PollKind::CacheEvents { after } => EntryEffect::ReadCacheEvents {
            endpoint,
            address,
            after,
        },
    }
}
