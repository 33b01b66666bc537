//! Bounds the memory of bodies that are held whole.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for bodies of one kind.
#[derive(Clone, Debug)]
pub(super) struct MemoryBudget {
    max_bytes: usize,
    used_bytes: Rc<Cell<usize>>,
}

/// The memory that one body uses until it is dropped.
///
/// Invariant: the shares of all bodies add up to the budget at most.
#[derive(Debug)]
pub(crate) struct MemoryShare {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryBudget {
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
