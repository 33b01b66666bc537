//! The request book: which requests run here, and the answers of those that ended lately.
//!
//! Entries are bound to the account that asked. A caller that comes back under the same request id
//! joins the running answer or gets the recorded one.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::attempt::AttemptId;
use super::config::EntryLimits;
use crate::ids::{AccountId, RequestId};
use crate::instance::ApplicationReply;

/// A request as the book knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BookKey {
    /// The account that asked.
    pub(crate) account: AccountId,
    /// The id it chose.
    pub(crate) request: RequestId,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Of a model.
    Completion {
        /// Every token, in order.
        tokens: Vec<String>,
        /// Whether `max_tokens` ended it.
        cut_by_length: bool,
    },
    /// Of an application endpoint.
    Reply(ApplicationReply),
}

/// What the book knows of a request.
#[derive(Clone, Debug)]
pub(crate) enum Known {
    /// It runs.
    Running(AttemptId),
    /// It was answered.
    Recorded(Answer),
}

#[derive(Clone, Debug)]
struct Page {
    digest: [u8; 32],
    known: Known,
    /// Tells a page from an earlier one of the same key.
    number: u64,
}

#[derive(Clone, Debug)]
struct Kept {
    key: BookKey,
    number: u64,
    until_ms: u64,
    size_bytes: usize,
}

/// Another request was made under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OtherDigest;

/// The request book.
#[derive(Debug, Default)]
pub(crate) struct RequestBook {
    pages: IndexMap<BookKey, Page>,
    /// Recorded pages, oldest first; their sizes add up to `kept_bytes`.
    kept: VecDeque<Kept>,
    kept_bytes: usize,
    next_number: u64,
}

impl RequestBook {
    /// Looks a request up. An answer older than its time is not found.
    pub(crate) fn find(
        &self,
        key: &BookKey,
        digest: &[u8; 32],
    ) -> Result<Option<&Known>, OtherDigest> {
        match self.pages.get(key) {
            None => Ok(None),
            Some(page) if page.digest == *digest => Ok(Some(&page.known)),
            Some(_) => Err(OtherDigest),
        }
    }

    /// Notes that a request runs.
    pub(crate) fn open(&mut self, key: BookKey, digest: [u8; 32], attempt: AttemptId) {
        self.next_number += 1;
        let page = Page {
            digest,
            known: Known::Running(attempt),
            number: self.next_number,
        };
        self.pages.insert(key, page);
    }

    /// Forgets a request that ended without an answer.
    pub(crate) fn forget(&mut self, key: &BookKey) {
        self.pages.swap_remove(key);
    }

    /// Records the answer of a running request; the oldest ones make room.
    pub(crate) fn record(
        &mut self,
        key: BookKey,
        answer: Answer,
        limits: &EntryLimits,
        now_ms: u64,
    ) {
        let size_bytes = answer_bytes(&answer) + key_bytes(&key);
        let Some(page) = self.pages.get_mut(&key) else {
            return;
        };
        page.known = Known::Recorded(answer);
        let number = page.number;
        self.kept_bytes += size_bytes;
        self.kept.push_back(Kept {
            key,
            number,
            until_ms: now_ms + limits.recorded_ms,
            size_bytes,
        });
        while self.kept_bytes > limits.recorded_bytes {
            self.drop_oldest();
        }
    }

    /// Drops answers whose time is over.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while self
            .kept
            .front()
            .is_some_and(|kept| kept.until_ms <= now_ms)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(kept) = self.kept.pop_front() else {
            return;
        };
        self.kept_bytes -= kept.size_bytes;
        let page = self.pages.get(&kept.key);
        if page.is_some_and(|page| page.number == kept.number) {
            self.pages.swap_remove(&kept.key);
        }
    }
}

/// Memory beside the bytes of each token or reply.
const OVERHEAD_BYTES: usize = 32;

fn answer_bytes(answer: &Answer) -> usize {
    match answer {
        Answer::Completion { tokens, .. } => {
            let sizes = tokens.iter().map(|token| token.len() + OVERHEAD_BYTES);
            sizes.sum()
        }
        Answer::Reply(reply) => reply.body.len() + OVERHEAD_BYTES,
    }
}

fn key_bytes(key: &BookKey) -> usize {
    key.account.as_str().len() + key.request.as_str().len() + 4 * OVERHEAD_BYTES
}
