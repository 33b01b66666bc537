use std::rc::Rc;

use super::caller_connections::{CallerConnections, ConnectionId};
use super::connection_activity::ConnectionActivity;

const MAX_IDLE_MS: u64 = 15_000;

/// Connections at an instance that may open 100 sockets.
struct Opened {
    connections: CallerConnections,
    ids: Vec<ConnectionId>,
    activities: Vec<Rc<ConnectionActivity>>,
}

impl Opened {
    /// Opens connections, each a second after the last.
    fn each_second(count: u64) -> Self {
        let mut opened = Self {
            connections: CallerConnections::new(100),
            ids: Vec::new(),
            activities: Vec::new(),
        };
        (0..count).for_each(|number| opened.open(number * 1_000));
        opened
    }

    fn open(&mut self, now_ms: u64) {
        let (id, activity) = self.connections.record_opened(now_ms);
        self.ids.push(id);
        self.activities.push(activity);
    }

    /// Numbers of the connections to close.
    fn excess(&self, max_idle_ms: u64, now_ms: u64) -> Vec<usize> {
        let excess = self.connections.excess(max_idle_ms, now_ms).into_iter();
        excess
            .filter_map(|id| self.ids.iter().position(|it| *it == id))
            .collect()
    }

    fn serve(&self, number: usize, now_ms: u64) {
        self.activities[number].record_request(now_ms);
        self.activities[number].record_response(now_ms);
    }
}

fn numbers(range: std::ops::Range<usize>) -> Vec<usize> {
    range.collect()
}

#[test]
fn idle_connections_are_kept_while_there_are_sockets() {
    let opened = Opened::each_second(50);
    assert_eq!(opened.excess(MAX_IDLE_MS, 119_000), numbers(0..0));
}

#[test]
fn connections_that_are_idle_for_longer_than_allowed_are_closed_when_half_of_the_sockets_are_used()
{
    let mut opened = Opened::each_second(60);
    assert_eq!(opened.excess(MAX_IDLE_MS, 20_000), numbers(0..5));
    opened.activities[0].record_request(0);
    opened.serve(2, 12_000);
    assert_eq!(opened.excess(MAX_IDLE_MS, 20_000), [1, 3, 4]);
    for id in &opened.ids[0..10] {
        opened.connections.record_closed(*id);
    }
    assert_eq!(opened.excess(MAX_IDLE_MS, 90_000), numbers(0..0));
}

/// Guards against an instance that says it is ready and has no descriptor for a new caller.
#[test]
fn connections_that_are_idle_longest_are_closed_before_new_callers_are_kept_out() {
    let opened = Opened::each_second(90);
    opened.activities[0..80]
        .iter()
        .for_each(|it| it.record_request(0));
    assert_eq!(opened.excess(1_000_000, 90_000), numbers(80..90));
    opened.activities[7].record_response(90_000);
    let closed = opened.excess(1_000_000, 90_001);
    assert_eq!(closed, [numbers(80..90), numbers(7..8)].concat());
}

/// Guards against the close of the connection on which the platform asks whether the instance is ready.
#[test]
fn connections_used_for_several_requests_are_closed_last() {
    let opened = Opened::each_second(80);
    opened.serve(0, 20_000);
    opened.serve(0, 60_000);
    (1..80).for_each(|number| opened.serve(number, 80_000));
    assert_eq!(opened.excess(1_000_000, 90_000), numbers(1..6));
    assert_eq!(opened.excess(25_000, 90_000), [0, 1, 2, 3, 4]);
}

/// Guards against the loss of a response whose end a slow caller has not read.
#[test]
fn connections_with_unsent_bytes_are_not_closed_for_sockets() {
    let opened = Opened::each_second(90);
    for activity in &opened.activities[0..85] {
        activity.record_request(0);
        activity.record_write_blocked();
        activity.record_response(1);
    }
    assert_eq!(opened.connections.unsent_responses(), 85);
    assert_eq!(opened.excess(MAX_IDLE_MS, 200_000), numbers(85..90));
    opened.activities[3].record_written(2);
    assert_eq!(opened.excess(MAX_IDLE_MS, 200_000)[0], 3);
}

#[test]
fn a_new_connection_is_given_the_time_to_send_its_first_request() {
    let mut opened = Opened::each_second(0);
    (0..90).for_each(|_| opened.open(5_000));
    assert_eq!(opened.excess(MAX_IDLE_MS, 5_999), numbers(0..0));
    assert_eq!(opened.excess(MAX_IDLE_MS, 6_000), numbers(0..15));
}

/// Guards against callers that keep connections by sending half a request on each.
#[test]
fn connections_with_half_a_head_are_closed_like_idle_ones() {
    let opened = Opened::each_second(90);
    opened
        .activities
        .iter()
        .for_each(|it| it.record_read(90_000));
    assert_eq!(opened.excess(MAX_IDLE_MS, 92_000), numbers(0..15));
}
