use proptest::prelude::*;

use super::store_readers::{STORE_STALE_MS, StoreReaderView};

#[derive(Clone, Copy)]
struct Instance {
    is_reader: bool,
    /// When the store last answered it.
    answered_ms: Option<u64>,
    is_alive: bool,
    can_reach_store: bool,
}

/// Simulates the instances of one zone in discrete steps. Each hears all that are alive, one step later.
struct Zone {
    instances: Vec<Instance>,
}

/// The interval between heartbeats.
const STEP_MS: u64 = 250;

impl Zone {
    fn new(count: usize) -> Self {
        let instance = Instance {
            is_reader: false,
            answered_ms: None,
            is_alive: true,
            can_reach_store: true,
        };
        Self {
            instances: vec![instance; count],
        }
    }

    fn step(&mut self, now_ms: u64) {
        let heard = self.instances.clone();
        let is_fresh = |it: &Instance| {
            it.answered_ms
                .is_some_and(|at_ms| now_ms < at_ms + STORE_STALE_MS)
        };
        for (index, own) in self.instances.iter_mut().enumerate() {
            let ahead = heard[..index].iter().filter(|it| it.is_alive);
            let alive = heard.iter().filter(|it| it.is_alive);
            let view = StoreReaderView {
                rank: ahead.clone().count(),
                answered_ahead: ahead.filter(|it| it.is_reader && is_fresh(it)).count(),
                answered_ms: alive.filter_map(|it| it.answered_ms).max(),
                started_ms: 0,
                is_first_start: false,
                is_reader: own.is_reader,
            };
            own.is_reader = own.is_alive && view.should_read(now_ms);
            if own.is_reader && own.can_reach_store {
                own.answered_ms = Some(now_ms);
            }
        }
    }

    fn readers(&self) -> usize {
        self.instances.iter().filter(|it| it.is_reader).count()
    }

    /// Readers that are alive and that the store answers.
    fn answered_readers(&self) -> usize {
        let readers = self.instances.iter().filter(|it| it.is_reader);
        readers
            .filter(|it| it.is_alive && it.can_reach_store)
            .count()
    }
}

#[test]
fn three_instances_of_a_zone_read_the_store() {
    for count in [1, 3, 39, 300] {
        let mut zone = Zone::new(count);
        for step in 0..40 {
            zone.step(step * STEP_MS);
        }
        assert_eq!(zone.readers(), count.min(3));
    }
}

#[test]
fn others_start_reading_soon_after_the_readers_lose_the_store() {
    let mut zone = Zone::new(39);
    for step in 0..40 {
        zone.step(step * STEP_MS);
    }
    for first in 0..3 {
        zone.instances[first].can_reach_store = false;
    }
    let cut_ms = 40 * STEP_MS;
    let mut waited_ms = 0;
    while zone.readers() <= 3 {
        zone.step(cut_ms + waited_ms);
        waited_ms += STEP_MS;
    }
    assert!(waited_ms <= STORE_STALE_MS + 2 * STEP_MS, "{waited_ms} ms");
    for step in 0..40 {
        zone.step(cut_ms + waited_ms + step * STEP_MS);
    }
    assert_eq!(
        zone.readers(),
        6,
        "three that the store answers, and the three that it does not"
    );
    zone.instances[0].can_reach_store = true;
    zone.instances[1].can_reach_store = true;
    zone.instances[2].can_reach_store = true;
    for step in 40..80 {
        zone.step(cut_ms + waited_ms + step * STEP_MS);
    }
    assert_eq!(zone.readers(), 3, "the first three are enough again");
}

proptest! {
    /// Whichever instances die or lose the store, one that the store answers reads it within seconds, if
    /// there is any, and the number of readers stays small.
    #[test]
    fn a_zone_is_never_long_without_a_reader(
        count in 3..120_usize,
        dead in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        cut in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let mut zone = Zone::new(count);
        for step in 0..20 {
            zone.step(step * STEP_MS);
        }
        for index in dead {
            zone.instances[index.index(count)].is_alive = false;
        }
        for index in cut {
            zone.instances[index.index(count)].can_reach_store = false;
        }
        let instances = zone.instances.iter();
        let able = instances.filter(|it| it.is_alive && it.can_reach_store).count();
        for step in 20..40 {
            zone.step(step * STEP_MS);
        }
        prop_assert!(zone.answered_readers() >= able.min(1));
        for step in 40..60 {
            zone.step(step * STEP_MS);
        }
        let instances = zone.instances.iter();
        let cut_off = instances.filter(|it| it.is_alive && !it.can_reach_store).count();
        prop_assert!(zone.answered_readers() >= able.min(1));
        prop_assert!(zone.readers() <= cut_off + 6, "{} readers", zone.readers());
    }
}
