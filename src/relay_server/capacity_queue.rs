//! Streams of this instance that wait for capacity, by service: wakes the one whose turn it is.
//!
//! The order is decided by [`StartQueue`]. A waiting stream holds a [`QueuePlace`]; dropping it, as
//! happens when its caller leaves, frees the place.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use tokio::sync::Notify;

use crate::ids::ServiceName;
use crate::start_queue::{Joined, Rank, StartQueue, TurnOutcome};

/// Longest time between two rounds while requests wait. It covers whatever no signal reports, such
/// as memory that streams of other zones release.
const FALLBACK_INTERVAL_MS: u64 = 100;

/// Number of a request within the queues of this process.
type Ticket = u64;

/// The queues of all services that have one.
#[derive(Debug, Default)]
pub(crate) struct CapacityQueues {
    queues: RefCell<IndexMap<ServiceName, ServiceQueue>>,
    next_ticket: Cell<Ticket>,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    order: StartQueue<Ticket>,
    signals: IndexMap<Ticket, Rc<Signal>>,
    /// When the next round begins unless a signal begins one sooner.
    round_due_ms: u64,
}

/// What a waiting request is told.
#[derive(Debug, Default)]
struct Signal {
    notify: Notify,
    is_displaced: Cell<bool>,
}

impl ServiceQueue {
    fn begin_round(&mut self, now_ms: u64) {
        self.round_due_ms = now_ms + FALLBACK_INTERVAL_MS;
        self.order.begin_round(now_ms);
        self.notify_next(now_ms);
    }

    fn notify_next(&self, now_ms: u64) {
        let next = self.order.next_turn(now_ms);
        if let Some(signal) = next.and_then(|ticket| self.signals.get(ticket)) {
            signal.notify.notify_one();
        }
    }
}

/// The queue has no place for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueRefusal {
    pub(crate) expected_wait_ms: Option<u64>,
    /// Length of the queue when the request arrived.
    pub(crate) length: usize,
}

impl CapacityQueues {
    /// Whether a new request may start without joining the queue.
    pub(crate) fn may_start(&self, service: &ServiceName, rank: &Rank, now_ms: u64) -> bool {
        let queues = self.queues.borrow();
        let queue = queues.get(service);
        queue.is_none_or(|queue| queue.order.may_start(rank, now_ms))
    }

    /// Records that a request started without joining the queue.
    pub(crate) fn record_started(&self, service: &ServiceName, rank: &Rank, now_ms: u64) {
        self.with_queue(service, |queue| queue.order.record_started(rank, now_ms));
    }

    /// Adds a request that waits until `until_ms` at most.
    pub(crate) fn join(
        self: &Rc<Self>,
        service: &ServiceName,
        rank: Rank,
        until_ms: u64,
        now_ms: u64,
    ) -> Result<QueuePlace, QueueRefusal> {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        self.with_queue(service, |queue| {
            let length = queue.order.len();
            let joined = queue.order.join(ticket, rank.clone(), until_ms, now_ms);
            let (expected_wait_ms, displaced) = match joined {
                Joined::Queued {
                    expected_wait_ms,
                    displaced,
                } => (expected_wait_ms, displaced),
                Joined::Refused { expected_wait_ms } => {
                    return Err(QueueRefusal {
                        expected_wait_ms,
                        length,
                    });
                }
            };
            if let Some(signal) = displaced.and_then(|it| queue.signals.swap_remove(&it)) {
                signal.is_displaced.set(true);
                signal.notify.notify_one();
            }
            if length == 0 {
                queue.round_due_ms = now_ms + FALLBACK_INTERVAL_MS;
            }
            let signal = Rc::new(Signal::default());
            queue.signals.insert(ticket, Rc::clone(&signal));
            queue.notify_next(now_ms);
            Ok(QueuePlace {
                queues: Rc::clone(self),
                service: service.clone(),
                ticket,
                rank,
                signal,
                expected_wait_ms,
                length,
                joined_ms: now_ms,
                until_ms,
            })
        })
    }

    /// Begins a round for all services, since capacity may have become available.
    pub(crate) fn wake(&self, now_ms: u64) {
        for queue in self.queues.borrow_mut().values_mut() {
            if queue.order.len() > 0 {
                queue.begin_round(now_ms);
            }
        }
    }

    fn with_queue<R, F>(&self, service: &ServiceName, act: F) -> R
    where
        F: FnOnce(&mut ServiceQueue) -> R,
    {
        let mut queues = self.queues.borrow_mut();
        if !queues.contains_key(service) {
            queues.insert(service.clone(), ServiceQueue::default());
        }
        act(&mut queues[service])
    }
}

/// Why a waiting request was woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueWake {
    /// It may try to start.
    Turn,
    /// It must be refused for a more urgent one.
    Displaced,
    /// Its wait is over.
    Late,
    /// Another request has the turn.
    NotYet,
}

/// The place of a request in the queue of its service, until it is dropped.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    queues: Rc<CapacityQueues>,
    service: ServiceName,
    ticket: Ticket,
    rank: Rank,
    signal: Rc<Signal>,
    /// As it was when the request arrived.
    pub(crate) expected_wait_ms: Option<u64>,
    /// Length of the queue when the request arrived.
    pub(crate) length: usize,
    pub(crate) joined_ms: u64,
    until_ms: u64,
}

impl QueuePlace {
    /// Waits for a signal to this request; cancelling it loses none.
    pub(crate) async fn notified(&self) {
        self.signal.notify.notified().await;
    }

    /// When to call [`Self::wake`] if no signal comes.
    pub(crate) fn check_due_ms(&self) -> u64 {
        let round_due_ms = self.with_queue(|queue| queue.round_due_ms);
        round_due_ms.min(self.until_ms)
    }

    /// Determines what the request may do now. Begins a round if one is due.
    pub(crate) fn wake(&self, now_ms: u64) -> QueueWake {
        // A turn granted before a freeze of the process no longer counts after it.
        if now_ms >= self.until_ms {
            return QueueWake::Late;
        }
        if self.signal.is_displaced.get() {
            return QueueWake::Displaced;
        }
        self.with_queue(|queue| {
            if now_ms >= queue.round_due_ms {
                queue.begin_round(now_ms);
            }
            if queue.order.next_turn(now_ms) == Some(&self.ticket) {
                QueueWake::Turn
            } else {
                QueueWake::NotYet
            }
        })
    }

    /// Records that the request got capacity; the next one gets its turn.
    pub(crate) fn record_served(&self, now_ms: u64) {
        self.with_queue(|queue| {
            queue.order.record_served(&self.ticket, now_ms);
            queue.notify_next(now_ms);
        });
    }

    /// Records that the request got no capacity in its turn. An engine stops counting as full at
    /// `next_free_ms`, if one does.
    pub(crate) fn record_unserved(
        &self,
        outcome: TurnOutcome,
        next_free_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.with_queue(|queue| {
            queue.order.record_unserved(&self.ticket, outcome, now_ms);
            if let Some(next_free_ms) = next_free_ms {
                queue.round_due_ms = queue.round_due_ms.min(next_free_ms);
            }
            queue.notify_next(now_ms);
        });
    }

    /// Expected time until a new request of the same rank would get its turn.
    pub(crate) fn expected_retry_wait_ms(&self, now_ms: u64) -> Option<u64> {
        self.with_queue(|queue| queue.order.expected_wait_ms(&self.rank, now_ms))
    }

    fn with_queue<R, F>(&self, act: F) -> R
    where
        F: FnOnce(&mut ServiceQueue) -> R,
    {
        self.queues.with_queue(&self.service, act)
    }

    /// Frees the place; the next request may get the turn that this one had.
    fn leave(&self, now_ms: u64) {
        self.with_queue(|queue| {
            queue.order.leave(&self.ticket, now_ms);
            queue.signals.swap_remove(&self.ticket);
            queue.notify_next(now_ms);
        });
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.leave(crate::clock::boot_ms());
    }
}
