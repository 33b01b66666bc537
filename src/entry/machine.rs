//! The entry's state machine: its state, and the way of each message.

use std::collections::VecDeque;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::attempt::{Attempt, AttemptId};
use super::book::RequestBook;
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

/// How long a stop waits for sent answers to be recorded.
const RECORDING_LIMIT_MS: u64 = 30_000;

/// One call to the outside that has no last answer yet.
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
    Table { attempt: AttemptId, reads: bool },
    /// A question to the holder of a claim.
    Holder { attempt: AttemptId },
}

/// The decisions of one entry process.
pub struct Entry<P>
where
    P: Policy,
{
    pub(super) config: EntryConfig,
    pub(super) directory: Directory,
    pub(super) router: Router<P>,
    pub(super) admission: Admission,
    pub(super) rng: SmallRng,
    pub(super) book: RequestBook,
    /// Requests that wait or run, each in the book as running.
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Callers that wait, each listed by its attempt.
    pub(super) callers: IndexMap<CallerId, AttemptId>,
    /// Calls that may still be answered.
    pub(super) calls: IndexMap<CallId, Call>,
    pub(super) next_call: u64,
    /// Claims not settled yet; they may outlive their attempt.
    pub(super) claims: IndexMap<AttemptId, OpenClaim>,
    pub(super) prefill: IndexMap<String, PrefillHistory>,
    pub(super) probe_times: ProbeHistory,
    /// How long calls of application services take.
    pub(super) call_times_ms: IndexMap<ServiceName, MovingAverage>,
    /// Services whose endpoints were found full since something last changed.
    pub(super) full: IndexSet<ServiceName>,
    /// Whether a queued request may have become dispatchable.
    pub(super) dispatch_due: bool,
    /// Since when no living chain covers a service's layers.
    pub(super) incomplete_since_ms: IndexMap<ServiceName, u64>,
    pub(super) entries: Vec<EntryRecord>,
    /// Version of the last snapshot taken; only grows.
    pub(super) snapshot_version: u64,
    pub(super) stopping: bool,
    stop_at_ms: u64,
    stopped: bool,
    pub(super) next_report_ms: u64,
    pub(super) decisions: VecDeque<DecisionRecord>,
    pub(super) counts: Counts,
    /// Effects of the message at hand.
    pub(super) out: Vec<EntryEffect>,
}

impl<P> Entry<P>
where
    P: Policy,
{
    /// An entry that has no snapshot yet.
    pub fn new(config: EntryConfig, policy: P) -> Self {
        let router = Router::new(policy, config.zone.clone(), config.seed);
        Self {
            router,
            admission: Admission::new(config.seed.wrapping_add(1)),
            rng: SmallRng::seed_from_u64(config.seed.wrapping_add(2)),
            config,
            directory: Directory::default(),
            book: RequestBook::default(),
            attempts: IndexMap::new(),
            callers: IndexMap::new(),
            calls: IndexMap::new(),
            next_call: 0,
            claims: IndexMap::new(),
            prefill: IndexMap::new(),
            probe_times: ProbeHistory::default(),
            call_times_ms: IndexMap::new(),
            full: IndexSet::new(),
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
            out: Vec::new(),
        }
    }

    /// Takes a message and returns what is to be done, in order.
    pub fn handle(&mut self, message: EntryMessage, now_ms: u64) -> Vec<EntryEffect> {
        match message {
            EntryMessage::Arrived { caller, request } => self.on_arrived(caller, request, now_ms),
            EntryMessage::CallerGone { caller } => self.on_caller_gone(caller, now_ms),
            EntryMessage::SnapshotChanged { snapshot } => self.on_snapshot(&snapshot, now_ms),
            EntryMessage::EngineStateRead { endpoint, state } => {
                self.router
                    .set_engine_state(&endpoint, state.as_ref(), now_ms);
                self.look_again();
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
        std::mem::take(&mut self.out)
    }

    /// Requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// What was counted since the last call, by counter name.
    pub fn take_counts(&mut self) -> IndexMap<&'static str, u64> {
        self.counts.take()
    }

    /// Notes that services found full may have room now.
    pub(super) fn look_again(&mut self) {
        self.full.clear();
        self.dispatch_due = true;
    }

    fn on_tick(&mut self, now_ms: u64) {
        self.look_again();
        self.book.expire(now_ms);
        self.wake_chains(now_ms);
        self.wake_claims(now_ms);
        self.drop_orphans(now_ms);
        self.refuse_expired(now_ms);
        self.poll_engines(now_ms);
        self.report_if_due(now_ms);
    }

    fn poll_engines(&mut self, now_ms: u64) {
        for poll in self.router.due_polls(now_ms) {
            let effect = poll_effect(poll.endpoint, poll.address, poll.kind);
            self.out.push(effect);
        }
    }

    fn on_stop(&mut self, now_ms: u64) {
        if !self.stopping {
            self.stopping = true;
            self.stop_at_ms = now_ms;
        }
        self.report(now_ms);
    }

    /// Says when nothing is in flight any more. Answers that were sent but not yet recorded are
    /// waited for too, but not through a long outage of the table service.
    pub(super) fn check_stopped(&mut self, now_ms: u64) {
        if !self.stopping || self.stopped || !self.attempts.is_empty() {
            return;
        }
        let waited_ms = now_ms.saturating_sub(self.stop_at_ms);
        if self.claims.is_empty() || waited_ms >= RECORDING_LIMIT_MS {
            self.stopped = true;
            self.out.push(EntryEffect::Stopped);
        }
    }

    /// Numbers a call and notes whose it is.
    pub(super) fn open_call(&mut self, call: Call) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, call);
        id
    }

    /// Takes an attempt out while `run` works on it, and puts it back unless it has ended.
    pub(super) fn with_attempt<F>(&mut self, id: AttemptId, run: F)
    where
        F: FnOnce(&mut Self, &mut Attempt) -> Flow,
    {
        let Some(mut attempt) = self.attempts.swap_remove(&id) else {
            return;
        };
        if run(self, &mut attempt) == Flow::GoesOn {
            self.attempts.insert(id, attempt);
        }
    }
}

/// Whether an attempt has had its final word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// It waits or runs.
    GoesOn,
    /// It has ended and everything it held was given back.
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
