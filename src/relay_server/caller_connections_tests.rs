use std::rc::Rc;

use super::caller_connections::{CallerConnections, CloseCause, ConnectionId};
use super::connection_activity::ConnectionActivity;
use super::connection_timeouts::Timeouts;

const TIMEOUTS: Timeouts = Timeouts {
    head_ms: 3_000,
    idle_ms: 15_000,
};

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
        // Early enough that the limits before it are of no effect.
        opened.connections.update_timeouts(TIMEOUTS, 0);
        (0..count).for_each(|number| opened.open(1 + number * 1_000));
        opened
    }

    fn open(&mut self, now_ms: u64) {
        let (id, activity) = self.connections.record_opened(now_ms);
        self.ids.push(id);
        self.activities.push(activity);
    }

    fn number(&self, id: ConnectionId) -> usize {
        let mut ids = self.ids.iter();
        ids.position(|it| *it == id).expect("it was opened")
    }

    /// Numbers of the connections to close for sockets.
    fn excess(&self, now_ms: u64) -> Vec<usize> {
        let excess = self.connections.excess(now_ms).into_iter();
        excess.map(|id| self.number(id)).collect()
    }

    /// Numbers of the connections that exceed a limit.
    fn overdue(&self, cause: CloseCause, now_ms: u64) -> Vec<usize> {
        let overdue = self.connections.overdue(now_ms).into_iter();
        let of_cause = overdue.filter(|(_, it)| *it == cause);
        let mut numbers: Vec<usize> = of_cause.map(|(id, _)| self.number(id)).collect();
        numbers.sort_unstable();
        numbers
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
fn connections_that_are_idle_for_longer_than_allowed_are_closed_however_many_sockets_are_left() {
    let mut opened = Opened::each_second(60);
    let overdue = |opened: &Opened, now_ms| opened.overdue(CloseCause::IdleTimeout, now_ms);
    assert_eq!(overdue(&opened, 15_001), numbers(0..0));
    assert_eq!(overdue(&opened, 20_000), numbers(0..5));
    opened.activities[0].record_request(1);
    opened.serve(2, 12_000);
    assert_eq!(overdue(&opened, 20_000), [1, 3, 4]);
    for id in &opened.ids[0..10] {
        opened.connections.record_closed(*id);
    }
    assert_eq!(overdue(&opened, 90_000), numbers(10..60));
}

/// Guards against the close of a connection that its caller may still use by the document of before.
#[test]
fn a_longer_idle_timeout_holds_for_connections_that_were_idle_before_it_was_shortened() {
    let mut opened = Opened::each_second(10);
    let timeouts = |idle_ms| Timeouts {
        idle_ms,
        ..TIMEOUTS
    };
    opened.connections.update_timeouts(timeouts(2_000), 5_000);
    let overdue = |opened: &Opened, now_ms| opened.overdue(CloseCause::IdleTimeout, now_ms);
    assert_eq!(overdue(&opened, 14_000), numbers(5..10));
    assert_eq!(overdue(&opened, 17_000), [0, 1, 5, 6, 7, 8, 9]);
    opened.connections.update_timeouts(timeouts(30_000), 17_500);
    assert_eq!(overdue(&opened, 25_000), numbers(0..0));
}

/// Guards against callers that keep connections by sending half a request on each.
#[test]
fn half_a_head_is_kept_for_the_header_timeout_from_its_first_byte() {
    let opened = Opened::each_second(2);
    opened.activities[0].record_read(10_000);
    opened.activities[0].record_read(12_900);
    assert_eq!(
        opened.overdue(CloseCause::HeadTimeout, 13_000),
        numbers(0..0)
    );
    assert_eq!(opened.overdue(CloseCause::HeadTimeout, 13_001), [0]);
    opened.activities[0].record_request(13_001);
    assert_eq!(
        opened.overdue(CloseCause::HeadTimeout, 90_000),
        numbers(0..0)
    );
}

#[test]
fn a_caller_that_stops_reading_is_idle_from_the_last_byte_that_it_took() {
    let opened = Opened::each_second(1);
    opened.activities[0].record_request(1);
    opened.activities[0].record_written(20_000);
    opened.activities[0].record_write_blocked();
    assert_eq!(
        opened.overdue(CloseCause::IdleTimeout, 35_000),
        numbers(0..0)
    );
    assert_eq!(opened.overdue(CloseCause::IdleTimeout, 35_001), [0]);
}

#[test]
fn idle_connections_are_not_closed_for_sockets_while_the_reserve_is_free() {
    let opened = Opened::each_second(75);
    assert_eq!(opened.excess(119_000), numbers(0..0));
}

/// Guards against an instance that says it is ready and has no descriptor for a new caller.
#[test]
fn connections_that_are_idle_longest_are_closed_before_new_callers_are_kept_out() {
    let opened = Opened::each_second(90);
    opened.activities[0..80]
        .iter()
        .for_each(|it| it.record_request(1));
    assert_eq!(opened.excess(90_001), numbers(80..90));
    opened.activities[7].record_response(90_001);
    let closed = opened.excess(90_002);
    assert_eq!(closed, [numbers(80..90), numbers(7..8)].concat());
    assert!(opened.connections.is_full());
}

/// Guards against the close of the connection on which the platform asks whether the instance is ready.
#[test]
fn connections_used_for_several_requests_are_closed_last() {
    let opened = Opened::each_second(80);
    opened.serve(0, 20_000);
    opened.serve(0, 60_000);
    (1..80).for_each(|number| opened.serve(number, 80_000));
    assert_eq!(opened.excess(90_000), numbers(1..6));
    (1..80).for_each(|number| opened.activities[number].record_request(90_000));
    assert_eq!(opened.excess(90_000), [0]);
    opened.serve(0, 90_000);
    assert_eq!(opened.excess(91_999), numbers(0..0));
}

/// Guards against the loss of a response whose end a slow caller has not read.
#[test]
fn connections_with_unsent_bytes_are_not_closed_for_sockets() {
    let opened = Opened::each_second(90);
    for activity in &opened.activities[0..85] {
        activity.record_request(1);
        activity.record_write_blocked();
        activity.record_response(2);
    }
    assert_eq!(opened.connections.unsent_responses(), 85);
    assert_eq!(opened.excess(200_000), numbers(85..90));
    opened.activities[3].record_written(3);
    assert!(opened.excess(200_000).contains(&3));
}

#[test]
fn a_new_connection_is_given_the_time_to_send_its_first_request() {
    let mut opened = Opened::each_second(0);
    (0..90).for_each(|_| opened.open(5_000));
    assert_eq!(opened.excess(5_999), numbers(0..0));
    assert_eq!(opened.excess(6_000), numbers(0..15));
}

/// Guards against callers that take up all sockets by sending half a request on each.
#[test]
fn connections_with_half_a_head_are_closed_for_sockets_like_idle_ones() {
    let opened = Opened::each_second(90);
    opened
        .activities
        .iter()
        .for_each(|it| it.record_read(90_000));
    assert_eq!(opened.excess(92_000), numbers(0..15));
}
