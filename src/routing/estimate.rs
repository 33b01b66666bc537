//! Estimates the throughput of a set of lanes by approximate mean value analysis.
//!
//! The streams form a closed queueing network: each lane is a class, each engine a FIFO queue, and
//! each link a delay. A step that arrives at an engine waits for all steps ahead of it; the one in
//! service has half of its time left on average.

/// Iterations of the fixed point.
const ITERATIONS: usize = 30;
/// Weight of the new queue lengths in each iteration.
const DAMPING: f64 = 0.5;

/// A lane as a class of the closed network.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LaneLoad {
    /// Number of streams on the lane; greater than 0.
    pub(crate) streams: f64,
    /// Time per token that is not spent queueing at or being processed by engines, in milliseconds.
    pub(crate) delay_ms: f64,
    /// Engines, and how long each is busy with one token, in milliseconds.
    pub(crate) steps: Vec<(usize, f64)>,
}

/// Returns the tokens per second of each lane.
pub(crate) fn tokens_per_s(lanes: &[LaneLoad], engines: usize) -> Vec<f64> {
    let mut queues: Vec<Vec<f64>> = lanes
        .iter()
        .map(|lane| vec![lane.streams / lane.steps.len() as f64; lane.steps.len()])
        .collect();
    let mut rates = vec![0.0; lanes.len()];
    let mut waits = Vec::new();
    for _ in 0..ITERATIONS {
        let backlogs_ms = backlogs_ms(lanes, &queues, &rates, engines);
        for (number, lane) in lanes.iter().enumerate() {
            waits.clear();
            waits.extend(lane.steps.iter().zip(&queues[number]).map(
                |((engine, busy_ms), queue)| {
                    let own_ms = own_backlog_ms(*busy_ms, *queue, rates[number]) / lane.streams;
                    busy_ms + (backlogs_ms[*engine] - own_ms).max(0.0)
                },
            ));
            let cycle_ms = lane.delay_ms + waits.iter().sum::<f64>();
            rates[number] = lane.streams / cycle_ms.max(1e-6);
            for (queue, wait_ms) in queues[number].iter_mut().zip(&waits) {
                *queue += DAMPING * (rates[number] * wait_ms - *queue);
            }
        }
    }
    rates.iter().map(|per_ms| per_ms * 1e3).collect()
}

/// Returns the backlog that an arriving step finds at each engine, in milliseconds.
fn backlogs_ms(lanes: &[LaneLoad], queues: &[Vec<f64>], rates: &[f64], engines: usize) -> Vec<f64> {
    let mut backlogs_ms = vec![0.0; engines];
    for ((lane, queues), rate) in lanes.iter().zip(queues).zip(rates) {
        for ((engine, busy_ms), queue) in lane.steps.iter().zip(queues) {
            backlogs_ms[*engine] += own_backlog_ms(*busy_ms, *queue, *rate);
        }
    }
    backlogs_ms
}

fn own_backlog_ms(busy_ms: f64, queue: f64, rate_per_ms: f64) -> f64 {
    let in_service = (rate_per_ms * busy_ms).min(queue);
    busy_ms * (queue - in_service / 2.0)
}
