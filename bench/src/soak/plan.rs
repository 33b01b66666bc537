//! Which fault comes next. Pure: the same seed gives the same faults as long as the same targets
//! are free.

use indexmap::IndexSet;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Shortest and longest time of a fault.
const LASTS_MS: (u64, u64) = (500, 8_000);
/// Shortest and longest time between two faults.
const PAUSE_MS: (u64, u64) = (200, 1_500);
/// Engines in trouble at once, at most.
const ENGINES_AT_ONCE: usize = 3;
/// Replicas in trouble at once, at most.
const REPLICAS_AT_ONCE: usize = 1;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum FaultKind {
    KillEntry,
    FreezeEntry,
    KillControl,
    FreezeControl,
    StopInstance,
    KillEngine,
    FreezeEngine,
    EngineDies,
    EngineFreezes,
    EngineSlows,
    EngineLinksDegrade,
    EngineLeaves,
    EngineConnectionsSilent,
    TableOutage,
    TableSlow,
    TableLosesReplies,
    TableConnectionsSilent,
    ListLags,
    ReplicaFreezes,
    ReplicaFailsCalls,
    ReplicaLosesReplies,
    DocumentRace,
}

/// What a fault meets; one fault at a time each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Target {
    Instance(usize),
    /// An engine that shares its process with others.
    Engine(usize),
    /// The engine with a process of its own.
    EngineProcess,
    Relays,
    Replica(usize),
    Table,
    TableRelay,
    List,
    Documents,
}

const KINDS: [FaultKind; 22] = [
    FaultKind::KillEntry,
    FaultKind::FreezeEntry,
    FaultKind::KillControl,
    FaultKind::FreezeControl,
    FaultKind::StopInstance,
    FaultKind::KillEngine,
    FaultKind::FreezeEngine,
    FaultKind::EngineDies,
    FaultKind::EngineFreezes,
    FaultKind::EngineSlows,
    FaultKind::EngineLinksDegrade,
    FaultKind::EngineLeaves,
    FaultKind::EngineConnectionsSilent,
    FaultKind::TableOutage,
    FaultKind::TableSlow,
    FaultKind::TableLosesReplies,
    FaultKind::TableConnectionsSilent,
    FaultKind::ListLags,
    FaultKind::ReplicaFreezes,
    FaultKind::ReplicaFailsCalls,
    FaultKind::ReplicaLosesReplies,
    FaultKind::DocumentRace,
];

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Planned {
    pub(super) kind: FaultKind,
    pub(super) target: Target,
    /// How long it lasts.
    pub(super) lasts_ms: u64,
    /// Time until the next one.
    pub(super) pause_ms: u64,
}

/// Numbers of targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    pub(super) instances: usize,
    /// Engines; the first has a process of its own.
    pub(super) engines: usize,
    pub(super) replicas: usize,
}

/// Draws faults.
#[derive(Debug)]
pub(super) struct Planner {
    rng: StdRng,
    sizes: Sizes,
}

impl Planner {
    pub(super) fn new(seed: u64, sizes: Sizes) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            sizes,
        }
    }

    /// Draws the next fault; none if its target is in trouble already, or too many others are.
    pub(super) fn draw(&mut self, busy: &IndexSet<Target>) -> (Option<Planned>, u64) {
        let kind = KINDS[self.rng.random_range(0..KINDS.len())];
        let target = self.draw_target(kind);
        let lasts_ms = self.rng.random_range(LASTS_MS.0..=LASTS_MS.1);
        let pause_ms = self.rng.random_range(PAUSE_MS.0..=PAUSE_MS.1);
        let planned = Planned {
            kind,
            target,
            lasts_ms,
            pause_ms,
        };
        (self.fits(target, busy).then_some(planned), pause_ms)
    }

    fn draw_target(&mut self, kind: FaultKind) -> Target {
        match kind {
            FaultKind::KillEntry
            | FaultKind::FreezeEntry
            | FaultKind::KillControl
            | FaultKind::FreezeControl
            | FaultKind::StopInstance => {
                Target::Instance(self.rng.random_range(0..self.sizes.instances))
            }
            FaultKind::KillEngine | FaultKind::FreezeEngine => Target::EngineProcess,
            FaultKind::EngineDies
            | FaultKind::EngineFreezes
            | FaultKind::EngineSlows
            | FaultKind::EngineLinksDegrade
            | FaultKind::EngineLeaves => {
                Target::Engine(self.rng.random_range(1..self.sizes.engines))
            }
            FaultKind::EngineConnectionsSilent => Target::Relays,
            FaultKind::TableOutage | FaultKind::TableSlow | FaultKind::TableLosesReplies => {
                Target::Table
            }
            FaultKind::TableConnectionsSilent => Target::TableRelay,
            FaultKind::ListLags => Target::List,
            FaultKind::ReplicaFreezes
            | FaultKind::ReplicaFailsCalls
            | FaultKind::ReplicaLosesReplies => {
                Target::Replica(self.rng.random_range(0..self.sizes.replicas))
            }
            FaultKind::DocumentRace => Target::Documents,
        }
    }

    fn fits(&self, target: Target, busy: &IndexSet<Target>) -> bool {
        let like = |it: &&Target| std::mem::discriminant(*it) == std::mem::discriminant(&target);
        let alike = busy.iter().filter(like).count();
        let limit = match target {
            Target::Instance(_) => (self.sizes.instances - 1) / 2,
            Target::Engine(_) => ENGINES_AT_ONCE.min(self.sizes.engines / 4),
            Target::Replica(_) => REPLICAS_AT_ONCE,
            _ => 1,
        };
        !busy.contains(&target) && alike < limit
    }
}
