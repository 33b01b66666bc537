//! Responses of endpoints read from a socket, and snapshot queries between instances.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use futures_util::future::join_all;
use proptest::prelude::*;

use super::memory_budget::MemoryBudget;
use super::peer_selection::SyncState;
use super::snapshot::{KnownVersions, Snapshot};
use super::upstream::{OutgoingRequest, UpstreamFailure, UpstreamPool};

/// What the endpoint does with the connection after its response.
#[derive(Clone, Copy)]
enum ConnectionEnd {
    Close,
    Reset,
    KeepOpen,
}

/// Starts an endpoint that answers each connection with these bytes.
fn endpoint(response: &'static [u8], end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            let mut request = [0; 4_096];
            // Closing a connection with unread data makes the kernel send a reset.
            let read = if matches!(end, ConnectionEnd::Reset) {
                10
            } else {
                request.len()
            };
            let _ = stream.read(&mut request[..read]);
            stream.write_all(response).expect("the router reads");
            match end {
                ConnectionEnd::Close => drop(stream.shutdown(Shutdown::Both)),
                ConnectionEnd::Reset => {
                    thread::sleep(Duration::from_millis(30));
                    drop(stream);
                }
                ConnectionEnd::KeepOpen => kept.push(stream),
            }
        }
    });
    address
}

/// A request with an id of its own.
pub(super) fn outgoing_request() -> OutgoingRequest<'static> {
    static NEXT_ID: AtomicU64 = AtomicU64::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).to_string();
    OutgoingRequest {
        id: id.leak(),
        head: RequestHead::default(),
        body: Bytes::new(),
    }
}

/// Sends a request and returns the response body if it is complete.
async fn fetch(response: &'static [u8], end: ConnectionEnd) -> Result<Vec<u8>, UpstreamFailure> {
    let address = endpoint(response, end);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    let exchange = upstreams
        .send(address, outgoing_request(), 0, || true)
        .await?;
    let (_, mut body) = exchange.head().await?;
    let mut received = Vec::new();
    while let Some(bytes) = body.next().await? {
        received.extend_from_slice(&bytes);
    }
    upstreams.release(body, None, 0);
    Ok(received)
}

#[actix_rt::test]
async fn a_response_is_complete_at_its_announced_end() {
    let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    assert_eq!(
        fetch(sized, ConnectionEnd::KeepOpen).await,
        Ok(b"hello".to_vec())
    );
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    assert_eq!(
        fetch(chunked, ConnectionEnd::KeepOpen).await,
        Ok(b"hello".to_vec())
    );
}

#[actix_rt::test]
async fn a_response_that_ends_early_is_broken() {
    for end in [ConnectionEnd::Close, ConnectionEnd::Reset] {
        let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello";
        assert_eq!(fetch(sized, end).await, Err(UpstreamFailure::Broken));
        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
        assert_eq!(fetch(chunked, end).await, Err(UpstreamFailure::Broken));
    }
}

#[actix_rt::test]
async fn a_response_without_length_ends_with_its_connection_unless_reset() {
    let open = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";
    assert_eq!(
        fetch(open, ConnectionEnd::Close).await,
        Ok(b"hello".to_vec())
    );
    assert_eq!(
        fetch(open, ConnectionEnd::Reset).await,
        Err(UpstreamFailure::Broken)
    );
}

#[actix_rt::test]
async fn an_invalid_response_is_distinguished_from_a_truncated_one() {
    assert_eq!(
        fetch(b"\x00\x01 no answer\r\n\r\n", ConnectionEnd::KeepOpen).await,
        Err(UpstreamFailure::Garbled)
    );
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!";
    assert_eq!(
        fetch(twice, ConnectionEnd::KeepOpen).await,
        Err(UpstreamFailure::Garbled)
    );
    assert_eq!(
        fetch(b"HTTP/1.1 200", ConnectionEnd::Close).await,
        Err(UpstreamFailure::Broken)
    );
}

#[actix_rt::test]
async fn a_connection_with_surplus_bytes_is_not_reused() {
    let extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n";
    let address = endpoint(extra, ConnectionEnd::KeepOpen);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    for _ in 0..2 {
        let exchange = upstreams
            .send(address, outgoing_request(), 0, || true)
            .await;
        let (_, mut body) = exchange.expect("sent").head().await.expect("a response");
        while body.next().await.expect("a complete body").is_some() {}
        upstreams.release(body, None, 0);
        assert!(!upstreams.has_idle(address));
    }
}

/// Guards against a request that is lost on a connection whose end has arrived behind a large response.
#[actix_rt::test]
async fn a_connection_that_has_ended_behind_a_large_response_is_not_reused() {
    const BODY_BYTES: usize = 256 << 10;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let response = head + &"x".repeat(BODY_BYTES);
    let address = endpoint(response.leak().as_bytes(), ConnectionEnd::Close);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    for _ in 0..20 {
        let (_, is_new) = fetch_head(&upstreams, address).await.expect("a response");
        assert!(is_new, "the connection had ended");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts an endpoint that answers each request of a connection with the next of these parts, and sends `late`
/// bytes behind the first response.
fn endpoint_with_late_bytes(
    responses: [&'static [u8]; 2],
    late: &'static [u8],
    sent: SyncSender<()>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut responses = responses.into_iter();
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            let mut request = [0; 4_096];
            while stream.read(&mut request).is_ok_and(|length| length > 0) {
                let Some(response) = responses.next() else {
                    return;
                };
                stream.write_all(response).expect("the router reads");
                if responses.len() == 1 {
                    // The response is received on its own.
                    thread::sleep(Duration::from_millis(20));
                    stream.write_all(late).expect("the router has not closed");
                    sent.send(()).expect("the test waits for it");
                }
            }
        }
    });
    address
}

/// Sends a request and returns the response head, and whether the connection was new.
async fn fetch_head(
    upstreams: &UpstreamPool,
    address: SocketAddr,
) -> Result<(ResponseHead, bool), UpstreamFailure> {
    let exchange = upstreams
        .send(address, outgoing_request(), 0, || true)
        .await?;
    let is_new = exchange.is_new;
    let (head, mut body) = exchange.head().await?;
    while body.next().await?.is_some() {}
    upstreams.release(body, None, 0);
    Ok((head, is_new))
}

const NO_CONTENT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

#[actix_rt::test]
async fn a_connection_on_which_another_response_has_begun_is_not_reused() {
    let (sender, sent) = sync_channel(1);
    let beginning = b"HTTP/1.1 503 Service Unavailable\r\nDate: Fr";
    let address = endpoint_with_late_bytes([NO_CONTENT; 2], beginning, sender);
    let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
    fetch_head(&upstreams, address).await.expect("a response");
    assert!(upstreams.has_idle(address));
    sent.recv().expect("the endpoint sends more");
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let second = fetch_head(&upstreams, address).await;
    let (head, is_new) = second.expect("a response on another connection");
    assert!(is_new, "the connection with unread bytes was used again");
    assert_eq!(head.status, StatusCode::OK);
}

#[actix_rt::test]
async fn a_response_behind_the_beginning_of_another_one_is_garbled() {
    for beginning in [
        &b"HTTP/1.1 503 Service Unavailable\r\nDate: FrHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"[..],
        b"HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        b"\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nDate: FrHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\nDate: FrHTTP/1.0 500 Internal Server Error\nContent-Length: 0\n\n",
    ] {
        assert_eq!(
            fetch(beginning, ConnectionEnd::KeepOpen).await,
            Err(UpstreamFailure::Garbled)
        );
    }
}

#[actix_rt::test]
async fn a_head_without_end_is_garbled() {
    let head = format!("HTTP/1.1 200 OK\r\n{}", "a: b\r\n".repeat(20_000));
    assert_eq!(
        fetch(head.leak().as_bytes(), ConnectionEnd::KeepOpen).await,
        Err(UpstreamFailure::Garbled)
    );
}

/// Starts an endpoint that sends a head and then bytes without end to each connection.
fn endpoint_without_end(head: &'static str, part: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            thread::spawn(move || {
                let _ = stream.write_all(head.as_bytes());
                // Ends when the router closes the connection.
                while stream.write_all(part.as_bytes()).is_ok() {}
            });
        }
    });
    address
}

/// Time in which a response without end must have been given up, whatever is sent.
const GIVING_UP: Duration = Duration::from_secs(5);

/// Guards against responses without end that occupy an instance until its caller's deadline.
#[actix_rt::test]
async fn bytes_without_end_are_garbled_soon_whatever_they_are() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n";
    for (head, part) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "no status line"),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        ("HTTP/1.1 200 OK\r\n\r\n", "body"),
        (SIZED, "body"),
        (CHUNKED, "4\r\nbody\r\n"),
        (CHUNKED, "0"),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            "x",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "a: b\r\n",
        ),
    ] {
        let address = endpoint_without_end(head, part.repeat(4_096).leak());
        let upstreams = UpstreamPool::new(MemoryBudget::for_instance(0));
        let read = async {
            let exchange = upstreams
                .send(address, outgoing_request(), 0, || true)
                .await?;
            let (_, mut body) = exchange.head().await?;
            let held = body.read_to_end(1 << 20).await?;
            Ok(held.len())
        };
        let read = actix_rt::time::timeout(GIVING_UP, read).await;
        assert_eq!(read, Ok(Err(UpstreamFailure::Garbled)), "{head}{part}");
    }
}

const MAX_BODY_BYTES: usize = 16 << 20;

#[actix_rt::test]
async fn bodies_without_end_are_garbled_within_the_memory_for_all_of_them() {
    let piece = "x".repeat(16 << 10);
    let chunk = format!("4000\r\n{piece}\r\n");
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (head, part) in [("HTTP/1.1 200 OK\r\n\r\n", piece), (chunked, chunk)] {
        let address = endpoint_without_end(head, part.leak());
        let memory = MemoryBudget::for_instance(0);
        let upstreams = UpstreamPool::new(memory.clone());
        let read = || async {
            let exchange = upstreams
                .send(address, outgoing_request(), 0, || true)
                .await?;
            let (_, mut body) = exchange.head().await?;
            let held = body.read_to_end(MAX_BODY_BYTES).await?;
            Ok(held.to_vec())
        };
        let all = join_all((0..12).map(|_| read()));
        let measured = async {
            let mut most_bytes = 0;
            loop {
                most_bytes = most_bytes.max(memory.used_bytes());
                if memory.used_bytes() == 0 && most_bytes > 0 {
                    return most_bytes;
                }
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let (results, most_bytes) = futures_util::join!(all, measured);
        for result in results {
            assert_eq!(result, Err(UpstreamFailure::Garbled));
        }
        assert!(most_bytes <= memory.max_bytes(), "{most_bytes}");
    }
}

#[actix_rt::test]
async fn a_body_that_names_a_status_line_is_not_garbled() {
    let sound =
        b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 15\r\n\r\nHTTP/1.1 200 OK";
    assert_eq!(
        fetch(sound, ConnectionEnd::KeepOpen).await,
        Ok(b"HTTP/1.1 200 OK".to_vec())
    );
}

#[actix_rt::test]
async fn a_refused_connection_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let sent = UpstreamPool::new(MemoryBudget::for_instance(0))
        .send(address, outgoing_request(), 0, || true)
        .await;
    assert_eq!(sent.err(), Some(UpstreamFailure::NoListener));
}

/// Establishing a connection takes up to 300 ms. Without a check afterwards, a request reached an
/// endpoint that had announced meanwhile that it is leaving.
#[actix_rt::test]
async fn nothing_is_sent_if_the_endpoint_no_longer_accepts_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let sent = UpstreamPool::new(MemoryBudget::for_instance(0))
        .send(address, outgoing_request(), 0, || false)
        .await;
    assert_eq!(sent.err(), Some(UpstreamFailure::Withdrawn));
    let (mut connection, _) = listener.accept().expect("there was a connection");
    let mut request = Vec::new();
    let read = connection.read_to_end(&mut request);
    assert_eq!(read.expect("the router closes"), 0);
}

proptest! {
    /// Parsing a snapshot must not panic or hang on any input.
    #[test]
    fn parsing_a_snapshot_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = postcard::from_bytes::<Snapshot>(&bytes);
    }
}

#[test]
fn peers_are_asked_only_for_what_the_store_does_not_deliver() {
    let needs_fetch = |behind_since_ms, store_answers, list_age_ms| {
        let state = SyncState {
            behind_since_ms,
            reads_store: true,
            receives_store_updates: store_answers,
            list_age_ms,
        };
        state.needs_fetch(10_000)
    };
    assert!(!needs_fetch(None, true, 3_650), "nothing has changed");
    assert!(needs_fetch(None, false, 3_650));
    assert!(!needs_fetch(None, false, 2_900));
    assert!(needs_fetch(Some(9_400), true, 0));
    assert!(
        !needs_fetch(Some(9_600), true, 0),
        "its own watch delivers it"
    );
    let fed_by_zone = SyncState {
        behind_since_ms: Some(10_000),
        reads_store: false,
        receives_store_updates: true,
        list_age_ms: 0,
    };
    assert!(fed_by_zone.needs_fetch(10_000), "nothing else delivers it");
}

#[test]
fn a_snapshot_query_states_known_versions() {
    let known = KnownVersions::from_query("table=12&list=340");
    assert_eq!(
        known,
        KnownVersions {
            table: 12,
            list: 340
        }
    );
    assert_eq!(KnownVersions::from_query(""), KnownVersions::default());
    assert_eq!(
        KnownVersions::from_query("table=x&list&other=3"),
        KnownVersions::default()
    );
}
