//! Discrete-event simulation of engines in chains, driven through the router's public API.
//!
//! Engines process steps in order at their rate, and a step takes at least a part of the time of a
//! full batch. A stream holds a slot on each of its engines from start to end, and waits if none is
//! free; an engine has slots for several batches. Links have delay and bandwidth, and reported load
//! lags behind.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::document::{Document, ModelOffer, ServiceKind};
use crate::ids::{EndpointId, Incarnation, ServiceName, StreamId, ZoneName};
use crate::routing::{NoRoute, Policy, PollKind, RouteRequest, Router};
use crate::wire::engine::{EngineState, LayerRange, LinkState, Stage};
use crate::wire::local::EndpointRecord;
use crate::wire::platform::{InstancePhase, InstanceRole};

/// Slots of an engine, as a multiple of its batch limit.
const SLOT_BATCHES: u32 = 4;

/// A kind of engine, and the number of replicas of each range.
#[derive(Clone, Debug)]
pub(super) struct Kind {
    pub(super) name: &'static str,
    pub(super) zone: &'static str,
    pub(super) ranges: Vec<(u16, u16)>,
    pub(super) replicas: usize,
    pub(super) layer_tokens_per_s: f64,
    pub(super) batch_limit: u32,
}

/// Returns the delay and bandwidth from one kind to another.
pub(super) type Links = fn(&Kind, &Kind) -> LinkState;

#[derive(Clone, Debug)]
pub(super) struct Spec {
    pub(super) kinds: Vec<Kind>,
    pub(super) links: Links,
    pub(super) layers: u16,
    pub(super) activation_bytes: u32,
    pub(super) entries: usize,
    /// Entries that receive requests.
    pub(super) busy_entries: usize,
    pub(super) prompt_tokens: u32,
    /// Number of different prompts; engines cache the start of each.
    pub(super) prompts: u32,
    pub(super) answer_tokens: std::ops::Range<u32>,
}

#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) tokens_per_s: f64,
    pub(super) bound: f64,
    gap_ms: f64,
    /// Mean time from dispatch to the first token.
    first_ms: f64,
    /// Fraction of stage starts that found no free slot.
    waited: f64,
    /// Layers × tokens per second that each kind of engine ran.
    rate_by_kind: IndexMap<&'static str, f64>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            tokens_per_s,
            bound,
            gap_ms,
            first_ms,
            waited,
            rate_by_kind,
        } = self;
        write!(
            f,
            "to_bound {:.3} tokens_per_s {tokens_per_s:.0} bound {bound:.0} gap_ms {gap_ms:.1} \
             first_ms {first_ms:.1} waited {waited:.3} rates {rate_by_kind:.0?}",
            self.to_bound(),
        )
    }
}

impl Outcome {
    pub(super) fn to_bound(&self) -> f64 {
        self.tokens_per_s / self.bound
    }
}

pub(super) fn service() -> ServiceName {
    ServiceName::from("menu-mind")
}

pub(super) fn model(layers: u16, activation_bytes: u32) -> ModelOffer {
    ModelOffer {
        name: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        layers,
        activation_bytes,
    }
}

pub(super) fn documents(model: &ModelOffer) -> IndexMap<ServiceName, Document> {
    let document = Document {
        service: service(),
        kind: ServiceKind::Model(IndexMap::from([(model.name.clone(), model.clone())])),
        accounts: IndexMap::new(),
        operators: IndexMap::new(),
        non_idempotent: Vec::new(),
        leaving: Vec::new(),
        engines_check_fence: false,
    };
    IndexMap::from([(service(), document)])
}

#[derive(Debug)]
struct Engine {
    record: EndpointRecord,
    kind: Kind,
    state: EngineState,
    free_at_us: f64,
    running: IndexSet<usize>,
    waiting: VecDeque<(usize, usize)>,
    cached: IndexSet<u32>,
}

/// A newly planned stream.
#[derive(Clone, Debug)]
pub(super) struct Planned {
    pub(super) stream: StreamId,
    prompt: u32,
    chain: Vec<Stage>,
}

#[derive(Debug)]
struct Stream {
    id: StreamId,
    entry: usize,
    stages: Vec<(usize, u16)>,
    started: Vec<bool>,
    prompt: u32,
    tokens_left: u32,
    last_us: u64,
    first: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { stream: usize, stage: usize },
    Finish { stream: usize, stage: usize },
    Token { stream: usize },
    Report,
    Tick { entry: usize },
    StateRead { entry: usize, engine: usize },
}

pub(super) struct Fleet<P>
where
    P: Policy,
{
    spec: Spec,
    model: ModelOffer,
    engines: IndexMap<EndpointId, Engine>,
    shapers: IndexMap<(usize, usize), u64>,
    pub(super) routers: Vec<Router<P>>,
    streams: Vec<Stream>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    now_us: u64,
    rng: SmallRng,
    counted_from_us: u64,
    tokens: u64,
    gaps: (u64, u64),
    firsts: (u64, u64),
    stage_starts: (u64, u64),
    kinds: IndexMap<&'static str, f64>,
}

const ENTRY_LINK_US: u64 = 1_000;

impl<P> Fleet<P>
where
    P: Policy + Clone,
{
    pub(super) fn new(spec: Spec, policy: P, seed: u64) -> Self {
        let model = model(spec.layers, spec.activation_bytes);
        let mut rng = SmallRng::seed_from_u64(seed);
        let engines = build_engines(&spec, &mut rng);
        let records: Vec<EndpointRecord> = engines.values().map(|e| e.record.clone()).collect();
        let routers = (0..spec.entries)
            .map(|rank| {
                let zone = ZoneName::from("z1");
                let mut router = Router::new(policy.clone(), zone, seed * 100 + rank as u64);
                router.set_documents(&documents(&model));
                router.set_entry_rank(rank, spec.entries);
                router.set_endpoints(&records, 0);
                for (id, engine) in &engines {
                    router.set_engine_state(id, Some(&engine.state), 0);
                }
                router
            })
            .collect();
        Self {
            spec,
            model,
            engines,
            shapers: IndexMap::new(),
            routers,
            streams: Vec::new(),
            events: BinaryHeap::new(),
            number: 0,
            now_us: 0,
            rng,
            counted_from_us: 0,
            tokens: 0,
            gaps: (0, 0),
            firsts: (0, 0),
            stage_starts: (0, 0),
            kinds: IndexMap::new(),
        }
    }

    /// Runs with requests always waiting; counting starts after `warm_up_s`.
    pub(super) fn run(&mut self, warm_up_s: u64, counted_s: u64) -> Outcome {
        self.counted_from_us = warm_up_s * 1_000_000;
        let end_us = (warm_up_s + counted_s) * 1_000_000;
        self.push(250_000, Event::Report);
        for entry in 0..self.spec.entries {
            self.push(1_000 + 2_700 * entry as u64, Event::Tick { entry });
        }
        while let Some(Reverse((at_us, _, event))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            self.handle(event);
        }
        let ratio = |(sum, count): (u64, u64)| sum as f64 / count.max(1) as f64;
        let seconds = counted_s as f64;
        Outcome {
            tokens_per_s: self.tokens as f64 / seconds,
            bound: self.routers[0].capacity_tokens_per_s(&service()),
            gap_ms: ratio(self.gaps) / 1e3,
            first_ms: ratio(self.firsts) / 1e3,
            waited: ratio(self.stage_starts),
            rate_by_kind: self.kinds.iter().map(|(k, t)| (*k, t / seconds)).collect(),
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at_us, self.number, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { stream, stage } => self.arrive(stream, stage),
            Event::Finish { stream, stage } => self.finish(stream, stage),
            Event::Token { stream } => self.token(stream),
            Event::Report => self.report(),
            Event::Tick { entry } => self.tick(entry),
            Event::StateRead { entry, engine } => {
                let (id, known) = self.engines.get_index(engine).expect("engine");
                let now_ms = self.now_us / 1000;
                self.routers[entry].set_engine_state(id, Some(&known.state), now_ms);
            }
        }
    }

    fn arrive(&mut self, stream: usize, stage: usize) {
        let (engine, _) = self.streams[stream].stages[stage];
        if self.streams[stream].started[stage] {
            return self.run_step(stream, stage, 0);
        }
        self.streams[stream].started[stage] = true;
        self.stage_starts.1 += 1;
        let limit = (self.engines[engine].kind.batch_limit * SLOT_BATCHES) as usize;
        if self.engines[engine].running.len() < limit {
            self.start(stream, stage);
        } else {
            self.stage_starts.0 += 1;
            self.engines[engine].waiting.push_back((stream, stage));
        }
    }

    fn start(&mut self, stream: usize, stage: usize) {
        let (engine, _) = self.streams[stream].stages[stage];
        let prompt = self.streams[stream].prompt;
        let engine = &mut self.engines[engine];
        engine.running.insert(stream);
        let hit = engine.cached.shift_remove(&prompt);
        engine.cached.insert(prompt);
        if engine.cached.len() > 64 {
            engine.cached.shift_remove_index(0);
        }
        let prefill = if hit { 0 } else { self.spec.prompt_tokens };
        self.run_step(stream, stage, prefill);
    }

    fn run_step(&mut self, stream: usize, stage: usize, prefill: u32) {
        let (engine, layers) = self.streams[stream].stages[stage];
        let now_us = self.now_us as f64;
        let engine = &mut self.engines[engine];
        let layer_us = 1e6 / engine.kind.layer_tokens_per_s * f64::from(layers);
        let start_us = engine.free_at_us.max(now_us);
        engine.free_at_us = start_us + (f64::from(prefill) * 0.125 + 1.0) * layer_us;
        let shortest_us = start_us + f64::from(engine.kind.batch_limit) / 2.0 * layer_us;
        let at_us = engine.free_at_us.max(shortest_us) as u64;
        self.push(at_us, Event::Finish { stream, stage });
    }

    fn finish(&mut self, stream: usize, stage: usize) {
        let stages = &self.streams[stream].stages;
        let (engine, layers) = stages[stage];
        let next = (stage + 1) % stages.len();
        let (to, _) = stages[next];
        if self.now_us >= self.counted_from_us {
            let kind = self.engines[engine].kind.name;
            *self.kinds.entry(kind).or_default() += f64::from(layers);
        }
        if next != 0 {
            let at_us = self.sent(engine, to, self.spec.activation_bytes);
            return self.push(
                at_us,
                Event::Arrive {
                    stream,
                    stage: next,
                },
            );
        }
        let at_us = if to == engine {
            self.now_us
        } else {
            self.sent(engine, to, 16)
        };
        self.push(at_us + ENTRY_LINK_US, Event::Token { stream });
        self.streams[stream].tokens_left -= 1;
        if self.streams[stream].tokens_left == 0 {
            self.close(stream);
        } else {
            self.push(at_us, Event::Arrive { stream, stage: 0 });
        }
    }

    fn sent(&mut self, from: usize, to: usize, bytes: u32) -> u64 {
        let link = (self.spec.links)(&self.engines[from].kind, &self.engines[to].kind);
        let free_at_us = self.shapers.entry((from, to)).or_insert(0);
        let transfer_us = u64::from(bytes) * 1_000_000 / link.bandwidth_bytes_per_s;
        *free_at_us = (*free_at_us).max(self.now_us) + transfer_us;
        *free_at_us + link.delay_us
    }

    fn close(&mut self, stream: usize) {
        for (engine, _) in self.streams[stream].stages.clone() {
            self.engines[engine].running.swap_remove(&stream);
            if let Some((next, stage)) = self.engines[engine].waiting.pop_front() {
                self.start(next, stage);
            }
        }
    }

    fn token(&mut self, stream: usize) {
        let now_ms = self.now_us / 1000;
        let known = &mut self.streams[stream];
        let gap_us = self.now_us - known.last_us;
        let first = std::mem::replace(&mut known.first, false);
        known.last_us = self.now_us;
        let (id, entry) = (known.id, known.entry);
        let ended = known.tokens_left == 0;
        if self.now_us >= self.counted_from_us {
            self.tokens += 1;
            let sums = if first {
                &mut self.firsts
            } else {
                &mut self.gaps
            };
            *sums = (sums.0 + gap_us, sums.1 + 1);
        }
        self.routers[entry].observe_token(id, gap_us / 1000, now_ms);
        if ended {
            self.routers[entry].release(id, now_ms);
            self.dispatch(entry);
        }
    }

    fn report(&mut self) {
        for engine in self.engines.values_mut() {
            engine.state.running = engine.running.len() as u32;
            engine.state.waiting = engine.waiting.len() as u32;
        }
        self.push(self.now_us + 250_000, Event::Report);
    }

    fn tick(&mut self, entry: usize) {
        for poll in self.routers[entry].due_polls(self.now_us / 1000) {
            let engine = self.engines.get_index_of(&poll.endpoint).expect("engine");
            if poll.kind == PollKind::State {
                self.push(self.now_us + 2_000, Event::StateRead { entry, engine });
            }
        }
        self.dispatch(entry);
        self.push(self.now_us + 20_000, Event::Tick { entry });
    }

    fn dispatch(&mut self, entry: usize) {
        if entry >= self.spec.busy_entries {
            return;
        }
        while self.dispatch_one(entry) {}
    }

    /// Plans a new stream at an entry.
    pub(super) fn plan(&mut self, entry: usize, now_ms: u64) -> Result<Planned, NoRoute> {
        let stream = StreamId::generate(&mut self.rng);
        let prompt = self.rng.random_range(0..self.spec.prompts);
        let text = format!("p{prompt} ").repeat(self.spec.prompt_tokens as usize);
        let ask = RouteRequest {
            stream,
            service: &service(),
            model: &self.model,
            adapter: None,
            prompt: &text,
            previous: &[],
            exclude: &[],
        };
        let chain = self.routers[entry].plan(&ask, now_ms)?;
        Ok(Planned {
            stream,
            prompt,
            chain,
        })
    }

    fn dispatch_one(&mut self, entry: usize) -> bool {
        let Ok(planned) = self.plan(entry, self.now_us / 1000) else {
            return false;
        };
        let index = |stage: &Stage| {
            let engine = self.engines.get_index_of(&stage.endpoint).expect("engine");
            (engine, stage.layers.len())
        };
        let stages: Vec<(usize, u16)> = planned.chain.iter().map(index).collect();
        let answer_tokens = self.rng.random_range(self.spec.answer_tokens.clone());
        self.streams.push(Stream {
            id: planned.stream,
            entry,
            started: vec![false; stages.len()],
            stages,
            prompt: planned.prompt,
            tokens_left: answer_tokens,
            last_us: self.now_us,
            first: true,
        });
        let stream = self.streams.len() - 1;
        self.push(
            self.now_us + ENTRY_LINK_US,
            Event::Arrive { stream, stage: 0 },
        );
        true
    }
}

fn build_engines(spec: &Spec, rng: &mut SmallRng) -> IndexMap<EndpointId, Engine> {
    let mut engines = IndexMap::new();
    for kind in &spec.kinds {
        for (first, end) in &kind.ranges {
            for replica in 0..kind.replicas {
                let id = EndpointId::from(format!("{}-{first}-{replica}", kind.name));
                let layers = LayerRange {
                    first: *first,
                    end: *end,
                };
                let record = record(&id, kind, engines.len());
                let engine = Engine {
                    state: state(&id, kind, layers, Incarnation::generate(rng)),
                    record,
                    kind: kind.clone(),
                    free_at_us: 0.0,
                    running: IndexSet::new(),
                    waiting: VecDeque::new(),
                    cached: IndexSet::new(),
                };
                engines.insert(id, engine);
            }
        }
    }
    let others: Vec<(EndpointId, Kind)> = engines
        .iter()
        .map(|(id, e): (&EndpointId, &Engine)| (id.clone(), e.kind.clone()))
        .collect();
    for (id, engine) in &mut engines {
        for (other, kind) in &others {
            if other != id {
                let link = (spec.links)(&engine.kind, kind);
                engine.state.links.insert(other.clone(), link);
            }
        }
    }
    engines
}

pub(super) fn record(id: &EndpointId, kind: &Kind, number: usize) -> EndpointRecord {
    EndpointRecord {
        endpoint: id.clone(),
        role: InstanceRole::Engine,
        service: service(),
        zone: ZoneName::from(kind.zone),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16)),
        phase: InstancePhase::Live,
    }
}

pub(super) fn state(
    id: &EndpointId,
    kind: &Kind,
    layers: LayerRange,
    incarnation: Incarnation,
) -> EngineState {
    EngineState {
        endpoint: id.clone(),
        incarnation,
        accelerator: kind.name.into(),
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        layers,
        fence: 0,
        draining: false,
        layer_tokens_per_s: kind.layer_tokens_per_s,
        batch_limit: kind.batch_limit,
        stream_limit: kind.batch_limit * SLOT_BATCHES,
        running: 0,
        waiting: 0,
        load_age_ms: 0,
        links: IndexMap::new(),
    }
}
