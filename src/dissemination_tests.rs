use std::collections::BTreeSet;

use super::dissemination::{Rotation, UpdateQueue};

#[test]
fn updates_are_sent_four_times_and_unsent_ones_first() {
    let mut queue = UpdateQueue::default();
    for number in 0..5 {
        queue.push(&number);
    }
    let batches: Vec<Vec<i32>> = (0..11).map(|_| queue.next_batch(2)).collect();
    assert_eq!(batches[0..3], [vec![0, 1], vec![2, 3], vec![4, 0]]);
    for number in 0..5 {
        let times = batches.iter().flatten().filter(|it| **it == number).count();
        assert_eq!(times, 4);
    }
    assert!(batches[10].is_empty());
}

#[test]
fn pushing_again_restarts_an_update_and_removing_stops_it() {
    let mut queue = UpdateQueue::default();
    queue.push(&"a");
    assert!(queue.has_unsent());
    queue.next_batch(9);
    assert!(!queue.has_unsent() && queue.contains(&"a"));
    queue.push(&"a");
    assert!(queue.has_unsent());
    queue.remove(&"a");
    assert!(queue.next_batch(9).is_empty());
}

#[test]
fn a_rotation_covers_the_list_and_wraps_around() {
    let mut rotation = Rotation::default();
    let list: Vec<u32> = (0..5).collect();
    let sent: Vec<u32> = (0..3)
        .flat_map(|_| rotation.next_batch(&list, 2).copied().collect::<Vec<_>>())
        .collect();
    assert_eq!(sent, vec![0, 1, 2, 3, 4, 0]);
    assert_eq!(sent.iter().collect::<BTreeSet<_>>().len(), list.len());
}

#[test]
fn a_rotation_repeats_nothing_within_a_batch_and_survives_a_shrinking_list() {
    let mut rotation = Rotation::default();
    assert_eq!(rotation.next_batch(&[1, 2, 3], 9).count(), 3);
    assert_eq!(rotation.next_batch(&[1], 2).count(), 1);
    assert_eq!(rotation.next_batch(&[] as &[i32], 2).count(), 0);
}
