//! The way from the entry's actor to one waiting caller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use actix::Addr;
use tokio::sync::mpsc;

use super::actor::EntryActor;
use super::messages::CallerLeft;
use crate::instance::{ApplicationReply, CallerId};
use crate::outcome::Refusal;

/// Events kept for a caller that reads slowly. Past it the caller is dropped, so that memory stays
/// bounded and no other caller waits.
pub(crate) const EVENTS_LIMIT: usize = 4_096;

/// What the actor tells a caller's handler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallerEvent {
    /// The next token.
    Token {
        /// Its text, without separator.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Tokens in all.
        positions: u32,
        /// Whether `max_tokens` ended it.
        cut_by_length: bool,
    },
    /// An application's answer.
    Reply {
        /// The answer.
        reply: ApplicationReply,
        /// Whether it is a recorded one.
        replayed: bool,
    },
    /// A final word other than an answer.
    Refusal(Refusal),
}

/// Sending half, kept by the actor.
pub(crate) type CallerSender = mpsc::Sender<CallerEvent>;

/// Numbers of callers, how many have not got their whole answer yet, and whether they read.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerCount {
    next: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    /// Times that any caller's connection took something; only grows.
    taken: Arc<AtomicU64>,
}

impl CallerCount {
    /// Callers whose answer is not wholly handed to their connection.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Times that any caller's connection took something.
    pub(crate) fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    fn enter(&self) -> CallerId {
        self.open.fetch_add(1, Ordering::AcqRel);
        CallerId(self.next.fetch_add(1, Ordering::Relaxed))
    }
}

/// A caller's handler side. Dropping it before the final word tells the entry that the caller is
/// gone.
pub(crate) struct WaitingCaller {
    id: CallerId,
    events: mpsc::Receiver<CallerEvent>,
    actor: Addr<EntryActor>,
    count: CallerCount,
    /// Whether the final word has been received.
    finished: bool,
}

impl WaitingCaller {
    /// Opens the way to a new caller.
    pub(crate) fn open(actor: Addr<EntryActor>, count: CallerCount) -> (Self, CallerSender) {
        let (sender, events) = mpsc::channel(EVENTS_LIMIT);
        let caller = Self {
            id: count.enter(),
            events,
            actor,
            count,
            finished: false,
        };
        (caller, sender)
    }

    /// The caller's number.
    pub(crate) fn id(&self) -> CallerId {
        self.id
    }

    /// Waits for the next event; `None` if the actor dropped the caller without a final word.
    pub(crate) async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.events.recv().await;
        self.note(event.as_ref());
        event
    }

    /// Waits for events and takes up to `limit` of those that are there; 0 if the actor dropped
    /// the caller without a final word.
    pub(crate) async fn next_many(&mut self, into: &mut Vec<CallerEvent>, limit: usize) -> usize {
        let count = self.events.recv_many(into, limit).await;
        self.note(into.last());
        count
    }

    fn note(&mut self, last: Option<&CallerEvent>) {
        self.finished |= !matches!(last, Some(CallerEvent::Token { .. }));
        self.count.taken.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        if !self.finished {
            self.actor.do_send(CallerLeft { caller: self.id });
        }
        self.count.open.fetch_sub(1, Ordering::AcqRel);
        self.count.taken.fetch_add(1, Ordering::Relaxed);
    }
}
