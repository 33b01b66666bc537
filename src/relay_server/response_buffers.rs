//! Memory of the responses that are being read whole.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of all responses of one pool of connections that are being read: a quarter of the memory of a usual instance.
/// Faulty endpoints may send bytes without end, many at once.
pub(super) const MAX_TOTAL_BYTES: usize = 64 << 20;

/// Memory in use by the responses that are being read.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseBuffers {
    used_bytes: Rc<Cell<usize>>,
}

/// The part of the memory that one response uses until it is dropped.
///
/// Invariant: the parts of all responses add up to [`MAX_TOTAL_BYTES`] at most.
#[derive(Debug)]
pub(super) struct BufferShare {
    buffers: ResponseBuffers,
    bytes: usize,
}

impl ResponseBuffers {
    /// The share of a response of which nothing has been read.
    pub(super) fn begin(&self) -> BufferShare {
        BufferShare {
            buffers: self.clone(),
            bytes: 0,
        }
    }

    /// Memory in use.
    pub(super) fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }
}

impl BufferShare {
    /// Takes memory for further bytes. Returns whether there is enough.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let used_bytes = &self.buffers.used_bytes;
        let total = used_bytes.get() + bytes;
        if total > MAX_TOTAL_BYTES {
            return false;
        }
        used_bytes.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let used_bytes = &self.buffers.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}
