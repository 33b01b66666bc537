//! Counters of the entry, collected by the driver.

use indexmap::IndexMap;

/// Counters by name.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    counts: IndexMap<&'static str, u64>,
}

impl Counts {
    /// Increments a counter by one.
    pub(crate) fn count(&mut self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount` to a counter.
    pub(crate) fn add(&mut self, name: &'static str, amount: u64) {
        *self.counts.entry(name).or_default() += amount;
    }

    /// Returns the counters and resets them.
    pub(crate) fn take(&mut self) -> IndexMap<&'static str, u64> {
        std::mem::take(&mut self.counts)
    }
}
