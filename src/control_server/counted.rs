//! A connection whose bytes are counted.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::traffic::{Side, Traffic};

/// A TCP connection whose bytes are counted.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    side: Side,
    traffic: Traffic,
}

impl CountedStream {
    /// Counts the bytes of `stream` for `side`.
    pub(super) fn new(stream: TcpStream, side: Side, traffic: Traffic) -> Self {
        Self {
            stream,
            side,
            traffic,
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let read = buffer.filled().len().saturating_sub(before);
        self.traffic.received(self.side.get(), read);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.sent(self.side.get(), *written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
