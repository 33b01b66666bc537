//! Engines joined by simulated links, in simulated time.

use std::sync::Arc;

use fescueshore::ids::{EndpointId, Incarnation, StreamId};
use fescueshore::wire::WIRE_VERSION;
use fescueshore::wire::engine::{EngineErrorCode, LayerRange, OpenStream, Stage, StreamEvent};
use indexmap::IndexMap;

use crate::engine::core::{Core, Output};
use crate::engine::counters::EngineCounters;
use crate::engine::fleet::Fleet;
use crate::engine::frames::{Envelope, Frame};
use crate::topology::{EngineNode, PlatformNodes, Topology};

/// Layers of the rig's model.
pub(super) const LAYERS: u16 = 12;

/// Engines by name, and the frames on their way.
pub(super) struct Rig {
    pub(super) cores: IndexMap<EndpointId, Core>,
    pub(super) now_us: u64,
    pub(super) events: Vec<(StreamId, StreamEvent)>,
    on_the_way: Vec<(EndpointId, EndpointId, Envelope)>,
    fleet: Fleet,
}

fn node(port: u16, name: &str, layers: LayerRange) -> EngineNode {
    EngineNode {
        name: name.into(),
        service: "menu-mind".into(),
        zone: "Lac".into(),
        address: ([127, 0, 0, 1], port).into(),
        link_address: ([127, 0, 0, 1], port + 1000).into(),
        accelerator: "gpu".into(),
        model: "m".into(),
        version: "1".into(),
        adapters: vec!["a".into()],
        layers,
        layer_tokens_per_s: 4000.0,
        batch_limit: 2,
        queue_limit: 2,
        kv_capacity_tokens: 100_000,
        activation_bytes: 1000,
        checks_fence: true,
    }
}

pub(super) fn range(first: u16, end: u16) -> LayerRange {
    LayerRange { first, end }
}

impl Rig {
    /// Three engines over 12 layers, and a second one for the middle, `spare`.
    pub(super) fn new() -> Self {
        let address = ([127, 0, 0, 1], 1).into();
        let topology = Topology {
            platform: PlatformNodes {
                table: address,
                objects: address,
                instances: address,
                weights: address,
            },
            entries: Vec::new(),
            engines: vec![
                node(1, "front", range(0, 4)),
                node(2, "middle", range(4, 8)),
                node(3, "back", range(8, LAYERS)),
                node(4, "spare", range(3, 9)),
            ],
            applications: Vec::new(),
            links: Vec::new(),
        };
        let mut rig = Self {
            cores: IndexMap::new(),
            now_us: 1_000_000,
            events: Vec::new(),
            on_the_way: Vec::new(),
            fleet: Fleet::new(topology),
        };
        for name in ["front", "middle", "back", "spare"] {
            rig.revive(name);
        }
        rig
    }

    /// Begins a lifetime of an engine, with nothing left of the one before.
    pub(super) fn revive(&mut self, name: &str) {
        let nodes = &self.fleet.topology.engines;
        let node = nodes.iter().find(|node| node.name.as_str() == name);
        let node = node.expect("an engine of the rig");
        let core = Core::new(
            node,
            Incarnation::generate(&mut rand::rng()),
            self.fleet.peers_of(node),
            self.fleet.model_layers(),
            Arc::clone(&self.fleet.ledger),
            EngineCounters::default(),
        );
        self.cores.insert(name.into(), core);
    }

    /// Ends an engine's lifetime; the others see their links break.
    pub(super) fn kill(&mut self, name: &str) {
        self.cores.swap_remove(&EndpointId::from(name));
        let names: Vec<EndpointId> = self.cores.keys().cloned().collect();
        for other in names {
            self.with(other.as_str(), |core, now_us| {
                core.peer_lost(&name.into(), now_us)
            });
        }
    }

    pub(super) fn with<F, R>(&mut self, name: &str, f: F) -> R
    where
        F: FnOnce(&mut Core, u64) -> R,
    {
        let now_us = self.now_us;
        let core = &mut self.cores[&EndpointId::from(name)];
        let result = f(core, now_us);
        for output in core.take_outputs() {
            match output {
                Output::Send { to, envelope } => {
                    self.on_the_way.push((name.into(), to, envelope));
                }
                Output::Event { stream, event, .. } => self.events.push((stream, event)),
                Output::Load { .. } => {}
            }
        }
        result
    }

    /// Delivers a frame right now.
    pub(super) fn deliver(&mut self, from: &str, to: &str, frame: Frame) {
        self.with(to, |core, now_us| core.receive(&from.into(), frame, now_us));
    }

    /// Runs until `done` holds, for at most a minute of simulated time.
    pub(super) fn run_until<F>(&mut self, done: F)
    where
        F: Fn(&Self) -> bool,
    {
        let limit_us = self.now_us + 60_000_000;
        while !done(self) {
            assert!(
                self.now_us < limit_us,
                "nothing more happens: {:?}",
                self.events.last()
            );
            self.step();
        }
    }

    fn step(&mut self) {
        let wakes = self.cores.values().map(Core::next_wake_us);
        let arrivals = self.on_the_way.iter().map(|(.., envelope)| envelope.due_us);
        let next_us = wakes.chain(arrivals).min().unwrap_or(self.now_us);
        self.now_us = next_us.max(self.now_us);
        let now_us = self.now_us;
        let due =
            |(.., envelope): &mut (EndpointId, EndpointId, Envelope)| envelope.due_us <= now_us;
        let due: Vec<_> = self.on_the_way.extract_if(.., due).collect();
        for (from, to, envelope) in due {
            if self.cores.contains_key(&to) {
                self.deliver(from.as_str(), to.as_str(), envelope.frame);
            }
        }
        let names: Vec<EndpointId> = self.cores.keys().cloned().collect();
        for name in names {
            self.with(name.as_str(), |core, now_us| core.advance(now_us));
        }
    }

    /// Stages of a chain by engine, each over the layers of the rig's plan.
    pub(super) fn chain(&self, names: &[&str]) -> Vec<Stage> {
        let engines = &self.fleet.topology.engines;
        let stage = |name: &&str| {
            let node = engines.iter().find(|node| node.name.as_str() == *name);
            let node = node.expect("an engine of the rig");
            Stage {
                endpoint: node.name.clone(),
                address: node.address,
                layers: match *name {
                    "spare" => range(4, 8),
                    _ => node.layers,
                },
                recompute: true,
                import_from: None,
            }
        };
        names.iter().map(stage).collect()
    }

    /// A stream over front, middle and back.
    pub(super) fn open_stream(&self, max_tokens: u32) -> OpenStream {
        OpenStream {
            wire_version: WIRE_VERSION,
            stream: StreamId::generate(&mut rand::rng()),
            epoch: 0,
            request: "r".into(),
            model: "m".into(),
            version: "1".into(),
            adapter: None,
            chain: self.chain(&["front", "middle", "back"]),
            prompt: "what does the couscous cost".into(),
            generated: Vec::new(),
            max_tokens,
            priority: 1,
        }
    }

    pub(super) fn open(&mut self, open: &OpenStream) -> Result<(), EngineErrorCode> {
        let opened = self.with("front", |core, now_us| core.open(open.clone(), now_us));
        opened.map_err(|error| error.code)
    }

    /// Texts reported for a stream, in order of report.
    pub(super) fn tokens(&self, id: StreamId) -> Vec<String> {
        let token = |(stream, event): &(StreamId, StreamEvent)| match event {
            StreamEvent::Token { text, .. } if *stream == id => Some(text.clone()),
            _ => None,
        };
        self.events.iter().filter_map(token).collect()
    }

    /// Whether a stream is whole.
    pub(super) fn has_ended(&self, id: StreamId) -> bool {
        let is_end = |event: &StreamEvent| matches!(event, StreamEvent::End { .. });
        self.events
            .iter()
            .any(|(stream, event)| *stream == id && is_end(event))
    }

    /// Why a stream failed, and where.
    pub(super) fn failure(&self, id: StreamId) -> Option<(EngineErrorCode, EndpointId)> {
        self.events.iter().find_map(|(stream, event)| match event {
            StreamEvent::Failed { cause, stage, .. } if *stream == id => {
                Some((*cause, stage.clone()?))
            }
            _ => None,
        })
    }

    pub(super) fn core(&self, name: &str) -> &Core {
        &self.cores[&EndpointId::from(name)]
    }

    pub(super) fn counters(&self, name: &str) -> &EngineCounters {
        &self.core(name).counters
    }

    pub(super) fn layer_faults(&self) -> u64 {
        self.cores
            .values()
            .map(|core| core.counters.layer_faults)
            .sum()
    }
}
