//! How the choices of many instances add up that know one another's load only from heartbeats.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::tests::{fleet, listed, model, range};
use super::*;
use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::route_table::{AcceleratorKind, EngineModel};
use crate::wire::engine::LayerRange;

const INSTANCES: usize = 70;
/// Tokens of each stream: a prompt of about 770 tokens and its answer.
const TOKENS: u64 = 900;
/// Layers of the stage that the engines compete for.
const STAGE: LayerRange = LayerRange { first: 7, end: 14 };

/// Accelerators with 3 and 15 times the step and reading time of the fast ones.
fn uneven_model() -> EngineModel {
    let kind = |factor: f64, memory_mb| AcceleratorKind {
        memory_mb,
        step_factor: factor,
        read_factor: factor,
    };
    EngineModel {
        kinds: IndexMap::from([
            ("fast".to_owned(), kind(1.0, 14_400.0)),
            ("small".to_owned(), kind(3.0, 14_400.0)),
            ("slow".to_owned(), kind(15.0, 14_400.0)),
        ]),
        ..model()
    }
}

fn engine(id: &str, kind: &str, layers: LayerRange) -> ListedEndpoint {
    ListedEndpoint {
        kind: Some(kind.to_owned()),
        slots: 600,
        ..listed(id, "lac", Some(layers))
    }
}

/// Instances of one zone, each with its own view of the engines, and the real load of these.
struct Zone {
    model: EngineModel,
    views: Vec<Fleet>,
    held: IndexMap<EndpointId, u64>,
    random: SmallRng,
    is_drawn: bool,
}

impl Zone {
    /// `load` is the engines' load that all instances know from heartbeats.
    fn new(
        entries: Vec<ListedEndpoint>,
        load: IndexMap<EndpointId, EngineLoad>,
        is_drawn: bool,
        seed: u64,
    ) -> Self {
        let mut view = fleet(entries);
        view.set_peers_load(&load);
        Self {
            model: uneven_model(),
            views: vec![view; INSTANCES],
            held: load
                .into_iter()
                .map(|(id, load)| (id, load.token_layers))
                .collect(),
            random: SmallRng::seed_from_u64(seed),
            is_drawn,
        }
    }

    /// Has one instance choose with `choose`, and puts the stream's load on the chosen engines.
    fn choose<C>(&mut self, instance: usize, choose: C) -> Chain
    where
        C: FnOnce(&Fleet, ChainRequest<'_>) -> Option<Chain>,
    {
        let draw: u64 = self.random.random();
        let view = &mut self.views[instance];
        let request = ChainRequest {
            service: &ServiceName::from("menu-mind"),
            model: &self.model,
            own_zone: &ZoneName::from("lac"),
            tokens: TOKENS,
            excluded: &IndexSet::new(),
            first_among: None,
            first: None,
            draw: self.is_drawn.then_some(draw),
        };
        choose(view, request).expect("all layers are held")
    }

    fn add(&mut self, instance: usize, stages: &[ChainStage]) {
        for stage in stages {
            let amount = TOKENS * u64::from(stage.layers.len());
            let known = self.views[instance].get_mut(&stage.endpoint);
            known.expect("listed").held_token_layers += amount;
            *self.held.entry(stage.endpoint.clone()).or_default() += amount;
        }
    }

    fn remove(&mut self, instance: usize, stages: &[ChainStage]) {
        for stage in stages {
            let amount = TOKENS * u64::from(stage.layers.len());
            let known = self.views[instance].get_mut(&stage.endpoint);
            known.expect("listed").held_token_layers -= amount;
            self.held[&stage.endpoint] -= amount;
        }
    }

    fn room(&self, known: &KnownEndpoint) -> f64 {
        let kind = &self.model.kinds[known.listed.kind.as_deref().expect("an engine")];
        let layers = known.listed.layers.expect("it holds some").len();
        let free_mb = kind.memory_mb - f64::from(layers) * self.model.layer_mb;
        free_mb * 1e6 * f64::from(self.model.layers) / self.model.token_kv_bytes
    }

    /// Tokens times layers that were sent to engines beyond their memory.
    fn beyond_memory(&self) -> f64 {
        let beyond = |known: &KnownEndpoint| {
            let held = self.held.get(known.id()).copied().unwrap_or_default();
            (held as f64 - self.room(known)).max(0.0)
        };
        self.views[0].iter().map(beyond).sum()
    }
}

fn token_layers(token_layers: u64) -> EngineLoad {
    EngineLoad {
        token_layers,
        ..EngineLoad::default()
    }
}

/// Outcome of a burst of replacements.
#[derive(Debug)]
struct Burst {
    /// Tokens times layers sent to engines beyond their memory, as a fraction of all that was sent.
    beyond_memory: f64,
    /// Longest time that one engine needs to read what it got.
    longest_reading_ms: f64,
    /// Streams that were sent to each kind of engine.
    streams: IndexMap<String, u32>,
}

/// Three engines are lost that run the same stage of 300 streams. Within 100 ms their instances
/// choose replacements, before any heartbeat tells of the others' choices.
fn replace_300_stages(is_drawn: bool, seed: u64) -> Burst {
    const LOST: [&str; 3] = ["lost-0", "lost-1", "lost-2"];
    const STREAMS: u32 = 300;
    let mut entries = vec![
        engine("first", "fast", range(0, STAGE.first)),
        engine("last", "fast", range(STAGE.end, 20)),
    ];
    entries.extend(LOST.map(|id| engine(id, "fast", STAGE)));
    let mut random = SmallRng::seed_from_u64(seed);
    let mut load = IndexMap::new();
    for (kind, count) in [("fast", 2), ("small", 10), ("slow", 8)] {
        for index in 0..count {
            let id = format!("{kind}-{index}");
            entries.push(engine(&id, kind, STAGE));
            let held = random.random_range(200_000..500_000);
            load.insert(EndpointId::from(id), token_layers(held));
        }
    }
    let per_stream = TOKENS * u64::from(STAGE.len());
    for id in LOST {
        let share = u64::from(STREAMS) / LOST.len() as u64;
        load.insert(EndpointId::from(id), token_layers(share * per_stream));
    }
    let mut zone = Zone::new(entries, load, is_drawn, seed);
    for view in &mut zone.views {
        for id in LOST {
            view.record_failure(&EndpointId::from(id), EndpointFailure::Unreachable, 0);
        }
    }
    let before = zone.held.clone();
    let mut streams = IndexMap::new();
    for stream in 0..STREAMS {
        let lost = EndpointId::from(LOST[stream as usize % LOST.len()]);
        let instance = random.random_range(0..INSTANCES);
        let view = &zone.views[instance];
        let stages = ["first", lost.as_str(), "last"].map(|id| {
            let known = view.get(&EndpointId::from(id));
            known.and_then(KnownEndpoint::stage).expect("listed")
        });
        let chain = Chain::checked(stages.to_vec(), 20).expect("it covers all layers");
        let replaced = zone.choose(instance, |view, request| {
            replace_stage(view, request, &chain, &lost, Zones::OfFirst, 0)
        });
        let stage = &replaced.stages()[1..replaced.stages().len() - 1];
        zone.add(instance, stage);
        let kind = stage[0].endpoint.as_str().split('-').next();
        *streams.entry(kind.expect("a name").to_owned()).or_default() += 1;
    }
    let reading_ms = |known: &KnownEndpoint| {
        let kind = &zone.model.kinds[known.listed.kind.as_deref().expect("an engine")];
        let held = |loads: &IndexMap<EndpointId, u64>| loads.get(known.id()).copied();
        let added = held(&zone.held).unwrap_or(0) - held(&before).unwrap_or(0);
        let tokens = added as f64 / f64::from(zone.model.layers);
        tokens * kind.read_factor * 1_000.0 / zone.model.read_tokens_per_s
    };
    let sent = f64::from(STREAMS) * per_stream as f64;
    Burst {
        beyond_memory: zone.beyond_memory() / sent,
        longest_reading_ms: zone.views[0].iter().map(reading_ms).fold(0.0, f64::max),
        streams,
    }
}

/// Guards against hundreds of streams moving to the same engines when a stage is lost: in a run with 826
/// orders, engines refused 340 for lack of memory or layers while each instance took the cheapest.
#[test]
fn replacements_fit_in_memory_although_instances_do_not_know_of_one_another() {
    const SEEDS: u64 = 10;
    let mut beyond_by_cheapest = 0.0;
    for seed in 0..SEEDS {
        let cheapest = replace_300_stages(false, seed);
        let drawn = replace_300_stages(true, seed);
        beyond_by_cheapest += cheapest.beyond_memory / SEEDS as f64;
        assert!(drawn.beyond_memory < 0.01, "seed {seed}: {drawn:?}");
        let (reading_ms, before_ms) = (drawn.longest_reading_ms, cheapest.longest_reading_ms);
        assert!(
            reading_ms < 0.7 * before_ms,
            "seed {seed}: {cheapest:?} {drawn:?}"
        );
        assert!(
            !drawn.streams.contains_key("slow"),
            "seed {seed}: {drawn:?}"
        );
    }
    assert!(beyond_by_cheapest > 0.2, "{beyond_by_cheapest}");
}

/// Running streams of a zone, and what instances have told one another.
struct RunningZone {
    zone: Zone,
    /// When each stream ends, its instance and its chain.
    running: VecDeque<(u64, usize, Chain)>,
    /// The engines' load at the steps of the last heartbeat interval.
    history: VecDeque<IndexMap<EndpointId, u64>>,
}

const STEP_MS: u64 = 10;
const STEPS_PER_HEARTBEAT: u64 = 25;

impl RunningZone {
    fn new(is_drawn: bool, seed: u64) -> Self {
        let mut entries = Vec::new();
        let parts = [range(0, STAGE.first), STAGE, range(STAGE.end, 20)];
        for (part, layers) in parts.into_iter().enumerate() {
            for (kind, count) in [("fast", 2), ("small", 6), ("slow", 4)] {
                let ids = (0..count).map(|index| format!("{kind}-{part}-{index}"));
                entries.extend(ids.map(|id| engine(&id, kind, layers)));
            }
        }
        Self {
            zone: Zone::new(entries, IndexMap::new(), is_drawn, seed),
            running: VecDeque::new(),
            history: VecDeque::new(),
        }
    }

    fn end_streams(&mut self, now_ms: u64) {
        while self.running.front().is_some_and(|it| it.0 <= now_ms) {
            let (_, instance, chain) = self.running.pop_front().expect("not empty");
            self.zone.remove(instance, chain.stages());
        }
    }

    /// Tells the instances whose heartbeats are due the load of 250 ms ago.
    fn tell_loads(&mut self, step: u64) {
        self.history.push_back(self.zone.held.clone());
        if self.history.len() as u64 > STEPS_PER_HEARTBEAT {
            self.history.pop_front();
        }
        for (instance, view) in (0..).zip(&mut self.zone.views) {
            if !(step + instance).is_multiple_of(STEPS_PER_HEARTBEAT) {
                continue;
            }
            let others = self.history[0].iter().map(|(id, held)| {
                let own = view.get(id).map_or(0, |known| known.held_token_layers);
                (id.clone(), token_layers(held.saturating_sub(own)))
            });
            let others = others.collect();
            view.set_peers_load(&others);
        }
    }
}

/// Starts streams at a constant rate that run for a second. Returns which part of the load was at
/// engines beyond their memory.
fn start_streams(is_drawn: bool, seed: u64) -> f64 {
    const RUN_MS: u64 = 1_000;
    const STEPS: u64 = 250;
    const STREAMS_PER_STEP: u32 = 8;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut it = RunningZone::new(is_drawn, seed);
    let (mut beyond, mut total) = (0.0, 0.0);
    for step in 0..STEPS {
        let now_ms = step * STEP_MS;
        it.end_streams(now_ms);
        it.tell_loads(step);
        for _ in 0..STREAMS_PER_STEP {
            let instance = random.random_range(0..INSTANCES);
            let plan = |view: &Fleet, request: ChainRequest<'_>| plan_chain(view, request, 0);
            let chain = it.zone.choose(instance, plan);
            it.zone.add(instance, chain.stages());
            it.running.push_back((now_ms + RUN_MS, instance, chain));
        }
        beyond += it.zone.beyond_memory();
        total += it.zone.held.values().sum::<u64>() as f64;
    }
    beyond / total
}

/// Guards against new streams of many instances filling the engine that was the cheapest 250 ms ago.
#[test]
fn less_is_sent_to_engines_beyond_their_memory_if_nearly_equal_chains_are_drawn() {
    for seed in 0..2 {
        let cheapest = start_streams(false, seed);
        let drawn = start_streams(true, seed);
        assert!(drawn < 0.8 * cheapest, "seed {seed}: {drawn} of {cheapest}");
    }
}

fn first_engine(view: &Fleet, draw: u64) -> String {
    let mut zone = Zone::new(Vec::new(), IndexMap::new(), true, 0);
    zone.views = vec![view.clone()];
    let chain = zone.choose(0, |view, request| {
        let request = ChainRequest {
            draw: Some(draw),
            ..request
        };
        plan_chain(view, request, 0)
    });
    chain.first().endpoint.to_string()
}

#[test]
fn equal_engines_get_equal_parts_and_a_much_slower_one_gets_nothing() {
    const DRAWS: u64 = 400;
    let mut view = fleet(vec![
        engine("a", "fast", range(0, 10)),
        engine("b", "fast", range(0, 10)),
        engine("slow", "small", range(0, 10)),
        engine("rest", "fast", range(10, 20)),
    ]);
    let taken = |view: &Fleet, id: &str| {
        let firsts = (0..DRAWS).map(|draw| first_engine(view, draw));
        firsts.filter(|first| first == id).count()
    };
    let (a, b) = (taken(&view, "a"), taken(&view, "b"));
    assert_eq!(a + b, DRAWS as usize, "none for the slow one");
    assert!(a.min(b) > DRAWS as usize * 2 / 5, "{a} and {b}");
    // At a fifth of the memory it costs a tenth more, at half of it several times as much.
    let id = EndpointId::from("b");
    view.get_mut(&id).expect("listed").held_token_layers = 80_000;
    let b = taken(&view, "b");
    assert!(b > 0 && b < DRAWS as usize * 2 / 5, "{b}");
    view.get_mut(&id).expect("listed").held_token_layers = 400_000;
    assert_eq!(taken(&view, "b"), 0);
}

#[test]
fn a_replacement_goes_to_the_cheapest_engine_if_none_has_memory() {
    let held = token_layers(2_000_000);
    let ids = ["a", "b"].map(EndpointId::from);
    let entries = vec![
        engine("first", "fast", range(0, STAGE.first)),
        engine("lost", "fast", STAGE),
        engine("a", "small", STAGE),
        engine("b", "fast", STAGE),
        engine("last", "fast", range(STAGE.end, 20)),
    ];
    let mut zone = Zone::new(entries, ids.map(|id| (id, held)).into(), true, 0);
    let stage = |id: &str| {
        let known = zone.views[0].get(&EndpointId::from(id));
        known.and_then(KnownEndpoint::stage).expect("listed")
    };
    let stages = ["first", "lost", "last"].map(stage);
    let chain = Chain::checked(stages.to_vec(), 20).expect("it covers all layers");
    for _ in 0..20 {
        let lost = EndpointId::from("lost");
        let replaced = zone.choose(0, |view, request| {
            replace_stage(view, request, &chain, &lost, Zones::OfFirst, 0)
        });
        assert_eq!(replaced.stages()[1].endpoint.as_str(), "b");
    }
}
