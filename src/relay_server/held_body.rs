//! A body of an endpoint's response that is held whole until its caller has taken it.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::{Bytes, BytesMut};

use super::memory_budget::MemoryShare;

/// Maximum size of a block: a body that grows is not copied, and its caller gets it piece by piece.
const MAX_BLOCK_BYTES: usize = 16 << 10;

/// A body of which any part may have arrived, and the memory that it takes.
///
/// Invariant: the share has the size of the blocks.
#[derive(Debug)]
pub(crate) struct HeldBody {
    blocks: VecDeque<BytesMut>,
    bytes: usize,
    share: MemoryShare,
}

impl HeldBody {
    /// An empty body.
    pub(super) fn new(share: MemoryShare) -> Self {
        Self {
            blocks: VecDeque::new(),
            bytes: 0,
            share,
        }
    }

    /// Size of the part that is held.
    pub(crate) fn len(&self) -> usize {
        self.bytes
    }

    /// Adds bytes. Returns whether there is memory for them.
    pub(super) fn push(&mut self, mut bytes: &[u8]) -> bool {
        if !self.share.resize(self.bytes + bytes.len()) {
            return false;
        }
        self.bytes += bytes.len();
        while !bytes.is_empty() {
            let block = self.block_with_room(bytes.len());
            let room_bytes = block.capacity() - block.len();
            let (now, later) = bytes.split_at(bytes.len().min(room_bytes));
            block.extend_from_slice(now);
            bytes = later;
        }
        true
    }

    /// The last block if it has room, or a new one that fits the bytes to come.
    fn block_with_room(&mut self, bytes: usize) -> &mut BytesMut {
        let has_room = |block: &mut BytesMut| block.len() < block.capacity();
        match self.blocks.back_mut().map(has_room) {
            Some(true) => {}
            Some(false) => self
                .blocks
                .push_back(BytesMut::with_capacity(MAX_BLOCK_BYTES)),
            None => {
                let first_bytes = bytes.min(MAX_BLOCK_BYTES);
                self.blocks.push_back(BytesMut::with_capacity(first_bytes));
            }
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Takes the next piece.
    fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.bytes -= block.len();
        self.share.resize(self.bytes);
        Some(block.freeze())
    }

    /// All bytes in one piece.
    #[cfg(test)]
    pub(super) fn to_vec(&self) -> Vec<u8> {
        self.blocks.iter().flatten().copied().collect()
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(self.pop().map(Ok))
    }
}
