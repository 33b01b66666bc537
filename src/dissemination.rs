//! What goes into heartbeats beside what each of them holds: news, which are told a few times, and lists too
//! long for one heartbeat, which are told in turn.

use std::hash::Hash;

use indexmap::IndexMap;

/// How often news are told: some heartbeats are lost.
const TELLINGS: u8 = 4;

/// UpdateQueue that are still to be told.
#[derive(Clone, Debug)]
pub(crate) struct UpdateQueue<T> {
    /// How often each is still to be told; never 0.
    left: IndexMap<T, u8>,
}

impl<T> Default for UpdateQueue<T> {
    fn default() -> Self {
        Self {
            left: IndexMap::new(),
        }
    }
}

impl<T> UpdateQueue<T>
where
    T: Clone + Eq + Hash,
{
    /// Has something told, as often as if it was new.
    pub(crate) fn push(&mut self, news: &T) {
        self.left.insert(news.clone(), TELLINGS);
    }

    /// Has something told no more.
    pub(crate) fn remove(&mut self, news: &T) {
        self.left.shift_remove(news);
    }

    /// Whether something is still to be told.
    pub(crate) fn contains(&self, news: &T) -> bool {
        self.left.contains_key(news)
    }

    /// Whether there is something that was not told yet.
    pub(crate) fn has_unsent(&self) -> bool {
        self.left.values().any(|left| *left == TELLINGS)
    }

    /// UpdateQueue for the next heartbeat, `most` at most. Those that are to be told again come after those that
    /// were not told yet.
    pub(crate) fn next_batch(&mut self, most: usize) -> Vec<T> {
        let told: Vec<T> = self.left.keys().take(most).cloned().collect();
        for news in &told {
            let left = self.left.shift_remove(news).unwrap_or_default();
            if left > 1 {
                self.left.insert(news.clone(), left - 1);
            }
        }
        told
    }
}

/// How far a list has been told in turn.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rotation {
    next: usize,
}

impl Rotation {
    /// The next ones of a list, `count` at most; behind its end it begins anew. The list may have changed
    /// since the last time.
    pub(crate) fn next_batch<'a, T>(
        &mut self,
        list: &'a [T],
        count: usize,
    ) -> impl Iterator<Item = &'a T> + use<'a, T> {
        let count = count.min(list.len());
        let begin = self.next.checked_rem(list.len()).unwrap_or(0);
        self.next = begin + count;
        list.iter().cycle().skip(begin).take(count)
    }
}
