use std::rc::Rc;

use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::caller_stream::CallerStream;
use super::connection_activity::{ConnectionActivity, ConnectionState};
use super::request_boundary::BodyFraming;

/// More than the send and receive buffers of a connection hold.
const LARGE_RESPONSE_BYTES: usize = 64 << 20;

/// A caller's end of a connection and the instance's.
async fn connect() -> (TcpStream, CallerStream) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (caller, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (stream, _) = accepted.unwrap();
    let activity = Rc::new(ConnectionActivity::opened(0));
    (
        caller.unwrap(),
        CallerStream::new(Rc::new(stream), activity),
    )
}

#[actix_rt::test]
async fn a_response_is_unsent_until_its_caller_has_read_enough_of_it() {
    let (mut caller, mut stream) = connect().await;
    let activity = Rc::clone(stream.activity());
    let sending = actix_rt::spawn(async move {
        stream
            .write_all(&vec![b'x'; LARGE_RESPONSE_BYTES])
            .await
            .unwrap();
        stream
    });
    while !matches!(activity.state(), ConnectionState::Unsent { .. }) {
        tokio::task::yield_now().await;
    }
    let mut response = vec![0; LARGE_RESPONSE_BYTES];
    caller.read_exact(&mut response).await.unwrap();
    sending.await.unwrap();
    assert!(matches!(activity.state(), ConnectionState::Idle { since_ms } if since_ms > 0));
}

/// Guards against memory for the requests that a caller sends ahead, and for their responses.
#[actix_rt::test]
async fn a_request_is_read_once_the_one_before_it_is_answered_and_its_answer_has_left() {
    const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";
    let (mut caller, mut stream) = connect().await;
    let activity = Rc::clone(stream.activity());
    caller.write_all(&REQUEST.repeat(1_000)).await.unwrap();
    let mut buffer = [0; 64 << 10];
    for _ in 0..500 {
        let mut received = 0;
        while received < REQUEST.len() {
            received += stream.read(&mut buffer).await.unwrap();
        }
        assert_eq!(received, REQUEST.len());
        assert!(is_pending(&mut stream, &mut buffer), "before it has begun");
        activity.record_request(1);
        activity.record_body_framing(BodyFraming::None);
        assert!(is_pending(&mut stream, &mut buffer), "while it is served");
        activity.record_write_blocked();
        activity.record_response(1);
        assert!(is_pending(&mut stream, &mut buffer), "while it is unsent");
        activity.record_written(1);
    }
}

/// Whether nothing can be read now.
fn is_pending(stream: &mut CallerStream, buffer: &mut [u8]) -> bool {
    stream.read(buffer).now_or_never().is_none()
}

/// Guards against requests that are read without limit because two parsers disagree on the end of one.
#[actix_rt::test]
async fn a_connection_on_which_a_second_request_begins_within_the_first_is_not_read_on() {
    let (mut caller, mut stream) = connect().await;
    let activity = Rc::clone(stream.activity());
    let mut buffer = [0; 1_024];
    let head = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n";
    caller.write_all(head).await.unwrap();
    assert_eq!(stream.read(&mut buffer).await.unwrap(), head.len());
    activity.record_request(1);
    activity.record_request(1);
    caller.write_all(b"body").await.unwrap();
    assert!(stream.read(&mut buffer).await.is_err());
}

/// Guards against a 408 on an idle connection, because the rest of a refused request's body counted as a head.
#[actix_rt::test]
async fn the_rest_of_a_body_behind_its_answer_begins_no_head() {
    let (mut caller, mut stream) = connect().await;
    let activity = Rc::clone(stream.activity());
    let mut buffer = [0; 1_024];
    let head = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n";
    caller.write_all(head).await.unwrap();
    assert_eq!(stream.read(&mut buffer).await.unwrap(), head.len());
    activity.record_request(1);
    activity.record_response(1);
    caller.write_all(b"body").await.unwrap();
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 4);
    assert!(matches!(activity.state(), ConnectionState::Idle { .. }));
}

/// Guards against a caller that is waited for although it has left.
#[actix_rt::test]
async fn the_end_of_a_connection_is_read_while_a_request_is_served() {
    let (mut caller, mut stream) = connect().await;
    let activity = Rc::clone(stream.activity());
    let mut buffer = [0; 1_024];
    let request = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET /b";
    caller.write_all(request).await.unwrap();
    assert_eq!(stream.read(&mut buffer).await.unwrap(), request.len() - 6);
    activity.record_request(1);
    drop(caller);
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 0);
    assert!(activity.has_ended());
}

#[actix_rt::test]
async fn the_first_bytes_of_a_request_begin_its_head() {
    let (mut caller, mut stream) = connect().await;
    let activity = Rc::clone(stream.activity());
    assert_eq!(activity.state(), ConnectionState::Idle { since_ms: 0 });
    let mut buffer = [0; 16];
    caller.write_all(b"GET ").await.unwrap();
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 4);
    let ConnectionState::ReceivingHead { since_ms } = activity.state() else {
        panic!("{:?}", activity.state());
    };
    activity.record_request(since_ms);
    assert_eq!(activity.state(), ConnectionState::Serving);
    drop(caller);
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 0);
}
