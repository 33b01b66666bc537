//! Runs the event loop of a process and notices when the process itself stood still: when it was stopped, or when its
//! machine was suspended or gave it no processor time.

mod running_time;
#[cfg(test)]
mod running_time_tests;

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use self::running_time::RunningTime;
use crate::clock::boot_ms;

/// Interval between turns of an event loop that has nothing else to do.
const TICK: Duration = Duration::from_millis(100);

thread_local! {
    static RUNNING_TIME: RefCell<RunningTime> = RefCell::default();
}

/// Runs a future and the tasks that it spawns on this thread. After a standstill of the process, `on_standstill` is
/// called with its duration in milliseconds, before any task runs.
pub(crate) async fn run<F, S>(future: F, on_standstill: S) -> F::Output
where
    F: Future,
    S: Fn(u64),
{
    let _observed = ObservedThread::begin();
    let tasks = LocalSet::new();
    let mut turns = pin!(tasks.run_until(async {
        spawn_local(tick());
        future.await
    }));
    let mut reported_ms = stood_still_ms();
    loop {
        let output = poll_fn(|context| take_turn(turns.as_mut(), reported_ms, context)).await;
        if let Some(output) = output {
            return output;
        }
        let total_ms = stood_still_ms();
        on_standstill(total_ms - reported_ms);
        reported_ms = total_ms;
    }
}

/// Runs tasks, unless the process has stood still for longer than is reported: then the result is `None`.
fn take_turn<F>(
    turns: Pin<&mut F>,
    reported_ms: u64,
    context: &mut Context<'_>,
) -> Poll<Option<F::Output>>
where
    F: Future,
{
    observe();
    if stood_still_ms() > reported_ms {
        return Poll::Ready(None);
    }
    let output = turns.poll(context).map(Some);
    observe();
    output
}

/// Makes sure that the event loop takes a turn at each interval.
async fn tick() {
    loop {
        sleep(TICK).await;
    }
}

/// Observes this thread until it is dropped.
struct ObservedThread;

impl ObservedThread {
    fn begin() -> Self {
        RUNNING_TIME.with_borrow_mut(|it| it.begin(boot_ms()));
        Self
    }
}

impl Drop for ObservedThread {
    fn drop(&mut self) {
        RUNNING_TIME.with_borrow_mut(RunningTime::end);
    }
}

fn observe() -> u64 {
    RUNNING_TIME.with_borrow_mut(|it| it.observe(boot_ms()))
}

fn stood_still_ms() -> u64 {
    RUNNING_TIME.with_borrow(RunningTime::stood_still_ms)
}
