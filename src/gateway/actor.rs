//! The actor that owns the entry's state machine, passes messages to it and executes its effects.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, Handler, MessageResult, ResponseFuture};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

use super::caller::{CallerEvent, CallerSender};
use super::calls::OutboundClients;
use super::clock::Clock;
use super::effects::drop_unlisted_connections;
use super::messages::{
    CallerArrived, CallerLeft, Deliver, IsReady, ListModels, Locate, QueryClaim, StreamRead,
};
use super::tally::Tally;
use crate::entry::Entry;
use crate::instance::{CallId, CallerId, EntryMessage, PresentedKey, TICK_MS};
use crate::routing::PolicyKind;
use crate::telemetry::Counters;
use crate::wire::engine::StreamEvent;
use crate::wire::local::EntryReport;

/// The state machine with the routing policy chosen at run time.
pub(crate) type RunningEntry = Entry<PolicyKind>;

/// Interval between updates of the counters.
const TALLY_INTERVAL: Duration = Duration::from_millis(500);

/// Owns the entry's state machine and the resources needed to execute its effects.
pub(crate) struct EntryActor {
    entry: RunningEntry,
    clock: Clock,
    pub(super) outbound: Rc<OutboundClients>,
    /// Callers that have not received a final response.
    pub(super) callers: IndexMap<CallerId, CallerSender>,
    /// Open streams. Messages about any other stream are late and ignored.
    pub(super) streams: IndexMap<CallId, AbortHandle>,
    /// Claim queries from other entries that have not been answered yet.
    pub(super) claim_queries: IndexMap<CallId, oneshot::Sender<bool>>,
    next_claim_query: u64,
    pub(super) reports: mpsc::Sender<EntryReport>,
    pub(super) stopped: watch::Sender<bool>,
    pub(super) tally: Tally,
    counters: Counters,
    /// Messages for the state machine, including those produced while executing effects.
    pub(super) pending_messages: VecDeque<EntryMessage>,
}

/// Arguments of [`EntryActor::new`].
pub(crate) struct EntryActorParts {
    /// The state machine.
    pub(crate) entry: RunningEntry,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Clients for all services that the entry calls.
    pub(crate) outbound: OutboundClients,
    /// Channel for reports to this instance's control process.
    pub(crate) reports: mpsc::Sender<EntryReport>,
    /// Set to `true` after a stop, once all requests in flight have ended.
    pub(crate) stopped: watch::Sender<bool>,
    /// The process's counters.
    pub(crate) counters: Counters,
}

impl EntryActor {
    pub(crate) fn new(parts: EntryActorParts) -> Self {
        Self {
            entry: parts.entry,
            clock: parts.clock,
            outbound: Rc::new(parts.outbound),
            callers: IndexMap::new(),
            streams: IndexMap::new(),
            claim_queries: IndexMap::new(),
            next_claim_query: 0,
            reports: parts.reports,
            stopped: parts.stopped,
            tally: Tally::default(),
            counters: parts.counters,
            pending_messages: VecDeque::new(),
        }
    }

    /// Passes a message to the state machine and executes the resulting effects.
    fn deliver(&mut self, message: EntryMessage, ctx: &mut Context<Self>) {
        if let EntryMessage::SnapshotChanged { snapshot } = &message {
            drop_unlisted_connections(&self.outbound, snapshot);
        }
        self.pending_messages.push_back(message);
        while let Some(message) = self.pending_messages.pop_front() {
            for effect in self.entry.handle(message, self.clock.now_ms()) {
                self.execute_effect(effect, ctx);
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

    /// Returns whether the stream of an event is open. The last event removes the stream from the
    /// open ones; its task keeps running to return the connection to the pool.
    fn accept_event(&mut self, call: CallId, event: &StreamEvent) -> bool {
        if event.is_last() {
            self.streams.swap_remove(&call).is_some()
        } else {
            self.streams.contains_key(&call)
        }
    }

    /// Sends an event to a caller. A caller whose event buffer is full is dropped.
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
                self.pending_messages
                    .push_back(EntryMessage::CallerGone { caller });
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

/// Mailbox capacity for senders that wait. Messages sent with `do_send` bypass it; their number is
/// bounded by the open connections.
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
            if !self.accept_event(call, &event) {
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

impl Handler<QueryClaim> for EntryActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, query: QueryClaim, ctx: &mut Self::Context) -> Self::Result {
        let (sender, answer) = oneshot::channel();
        let call = CallId(self.next_claim_query);
        self.next_claim_query += 1;
        self.claim_queries.insert(call, sender);
        let message = EntryMessage::HolderAsked {
            call,
            incarnation: query.0.incarnation,
            claim: query.0.claim,
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
