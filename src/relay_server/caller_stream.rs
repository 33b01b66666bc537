//! The TCP connection of a caller, of which the HTTP service reads one request at a time. Records in its
//! [`ConnectionActivity`] when bytes arrive and leave.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use rustix::net::{Shutdown, shutdown};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_activity::ConnectionActivity;
use super::request_boundary::RequestBoundary;
use crate::clock::boot_ms;

/// Bytes that are read at once where a request may end, and that are kept of the requests behind it.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// Bytes that the HTTP service gets before it parses them. It buffers all that it gets, and keeps the buffer.
const TURN_BYTES: usize = 8 << 10;

/// A caller's connection as the HTTP service reads and writes it.
pub(super) struct CallerStream {
    /// Shared with the record of open connections, which may write a last response to it.
    stream: Rc<TcpStream>,
    activity: Rc<ConnectionActivity>,
    /// How much of the present request the HTTP service has got.
    boundary: RequestBoundary,
    /// Requests that had begun on the connection before the present one.
    earlier_requests: u64,
    /// Bytes behind the present request.
    ///
    /// Invariant: at most [`READ_AHEAD_BYTES`].
    ahead: BytesMut,
    /// Bytes that the HTTP service has got since it last had to wait.
    turn_bytes: usize,
}

impl CallerStream {
    pub(super) fn new(stream: Rc<TcpStream>, activity: Rc<ConnectionActivity>) -> Self {
        Self {
            stream,
            activity,
            boundary: RequestBoundary::START,
            earlier_requests: 0,
            ahead: BytesMut::new(),
            turn_bytes: 0,
        }
    }

    /// The socket.
    pub(super) fn socket(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// The activity on the connection.
    pub(super) fn activity(&self) -> &Rc<ConnectionActivity> {
        &self.activity
    }

    /// Moves on to the body of a request that has begun, and from a request that is answered to the next.
    fn update_boundary(&mut self) {
        let requests = self.activity.requests();
        let has_begun = requests > self.earlier_requests;
        if self.boundary == RequestBoundary::AfterHead && has_begun {
            self.boundary = RequestBoundary::after_head(self.activity.body_framing());
        }
        if self.boundary == RequestBoundary::End && has_begun && self.activity.is_answered() {
            self.boundary = RequestBoundary::START;
            self.earlier_requests = requests;
        }
    }

    /// Whether the HTTP service gets nothing more until a request has begun, or an answer has left.
    fn must_wait(&self) -> bool {
        let is_complete = matches!(
            self.boundary,
            RequestBoundary::AfterHead | RequestBoundary::End
        );
        is_complete || self.activity.has_unsent_response()
    }

    /// Whether the HTTP service has found a request behind the end of the present one.
    fn is_out_of_step(&self) -> bool {
        self.activity.requests() > self.earlier_requests + 1
    }

    /// Reads from the socket.
    fn poll_socket(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer) {
                Ok(0) => {
                    self.activity.record_end();
                    return Poll::Ready(Ok(0));
                }
                Ok(length) => {
                    self.activity.record_received(boot_ms());
                    return Poll::Ready(Ok(length));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    self.activity.record_end();
                    return Poll::Ready(Err(error));
                }
            }
        }
    }

    /// Reads a little ahead while a request is served, which shows the end of the connection. Ready at its end only.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut received = [0; READ_AHEAD_BYTES];
        while self.ahead.len() < READ_AHEAD_BYTES {
            let room = READ_AHEAD_BYTES - self.ahead.len();
            match self.poll_socket(cx, &mut received[..room])? {
                Poll::Ready(0) => return Poll::Ready(Ok(())),
                Poll::Ready(length) => self.ahead.extend_from_slice(&received[..length]),
                Poll::Pending => break,
            }
        }
        if !self.ahead.is_empty() {
            self.activity.wake_reader_later(cx.waker());
        }
        Poll::Pending
    }

    /// Hands over bytes of the present request that were read before. Returns their number.
    fn hand_over_ahead(&mut self, buffer: &mut ReadBuf<'_>) -> usize {
        let available = self.ahead.len().min(buffer.remaining());
        let taken = self.boundary.advance(&self.ahead[..available]);
        buffer.put_slice(&self.ahead[..taken]);
        self.ahead.advance(taken);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
        taken
    }

    /// Reads bytes of the present request, and keeps those behind it. Returns their number; 0 at the end of the
    /// connection.
    fn poll_request(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let limit = match self.boundary {
            RequestBoundary::Body(left) => usize::try_from(left).unwrap_or(TURN_BYTES),
            RequestBoundary::UntilClose => TURN_BYTES,
            _ => READ_AHEAD_BYTES,
        };
        let limit = limit.min(TURN_BYTES).min(buffer.remaining());
        let unfilled = buffer.initialize_unfilled_to(limit);
        let length = ready!(self.poll_socket(cx, unfilled))?;
        let taken = self.boundary.advance(&unfilled[..length]);
        self.ahead.extend_from_slice(&unfilled[taken..length]);
        buffer.advance(taken);
        Poll::Ready(Ok(taken))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.turn_bytes >= TURN_BYTES {
            this.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if this.is_out_of_step() {
            this.activity.record_end();
            let error = io::Error::new(io::ErrorKind::InvalidData, "a request has no clear end");
            return Poll::Ready(Err(error));
        }
        this.update_boundary();
        if this.must_wait() {
            this.turn_bytes = 0;
            return this.poll_ahead(cx);
        }
        let is_head = matches!(this.boundary, RequestBoundary::Head(_));
        let length = if this.ahead.is_empty() {
            let read = this.poll_request(cx, buffer);
            if read.is_pending() {
                this.turn_bytes = 0;
            }
            ready!(read)?
        } else {
            this.hand_over_ahead(buffer)
        };
        this.turn_bytes += length;
        if length > 0 && is_head {
            this.activity.record_read(boot_ms());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(is_ready) = self.stream.poll_write_ready(cx) else {
                self.activity.record_write_blocked();
                return Poll::Pending;
            };
            is_ready?;
            match self.stream.try_write(bytes) {
                Ok(length) => {
                    self.activity.record_written(boot_ms());
                    return Poll::Ready(Ok(length));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.stream, Shutdown::Write).map_err(io::Error::from))
    }
}
