//! Bounds the memory of bodies that are held whole.

use std::cell::Cell;
use std::rc::Rc;

/// Memory of an instance whose limit is unknown.
const DEFAULT_MEMORY_MB: u32 = 256;
/// Part of the memory that is a budget, as a divisor: one each for requests and responses, about as much again for
/// receive buffers.
const BUDGET_PART: usize = 4;
/// Sizes between which the receive buffer of an accepted connection is: a usual request, and what a fast link needs.
const MIN_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const MAX_RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Size up to which a share of a response may always grow.
const SMALL_RESPONSE_BYTES: usize = 16 << 10;

/// Memory for bodies of one kind.
#[derive(Clone, Debug)]
pub(super) struct MemoryBudget {
    max_bytes: usize,
    used_bytes: Rc<Cell<usize>>,
}

/// The memory that one body uses until it is dropped.
///
/// Invariant: the shares of all bodies add up to the budget at most, but for small ones of responses.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    budget: MemoryBudget,
    bytes: usize,
}

/// Size of the receive buffers of accepted connections, of which an instance with `memory_mb` megabytes of memory may
/// have `max_sockets`; 0 if these are unknown. What arrives and is not read counts as memory of the instance.
pub(super) fn receive_buffer_bytes(memory_mb: u32, max_sockets: usize) -> u32 {
    let budget = MemoryBudget::for_instance(memory_mb);
    let share_bytes = budget.max_bytes() / max_sockets.max(1);
    let share_bytes = u32::try_from(share_bytes).unwrap_or(u32::MAX);
    share_bytes.clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES)
}

impl MemoryBudget {
    /// The budget for request bodies, or for responses, of an instance with `memory_mb` megabytes of memory; 0 if that
    /// is unknown.
    pub(super) fn for_instance(memory_mb: u32) -> Self {
        let known_mb = Some(memory_mb).filter(|it| *it > 0);
        let memory_bytes = (known_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize) << 20;
        Self::new(memory_bytes / BUDGET_PART)
    }

    /// A budget of which nothing is used.
    pub(super) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: Rc::default(),
        }
    }

    /// The share of a body of which nothing has been read.
    pub(super) fn begin(&self) -> MemoryShare {
        MemoryShare {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Memory in use.
    pub(super) fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Size of the budget.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }
}

impl MemoryShare {
    /// Takes memory for further bytes. Returns whether there is enough.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let used_bytes = &self.budget.used_bytes;
        let total = used_bytes.get() + bytes;
        if total > self.budget.max_bytes {
            return false;
        }
        used_bytes.set(total);
        self.bytes += bytes;
        true
    }

    /// Changes the size of the share of a response. Returns whether that is allowed: a response may be as large as the
    /// memory that is left, so that any number of them that grow without end leave memory to all others.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        let used_bytes = &self.budget.used_bytes;
        let used_by_others = used_bytes.get() - self.bytes;
        let left_bytes = self.budget.max_bytes.saturating_sub(used_by_others + bytes);
        let is_allowed = bytes <= self.bytes.max(SMALL_RESPONSE_BYTES) || bytes <= left_bytes;
        if is_allowed {
            used_bytes.set(used_by_others + bytes);
            self.bytes = bytes;
        }
        is_allowed
    }

    /// Memory to be taken so that the share has this size.
    pub(super) fn missing_bytes(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.bytes)
    }

    /// Takes memory so that the share has this size at least. Returns whether there is enough.
    pub(super) fn grow_to(&mut self, bytes: usize) -> bool {
        self.grow(self.missing_bytes(bytes))
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let used_bytes = &self.budget.used_bytes;
        used_bytes.set(used_bytes.get() - self.bytes);
    }
}
