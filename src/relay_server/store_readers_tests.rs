use proptest::prelude::*;

use super::store_readers::{STALE_MS, StoreReaderView};

/// Instances of one zone in steps of simulated time. Each hears all of them that live, a step later.
struct Zone {
    /// Whether each reads, when the store last answered it, whether it lives, and whether the store
    /// answers it.
    instances: Vec<(bool, Option<u64>, bool, bool)>,
    calls: u64,
}

/// A step: how often heartbeats go out.
const STEP_MS: u64 = 250;

impl Zone {
    fn new(count: usize) -> Self {
        Self {
            instances: vec![(false, None, true, true); count],
            calls: 0,
        }
    }

    fn step(&mut self, now_ms: u64) {
        let heard = self.instances.clone();
        let is_fresh = |at_ms: Option<u64>| at_ms.is_some_and(|at| now_ms < at + STALE_MS);
        for (index, own) in self.instances.iter_mut().enumerate() {
            let before = heard[..index].iter().filter(|it| it.2);
            let view = StoreReaderView {
                rank: before.clone().count(),
                answered_ahead: before.filter(|it| it.0 && is_fresh(it.1)).count(),
                answered_ms: heard.iter().filter(|it| it.2).filter_map(|it| it.1).max(),
                started_ms: 0,
                is_reader: own.0,
            };
            own.0 = own.2 && view.should_read(now_ms);
            if own.0 {
                self.calls += 1;
            }
            if own.0 && own.3 {
                own.1 = Some(now_ms);
            }
        }
    }

    fn readers(&self) -> usize {
        self.instances.iter().filter(|it| it.0).count()
    }
}

#[test]
fn three_of_a_zone_read_and_the_others_are_told() {
    for count in [1, 3, 39, 300] {
        let mut zone = Zone::new(count);
        for step in 0..40 {
            zone.step(step * STEP_MS);
        }
        assert_eq!(zone.readers(), count.min(3));
    }
}

#[test]
fn others_step_in_soon_when_the_store_answers_none_of_the_first() {
    let mut zone = Zone::new(39);
    for step in 0..40 {
        zone.step(step * STEP_MS);
    }
    for first in 0..3 {
        zone.instances[first].3 = false;
    }
    let cut_ms = 40 * STEP_MS;
    let mut waited_ms = 0;
    while zone.readers() <= 3 {
        zone.step(cut_ms + waited_ms);
        waited_ms += STEP_MS;
    }
    assert!(waited_ms <= STALE_MS + 2 * STEP_MS, "{waited_ms} ms");
    for step in 0..40 {
        zone.step(cut_ms + waited_ms + step * STEP_MS);
    }
    assert_eq!(
        zone.readers(),
        6,
        "three that are answered beside the three that are not"
    );
    zone.instances[0].3 = true;
    zone.instances[1].3 = true;
    zone.instances[2].3 = true;
    for step in 40..80 {
        zone.step(cut_ms + waited_ms + step * STEP_MS);
    }
    assert_eq!(zone.readers(), 3, "the first are enough again");
}

proptest! {
    /// Whatever dies or is cut off from the store, somebody who is answered reads it within seconds, if
    /// there is anybody, and hundreds do not go on reading.
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
            zone.instances[index.index(count)].2 = false;
        }
        for index in cut {
            zone.instances[index.index(count)].3 = false;
        }
        let able = zone.instances.iter().filter(|it| it.2 && it.3).count();
        for step in 20..40 {
            zone.step(step * STEP_MS);
        }
        let answered = |zone: &Zone| zone.instances.iter().filter(|it| it.0 && it.2 && it.3).count();
        prop_assert!(answered(&zone) >= able.min(1));
        for step in 40..60 {
            zone.step(step * STEP_MS);
        }
        let cut_off = zone.instances.iter().filter(|it| it.2 && !it.3).count();
        prop_assert!(answered(&zone) >= able.min(1));
        prop_assert!(zone.readers() <= cut_off + 6, "{} readers", zone.readers());
    }
}
