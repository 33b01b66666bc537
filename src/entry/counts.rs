//! Counters of the entry, taken out by the driver.

use indexmap::IndexMap;

/// Counters by name; only ever added to.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    counts: IndexMap<&'static str, u64>,
}

impl Counts {
    /// Adds one.
    pub(crate) fn count(&mut self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds `amount`.
    pub(crate) fn add(&mut self, name: &'static str, amount: u64) {
        *self.counts.entry(name).or_default() += amount;
    }

    /// Takes what was counted since the last call.
    pub(crate) fn take(&mut self) -> IndexMap<&'static str, u64> {
        std::mem::take(&mut self.counts)
    }
}
