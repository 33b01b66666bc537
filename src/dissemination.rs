//! Selects what goes into a heartbeat when not everything fits or needs repeating: updates that are sent
//! a fixed number of times, and lists that are sent a batch at a time.

use std::hash::Hash;

use indexmap::IndexMap;

/// How often each update is sent: heartbeats are datagrams, and some are lost.
const TRANSMISSIONS: u8 = 4;

/// Updates that still have to be sent.
#[derive(Clone, Debug)]
pub(crate) struct UpdateQueue<T> {
    /// Transmissions left for each update; never 0.
    remaining: IndexMap<T, u8>,
}

impl<T> Default for UpdateQueue<T> {
    fn default() -> Self {
        Self {
            remaining: IndexMap::new(),
        }
    }
}

impl<T> UpdateQueue<T>
where
    T: Clone + Eq + Hash,
{
    /// Queues an update. One that is already queued gets the full number of transmissions again.
    pub(crate) fn push(&mut self, update: &T) {
        self.remaining.insert(update.clone(), TRANSMISSIONS);
    }

    /// Stops sending an update.
    pub(crate) fn remove(&mut self, update: &T) {
        self.remaining.shift_remove(update);
    }

    pub(crate) fn contains(&self, update: &T) -> bool {
        self.remaining.contains_key(update)
    }

    /// Whether any queued update has not been sent at all.
    pub(crate) fn has_unsent(&self) -> bool {
        self.remaining.values().any(|left| *left == TRANSMISSIONS)
    }

    /// Updates for the next heartbeat, at most `limit`. Each one that has transmissions left moves to
    /// the end of the queue, behind those that have not been sent yet.
    pub(crate) fn next_batch(&mut self, limit: usize) -> Vec<T> {
        let batch: Vec<T> = self.remaining.keys().take(limit).cloned().collect();
        for update in &batch {
            let left = self.remaining.shift_remove(update).unwrap_or_default();
            if left > 1 {
                self.remaining.insert(update.clone(), left - 1);
            }
        }
        batch
    }
}

/// Position in a list that is sent a batch at a time, over and over.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rotation {
    next: usize,
}

impl Rotation {
    /// The next items of `list`, at most `count`, wrapping around at its end. The list may have changed
    /// since the last call.
    pub(crate) fn next_batch<'a, T>(
        &mut self,
        list: &'a [T],
        count: usize,
    ) -> impl Iterator<Item = &'a T> + use<'a, T> {
        let count = count.min(list.len());
        let start = self.next.checked_rem(list.len()).unwrap_or(0);
        self.next = start + count;
        list.iter().cycle().skip(start).take(count)
    }
}
