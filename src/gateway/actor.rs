//! The actor that owns the entry's state machine: messages go in, effects are carried out.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

use super::caller::{CallerEvent, CallerSender};
use super::calls::Outside;
use super::clock::Clock;
use super::effects::forget_absent;
use super::messages::{
    AskClaim, CallerArrived, CallerLeft, Deliver, IsReady, ListModels, Locate, StreamRead,
};
use super::tally::Tally;
use crate::entry::Entry;
use crate::instance::{CallId, CallerId, EntryMessage, PresentedKey, TICK_MS};
use crate::routing::PolicyKind;
use crate::telemetry::Counters;
use crate::wire::engine::StreamEvent;
use crate::wire::local::EntryReport;

/// The state machine as a process runs it.
pub(crate) type RunningEntry = Entry<PolicyKind>;

/// Time between two updates of the counters.
const TALLY_INTERVAL: Duration = Duration::from_millis(500);

/// Owns the state machine of the entry and what its effects need.
pub(crate) struct EntryActor {
    entry: RunningEntry,
    clock: Clock,
    pub(super) outside: Rc<Outside>,
    /// Callers without a final word.
    pub(super) callers: IndexMap<CallerId, CallerSender>,
    /// Open streams; a message about any other is late and dropped.
    pub(super) streams: IndexMap<CallId, AbortHandle>,
    /// Other entries that wait for an answer about a claim.
    pub(super) questions: IndexMap<CallId, oneshot::Sender<bool>>,
    next_question: u64,
    pub(super) reports: mpsc::Sender<EntryReport>,
    pub(super) stopped: watch::Sender<bool>,
    pub(super) tally: Tally,
    counters: Counters,
    /// What effects give back to the state machine at once.
    pub(super) echoes: VecDeque<EntryMessage>,
}

/// What the actor is made of.
pub(crate) struct EntryActorParts {
    /// The state machine.
    pub(crate) entry: RunningEntry,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Connections to everything the entry calls.
    pub(crate) outside: Outside,
    /// To the control of this instance.
    pub(crate) reports: mpsc::Sender<EntryReport>,
    /// Set once everything in flight has ended after a stop.
    pub(crate) stopped: watch::Sender<bool>,
    /// The process's counters.
    pub(crate) counters: Counters,
}

impl EntryActor {
    /// An actor that has got no message yet.
    pub(crate) fn new(parts: EntryActorParts) -> Self {
        Self {
            entry: parts.entry,
            clock: parts.clock,
            outside: Rc::new(parts.outside),
            callers: IndexMap::new(),
            streams: IndexMap::new(),
            questions: IndexMap::new(),
            next_question: 0,
            reports: parts.reports,
            stopped: parts.stopped,
            tally: Tally::default(),
            counters: parts.counters,
            echoes: VecDeque::new(),
        }
    }

    /// Hands a message to the state machine and carries out what it wants done.
    fn deliver(&mut self, message: EntryMessage, ctx: &mut Context<Self>) {
        if let EntryMessage::SnapshotChanged { snapshot } = &message {
            forget_absent(&self.outside, snapshot);
        }
        self.echoes.push_back(message);
        while let Some(message) = self.echoes.pop_front() {
            for effect in self.entry.handle(message, self.clock.now_ms()) {
                self.carry_out(effect, ctx);
            }
        }
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        self.deliver(EntryMessage::Tick, ctx);
    }

    fn publish_tally(&mut self, _: &mut Context<Self>) {
        self.tally.publish(&self.counters);
        for (name, count) in self.entry.take_counts() {
            self.counters.add(name, count);
        }
        let gauges = [
            ("gateway.callers.waiting", self.callers.len()),
            ("gateway.streams.open", self.streams.len()),
            ("entry.in_flight", self.entry.in_flight()),
        ];
        for (name, value) in gauges {
            self.counters.gauge(name, value as u64);
        }
    }

    /// Whether an event's stream is open. After its last event a stream is not open any more, but
    /// its task goes on, to give the connection back.
    fn is_wanted(&mut self, call: CallId, event: &StreamEvent) -> bool {
        if event.is_last() {
            self.streams.swap_remove(&call).is_some()
        } else {
            self.streams.contains_key(&call)
        }
    }

    /// Sends an event to a caller. One that reads too slowly is dropped.
    pub(super) fn send_to_caller(&mut self, caller: CallerId, event: CallerEvent) {
        let Some(events) = self.callers.get(&caller) else {
            return;
        };
        let last = !matches!(event, CallerEvent::Token { .. });
        let sent = events.try_send(event);
        if last || sent.is_err() {
            self.callers.swap_remove(&caller);
        }
        if sent.is_err() {
            self.tally.callers_dropped += 1;
            if !last {
                self.echoes.push_back(EntryMessage::CallerGone { caller });
            }
        }
    }
}

impl Actor for EntryActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(Duration::from_millis(TICK_MS), Self::tick);
        ctx.run_interval(TALLY_INTERVAL, Self::publish_tally);
        self.tick(ctx);
    }
}

/// Messages that wait at most when the sender waits too; the rest is bounded by open connections.
const MAILBOX_CAPACITY: usize = 1_024;

impl Handler<Deliver> for EntryActor {
    type Result = ();

    fn handle(&mut self, message: Deliver, ctx: &mut Self::Context) {
        self.deliver(message.0, ctx);
    }
}

impl Handler<CallerArrived> for EntryActor {
    type Result = ();

    fn handle(&mut self, arrived: CallerArrived, ctx: &mut Self::Context) {
        self.callers.insert(arrived.caller, arrived.events);
        let message = EntryMessage::Arrived {
            caller: arrived.caller,
            request: arrived.request,
        };
        self.deliver(message, ctx);
    }
}

impl Handler<CallerLeft> for EntryActor {
    type Result = ();

    fn handle(&mut self, left: CallerLeft, ctx: &mut Self::Context) {
        if self.callers.swap_remove(&left.caller).is_none() {
            return;
        }
        let caller = left.caller;
        self.deliver(EntryMessage::CallerGone { caller }, ctx);
    }
}

impl Handler<StreamRead> for EntryActor {
    type Result = ();

    fn handle(&mut self, read: StreamRead, ctx: &mut Self::Context) {
        let call = read.call;
        for event in read.events {
            if !self.is_wanted(call, &event) {
                return;
            }
            self.deliver(EntryMessage::StreamEvent { call, event }, ctx);
        }
        if let Some(failure) = read.failure
            && self.streams.swap_remove(&call).is_some()
        {
            self.deliver(EntryMessage::StreamFailed { call, failure }, ctx);
        }
    }
}

impl Handler<AskClaim> for EntryActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, ask: AskClaim, ctx: &mut Self::Context) -> Self::Result {
        let (sender, answer) = oneshot::channel();
        let call = CallId(self.next_question);
        self.next_question += 1;
        self.questions.insert(call, sender);
        let message = EntryMessage::HolderAsked {
            call,
            incarnation: ask.0.incarnation,
            claim: ask.0.claim,
        };
        self.deliver(message, ctx);
        Box::pin(async move { answer.await.unwrap_or(false) })
    }
}

impl Handler<Locate> for EntryActor {
    type Result = MessageResult<Locate>;

    fn handle(&mut self, locate: Locate, _: &mut Self::Context) -> Self::Result {
        self.tally.locates += 1;
        MessageResult(self.entry.locate(&locate.service, &locate.caller))
    }
}

impl Handler<ListModels> for EntryActor {
    type Result = MessageResult<ListModels>;

    fn handle(&mut self, list: ListModels, _: &mut Self::Context) -> Self::Result {
        MessageResult(
            self.entry
                .models(list.key.as_ref().map(PresentedKey::expose)),
        )
    }
}

impl Handler<IsReady> for EntryActor {
    type Result = bool;

    fn handle(&mut self, _: IsReady, _: &mut Self::Context) -> Self::Result {
        self.entry.is_ready()
    }
}
