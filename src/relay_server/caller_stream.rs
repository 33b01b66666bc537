//! The TCP connection of a caller, which records in its [`ConnectionActivity`] when bytes arrive and leave.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use rustix::net::{Shutdown, shutdown};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_activity::ConnectionActivity;
use crate::clock::boot_ms;

/// A caller's connection as the HTTP service reads and writes it.
pub(super) struct CallerStream {
    /// Shared with the record of open connections, which may write a last response to it.
    stream: Rc<TcpStream>,
    activity: Rc<ConnectionActivity>,
}

impl CallerStream {
    pub(super) fn new(stream: Rc<TcpStream>, activity: Rc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }

    /// The socket.
    pub(super) fn socket(&self) -> &Rc<TcpStream> {
        &self.stream
    }

    /// The activity on the connection.
    pub(super) fn activity(&self) -> &Rc<ConnectionActivity> {
        &self.activity
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(0) => {
                    self.activity.record_end();
                    return Poll::Ready(Ok(()));
                }
                Ok(length) => {
                    buffer.advance(length);
                    self.activity.record_read(boot_ms());
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    self.activity.record_end();
                    return Poll::Ready(Err(error));
                }
            }
        }
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
