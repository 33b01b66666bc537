//! The events of a stream on their way to its caller, bounded in bytes: a caller may read slowly, or not at all.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use tokio::sync::{Semaphore, mpsc};

/// Maximum size of the events in a queue.
const MAX_QUEUED_BYTES: u32 = 32 << 10;
/// Size that a piece counts as at least, for what its place in the queue takes.
const MIN_PIECE_BYTES: u32 = 512;
/// Maximum size of a piece: the connection's buffer takes one in addition to its limit.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// The caller no longer reads the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CallerLeft;

/// The end of a queue at which events enter.
pub(super) struct EventSender {
    pieces: mpsc::UnboundedSender<Result<Bytes, io::Error>>,
    /// Room for bytes in the queue.
    room: Rc<Semaphore>,
}

/// The end of a queue at which the caller's connection takes events.
///
/// Invariant: the pieces in the queue and the room that is left have [`MAX_QUEUED_BYTES`] together.
pub(super) struct EventReceiver {
    pieces: mpsc::UnboundedReceiver<Result<Bytes, io::Error>>,
    room: Rc<Semaphore>,
}

/// Creates an empty queue.
pub(super) fn event_queue() -> (EventSender, EventReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let room = Rc::new(Semaphore::new(MAX_QUEUED_BYTES as usize));
    let sender = EventSender {
        pieces: sender,
        room: Rc::clone(&room),
    };
    let receiver = EventReceiver {
        pieces: receiver,
        room,
    };
    (sender, receiver)
}

/// Room that a piece takes.
fn counted_bytes(piece: &Bytes) -> u32 {
    let bytes = u32::try_from(piece.len()).unwrap_or(MAX_QUEUED_BYTES);
    bytes.clamp(MIN_PIECE_BYTES, MAX_QUEUED_BYTES)
}

impl EventSender {
    /// Adds events to the queue, as soon as there is room.
    pub(super) async fn send(&self, mut events: Bytes) -> Result<(), CallerLeft> {
        while !events.is_empty() {
            let piece = events.split_to(events.len().min(MAX_PIECE_BYTES));
            let room = self.room.acquire_many(counted_bytes(&piece)).await;
            room.map_err(|_| CallerLeft)?.forget();
            self.pieces.send(Ok(piece)).map_err(|_| CallerLeft)?;
        }
        Ok(())
    }

    /// Has the response broken off behind the events in the queue.
    pub(super) fn abort(&self, error: io::Error) {
        // It fails only if the caller has left; nobody else needs the error.
        let _ = self.pieces.send(Err(error));
    }
}

impl EventReceiver {
    /// Ends the queue: nothing more is taken from it.
    pub(super) fn close(&mut self) {
        self.pieces.close();
        self.room.close();
    }
}

impl Stream for EventReceiver {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.pieces.poll_recv(cx);
        if let Poll::Ready(Some(Ok(piece))) = &next {
            self.room.add_permits(counted_bytes(piece) as usize);
        }
        next
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        self.close();
    }
}
