use std::net::SocketAddr;

use super::caller_connections::CallerConnections;

const MAX_IDLE_MS: u64 = 15_000;

fn caller(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Connections at an instance that may open 100 sockets, each opened a second after the last.
fn open_connections(count: u16) -> CallerConnections {
    let mut connections = CallerConnections::new(100);
    for number in 0..count {
        let task = actix_rt::spawn(async {}).abort_handle();
        connections.record_opened(caller(number), task, u64::from(number) * 1_000);
    }
    connections
}

fn callers(ports: std::ops::Range<u16>) -> Vec<SocketAddr> {
    ports.map(caller).collect()
}

#[actix_rt::test]
async fn idle_connections_are_kept_while_there_are_sockets() {
    let connections = open_connections(50);
    assert!(connections.excess(MAX_IDLE_MS, 119_000).is_empty());
}

#[actix_rt::test]
async fn connections_that_are_idle_for_longer_than_allowed_are_closed_when_half_of_the_sockets_are_used()
 {
    let mut connections = open_connections(60);
    assert_eq!(connections.excess(MAX_IDLE_MS, 20_000), callers(0..5));
    connections.record_request(caller(0));
    connections.record_request(caller(2));
    connections.record_response(caller(2), 12_000);
    assert_eq!(
        connections.excess(MAX_IDLE_MS, 20_000),
        [1, 3, 4].map(caller)
    );
    (0..10)
        .map(caller)
        .for_each(|it| connections.record_closed(it));
    assert!(connections.excess(MAX_IDLE_MS, 90_000).is_empty());
}

/// Guards against an instance that says it is ready and has no descriptor for a new caller.
#[actix_rt::test]
async fn connections_that_are_idle_longest_are_closed_before_new_callers_are_kept_out() {
    let mut connections = open_connections(90);
    let is_open_only = |port: &u16| *port < 80;
    (0..90)
        .filter(is_open_only)
        .map(caller)
        .for_each(|it| connections.record_request(it));
    assert_eq!(connections.excess(1_000_000, 90_000), callers(80..90));
    connections.record_response(caller(7), 90_000);
    let closed = connections.excess(1_000_000, 90_001);
    assert_eq!(closed, [callers(80..90), callers(7..8)].concat());
}
