use indexmap::IndexSet;

use super::plan::{Planned, Planner, Sizes, Target};

const SIZES: Sizes = Sizes {
    instances: 7,
    engines: 40,
    replicas: 3,
};

fn draw(seed: u64, count: usize) -> Vec<Planned> {
    let mut planner = Planner::new(seed, SIZES);
    let busy = IndexSet::new();
    let draws = (0..count).map(|_| planner.draw(&busy));
    draws.filter_map(|(planned, _)| planned).collect()
}

#[test]
fn the_same_seed_draws_the_same_faults() {
    assert_eq!(draw(7, 200), draw(7, 200));
    assert_ne!(draw(7, 200), draw(8, 200));
}

#[test]
fn every_kind_is_drawn() {
    let kinds: IndexSet<_> = draw(1, 2_000)
        .into_iter()
        .map(|planned| planned.kind)
        .collect();
    assert_eq!(kinds.len(), 22);
}

#[test]
fn most_instances_are_left_alone() {
    let mut planner = Planner::new(3, SIZES);
    let mut busy = IndexSet::new();
    for _ in 0..5_000 {
        if let (Some(planned), _) = planner.draw(&busy) {
            assert!(busy.insert(planned.target));
        }
    }
    let instances = busy
        .iter()
        .filter(|it| matches!(it, Target::Instance(_)))
        .count();
    let engines = busy
        .iter()
        .filter(|it| matches!(it, Target::Engine(_)))
        .count();
    assert_eq!((instances, engines), (3, 3));
}
