//! Runs the event loop of a process so that a standstill of the process itself is not taken for silence of others.
//!
//! A process stands still while it is stopped, or while its machine is suspended or gives it no processor time. The
//! kernel receives data for it meanwhile, and timers become due. A stop also interrupts the wait for events: the runtime
//! then fires timers without having polled the sockets, and every timeout would win against data that has arrived.
//! After a pause, [`run`] therefore has the sockets polled before any task runs, and [`timeout`] does not count
//! standstills.

mod running_time;
#[cfg(test)]
mod running_time_tests;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use thiserror::Error;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::sleep;

use self::running_time::RunningTime;
use crate::clock::boot_ms;

/// Minimum pause after which the sockets are polled before any task runs: well below every timeout.
const MIN_PAUSE_MS: u64 = 10;
/// How often the sockets are polled after a standstill. The runtime takes 1,024 events at a time.
const POLLS_AFTER_STANDSTILL: u32 = 8;
/// Interval between turns of an event loop that has nothing else to do.
const TICK: Duration = Duration::from_millis(100);

thread_local! {
    static RUNNING_TIME: RefCell<RunningTime> = RefCell::default();
}

/// A time limit has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("timed out")]
pub(crate) struct TimedOut;

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
        let polls = if total_ms > reported_ms {
            on_standstill(total_ms - reported_ms);
            POLLS_AFTER_STANDSTILL
        } else {
            1
        };
        reported_ms = total_ms;
        for _ in 0..polls {
            // The runtime polls the sockets before it resumes a task that has yielded.
            yield_now().await;
        }
    }
}

/// Waits for a future for a limited time, in which standstills of this process do not count.
pub(crate) async fn timeout<F>(limit: Duration, future: F) -> Result<F::Output, TimedOut>
where
    F: Future,
{
    let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let until_ms = running_ms().saturating_add(limit_ms);
    let mut future = pin!(future);
    let mut left = limit;
    loop {
        if let Ok(output) = tokio::time::timeout(left, &mut future).await {
            return Ok(output);
        }
        let left_ms = until_ms.saturating_sub(running_ms());
        if left_ms == 0 {
            return Err(TimedOut);
        }
        left = Duration::from_millis(left_ms);
    }
}

/// Runs the tasks that are ready. The result is `None`, and no task has run, if the process has not run for a while or
/// has stood still for longer than `reported_ms` in total.
fn take_turn<F>(
    turns: Pin<&mut F>,
    reported_ms: u64,
    context: &mut Context<'_>,
) -> Poll<Option<F::Output>>
where
    F: Future,
{
    let pause_ms = observe();
    if pause_ms >= MIN_PAUSE_MS || stood_still_ms() > reported_ms {
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

fn running_ms() -> u64 {
    RUNNING_TIME.with_borrow_mut(|it| it.running_ms(boot_ms()))
}

fn stood_still_ms() -> u64 {
    RUNNING_TIME.with_borrow(RunningTime::stood_still_ms)
}
