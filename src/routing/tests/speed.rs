//! Duration of plans and changes. The limits are asserted in optimized builds only.

use std::time::Instant;

use crate::ids::StreamId;
use crate::routing::{FlowWeighted, NoRoute};

use super::fleet::{Fleet, Spec};
use super::throughput::four_kinds;

const MIN_PLANS: u32 = 2_000;

/// Returns the mean time of a plan in microseconds and the longest tick after changes in
/// milliseconds.
fn measure(spec: Spec) -> (f64, f64) {
    let mut fleet = Fleet::new(Spec { entries: 1, ..spec }, FlowWeighted, 1);
    let mut longest_ms: f64 = 0.0;
    for now_ms in (0..1_000).step_by(20) {
        let start = Instant::now();
        fleet.routers[0].due_polls(now_ms);
        longest_ms = longest_ms.max(start.elapsed().as_secs_f64() * 1e3);
    }
    let mut planned: Vec<StreamId> = Vec::new();
    let mut plans = 0;
    let start = Instant::now();
    while plans < MIN_PLANS {
        plans += 1;
        match fleet.plan(0, 1_000) {
            Ok(new) => planned.push(new.stream),
            Err(NoRoute::Full) => {
                let half = planned.split_off(planned.len() / 2);
                half.into_iter()
                    .for_each(|stream| fleet.routers[0].release(stream, 1_000));
            }
            Err(NoRoute::Incomplete) => panic!("no chain"),
        }
    }
    let plan_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(plans);
    (plan_us, longest_ms)
}

fn larger(times: usize) -> Spec {
    let mut spec = four_kinds();
    for kind in &mut spec.kinds {
        kind.replicas *= times;
    }
    spec
}

#[test]
fn plans_are_fast() {
    for (times, most_us) in [(1, 50.0), (10, 200.0)] {
        let (plan_us, longest_ms) = measure(larger(times));
        println!(
            "{} engines: plan {plan_us:.1} us, longest tick {longest_ms:.1} ms",
            40 * times
        );
        if !cfg!(debug_assertions) {
            assert!(plan_us < most_us, "{plan_us} us");
        }
    }
}
