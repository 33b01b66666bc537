use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::caller_stream::CallerStream;
use super::connection_activity::{ConnectionActivity, ConnectionState};

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
