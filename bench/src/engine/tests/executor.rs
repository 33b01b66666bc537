use fescueshore::ids::StreamId;

use crate::engine::executor::{Executor, Work};

fn work(priority: u8, arrival_us: u64) -> Work {
    Work {
        stream: StreamId::generate(&mut rand::rng()),
        epoch: 0,
        position: 0,
        priority,
        arrival_us,
        layers: 4,
        prefill_tokens: 0,
    }
}

/// One step of four layers takes 1 ms; at least 2 ms pass.
fn executor() -> Executor {
    Executor::new(4000.0, 4)
}

/// Steps finished until `until_us`, with a timer that fires every 5 ms only.
fn finish(executor: &mut Executor, until_us: u64) -> Vec<(u64, Work)> {
    (0..=until_us)
        .step_by(5000)
        .flat_map(|now_us| executor.advance(now_us))
        .collect()
}

#[test]
fn the_rate_is_exact_although_timers_are_late() {
    let mut executor = executor();
    for _ in 0..100 {
        executor.push(work(1, 0));
    }
    let finished = finish(&mut executor, 200_000);
    // The last one starts at 99 ms, like any step takes at least 2 ms.
    assert_eq!(finished.last().map(|(at_us, _)| *at_us), Some(101_000));
}

#[test]
fn a_single_step_takes_half_a_batch() {
    let mut executor = executor();
    executor.push(work(1, 3000));
    let finished = finish(&mut executor, 20_000);
    assert_eq!(finished[0].0, 5000);
}

#[test]
fn urgent_steps_go_first() {
    let mut executor = executor();
    for priority in [2, 1, 0] {
        executor.push(work(priority, 0));
    }
    let finished = finish(&mut executor, 20_000);
    let order: Vec<u8> = finished.iter().map(|(_, work)| work.priority).collect();
    assert_eq!(order, [0, 1, 2]);
}

#[test]
fn a_step_that_has_not_come_yet_does_not_run() {
    let mut executor = executor();
    executor.push(work(0, 8000));
    executor.push(work(1, 0));
    let finished = finish(&mut executor, 20_000);
    assert_eq!(finished[0].1.priority, 1);
}

#[test]
fn other_steps_run_between_the_chunks_of_a_long_prompt() {
    let mut executor = executor();
    let prompt = Work {
        prefill_tokens: 1600,
        ..work(1, 0)
    };
    executor.push(prompt.clone());
    executor.push(work(1, 1));
    let finished = finish(&mut executor, 200_000);
    assert_eq!(finished[1].1.stream, prompt.stream);
    // 1600 prompt tokens at a sixteenth, and two steps.
    assert_eq!(finished[1].0, 102_000);
}

#[test]
fn nothing_runs_while_frozen() {
    let mut executor = executor();
    executor.push(work(1, 0));
    executor.skip_to(50_000);
    assert_eq!(finish(&mut executor, 100_000)[0].0, 52_000);
}

#[test]
fn removed_steps_do_not_run() {
    let mut executor = executor();
    let removed = work(1, 0);
    executor.push(removed.clone());
    executor.remove(removed.stream);
    assert!(finish(&mut executor, 20_000).is_empty());
}
