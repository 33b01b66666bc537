//! The request registry: running requests and recently recorded answers.
//!
//! Records are bound to the account that made the request. A caller that reconnects with the same
//! request id joins the running answer or gets the recorded one.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::attempt::AttemptId;
use super::config::EntryLimits;
use crate::ids::{AccountId, RequestId};
use crate::instance::ApplicationReply;

/// Registry key of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BookKey {
    /// The account that made the request.
    pub(crate) account: AccountId,
    /// The request id chosen by the caller.
    pub(crate) request: RequestId,
}

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Answer of a model.
    Completion {
        /// Every token, in order.
        tokens: Vec<String>,
        /// Whether `max_tokens` was reached.
        cut_by_length: bool,
    },
    /// Reply of an application endpoint.
    Reply(ApplicationReply),
}

/// State of a registered request.
#[derive(Clone, Debug)]
pub(crate) enum RequestState {
    /// The request is queued or running.
    Running(AttemptId),
    /// The request was answered.
    Recorded(Answer),
}

#[derive(Clone, Debug)]
struct RequestRecord {
    digest: [u8; 32],
    state: RequestState,
    /// Distinguishes a record from earlier ones with the same key.
    generation: u64,
}

#[derive(Clone, Debug)]
struct RetainedAnswer {
    key: BookKey,
    generation: u64,
    expires_at_ms: u64,
    size_bytes: usize,
}

/// A different request was made under the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DigestMismatch;

/// Running requests and recorded answers, by account and request id.
#[derive(Debug, Default)]
pub(crate) struct RequestRegistry {
    records: IndexMap<BookKey, RequestRecord>,
    /// Recorded answers, oldest first; their sizes add up to `retained_bytes`.
    retained: VecDeque<RetainedAnswer>,
    retained_bytes: usize,
    next_generation: u64,
}

impl RequestRegistry {
    /// Looks up a request. Expired answers are not found.
    pub(crate) fn find(
        &self,
        key: &BookKey,
        digest: &[u8; 32],
    ) -> Result<Option<&RequestState>, DigestMismatch> {
        match self.records.get(key) {
            None => Ok(None),
            Some(record) if record.digest == *digest => Ok(Some(&record.state)),
            Some(_) => Err(DigestMismatch),
        }
    }

    /// Registers a running request.
    pub(crate) fn insert_running(&mut self, key: BookKey, digest: [u8; 32], attempt: AttemptId) {
        self.next_generation += 1;
        let record = RequestRecord {
            digest,
            state: RequestState::Running(attempt),
            generation: self.next_generation,
        };
        self.records.insert(key, record);
    }

    /// Removes a request that ended without an answer.
    pub(crate) fn remove(&mut self, key: &BookKey) {
        self.records.swap_remove(key);
    }

    /// Records the answer of a running request, evicting the oldest answers above the size limit.
    pub(crate) fn record_answer(
        &mut self,
        key: BookKey,
        answer: Answer,
        limits: &EntryLimits,
        now_ms: u64,
    ) {
        let size_bytes = answer_bytes(&answer) + key_bytes(&key);
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        record.state = RequestState::Recorded(answer);
        let generation = record.generation;
        self.retained_bytes += size_bytes;
        self.retained.push_back(RetainedAnswer {
            key,
            generation,
            expires_at_ms: now_ms + limits.recorded_ttl_ms,
            size_bytes,
        });
        while self.retained_bytes > limits.max_recorded_bytes {
            self.drop_oldest();
        }
    }

    /// Drops expired answers.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while self
            .retained
            .front()
            .is_some_and(|answer| answer.expires_at_ms <= now_ms)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(retained) = self.retained.pop_front() else {
            return;
        };
        self.retained_bytes -= retained.size_bytes;
        let record = self.records.get(&retained.key);
        if record.is_some_and(|record| record.generation == retained.generation) {
            self.records.swap_remove(&retained.key);
        }
    }
}

/// Estimated memory overhead per token or reply.
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
