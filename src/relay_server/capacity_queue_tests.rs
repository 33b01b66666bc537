//! Signals to the streams that wait for capacity.

use std::rc::Rc;

use super::capacity_queue::{CapacityQueues, QueuePlace, QueueWake};
use crate::clock::boot_ms;
use crate::ids::ServiceName;
use crate::start_queue::{Rank, TurnOutcome};

/// Far enough in the future that no test reaches it.
const FAR_MS: u64 = 1_000_000;

struct Fixture {
    queues: Rc<CapacityQueues>,
    service: ServiceName,
    now_ms: u64,
}

impl Fixture {
    /// The places free themselves by the clock, so that tests count from its present time.
    fn new() -> Self {
        Self {
            queues: Rc::default(),
            service: ServiceName::from("model"),
            now_ms: boot_ms(),
        }
    }

    fn join(&self, priority: u32, until_ms: u64) -> QueuePlace {
        let rank = Self::rank(priority, self.now_ms);
        self.queues
            .join(&self.service, rank, until_ms, self.now_ms)
            .expect("the queue has a place")
    }

    fn rank(priority: u32, arrived_ms: u64) -> Rank {
        Rank {
            has_run: false,
            priority,
            account: None,
            arrived_ms,
        }
    }
}

fn is_notified(place: &QueuePlace) -> bool {
    use futures_util::FutureExt;
    place.notified().now_or_never().is_some()
}

/// Guards against all waiting requests planning a chain at each wake-up.
#[test]
fn a_wakeup_notifies_only_the_request_whose_turn_it_is() {
    let fixture = Fixture::new();
    let until_ms = fixture.now_ms + FAR_MS;
    let [least, most] = [2, 0].map(|priority| fixture.join(priority, until_ms));
    assert!(!is_notified(&most) && !is_notified(&least));
    fixture.queues.wake(fixture.now_ms);
    assert!(is_notified(&most) && !is_notified(&least));
    assert_eq!(most.wake(fixture.now_ms), QueueWake::Turn);
    assert_eq!(least.wake(fixture.now_ms), QueueWake::NotYet);
    most.record_unserved(TurnOutcome::NoCapacity, None, fixture.now_ms);
    assert_eq!(most.wake(fixture.now_ms), QueueWake::NotYet);
    assert!(!is_notified(&least));
}

/// Guards against capacity that stays unused because the request that was woken for it has left.
#[test]
fn the_next_request_gets_the_turn_of_one_that_was_served_or_has_left() {
    let fixture = Fixture::new();
    let until_ms = fixture.now_ms + FAR_MS;
    let [first, second, third] = [0, 1, 2].map(|priority| fixture.join(priority, until_ms));
    fixture.queues.wake(fixture.now_ms);
    drop(first);
    assert!(is_notified(&second));
    assert_eq!(second.wake(fixture.now_ms), QueueWake::Turn);
    second.record_served(fixture.now_ms);
    assert!(is_notified(&third));
    drop((second, third));
    let rank = Fixture::rank(2, fixture.now_ms);
    let may_start = fixture
        .queues
        .may_start(&fixture.service, &rank, fixture.now_ms);
    assert!(may_start, "all places are free");
}

/// Guards against requests that wait for a signal which never comes.
#[test]
fn a_round_begins_without_a_signal() {
    let fixture = Fixture::new();
    let place = fixture.join(1, fixture.now_ms + FAR_MS);
    let due_ms = place.check_due_ms();
    assert!(due_ms <= fixture.now_ms + 100);
    assert_eq!(place.wake(due_ms - 1), QueueWake::NotYet);
    assert_eq!(place.wake(due_ms), QueueWake::Turn);
}

#[test]
fn a_round_begins_when_an_engine_stops_counting_as_full() {
    let fixture = Fixture::new();
    let place = fixture.join(1, fixture.now_ms + FAR_MS);
    let free_ms = fixture.now_ms + 30;
    place.record_unserved(TurnOutcome::NoCapacity, Some(free_ms), fixture.now_ms);
    assert_eq!(place.check_due_ms(), free_ms);
    assert_eq!(place.wake(free_ms), QueueWake::Turn);
}

/// Guards against starting a request whose caller has left while the process was frozen.
#[test]
fn a_turn_does_not_count_after_the_deadline() {
    let fixture = Fixture::new();
    let place = fixture.join(1, fixture.now_ms + 160);
    fixture.queues.wake(fixture.now_ms);
    assert_eq!(place.wake(fixture.now_ms + 30_000), QueueWake::Late);
}

#[test]
fn a_displaced_request_is_told() {
    let fixture = Fixture::new();
    let until_ms = fixture.now_ms + FAR_MS;
    let full = [[0; 60].as_slice(), &[2; 12]].concat();
    let waiting: Vec<QueuePlace> = full.iter().map(|it| fixture.join(*it, until_ms)).collect();
    let urgent = fixture.join(0, until_ms);
    let wakes = waiting.iter().map(|it| it.wake(fixture.now_ms));
    let displaced = wakes.filter(|it| *it == QueueWake::Displaced).count();
    assert_eq!(displaced, 1);
    assert_eq!(urgent.wake(fixture.now_ms), QueueWake::NotYet);
}
