//! UpdateQueue and lists in heartbeats.

use std::collections::BTreeSet;

use super::dissemination::{Rotation, UpdateQueue};

#[test]
fn news_are_told_four_times_and_those_not_told_yet_come_first() {
    let mut news = UpdateQueue::default();
    for number in 0..5 {
        news.push(&number);
    }
    let told: Vec<Vec<i32>> = (0..11).map(|_| news.next_batch(2)).collect();
    assert_eq!(told[0..3], [vec![0, 1], vec![2, 3], vec![4, 0]]);
    for number in 0..5 {
        let times = told.iter().flatten().filter(|it| **it == number).count();
        assert_eq!(times, 4);
    }
    assert!(told[10].is_empty());
}

#[test]
fn what_is_told_anew_is_untold_and_what_is_withdrawn_is_not_told() {
    let mut news = UpdateQueue::default();
    news.push(&"a");
    assert!(news.has_unsent());
    news.next_batch(9);
    assert!(!news.has_unsent() && news.contains(&"a"));
    news.push(&"a");
    assert!(news.has_unsent());
    news.remove(&"a");
    assert!(news.next_batch(9).is_empty());
}

#[test]
fn a_rotation_comes_to_all_and_begins_anew() {
    let mut rotation = Rotation::default();
    let list: Vec<u32> = (0..5).collect();
    let told: Vec<u32> = (0..3)
        .flat_map(|_| rotation.next_batch(&list, 2).copied().collect::<Vec<_>>())
        .collect();
    assert_eq!(told, vec![0, 1, 2, 3, 4, 0]);
    assert_eq!(told.iter().collect::<BTreeSet<_>>().len(), list.len());
}

#[test]
fn a_rotation_tells_nothing_twice_at_once_and_bears_a_list_that_shrinks() {
    let mut rotation = Rotation::default();
    assert_eq!(rotation.next_batch(&[1, 2, 3], 9).count(), 3);
    assert_eq!(rotation.next_batch(&[1], 2).count(), 1);
    assert_eq!(rotation.next_batch(&[] as &[i32], 2).count(), 0);
}
