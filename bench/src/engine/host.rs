//! An engine between its state machine and its sockets.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescueshore::ids::{EndpointId, Incarnation, StreamId};
use fescueshore::wire::engine::{EngineAssignment, EngineError, OpenStream, StreamEvent};
use indexmap::IndexMap;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::core::{Core, Output};
use super::counters::EngineCounters;
use super::emissions::Emissions;
use super::fleet::Fleet;
use super::frames::Envelope;
use crate::standin::faults::Fault;
use crate::standin::{Gate, unix_us};
use crate::topology::EngineNode;

/// What the tasks of a lifetime are to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// Connect to another engine and send it these frames.
    Connect {
        /// The engine.
        peer: EndpointId,
        /// The connection.
        link: LinkId,
        /// The frames.
        frames: UnboundedReceiver<Envelope>,
    },
    /// Fetch weights.
    Load {
        /// What to hold in the end.
        desired: EngineAssignment,
        /// Number of layers and adapters to fetch.
        parts: u32,
    },
}

/// A connection to another engine; numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkId(u64);

/// A lifetime that begins.
#[derive(Debug)]
pub(crate) struct Life {
    /// Cancelled when the engine dies.
    pub(crate) over: CancellationToken,
    /// What its tasks are to do.
    pub(crate) commands: UnboundedReceiver<Command>,
}

/// One engine over all its lifetimes.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) node: EngineNode,
    pub(crate) gate: Arc<Gate>,
    pub(crate) fleet: Arc<Fleet>,
    /// Wakes the task that runs steps, when one is due before [`Self::sleeps_until_us`].
    pub(crate) wake: Notify,
    /// When the last tokens were written to those who opened the streams.
    pub(crate) emissions: Emissions,
    sleeps_until_us: AtomicU64,
    /// The last order that open links be silent, and to whom; all if absent.
    pub(crate) silence: watch::Sender<Option<EndpointId>>,
    living: Mutex<Living>,
}

/// What dies with a lifetime, but for the counters.
#[derive(Debug, Default)]
struct Living {
    core: Option<Core>,
    counters: EngineCounters,
    openers: IndexMap<(StreamId, u32), UnboundedSender<StreamEvent>>,
    links: IndexMap<EndpointId, (LinkId, UnboundedSender<Envelope>)>,
    links_made: u64,
    commands: Option<UnboundedSender<Command>>,
    over: CancellationToken,
}

impl Host {
    /// An engine that does not live yet.
    pub(crate) fn new(node: &EngineNode, fleet: &Arc<Fleet>) -> Self {
        Self {
            node: node.clone(),
            gate: Arc::new(Gate::new()),
            fleet: fleet.clone(),
            wake: Notify::new(),
            emissions: Emissions::default(),
            sleeps_until_us: AtomicU64::new(0),
            silence: watch::Sender::new(None),
            living: Mutex::new(Living::default()),
        }
    }

    /// Begins a lifetime; `None` if the engine lives.
    pub(crate) fn begin_life(&self) -> Option<Life> {
        let mut living = self.lock();
        if living.core.is_some() {
            return None;
        }
        let (sender, commands) = unbounded_channel();
        let over = CancellationToken::new();
        self.gate.apply(&Fault::Clear);
        living.counters.lifetimes += 1;
        living.commands = Some(sender);
        living.over = over.clone();
        living.core = Some(Core::new(
            &self.node,
            Incarnation::generate(&mut rand::rng()),
            self.fleet.peers_of(&self.node),
            self.fleet.model_layers(),
            self.fleet.ledger.clone(),
            living.counters.clone(),
        ));
        Some(Life { over, commands })
    }

    /// Ends the lifetime: memory, streams and links are gone; only the counters stay.
    pub(crate) fn end_life(&self) {
        let mut living = self.lock();
        let counters = living.counters_now();
        living.over.cancel();
        *living = Living {
            links_made: living.links_made,
            counters: EngineCounters {
                running: 0,
                waiting: 0,
                ..counters
            },
            ..Living::default()
        };
        drop(living);
        // What is still asked over open connections gets no answer.
        self.gate.apply(&Fault::Silent);
    }

    /// Runs `f` on the engine and carries out what follows; `None` if it is dead.
    pub(crate) fn with_core<F, R>(&self, f: F) -> Option<R>
    where
        F: FnOnce(&mut Core, u64) -> R,
    {
        let mut living = self.lock();
        let core = living.core.as_mut()?;
        let now_us = unix_us();
        let assignments = core.counters.assignments;
        let result = f(core, now_us);
        if core.counters.assignments != assignments {
            self.fleet.note_held(&self.node.name, &core.held);
        }
        let next_us = core.next_wake_us();
        for output in core.take_outputs() {
            living.carry_out(output);
        }
        drop(living);
        if next_us < self.sleeps_until_us.load(Ordering::Acquire) {
            self.wake.notify_one();
        }
        Some(result)
    }

    /// Finishes what is due; returns for how long the caller may sleep, in microseconds.
    pub(crate) fn run_steps(&self) -> Option<u64> {
        self.sleeps_until_us.store(0, Ordering::Release);
        self.with_core(|core, now_us| {
            core.advance(now_us);
            let next_us = core.next_wake_us();
            self.sleeps_until_us.store(next_us, Ordering::Release);
            next_us.saturating_sub(now_us)
        })
    }

    /// Opens a stream; its events come over the channel.
    pub(crate) fn open(
        &self,
        open: OpenStream,
    ) -> Option<Result<UnboundedReceiver<StreamEvent>, EngineError>> {
        let key = (open.stream, open.epoch);
        let (sender, events) = unbounded_channel();
        let mut living = self.lock();
        let core = living.core.as_mut()?;
        let opened = core.open(open, unix_us());
        let outputs = core.take_outputs();
        if opened.is_ok() {
            living.openers.insert(key, sender);
        }
        for output in outputs {
            living.carry_out(output);
        }
        drop(living);
        self.wake.notify_one();
        Some(opened.map(|()| events))
    }

    /// Whoever opened a stream does not listen any more.
    pub(crate) fn opener_gone(&self, stream: StreamId, epoch: u32) {
        self.lock().openers.swap_remove(&(stream, epoch));
        self.with_core(|core, now_us| core.opener_gone(stream, epoch, now_us));
    }

    /// The connection to another engine broke, or could not be made. One that was given up
    /// before does not matter.
    pub(crate) fn link_lost(&self, peer: &EndpointId, link: LinkId) {
        let current = self.lock().links.get(peer).map(|(current, _)| *current);
        if current == Some(link) {
            self.peer_gone(peer);
        }
    }

    /// Another engine's connection to this one ended: it died or gave the link up.
    pub(crate) fn peer_gone(&self, peer: &EndpointId) {
        self.lock().links.swap_remove(peer);
        self.with_core(|core, now_us| core.peer_lost(peer, now_us));
    }

    /// Counters over all lifetimes.
    pub(crate) fn counters(&self) -> EngineCounters {
        self.lock().counters_now()
    }

    fn lock(&self) -> MutexGuard<'_, Living> {
        self.living.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Living {
    fn counters_now(&self) -> EngineCounters {
        let Some(core) = &self.core else {
            return self.counters.clone();
        };
        let (running, waiting) = core.occupancy();
        EngineCounters {
            busy_us: self.counters.busy_us + core.executor.busy_us(),
            running,
            waiting,
            ..core.counters.clone()
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, envelope } => self.send(to, envelope),
            Output::Event {
                stream,
                epoch,
                event,
            } => self.report((stream, epoch), event),
            Output::Load { desired, parts } => self.command(Command::Load { desired, parts }),
        }
    }

    fn send(&mut self, to: EndpointId, envelope: Envelope) {
        if let Some((_, link)) = self.links.get(&to) {
            // A link whose task has ended is about to be reported as lost.
            let _ = link.send(envelope);
            return;
        }
        let (sender, frames) = unbounded_channel();
        let _ = sender.send(envelope);
        self.links_made += 1;
        let link = LinkId(self.links_made);
        self.links.insert(to.clone(), (link, sender));
        self.command(Command::Connect {
            peer: to,
            link,
            frames,
        });
    }

    fn report(&mut self, key: (StreamId, u32), event: StreamEvent) {
        let last = matches!(event, StreamEvent::End { .. } | StreamEvent::Failed { .. });
        if let Some(opener) = self.openers.get(&key) {
            // An opener that has gone tells so itself.
            let _ = opener.send(event);
        }
        if last {
            self.openers.swap_remove(&key);
        }
    }

    fn command(&self, command: Command) {
        if let Some(commands) = &self.commands {
            let _ = commands.send(command);
        }
    }
}
