//! The actor that owns the state machine and the calls that wait for its answers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::peers::Peers;
use super::platform::Platform;
use super::traffic::Traffic;
use crate::control::Control;
use crate::instance::{
    CONTROL_TICK_MS, CallId, ControlMessage, OperatorAnswer, OperatorCall, PeerAnswer, PeerCall,
    PresentedKey,
};
use crate::telemetry::Counters;
use crate::wire::local::{EntryReport, ExchangeReply};
use crate::wire::operator::OperatorFault;

/// Pause between two publications of the byte counts.
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);

/// A call from outside that waits for its answer.
pub(super) enum Waiting {
    /// Of the entry.
    Entry(oneshot::Sender<ExchangeReply>),
    /// Of a peer.
    Peer(oneshot::Sender<PeerAnswer>),
    /// Of an operator.
    Operator(oneshot::Sender<Result<OperatorAnswer, OperatorFault>>),
}

/// Owns the state machine.
pub(super) struct ControlActor {
    control: Control,
    pub(super) clock: Instant,
    pub(super) platform: Rc<Platform>,
    pub(super) peers: Rc<Peers>,
    pub(super) counters: Counters,
    pub(super) waiting: IndexMap<CallId, Waiting>,
    /// Taken when the process may exit.
    pub(super) stopped: Option<oneshot::Sender<()>>,
    traffic: Traffic,
    last_call: u64,
}

impl ControlActor {
    /// `clock` is the origin of `now_ms`.
    pub(super) fn new(
        control: Control,
        clock: Instant,
        platform: Platform,
        peers: Peers,
        counters: Counters,
        traffic: Traffic,
        stopped: oneshot::Sender<()>,
    ) -> Self {
        Self {
            control,
            clock,
            platform: Rc::new(platform),
            peers: Rc::new(peers),
            counters,
            waiting: IndexMap::new(),
            stopped: Some(stopped),
            traffic,
            last_call: 0,
        }
    }

    /// Carries a message to the state machine and its effects out.
    pub(super) fn deliver(&mut self, message: ControlMessage, ctx: &mut Context<Self>) {
        let now_ms = self.now_ms();
        for effect in self.control.handle(message, now_ms) {
            self.carry_out(effect, ctx);
        }
    }

    /// Milliseconds since the start of the process.
    pub(super) fn now_ms(&self) -> u64 {
        u64::try_from(self.clock.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn wait(&mut self, waiting: Waiting) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.waiting.insert(call, waiting);
        call
    }
}

impl Actor for ControlActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let tick = Duration::from_millis(CONTROL_TICK_MS);
        ctx.run_interval(tick, |actor, ctx| {
            actor.deliver(ControlMessage::Tick, ctx);
        });
        ctx.run_interval(PUBLISH_PERIOD, |actor, _| {
            actor.traffic.publish(&actor.counters);
        });
    }
}

/// The entry reports; no answer where the process ends.
#[derive(Message)]
#[rtype(result = "Option<ExchangeReply>")]
pub(super) struct AskEntry(pub(super) EntryReport);

/// A peer calls; no answer where the process ends.
#[derive(Message)]
#[rtype(result = "Option<PeerAnswer>")]
pub(super) struct AskPeer(pub(super) PeerCall);

/// An operator calls; no answer where the process ends.
#[derive(Message)]
#[rtype(result = "Option<Result<OperatorAnswer, OperatorFault>>")]
pub(super) struct AskOperator {
    pub(super) key: PresentedKey,
    pub(super) ask: OperatorCall,
}

/// The process was told to stop.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct StopControl;

impl Handler<AskEntry> for ControlActor {
    type Result = ResponseFuture<Option<ExchangeReply>>;

    fn handle(&mut self, AskEntry(report): AskEntry, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        let call = self.wait(Waiting::Entry(sender));
        self.deliver(ControlMessage::EntryReported { call, report }, ctx);
        Box::pin(async move { receiver.await.ok() })
    }
}

impl Handler<AskPeer> for ControlActor {
    type Result = ResponseFuture<Option<PeerAnswer>>;

    fn handle(&mut self, AskPeer(ask): AskPeer, ctx: &mut Self::Context) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        let call = self.wait(Waiting::Peer(sender));
        self.deliver(ControlMessage::PeerAsked { call, ask }, ctx);
        Box::pin(async move { receiver.await.ok() })
    }
}

impl Handler<AskOperator> for ControlActor {
    type Result = ResponseFuture<Option<Result<OperatorAnswer, OperatorFault>>>;

    fn handle(&mut self, ask: AskOperator, ctx: &mut Self::Context) -> Self::Result {
        let AskOperator { key, ask } = ask;
        let (sender, receiver) = oneshot::channel();
        let call = self.wait(Waiting::Operator(sender));
        self.deliver(ControlMessage::OperatorAsked { call, key, ask }, ctx);
        Box::pin(async move { receiver.await.ok() })
    }
}

impl Handler<StopControl> for ControlActor {
    type Result = ();

    fn handle(&mut self, StopControl: StopControl, ctx: &mut Self::Context) {
        self.deliver(ControlMessage::Stop, ctx);
    }
}
