//! The connection to an endpoint as its codec reads it: bounded in what it may take of a turn of the event loop, and in
//! bytes that are neither a head nor part of a body.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

use super::carried_requests::CarriedRequests;

/// Size that the kernel is asked for of a connection's receive buffer. It counts as memory of the process, and fills up
/// while the process stands still.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Bytes that are read from a connection before other tasks run: an endpoint may send as fast as it is read.
const TURN_BYTES: usize = 64 << 10;
/// Maximum number of bytes from which the codec has got nothing: more than a head, a chunk's size line or the trailers
/// may have.
const MAX_FRAMING_BYTES: usize = 80 << 10;

/// A connection to an endpoint.
#[derive(Debug)]
pub(super) struct EndpointStream {
    stream: TcpStream,
    /// Bytes read since other tasks have run.
    turn_bytes: usize,
    /// Bytes read since the codec has got a head or part of a body.
    framing_bytes: usize,
    /// The requests that were sent on it.
    pub(super) carried: CarriedRequests,
}

impl EndpointStream {
    /// Connects to an endpoint.
    pub(super) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let stream = socket.connect(address).await?;
        // Without this option, a body sent after its head waits for an acknowledgement. If setting it fails, only
        // latency suffers.
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            turn_bytes: 0,
            framing_bytes: 0,
            carried: CarriedRequests::default(),
        })
    }

    /// Records that nothing more is to be read now. What is read next begins a turn.
    pub(super) fn end_turn(&mut self) {
        self.turn_bytes = 0;
    }

    /// Records that the codec has got a head or part of a body from what was read.
    pub(super) fn record_decoded(&mut self) {
        self.framing_bytes = 0;
    }
}

/// Whether a read failed because of what the endpoint sent, and not because the connection ended.
pub(super) fn is_invalid(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
    )
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        let length = buffer.filled().len() - filled_before;
        self.turn_bytes += length;
        self.framing_bytes += length;
        if self.framing_bytes > MAX_FRAMING_BYTES {
            let error = io::Error::new(io::ErrorKind::InvalidData, "bytes without a response");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
