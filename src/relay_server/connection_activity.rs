//! What happens on the connection of a caller, and since when it has been idle.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Payload, Request};
use bytes::Bytes;

use super::caller_link::CallerLink;
use super::request_boundary::BodyFraming;
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
    /// Framing of the body of the request that began last.
    body_framing: Cell<BodyFraming>,
    /// The task that reads requests, while it has bytes that it may not read yet.
    reader: RefCell<Option<Waker>>,
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
            body_framing: Cell::default(),
            reader: RefCell::default(),
        }
    }

    /// Records that bytes have arrived, which may have to wait for earlier requests.
    pub(super) fn record_received(&self, now_ms: u64) {
        self.active_at_ms.set(now_ms);
    }

    /// Records that bytes of a request are read.
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
        self.wake_reader_if_answered();
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

    /// Records how the body of a request that has begun is framed.
    pub(super) fn record_body_framing(&self, framing: BodyFraming) {
        self.body_framing.set(framing);
        if framing != BodyFraming::None {
            self.wake_reader();
        }
    }

    /// How the body of the request that began last is framed.
    pub(super) fn body_framing(&self) -> BodyFraming {
        self.body_framing.get()
    }

    /// Whether all requests that have begun are answered, and the answers have left.
    pub(super) fn is_answered(&self) -> bool {
        self.open_requests.get() == 0 && !self.has_unsent_bytes.get()
    }

    /// Whether bytes of a response wait until the caller reads.
    pub(super) fn has_unsent_bytes(&self) -> bool {
        self.has_unsent_bytes.get()
    }

    /// Has a task woken once it may read on.
    pub(super) fn wake_reader_later(&self, reader: &Waker) {
        self.reader.replace(Some(reader.clone()));
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn wake_reader_if_answered(&self) {
        if self.is_answered() {
            self.wake_reader();
        }
    }

    /// Records that a response has been handed over completely. Part of it may be unsent.
    pub(super) fn record_response(&self, now_ms: u64) {
        self.active_at_ms.set(now_ms);
        let open = self.open_requests.get();
        self.open_requests.set(open.saturating_sub(1));
        self.wake_reader_if_answered();
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
    pub(super) fn begin(request: &mut Request) -> Option<Self> {
        let framing = body_framing(request);
        let activity = request.conn_data::<CallerLink>()?.activity();
        activity.record_request(boot_ms());
        activity.record_body_framing(framing);
        Some(Self(Rc::clone(activity)))
    }
}

/// How the HTTP service finds the end of a request's body.
fn body_framing(request: &mut Request) -> BodyFraming {
    if matches!(request.payload(), Payload::None) {
        return BodyFraming::None;
    }
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|it| it.to_str().ok()?.trim().parse().ok());
    match length {
        _ if request.chunked().unwrap_or(false) => BodyFraming::Chunked,
        Some(length) => BodyFraming::Length(length),
        None => BodyFraming::UntilClose,
    }
}

impl Drop for RequestOnConnection {
    fn drop(&mut self) {
        self.0.record_response(boot_ms());
    }
}

/// The body of a response, until it has been handed over.
pub(super) struct AnswerBody {
    pub(super) body: BoxBody,
    pub(super) _on_connection: Option<RequestOnConnection>,
}

impl MessageBody for AnswerBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}
