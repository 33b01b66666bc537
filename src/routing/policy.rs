//! Policies: how the next engine of a chain is chosen among those that could run it.

/// An engine that could run the next layers of a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether it runs the layers before too, so that choosing it adds no stage.
    pub same_engine: bool,
    /// Rate of the engine, in layers times tokens a second.
    pub layer_tokens_per_s: f64,
    /// Streams of this entry at the engine.
    pub outstanding: u32,
    /// Turn at which the engine was last chosen; grows.
    pub last_turn: u64,
    /// Whether the engine likely caches the start of the prompt.
    pub cached: bool,
}

/// A way to choose. The candidate of the lowest rank is taken.
pub trait Policy {
    /// Whether new streams take lanes: chains made beforehand from the flow, with slots of their
    /// own. Candidates are then ranked only where no lane can be used.
    fn uses_lanes(&self) -> bool {
        false
    }

    /// Ranks a candidate; `draw` is uniform in `0.0..1.0`, drawn for each candidate anew.
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64;
}

/// The product's policy: lanes made from the flow. Where none can be used, the engine with the
/// least outstanding work for its rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowWeighted;

/// Baseline: any engine, with equal probability.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

/// Baseline: the engine that was chosen longest ago.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin;

/// Baseline: the engine with the fewest streams of this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

/// Part of the rank that a cached prefix leaves.
const CACHED_FACTOR: f64 = 0.5;

impl Policy for FlowWeighted {
    fn uses_lanes(&self) -> bool {
        true
    }

    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        let rate = candidate.layer_tokens_per_s.max(1e-3);
        let load = (f64::from(candidate.outstanding) + draw) / rate;
        let factor = if candidate.cached { CACHED_FACTOR } else { 1.0 };
        stay_first(candidate, load * factor)
    }
}

impl Policy for RandomChoice {
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        stay_first(candidate, draw)
    }
}

impl Policy for RoundRobin {
    fn rank(&self, candidate: &Candidate, _draw: f64) -> f64 {
        stay_first(candidate, candidate.last_turn as f64)
    }
}

impl Policy for LeastOutstanding {
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        stay_first(candidate, f64::from(candidate.outstanding) + draw * 0.5)
    }
}

/// One of the policies above, as a value.
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

/// Runs every layer that an engine holds before the chain goes on to another: a stage less is a
/// slot less.
fn stay_first(candidate: &Candidate, rank: f64) -> f64 {
    if candidate.same_engine { -1.0 } else { rank }
}
