//! Whether the caller of a request is still connected.
//!
//! What a caller has written stays readable after it has closed its connection, and after the connection was reset. A
//! process that stood still meanwhile reads a request that its caller may have sent again to another instance.

use std::rc::{Rc, Weak};

use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use tokio::net::TcpStream;

use super::caller_stream::CallerStream;
use super::connection_activity::ConnectionActivity;

/// The connection on which a request arrived.
#[derive(Clone, Debug)]
pub(crate) struct CallerLink {
    activity: Rc<ConnectionActivity>,
    /// A request does not keep the socket of a closed connection open.
    stream: Weak<TcpStream>,
}

impl CallerLink {
    pub(super) fn of(stream: &CallerStream) -> Self {
        Self {
            activity: Rc::clone(stream.activity()),
            stream: Rc::downgrade(stream.socket()),
        }
    }

    /// The activity on the connection.
    pub(super) fn activity(&self) -> &Rc<ConnectionActivity> {
        &self.activity
    }

    /// Whether the caller has closed its side, or the connection was reset, as far as the kernel knows now.
    pub(crate) fn has_ended(&self) -> bool {
        let stream = self.stream.upgrade();
        let is_at_end = |stream: &TcpStream| Readable::of(stream) == Readable::End;
        self.activity.has_ended() || stream.is_none_or(|stream| is_at_end(&stream))
    }
}

/// What can be read from a socket now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Readable {
    Nothing,
    /// Bytes, which hide an end of the connection behind them.
    Bytes,
    /// The peer has closed its side, or the connection was reset.
    End,
}

impl Readable {
    /// Looks at a socket without reading from it.
    pub(super) fn of(stream: &TcpStream) -> Self {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match recv(stream, &mut [0_u8; 1], flags) {
            Ok((0, _)) => Self::End,
            Ok(_) => Self::Bytes,
            Err(Errno::AGAIN | Errno::INTR) => Self::Nothing,
            Err(_) => Self::End,
        }
    }
}
