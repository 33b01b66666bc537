//! The channel from the entry's actor to the HTTP handler of a waiting caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use actix::Addr;
use tokio::sync::mpsc;

use super::actor::EntryActor;
use super::messages::CallerLeft;
use crate::instance::{ApplicationReply, CallerId};
use crate::outcome::Refusal;

/// Maximum number of events buffered for a caller that reads slowly. If the buffer is full, the
/// caller is dropped, so that memory stays bounded and other callers are not delayed.
pub(crate) const MAX_BUFFERED_EVENTS: usize = 4_096;

/// An event sent from the actor to a caller's handler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerEvent {
    /// The next token.
    Token {
        /// Token text, without the separator.
        text: String,
    },
    /// The answer is complete.
    End {
        /// Total number of tokens.
        positions: u32,
        /// Whether generation stopped at `max_tokens`.
        cut_by_length: bool,
    },
    /// The response of an application.
    Reply {
        /// The response.
        reply: ApplicationReply,
        /// Whether it is a stored response of an earlier call.
        replayed: bool,
    },
    /// A final error.
    Refusal(Refusal),
}

/// Sending half of the channel, held by the actor.
pub(crate) type CallerSender = mpsc::Sender<CallerEvent>;

/// Assigns caller ids, counts callers with incomplete responses and tracks read progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerTracker {
    next: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    /// Total number of reads by all callers' connections, and of closed callers.
    reads: Arc<AtomicU64>,
}

impl CallerTracker {
    /// Callers whose response has not been handed to their connection completely.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Total number of reads by all callers' connections; a change shows progress.
    pub(crate) fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    fn enter(&self) -> CallerId {
        self.open.fetch_add(1, Ordering::AcqRel);
        CallerId(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// The handler's side of a caller. Dropping it before the final response notifies the actor that
/// the caller has disconnected.
pub(crate) struct WaitingCaller {
    id: CallerId,
    events: mpsc::Receiver<CallerEvent>,
    actor: Addr<EntryActor>,
    tracker: CallerTracker,
    /// Whether the final response has been received.
    finished: bool,
}

impl WaitingCaller {
    /// Creates the channel for a new caller.
    pub(crate) fn open(actor: Addr<EntryActor>, tracker: CallerTracker) -> (Self, CallerSender) {
        let (sender, events) = mpsc::channel(MAX_BUFFERED_EVENTS);
        let caller = Self {
            id: tracker.enter(),
            events,
            actor,
            tracker,
            finished: false,
        };
        (caller, sender)
    }

    pub(crate) fn id(&self) -> CallerId {
        self.id
    }

    /// Whether the actor has dropped the caller.
    #[cfg(test)]
    pub(crate) fn is_dropped(&self) -> bool {
        self.events.is_closed()
    }

    /// Waits for the next event. Returns `None` if the actor dropped the caller without a final
    /// response.
    pub(crate) async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.events.recv().await;
        self.record_received(event.as_ref());
        event
    }

    /// Waits for events and receives up to `limit` of the available ones. Returns 0 if the actor
    /// dropped the caller without a final response.
    pub(crate) async fn next_many(&mut self, into: &mut Vec<CallerEvent>, limit: usize) -> usize {
        let count = self.events.recv_many(into, limit).await;
        self.record_received(into.last());
        count
    }

    fn record_received(&mut self, last: Option<&CallerEvent>) {
        self.finished |= !matches!(last, Some(CallerEvent::Token { .. }));
        self.tracker.reads.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        if !self.finished {
            self.actor.do_send(CallerLeft { caller: self.id });
        }
        self.tracker.open.fetch_sub(1, Ordering::AcqRel);
        self.tracker.reads.fetch_add(1, Ordering::Relaxed);
    }
}
