//! The engine as a state machine without I/O: calls and frames in, frames and events out.

use std::net::SocketAddr;
use std::sync::Arc;

use fescueshore::ids::{EndpointId, Incarnation, StreamId};
use fescueshore::wire::engine::{
    CacheEvents, EngineAssignment, EngineError, EngineErrorCode, LinkState, StreamEvent,
    StreamProgress,
};
use indexmap::IndexMap;

use super::cache::PrefixCache;
use super::counters::EngineCounters;
use super::executor::Executor;
use super::frames::{Envelope, Frame};
use super::ledger::RunLedger;
use super::link::Shaper;
use super::orders::Orders;
use super::stream::Stream;
use crate::standin::faults::Fault;
use crate::topology::EngineNode;

/// Part of the KV memory that the prefix cache may use: one part in this many.
const CACHE_PARTS: u64 = 2;
/// How often old streams are swept and the load figures taken.
const SWEEP_US: u64 = 250_000;
/// Streams whose epochs are remembered per generation; two generations are kept.
const GENERATION_STREAMS: usize = 10_000;

/// What the engine wants done.
#[derive(Clone, Debug)]
pub(crate) enum Output {
    /// Send a frame to another engine.
    Send {
        /// The engine.
        to: EndpointId,
        /// The frame and when it arrives.
        envelope: Envelope,
    },
    /// Report an event to whoever opened the stream.
    Event {
        /// The stream.
        stream: StreamId,
        /// Epoch of the call that opened it.
        epoch: u32,
        /// The event.
        event: StreamEvent,
    },
    /// Fetch weights, then call `loaded`.
    Load {
        /// What to hold in the end.
        desired: EngineAssignment,
        /// Number of layers and adapters to fetch.
        parts: u32,
    },
}

/// What an engine knows of another.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Where its HTTP API listens.
    pub(crate) address: SocketAddr,
    /// The link to it as it should be.
    pub(crate) link: LinkState,
}

/// Faults that change what an engine does, not whether it answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct CoreFaults {
    /// Takes no new streams and says so.
    pub(crate) drain: bool,
    /// Refuses every new stream as overloaded.
    pub(crate) refuse: bool,
    /// All outgoing links are so many times worse.
    pub(crate) all_links: Option<f64>,
    /// One link is so many times worse.
    pub(crate) links: IndexMap<EndpointId, f64>,
}

/// Load as last measured.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) at_us: u64,
}

/// One lifetime of one engine.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) node: EngineNode,
    pub(crate) incarnation: Incarnation,
    /// Layers of each model of the fleet.
    pub(crate) model_layers: IndexMap<String, u16>,
    pub(crate) peers: IndexMap<EndpointId, Peer>,
    pub(crate) held: EngineAssignment,
    pub(crate) orders: Orders,
    pub(crate) faults: CoreFaults,
    pub(crate) executor: Executor,
    pub(crate) cache: PrefixCache,
    pub(crate) streams: IndexMap<StreamId, Stream>,
    /// Lowest epoch that may begin, per stream that is gone.
    floors: [IndexMap<StreamId, u32>; 2],
    shapers: IndexMap<EndpointId, Shaper>,
    pub(crate) ledger: Arc<RunLedger>,
    pub(crate) counters: EngineCounters,
    pub(crate) load: Load,
    pub(crate) outputs: Vec<Output>,
}

impl Core {
    /// A new lifetime of an engine, with the counters of those before it.
    pub(crate) fn new(
        node: &EngineNode,
        incarnation: Incarnation,
        peers: IndexMap<EndpointId, Peer>,
        model_layers: IndexMap<String, u16>,
        ledger: Arc<RunLedger>,
        counters: EngineCounters,
    ) -> Self {
        Self {
            incarnation,
            model_layers,
            peers,
            held: EngineAssignment {
                model: node.model.clone(),
                version: node.version.clone(),
                adapters: node.adapters.clone(),
                layers: node.layers,
            },
            orders: Orders::default(),
            faults: CoreFaults::default(),
            executor: Executor::new(node.layer_tokens_per_s, node.batch_limit),
            cache: PrefixCache::new(node.kv_capacity_tokens / CACHE_PARTS),
            streams: IndexMap::new(),
            floors: [IndexMap::new(), IndexMap::new()],
            shapers: IndexMap::new(),
            ledger,
            counters,
            load: Load::default(),
            outputs: Vec::new(),
            node: node.clone(),
        }
    }

    /// Applies a fault that changes what the engine does; leaves the others alone.
    pub(crate) fn apply_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Clear => {
                self.faults = CoreFaults::default();
                self.executor.set_slow_factor(1.0);
            }
            Fault::SlowSteps { factor } => self.executor.set_slow_factor(*factor),
            Fault::DegradeLinks { factor, peer: None } => self.faults.all_links = Some(*factor),
            Fault::DegradeLinks {
                factor,
                peer: Some(peer),
            } => {
                self.faults.links.insert(peer.clone(), *factor);
            }
            Fault::Drain => self.faults.drain = true,
            Fault::Refuse => self.faults.refuse = true,
            _ => {}
        }
    }

    /// Takes what is to be done.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Finishes steps that are due and sweeps what is old.
    pub(crate) fn advance(&mut self, now_us: u64) {
        for (at_us, work) in self.executor.advance(now_us) {
            self.finish_step(&work, at_us);
        }
        if now_us >= self.load.at_us + SWEEP_US {
            self.sweep(now_us);
        }
        self.change_assignment(now_us);
    }

    /// When [`Self::advance`] next has something to do.
    pub(crate) fn next_wake_us(&self) -> u64 {
        let sweep_us = self.load.at_us + SWEEP_US;
        self.executor
            .next_wake_us()
            .map_or(sweep_us, |step_us| step_us.min(sweep_us))
    }

    /// How far this engine has got with a stream.
    pub(crate) fn progress(&self, id: StreamId) -> Option<StreamProgress> {
        self.streams.get(&id).map(|stream| StreamProgress {
            epoch: stream.open.epoch,
            position: stream.input.position,
        })
    }

    /// Cache events after one that a reader knows.
    pub(crate) fn cache_events(&self, after: u64, now_us: u64) -> CacheEvents {
        self.cache.events(after, now_us)
    }

    /// Lowest epoch that may begin for a stream.
    pub(crate) fn floor(&self, id: StreamId) -> u32 {
        let held = self.streams.get(&id).map(|stream| stream.open.epoch);
        let floors = self.floors.iter().filter_map(|floors| floors.get(&id));
        floors.copied().chain(held).max().unwrap_or(0)
    }

    /// Refuses epochs below `floor` from now on.
    pub(crate) fn raise_floor(&mut self, id: StreamId, floor: u32) {
        if self.floors[0].len() >= GENERATION_STREAMS {
            self.floors.swap(0, 1);
            self.floors[0].clear();
        }
        let known = self.floors[0].entry(id).or_default();
        *known = floor.max(*known);
    }

    /// Sends a frame over the link to another engine; `bytes` is what it stands for.
    pub(crate) fn send(&mut self, to: &EndpointId, frame: Frame, bytes: u64, at_us: u64) {
        let link = self.link_to(to);
        let shaper = self.shapers.entry(to.clone()).or_default();
        let due_us = shaper.send(link, bytes, at_us);
        self.outputs.push(Output::Send {
            to: to.clone(),
            envelope: Envelope { due_us, frame },
        });
    }

    /// Tells whoever opened the stream.
    pub(crate) fn emit(&mut self, stream: StreamId, epoch: u32, event: StreamEvent) {
        self.outputs.push(Output::Event {
            stream,
            epoch,
            event,
        });
    }

    /// Number of streams with a slot, and of those waiting for one.
    pub(crate) fn occupancy(&self) -> (u32, u32) {
        let count = |wanted: fn(&Stream) -> bool| {
            self.streams
                .values()
                .filter(|stream| wanted(stream))
                .count() as u32
        };
        let running = count(Stream::has_slot);
        (running, count(Stream::is_active) - running)
    }
}

/// An engine's error about itself.
pub(crate) fn refusal(code: EngineErrorCode) -> EngineError {
    EngineError { code, stage: None }
}
