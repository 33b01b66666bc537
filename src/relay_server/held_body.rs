//! A body of an endpoint's response that is held whole until its caller has taken it.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

use super::memory_budget::MemoryShare;
use crate::block_buffer::BlockBuffer;

/// A body of which any part may have arrived, and the memory that it takes.
///
/// Invariant: the share has the size of the part that is held.
#[derive(Debug)]
pub(crate) struct HeldBody {
    bytes: BlockBuffer,
    share: MemoryShare,
}

impl HeldBody {
    /// An empty body.
    pub(super) fn new(share: MemoryShare) -> Self {
        Self {
            bytes: BlockBuffer::default(),
            share,
        }
    }

    /// Size of the part that is held.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes. Returns whether there is memory for them.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        let has_memory = self.share.resize(self.bytes.len() + bytes.len());
        if has_memory {
            self.bytes.push(bytes);
        }
        has_memory
    }

    /// Takes the next piece.
    fn pop(&mut self) -> Option<Bytes> {
        let block = self.bytes.pop();
        self.share.resize(self.bytes.len());
        block
    }

    /// All bytes in one piece.
    #[cfg(test)]
    pub(super) fn to_vec(&self) -> Vec<u8> {
        self.bytes.clone().take_joined(&[]).to_vec()
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(self.pop().map(Ok))
    }
}
