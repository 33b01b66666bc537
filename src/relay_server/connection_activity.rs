//! What happens on the connection of a caller, and since when it has been idle.

use std::cell::Cell;
use std::rc::Rc;

use actix_http::Request;

use super::caller_link::CallerLink;
use crate::clock::boot_ms;

/// What happens on one connection. Written by the connection's stream and by its requests.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    /// When it was opened, or bytes last arrived or left, or a response was last complete.
    active_at_ms: Cell<u64>,
    /// When the first bytes of a request arrived whose head is not complete.
    head_since_ms: Cell<Option<u64>>,
    /// Whether bytes of a response wait until the caller reads.
    has_unsent_bytes: Cell<bool>,
    /// Requests whose responses have not been handed over completely.
    open_requests: Cell<u32>,
    /// Requests that have arrived so far.
    requests: Cell<u64>,
    /// Whether the caller has closed its side, or the connection was reset.
    has_ended: Cell<bool>,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// A request is being served.
    Serving,
    /// The rest of a response waits until the caller reads; nothing was sent since this time.
    Unsent { since_ms: u64 },
    /// Part of a request's head has arrived, the first of it at this time.
    ReceivingHead { since_ms: u64 },
    /// Nothing is under way since this time.
    Idle { since_ms: u64 },
}

impl ConnectionActivity {
    /// A connection opened at `now_ms`.
    pub(super) fn opened(now_ms: u64) -> Self {
        Self {
            active_at_ms: Cell::new(now_ms),
            head_since_ms: Cell::default(),
            has_unsent_bytes: Cell::default(),
            open_requests: Cell::default(),
            requests: Cell::default(),
            has_ended: Cell::default(),
        }
    }

    /// Records that bytes have arrived.
    pub(super) fn record_read(&self, now_ms: u64) {
        self.active_at_ms.set(now_ms);
        if self.open_requests.get() == 0 && self.head_since_ms.get().is_none() {
            self.head_since_ms.set(Some(now_ms));
        }
    }

    /// Records that nothing more can be read: the caller has closed its side, or the connection was reset.
    pub(super) fn record_end(&self) {
        self.has_ended.set(true);
    }

    /// Whether nothing more can be read, as far as the connection's stream has noticed.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Records that bytes have left.
    pub(super) fn record_written(&self, now_ms: u64) {
        self.active_at_ms.set(now_ms);
        self.has_unsent_bytes.set(false);
    }

    /// Records that bytes can't leave until the caller reads.
    pub(super) fn record_write_blocked(&self) {
        self.has_unsent_bytes.set(true);
    }

    /// Records that the head of a request is complete.
    pub(super) fn record_request(&self, now_ms: u64) {
        self.active_at_ms.set(now_ms);
        self.head_since_ms.set(None);
        self.open_requests.set(self.open_requests.get() + 1);
        self.requests.set(self.requests.get() + 1);
    }

    /// Records that a response has been handed over completely. Part of it may be unsent.
    pub(super) fn record_response(&self, now_ms: u64) {
        self.active_at_ms.set(now_ms);
        let open = self.open_requests.get();
        self.open_requests.set(open.saturating_sub(1));
    }

    /// The state of the connection.
    pub(super) fn state(&self) -> ConnectionState {
        let since_ms = self.active_at_ms.get();
        if self.has_unsent_bytes.get() {
            ConnectionState::Unsent { since_ms }
        } else if self.open_requests.get() > 0 {
            ConnectionState::Serving
        } else if let Some(since_ms) = self.head_since_ms.get() {
            ConnectionState::ReceivingHead { since_ms }
        } else {
            ConnectionState::Idle { since_ms }
        }
    }

    /// When anything last happened.
    pub(super) fn active_at_ms(&self) -> u64 {
        self.active_at_ms.get()
    }

    /// Number of requests that have arrived.
    pub(super) fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Whether only the sending of a response is left to do.
    pub(super) fn has_unsent_response(&self) -> bool {
        self.has_unsent_bytes.get() && self.open_requests.get() == 0
    }
}

/// A request on a caller's connection, until its response has been handed over or it is dropped.
pub(crate) struct RequestOnConnection(Rc<ConnectionActivity>);

impl RequestOnConnection {
    /// Records that a request has arrived; `None` if the activity on its connection is not recorded.
    pub(super) fn begin(request: &Request) -> Option<Self> {
        let activity = request.conn_data::<CallerLink>()?.activity();
        activity.record_request(boot_ms());
        Some(Self(Rc::clone(activity)))
    }
}

impl Drop for RequestOnConnection {
    fn drop(&mut self) {
        self.0.record_response(boot_ms());
    }
}
