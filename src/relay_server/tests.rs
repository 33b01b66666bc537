//! Answers of endpoints as their bytes come over a socket.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;

use actix_http::RequestHead;
use bytes::Bytes;
use proptest::prelude::*;

use super::peer_selection::SyncState;
use super::snapshot::{KnownVersions, decode_snapshot};
use super::upstream::{UpstreamFailure, UpstreamPool};

/// How the endpoint ends the connection after its bytes.
#[derive(Clone, Copy)]
enum End {
    Close,
    Reset,
    KeepOpen,
}

/// An endpoint that answers each connection with these bytes.
fn endpoint(answer: &'static [u8], end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection comes");
            let mut request = [0; 4_096];
            // A reset is made by closing with a byte that was not read.
            let read = if matches!(end, End::Reset) {
                10
            } else {
                request.len()
            };
            let _ = stream.read(&mut request[..read]);
            stream.write_all(answer).expect("the router reads");
            match end {
                End::Close => drop(stream.shutdown(Shutdown::Both)),
                End::Reset => {
                    thread::sleep(std::time::Duration::from_millis(30));
                    drop(stream);
                }
                End::KeepOpen => kept.push(stream),
            }
        }
    });
    address
}

/// The body, if it is whole; and whether a second request would go over the same connection.
async fn fetch(answer: &'static [u8], end: End) -> Result<Vec<u8>, UpstreamFailure> {
    let address = endpoint(answer, end);
    let upstreams = UpstreamPool::new();
    let head = RequestHead::default();
    let exchange = upstreams
        .send(address, head, Bytes::new(), 0, || true)
        .await?;
    let (_, mut body) = exchange.head().await?;
    let mut whole = Vec::new();
    while let Some(bytes) = body.next().await? {
        whole.extend_from_slice(&bytes);
    }
    upstreams.release(body, None, 0);
    Ok(whole)
}

#[actix_rt::test]
async fn an_answer_is_whole_at_its_announced_end() {
    let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
    assert_eq!(fetch(sized, End::KeepOpen).await, Ok(b"hello".to_vec()));
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    assert_eq!(fetch(chunked, End::KeepOpen).await, Ok(b"hello".to_vec()));
}

#[actix_rt::test]
async fn an_answer_that_ends_before_its_announced_end_is_broken() {
    for end in [End::Close, End::Reset] {
        let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello";
        assert_eq!(fetch(sized, end).await, Err(UpstreamFailure::Broken));
        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
        assert_eq!(fetch(chunked, end).await, Err(UpstreamFailure::Broken));
    }
}

#[actix_rt::test]
async fn an_answer_without_length_ends_with_its_connection_unless_that_is_reset() {
    let open = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello";
    assert_eq!(fetch(open, End::Close).await, Ok(b"hello".to_vec()));
    assert_eq!(fetch(open, End::Reset).await, Err(UpstreamFailure::Broken));
}

#[actix_rt::test]
async fn what_is_no_answer_is_told_from_a_broken_one() {
    assert_eq!(
        fetch(b"\x00\x01 no answer\r\n\r\n", End::KeepOpen).await,
        Err(UpstreamFailure::Garbled)
    );
    let twice = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!";
    assert_eq!(
        fetch(twice, End::KeepOpen).await,
        Err(UpstreamFailure::Garbled)
    );
    assert_eq!(
        fetch(b"HTTP/1.1 200", End::Close).await,
        Err(UpstreamFailure::Broken)
    );
}

#[actix_rt::test]
async fn a_connection_with_bytes_of_no_request_is_not_used_again() {
    let extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n";
    let address = endpoint(extra, End::KeepOpen);
    let upstreams = UpstreamPool::new();
    for _ in 0..2 {
        let exchange = upstreams
            .send(address, RequestHead::default(), Bytes::new(), 0, || true)
            .await;
        let (_, mut body) = exchange.expect("sent").head().await.expect("an answer");
        while body.next().await.expect("whole").is_some() {}
        upstreams.release(body, None, 0);
        assert!(!upstreams.has_idle(address));
    }
}

#[actix_rt::test]
async fn a_refused_connection_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);
    let sent = UpstreamPool::new()
        .send(address, RequestHead::default(), Bytes::new(), 0, || true)
        .await;
    assert_eq!(sent.err(), Some(UpstreamFailure::NoListener));
}

/// A request could be sent up to 300 ms after its endpoint had been chosen, the longest wait for a
/// connection, though the endpoint had said meanwhile that it leaves. Found by reading.
#[actix_rt::test]
async fn nothing_is_sent_to_an_endpoint_that_is_not_to_be_sent_requests_any_more() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let sent = UpstreamPool::new()
        .send(address, RequestHead::default(), Bytes::new(), 0, || false)
        .await;
    assert_eq!(sent.err(), Some(UpstreamFailure::Withdrawn));
    let (mut connection, _) = listener.accept().expect("there was a connection");
    let mut request = Vec::new();
    let read = connection.read_to_end(&mut request);
    assert_eq!(read.expect("the router closes"), 0);
}

proptest! {
    /// Whatever a peer hands over, reading it ends.
    #[test]
    fn no_snapshot_crashes_its_reader(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode_snapshot(&bytes);
    }
}

#[test]
fn peers_are_asked_only_for_what_the_store_does_not_tell() {
    let wanting = |behind_since_ms, store_answers, list_age_ms| {
        let knowledge = SyncState {
            behind_since_ms,
            reads_store: true,
            receives_store_updates: store_answers,
            list_age_ms,
        };
        knowledge.needs_fetch(10_000)
    };
    assert!(!wanting(None, true, 3_650), "nothing has changed");
    assert!(wanting(None, false, 3_650));
    assert!(!wanting(None, false, 2_900));
    assert!(wanting(Some(9_400), true, 0));
    assert!(!wanting(Some(9_600), true, 0), "its own watch brings it");
    let told = SyncState {
        behind_since_ms: Some(10_000),
        reads_store: false,
        receives_store_updates: true,
        list_age_ms: 0,
    };
    assert!(told.needs_fetch(10_000), "nothing else brings it");
}

#[test]
fn a_question_says_what_is_known() {
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
