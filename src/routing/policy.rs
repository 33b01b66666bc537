//! Policies: how the next engine of a chain is chosen among those that could run it.

/// An engine that could run the next layers of a chain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether it runs the layers before too, so that choosing it adds no stage.
    pub same_engine: bool,
    /// Share of the maximum flow on the link from the previous engine; 0 or more.
    pub weight: f64,
    /// Streams of this entry at the engine.
    pub outstanding: u32,
    /// Streams of this entry on the link from the previous engine.
    pub link_outstanding: u32,
    /// Learnt limit of `outstanding`; at least 1.
    pub limit: u32,
    /// Turn at which the engine was last chosen; grows.
    pub last_turn: u64,
    /// Whether the engine likely caches the start of the prompt.
    pub cached: bool,
}

/// A way to choose. The candidate of the lowest rank is taken.
pub trait Policy {
    /// Ranks a candidate; `draw` is uniform in `0.0..1.0`, drawn for each candidate anew.
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64;
}

/// The product's policy: shares of the maximum flow, corrected by outstanding work.
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

impl Policy for FlowWeighted {
    fn rank(&self, candidate: &Candidate, draw: f64) -> f64 {
        let weight = candidate.weight.max(1e-9);
        (f64::from(candidate.link_outstanding) + draw) / weight
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

/// A baseline runs every layer that an engine holds before it goes on to another.
fn stay_first(candidate: &Candidate, rank: f64) -> f64 {
    if candidate.same_engine { -1.0 } else { rank }
}
