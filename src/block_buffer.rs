//! Bytes that arrive piece by piece, kept in blocks: a buffer that grows is not copied, and leaves no holes in the heap.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Size of all blocks but the first, which may be smaller.
const BLOCK_BYTES: usize = 16 << 10;

/// Bytes in blocks.
///
/// Invariant: no block is empty, and only the last one has room.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockBuffer {
    blocks: VecDeque<BytesMut>,
    len: usize,
}

impl BlockBuffer {
    /// Number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds bytes at the end.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            let block = self.block_with_room(bytes.len());
            let room = block.capacity() - block.len();
            let (now, later) = bytes.split_at(bytes.len().min(room));
            block.extend_from_slice(now);
            bytes = later;
        }
    }

    /// The last block if it has room, or a new one.
    fn block_with_room(&mut self, wanted_bytes: usize) -> &mut BytesMut {
        let room = self.blocks.back().map(|it| it.capacity() - it.len());
        match room {
            None => {
                let first_bytes = wanted_bytes.min(BLOCK_BYTES);
                self.blocks.push_back(BytesMut::with_capacity(first_bytes));
            }
            Some(0) => self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES)),
            Some(_) => {}
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Takes the first block.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front()?;
        self.len -= block.len();
        Some(block.freeze())
    }

    /// Takes all bytes in one piece, with `more` behind them.
    pub(crate) fn take_joined(&mut self, more: &[u8]) -> BytesMut {
        let mut joined = BytesMut::with_capacity(self.len + more.len());
        while let Some(block) = self.pop() {
            joined.extend_from_slice(&block);
        }
        joined.extend_from_slice(more);
        joined
    }

    /// The last bytes, at most `count`.
    pub(crate) fn tail(&self, count: usize) -> Vec<u8> {
        let last_first = self.blocks.iter().rev().flat_map(|it| it.iter().rev());
        let mut tail: Vec<u8> = last_first.take(count).copied().collect();
        tail.reverse();
        tail
    }

    /// Drops all bytes.
    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.len = 0;
    }
}
