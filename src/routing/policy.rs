//! Policies for choosing the next engine of a chain among the candidates.

/// An engine that could run the next layers of a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the engine also runs the previous layers, so that choosing it adds no stage.
    pub same_engine: bool,
    /// Rate of the engine, in layers × tokens per second.
    pub layer_tokens_per_s: f64,
    /// Streams of this entry on the engine.
    pub outstanding: u32,
    /// Value of a monotonically increasing counter when the engine was last chosen.
    pub last_turn: u64,
    /// Whether the engine probably caches the start of the prompt.
    pub cached: bool,
}

/// A policy ranks the candidates; the one with the lowest rank is chosen.
pub trait Policy {
    /// Whether new streams use lanes: precomputed chains with slots of their own. Candidates are
    /// then ranked only if no lane can be used.
    fn uses_lanes(&self) -> bool {
        false
    }

    /// Ranks a candidate; `draw` is uniform in `0.0..1.0` and drawn separately for each candidate.
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64;
}

/// The default policy: lanes computed from the flow. If no lane can be used, it chooses the engine
/// with the least outstanding work relative to its rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowWeighted;

/// Baseline: any engine, with equal probability.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

/// Baseline: the least recently chosen engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

/// Baseline: the engine with the fewest streams of this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

/// Factor applied to the rank of an engine that caches the prefix.
const CACHED_FACTOR: f64 = 0.5;

impl Policy for FlowWeighted {
    fn uses_lanes(&self) -> bool {
        true
    }

    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        let rate = candidate.layer_tokens_per_s.max(1e-3);
        let load = (f64::from(candidate.outstanding) + draw) / rate;
        let factor = if candidate.cached { CACHED_FACTOR } else { 1.0 };
        prefer_same_engine(candidate, load * factor)
    }
}

impl Policy for RandomChoice {
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        prefer_same_engine(candidate, draw)
    }
}

impl Policy for RoundRobin {
    fn rank(&self, candidate: &Candidate, _draw: f64) -> f64 {
        prefer_same_engine(candidate, candidate.last_turn as f64)
    }
}

impl Policy for LeastOutstanding {
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        prefer_same_engine(candidate, f64::from(candidate.outstanding) + draw * 0.5)
    }
}

/// Selects one of the policies above at run time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PolicyKind {
    /// [`FlowWeighted`].
    #[default]
    FlowWeighted,
    /// [`RandomChoice`].
    Random,
    /// [`RoundRobin`].
    RoundRobin,
    /// [`LeastOutstanding`].
    LeastOutstanding,
}

impl Policy for PolicyKind {
    fn uses_lanes(&self) -> bool {
        match self {
            Self::FlowWeighted => FlowWeighted.uses_lanes(),
            Self::Random => RandomChoice.uses_lanes(),
            Self::RoundRobin => RoundRobin.uses_lanes(),
            Self::LeastOutstanding => LeastOutstanding.uses_lanes(),
        }
    }

    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        match self {
            Self::FlowWeighted => FlowWeighted.rank(candidate, draw),
            Self::Random => RandomChoice.rank(candidate, draw),
            Self::RoundRobin => RoundRobin.rank(candidate, draw),
            Self::LeastOutstanding => LeastOutstanding.rank(candidate, draw),
        }
    }
}

/// Always stays on the same engine while it holds the next layers: one stage less takes one slot
/// less.
fn prefer_same_engine(candidate: &Candidate, rank: f64) -> f64 {
    if candidate.same_engine { -1.0 } else { rank }
}
