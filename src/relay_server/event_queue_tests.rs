//! The queue of events to a caller that reads slowly, or leaves.

use std::io;

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};

use super::event_queue::{CallerLeft, event_queue};

/// Guards against a queue that is bounded in pieces of any size.
#[actix_rt::test]
async fn events_wait_for_a_caller_that_does_not_read() {
    let (sender, mut receiver) = event_queue();
    let large = Bytes::from(vec![b'x'; 1 << 20]);
    let mut sending = Box::pin(sender.send(large));
    assert_eq!((&mut sending).now_or_never(), None);
    let mut queued_bytes = 0;
    while let Some(piece) = receiver.next().now_or_never() {
        queued_bytes += piece.expect("a piece").expect("no error").len();
    }
    assert!((1..=32 << 10).contains(&queued_bytes), "{queued_bytes}");
}

#[actix_rt::test]
async fn small_events_wait_as_well() {
    let (sender, _receiver) = event_queue();
    let mut sent = 0;
    while sender.send(Bytes::from_static(b"x")).now_or_never() == Some(Ok(())) {
        sent += 1;
    }
    assert_eq!(sent, 64);
}

#[actix_rt::test]
async fn events_arrive_whole_and_in_order_and_an_error_behind_them() {
    let (sender, mut receiver) = event_queue();
    let bytes: Vec<u8> = (0..200_000_u32).map(|it| it as u8).collect();
    let events = Bytes::from(bytes.clone());
    let send = async {
        sender.send(events).await.expect("the caller reads");
        sender.abort(io::Error::other("cut off"));
        drop(sender);
    };
    let receive = async {
        let mut received = Vec::new();
        while let Some(Ok(piece)) = receiver.next().await {
            received.extend_from_slice(&piece);
        }
        received
    };
    let ((), received) = futures_util::join!(send, receive);
    assert!(received == bytes);
}

#[actix_rt::test]
async fn a_send_that_waits_ends_when_the_caller_leaves() {
    let (sender, receiver) = event_queue();
    let sending = sender.send(Bytes::from(vec![b'x'; 1 << 20]));
    let leaving = async { drop(receiver) };
    let (sent, ()) = futures_util::join!(sending, leaving);
    assert_eq!(sent, Err(CallerLeft));
}
