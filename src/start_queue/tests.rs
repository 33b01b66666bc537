use proptest::prelude::*;

use super::*;
use crate::ids::AccountId;

const BOUND_MS: u64 = 160;

fn rank(priority: u32, account: &str, arrived_ms: u64) -> Rank {
    Rank {
        has_run: false,
        priority,
        account: Some(AccountId::from(account)),
        arrived_ms,
    }
}

fn has_run(priority: u32, arrived_ms: u64) -> Rank {
    Rank {
        has_run: true,
        ..rank(priority, "ran", arrived_ms)
    }
}

fn join(queue: &mut StartQueue<u32>, id: u32, rank: Rank, now_ms: u64) -> Joined<u32> {
    queue.join(id, rank, now_ms + BOUND_MS, now_ms)
}

/// Serves all that wait, in one round without time passing.
fn serve_all(queue: &mut StartQueue<u32>, now_ms: u64) -> Vec<u32> {
    let mut order = Vec::new();
    queue.begin_round(now_ms);
    while let Some(id) = queue.next_turn(now_ms).copied() {
        queue.record_served(&id, now_ms);
        order.push(id);
    }
    order
}

/// Grants one turn each 10 ms, so that the queue knows a rate of 100 turns per second.
fn with_known_rate() -> (StartQueue<u32>, u64) {
    let mut queue = StartQueue::default();
    let mut now_ms = 1_000;
    join(&mut queue, 1_000, rank(1, "first", now_ms), now_ms);
    for id in 1_001..1_020 {
        join(&mut queue, id, rank(1, "first", now_ms), now_ms);
        now_ms += 10;
        queue.begin_round(now_ms);
        let first = queue.next_turn(now_ms).copied().expect("one waits");
        queue.record_served(&first, now_ms);
    }
    queue.leave(&1_019, now_ms);
    assert_eq!(queue.len(), 0);
    (queue, now_ms)
}

#[test]
fn streams_that_have_run_go_first_then_priority_then_arrival() {
    let mut queue = StartQueue::default();
    for (id, it) in [
        (1, rank(2, "a", 1)),
        (2, rank(1, "a", 2)),
        (3, rank(0, "a", 4)),
        (4, rank(0, "a", 3)),
        (5, has_run(2, 5)),
    ] {
        join(&mut queue, id, it, 10);
    }
    assert_eq!(serve_all(&mut queue, 20), [5, 4, 3, 2, 1]);
}

/// Guards against one account taking all capacity of a priority by sending many requests.
#[test]
fn an_account_with_many_requests_does_not_delay_one_with_few() {
    let mut queue = StartQueue::default();
    for id in 0..30 {
        join(&mut queue, id, rank(1, "many", 1), 10);
    }
    join(&mut queue, 100, rank(1, "few", 9), 10);
    join(&mut queue, 101, rank(1, "few", 9), 10);
    let order = serve_all(&mut queue, 20);
    let place = |id| order.iter().position(|it| *it == id);
    assert!(place(100) <= Some(1), "{order:?}");
    assert!(place(101) <= Some(3), "{order:?}");
}

/// Guards against starvation: while more urgent requests always wait, and keep arriving, less urgent
/// ones get one of eight turns, and the least urgent one of eight of these.
#[test]
fn less_urgent_requests_get_one_of_eight_turns() {
    let mut queue = StartQueue::default();
    let far_ms = 1_000_000;
    for id in 0..2 {
        queue.join(id, rank(2, "least", 1), far_ms, 10);
    }
    for id in 10..18 {
        queue.join(id, rank(1, "middle", 2), far_ms, 10);
    }
    let mut served = Vec::new();
    for turn in 0..72 {
        queue.join(100 + turn, rank(0, "urgent", 10), far_ms, 10);
        queue.begin_round(10);
        let id = queue.next_turn(10).copied().expect("some wait");
        queue.record_served(&id, 10);
        served.push(id);
    }
    let places = served.iter().zip(1..).filter(|(id, _)| **id < 100);
    let (less_urgent, turns): (Vec<u32>, Vec<u32>) = places.unzip();
    assert_eq!(less_urgent, [10, 11, 12, 13, 14, 15, 16, 0, 17]);
    assert!(turns.iter().all(|it| it % 8 == 0), "{turns:?}");
}

#[test]
fn streams_that_have_run_do_not_cede_turns_to_less_urgent_ones() {
    let mut queue = StartQueue::default();
    join(&mut queue, 0, rank(2, "least", 1), 10);
    for id in 1..20 {
        join(&mut queue, id, has_run(0, 2), 10);
    }
    assert_eq!(serve_all(&mut queue, 20).last(), Some(&0));
}

/// Guards against the fault that a request which arrives at the right moment gets the capacity that
/// others wait for.
#[test]
fn a_new_request_does_not_overtake_those_of_the_same_or_higher_urgency() {
    let mut queue = StartQueue::default();
    assert!(queue.may_start(&rank(2, "a", 1), 10));
    join(&mut queue, 1, rank(1, "a", 1), 10);
    assert!(!queue.may_start(&rank(2, "b", 2), 20));
    assert!(!queue.may_start(&rank(1, "b", 2), 20));
    assert!(queue.may_start(&rank(0, "b", 2), 20));
    assert!(queue.may_start(&has_run(2, 2), 20));
    join(&mut queue, 2, has_run(2, 2), 20);
    assert!(!queue.may_start(&rank(0, "b", 2), 20));
}

#[test]
fn urgent_requests_that_do_not_queue_count_for_the_reserved_turn() {
    let mut queue = StartQueue::default();
    join(&mut queue, 1, rank(1, "a", 1), 10);
    for _ in 0..7 {
        assert!(queue.may_start(&rank(0, "b", 2), 20));
        queue.record_started(&rank(0, "b", 2), 20);
    }
    assert!(!queue.may_start(&rank(0, "b", 2), 20));
    join(&mut queue, 2, rank(0, "b", 2), 20);
    assert_eq!(serve_all(&mut queue, 20), [1, 2]);
}

#[test]
fn one_wakeup_costs_one_planning_where_there_is_no_capacity() {
    let mut queue = StartQueue::default();
    join(&mut queue, 1, rank(1, "a", 1), 10);
    join(&mut queue, 2, rank(1, "a", 2), 10);
    assert_eq!(queue.next_turn(10), None, "nothing has changed");
    queue.begin_round(20);
    assert_eq!(queue.next_turn(20), Some(&1));
    queue.record_unserved(&1, TurnOutcome::NoCapacity, 20);
    assert_eq!(queue.next_turn(20), None);
    queue.begin_round(30);
    assert_eq!(queue.next_turn(30), Some(&1));
}

/// Guards against a request that cannot use the free engines keeping them from all others.
#[test]
fn a_request_that_cannot_use_all_engines_passes_its_turn_on() {
    let mut queue = StartQueue::default();
    join(&mut queue, 1, rank(1, "a", 1), 10);
    join(&mut queue, 2, rank(1, "a", 2), 10);
    queue.begin_round(20);
    queue.record_unserved(&1, TurnOutcome::Restricted, 20);
    assert_eq!(queue.next_turn(20), Some(&2));
    queue.record_served(&2, 20);
    assert_eq!(queue.next_turn(20), None);
    queue.begin_round(30);
    assert_eq!(queue.next_turn(30), Some(&1));
}

/// Guards against refusing all requests because one waits for a particular engine.
#[test]
fn a_request_that_cannot_use_all_engines_does_not_delay_others() {
    let mut queue = StartQueue::default();
    queue.join(1, has_run(0, 1), 10_000, 10);
    let mut now_ms = 10;
    for _ in 0..20 {
        queue.begin_round(now_ms);
        assert_eq!(queue.next_turn(now_ms), Some(&1));
        queue.record_unserved(&1, TurnOutcome::Restricted, now_ms);
        now_ms += 50;
    }
    assert!(queue.may_start(&rank(2, "a", now_ms), now_ms));
    let joined = join(&mut queue, 2, rank(2, "a", now_ms), now_ms);
    let expected_wait_ms = Some(0);
    let displaced = None;
    assert_eq!(
        joined,
        Joined::Queued {
            expected_wait_ms,
            displaced
        }
    );
}

#[test]
fn a_request_whose_caller_leaves_frees_its_place() {
    let (mut queue, now_ms) = with_known_rate();
    let far_ms = now_ms + 100_000;
    for id in 0..16 {
        join(&mut queue, id, rank(1, "a", now_ms), now_ms);
    }
    let refused = join(&mut queue, 50, rank(1, "a", now_ms + 1), now_ms);
    assert!(matches!(refused, Joined::Refused { .. }), "{refused:?}");
    queue.leave(&3, now_ms);
    let joined = queue.join(50, rank(1, "a", now_ms + 1), far_ms, now_ms);
    assert!(matches!(joined, Joined::Queued { .. }), "{joined:?}");
    let order = serve_all(&mut queue, now_ms);
    assert!(!order.contains(&3) && order.contains(&50), "{order:?}");
}

#[test]
fn a_full_queue_refuses_the_least_urgent() {
    let mut queue = StartQueue::default();
    for id in 0..60 {
        join(&mut queue, id, rank(0, "a", 1), 10);
    }
    // Eight of them have reserved places beside the 64.
    for id in 60..72 {
        let joined = join(&mut queue, id, rank(2, "a", 1), 10);
        assert!(matches!(joined, Joined::Queued { .. }), "{joined:?}");
    }
    let less_urgent = join(&mut queue, 72, rank(2, "a", 1), 10);
    assert!(matches!(less_urgent, Joined::Refused { .. }));
    let more_urgent = join(&mut queue, 73, rank(0, "a", 1), 10);
    let displaced = Some(71);
    let expected_wait_ms = None;
    assert_eq!(
        more_urgent,
        Joined::Queued {
            expected_wait_ms,
            displaced
        }
    );
    assert_eq!(queue.len(), 72);
}

/// Guards against reserved turns that nobody can use, since more urgent requests fill the queue. In
/// a simulation without reserved places, one of 160 of the least urgent requests was served.
#[test]
fn more_urgent_requests_do_not_displace_all_less_urgent_ones() {
    let mut queue = StartQueue::default();
    for id in 0..20 {
        join(&mut queue, id, rank(2, "a", u64::from(id)), 10);
    }
    for id in 20..200 {
        join(&mut queue, id, rank(0, "a", u64::from(id)), 10);
    }
    let order = serve_all(&mut queue, 20);
    let less_urgent: Vec<u32> = order.iter().copied().filter(|id| *id < 20).collect();
    assert_eq!(less_urgent, [0, 1, 2, 3, 4, 5, 6, 7]);
}

/// Guards against losing what the caller of a stream that has run has received.
#[test]
fn a_stream_that_has_run_is_never_refused() {
    let (mut queue, now_ms) = with_known_rate();
    for id in 0..200 {
        // The later ones are more urgent.
        let joined = join(&mut queue, id, has_run(2 - id / 80, now_ms), now_ms);
        let displaced = None;
        assert!(
            matches!(joined, Joined::Queued { displaced: it, .. } if it == displaced),
            "{joined:?}"
        );
    }
    let urgent = join(&mut queue, 500, rank(0, "a", now_ms), now_ms);
    assert!(matches!(urgent, Joined::Refused { .. }), "{urgent:?}");
    assert_eq!(serve_all(&mut queue, now_ms).len(), 200);
}

#[test]
fn a_stream_that_has_run_displaces_one_that_has_not_from_a_full_queue() {
    let mut queue = StartQueue::default();
    for id in 0..64 {
        join(&mut queue, id, rank(0, "a", u64::from(id)), 10);
    }
    let joined = join(&mut queue, 64, has_run(2, 10), 10);
    let is_last_displaced = matches!(
        joined,
        Joined::Queued {
            displaced: Some(63),
            ..
        }
    );
    assert!(is_last_displaced, "{joined:?}");
}

/// Guards against starting requests whose callers have left while the process was frozen.
#[test]
fn after_a_freeze_nobody_whose_deadline_has_passed_gets_a_turn() {
    let (mut queue, now_ms) = with_known_rate();
    for id in 0..10 {
        join(&mut queue, id, rank(1, "a", now_ms), now_ms);
    }
    queue.join(10, has_run(1, now_ms), now_ms + 20_000, now_ms);
    let resumed_ms = now_ms + 10_000;
    assert!(!queue.may_start(&rank(0, "b", resumed_ms), resumed_ms));
    assert_eq!(serve_all(&mut queue, resumed_ms), [10]);
    assert!(queue.may_start(&rank(2, "b", resumed_ms), resumed_ms));
    for id in 0..10 {
        queue.leave(&id, resumed_ms);
    }
    join(&mut queue, 20, rank(1, "b", resumed_ms), resumed_ms);
    let joined = join(&mut queue, 21, rank(1, "b", resumed_ms), resumed_ms);
    let is_queued = matches!(joined, Joined::Queued { .. });
    assert!(is_queued, "the freeze is not a rate: {joined:?}");
}

#[test]
fn the_wait_bound_is_a_third_of_the_objective_up_to_a_limit() {
    assert_eq!(wait_bound_ms(300), 100);
    assert_eq!(wait_bound_ms(1_000), BOUND_MS);
}

#[test]
fn the_expected_wait_follows_the_rate_of_turns() {
    let (mut queue, mut now_ms) = with_known_rate();
    for id in 0..10 {
        join(&mut queue, id, rank(1, "a", now_ms), now_ms);
    }
    let expected_ms = queue.expected_wait_ms(&rank(1, "a", now_ms + 1), now_ms);
    assert_eq!(expected_ms, Some(100));
    let urgent = queue.expected_wait_ms(&rank(0, "a", now_ms + 1), now_ms);
    assert_eq!(urgent, Some(0));
    let waited_from_ms = now_ms;
    queue.join(10, rank(1, "a", now_ms + 1), now_ms + 1_000, now_ms);
    loop {
        now_ms += 10;
        queue.begin_round(now_ms);
        let id = queue.next_turn(now_ms).copied().expect("all are in time");
        queue.record_served(&id, now_ms);
        if id == 10 {
            break;
        }
    }
    let actual_ms = now_ms - waited_from_ms;
    assert!((100..=110).contains(&actual_ms), "{actual_ms}");
}

#[test]
fn time_without_waiting_requests_does_not_lower_the_rate() {
    let (mut queue, now_ms) = with_known_rate();
    let later_ms = now_ms + 1_500;
    join(&mut queue, 1, rank(1, "a", later_ms), later_ms);
    let expected_ms = queue.expected_wait_ms(&rank(1, "a", later_ms + 1), later_ms);
    assert!(expected_ms.is_some_and(|it| it <= 11), "{expected_ms:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Join { rank: Rank, bound_ms: u64 },
    Leave(usize),
    Round { free: u32, is_restricted: bool },
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let join = (0u32..3, 0u32..4, prop::bool::weighted(0.1), 0u64..300).prop_map(
        |(priority, account, has_run, bound_ms)| Step::Join {
            rank: Rank {
                has_run,
                ..rank(priority, &account.to_string(), 0)
            },
            bound_ms,
        },
    );
    prop_oneof![
        6 => join,
        1 => any::<usize>().prop_map(Step::Leave),
        3 => (0u32..4, any::<bool>())
            .prop_map(|(free, is_restricted)| Step::Round { free, is_restricted }),
        3 => (1u64..60).prop_map(Step::Wait),
        1 => (1_000u64..9_000).prop_map(Step::Wait),
    ]
}

proptest! {
    /// Each request gets exactly one of a turn with capacity, a refusal and a departure. None waits
    /// longer than its bound, none that has run is refused, and the queue stays within its limit.
    #[test]
    fn each_request_has_exactly_one_end(steps in prop::collection::vec(step(), 1..300)) {
        let mut queue = StartQueue::default();
        let mut now_ms = 1_000;
        let mut open: indexmap::IndexMap<u32, (Rank, u64)> = indexmap::IndexMap::new();
        let mut next_id = 0;
        for step in steps {
            match step {
                Step::Wait(wait_ms) => {
                    now_ms += wait_ms;
                    // As the driver does: a request leaves at its deadline.
                    let late: Vec<u32> = open
                        .iter()
                        .filter(|(_, (_, until_ms))| *until_ms <= now_ms)
                        .map(|(id, _)| *id)
                        .collect();
                    queue.begin_round(now_ms);
                    let turn = queue.next_turn(now_ms);
                    prop_assert!(turn.is_none_or(|id| !late.contains(id)), "late turn");
                    for id in late {
                        queue.leave(&id, now_ms);
                        open.shift_remove(&id);
                    }
                }
                Step::Join { rank, bound_ms } => {
                    let id = next_id;
                    next_id += 1;
                    let rank = Rank { arrived_ms: now_ms, ..rank };
                    let until_ms = now_ms + bound_ms;
                    match queue.join(id, rank.clone(), until_ms, now_ms) {
                        Joined::Refused { .. } => prop_assert!(!rank.has_run),
                        Joined::Queued { displaced, .. } => {
                            if let Some(displaced) = displaced {
                                let removed = open.shift_remove(&displaced);
                                prop_assert!(removed.is_some_and(|(it, _)| !it.has_run));
                            }
                            open.insert(id, (rank, until_ms));
                        }
                    }
                }
                Step::Leave(draw) if !open.is_empty() => {
                    let id = open.get_index(draw % open.len()).map(|(id, _)| *id);
                    let id = id.expect("the index is in range");
                    queue.leave(&id, now_ms);
                    open.shift_remove(&id);
                }
                Step::Leave(_) => {}
                Step::Round { free, is_restricted } => {
                    queue.begin_round(now_ms);
                    let mut free = free;
                    while let Some(id) = queue.next_turn(now_ms).copied() {
                        let until_ms = open.get(&id).map(|(_, until_ms)| *until_ms);
                        prop_assert!(until_ms.is_some_and(|it| now_ms < it), "unknown or late");
                        if free == 0 {
                            let outcome = if is_restricted {
                                TurnOutcome::Restricted
                            } else {
                                TurnOutcome::NoCapacity
                            };
                            queue.record_unserved(&id, outcome, now_ms);
                        } else {
                            free -= 1;
                            queue.record_served(&id, now_ms);
                            open.shift_remove(&id);
                        }
                    }
                }
            }
            prop_assert_eq!(queue.len(), open.len());
            let not_run = open.values().filter(|(it, _)| !it.has_run).count();
            prop_assert!(not_run <= 128);
        }
    }
}
