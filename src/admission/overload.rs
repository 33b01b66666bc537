//! Overload: who is refused, at once, and when to come back.

use super::account::{AccountQueue, Waiting};
use super::service::ServiceQueue;
use crate::ids::AccountId;
use crate::instance::CallerId;
use crate::outcome::{Refusal, RefusalCode};

/// Most requests of one account that wait.
pub(crate) const ACCOUNT_QUEUE_LIMIT: usize = 512;
/// Most requests of a service that wait.
pub(crate) const SERVICE_QUEUE_LIMIT: usize = 4_096;
/// A request without a deadline is queued if it is expected to wait less than this ...
const WAIT_LIMIT_MS: f64 = 10_000.0;
/// ... and then kept as long as its wait comes to less than this, also where the rate falls.
pub(crate) const KEEP_LIMIT_MS: u64 = 30_000;
/// A waiting request is refused only if it would be late at this many times the measured rate.
const DOUBT: f64 = 1.25;
/// Least time with a backlog before the drain rate counts.
const DRAIN_LEAST_MS: f64 = 300.0;
/// Part of what this entry's shares come to that is taken for granted.
const EXPECTED_PART: f64 = 0.5;
/// Shortest and longest time to come back, before jitter.
const RETRY_FLOOR_MS: f64 = 300.0;
const RETRY_LIMIT_MS: f64 = 15_000.0;
/// Time to come back while no rate is known.
const RETRY_BLIND_MS: f64 = 1_000.0;

/// How fast the requests of one account go.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Tokens a second that the service gets done.
    drain_per_s: f64,
    /// The account's part of that while all that wait go on waiting.
    share_per_s: f64,
    /// Backlog of all other accounts.
    others_tokens: f64,
}

impl Pace {
    /// How long a request waits that has `ahead_tokens` of its own account before it.
    fn wait_ms(self, ahead_tokens: f64) -> f64 {
        let by_share_s = ahead_tokens / self.share_per_s;
        // No more can go first than waits.
        let by_backlog_s = (ahead_tokens + self.others_tokens) / self.drain_per_s;
        by_share_s.min(by_backlog_s) * 1_000.0
    }
}

impl ServiceQueue {
    /// Why a request that comes now is not queued.
    pub(super) fn reason_to_refuse(
        &self,
        account: &AccountId,
        waiting: &Waiting,
        now_ms: u64,
    ) -> Option<RefusalCode> {
        let queue = self.accounts.get(account)?;
        if queue.waiting.len() >= ACCOUNT_QUEUE_LIMIT {
            return Some(RefusalCode::AccountOverloaded);
        }
        if self.queued >= SERVICE_QUEUE_LIMIT {
            return Some(RefusalCode::Overloaded);
        }
        let wait_ms = self
            .pace(queue)
            .map_or(0.0, |pace| pace.wait_ms(queue.backlog_tokens));
        if !waiting.has_deadline && wait_ms >= WAIT_LIMIT_MS {
            return Some(RefusalCode::AccountOverloaded);
        }
        waiting.reason_to_refuse(wait_ms, now_ms)
    }

    /// How fast an account's requests go; `None` while no rate is known.
    fn pace(&self, queue: &AccountQueue) -> Option<Pace> {
        let drain_per_s = self.drain_per_s()?;
        let backlog: f64 = self
            .accounts
            .values()
            .map(|other| other.backlog_tokens)
            .sum();
        Some(Pace {
            drain_per_s,
            share_per_s: drain_per_s * queue.local_weight() / self.waiting_weight(queue),
            others_tokens: (backlog - queue.backlog_tokens).max(0.0),
        })
    }

    /// Sum of the weights of the accounts that wait, `queue` included.
    fn waiting_weight(&self, queue: &AccountQueue) -> f64 {
        let waiting: f64 = self
            .accounts
            .values()
            .filter(|other| !other.waiting.is_empty())
            .map(AccountQueue::local_weight)
            .sum();
        match queue.waiting.is_empty() {
            true => waiting + queue.local_weight(),
            false => waiting,
        }
    }

    /// Tokens a second that the service gets done for this entry, if known. Where measurements and
    /// shares differ the higher counts: a rate taken for too low refuses what could be served.
    fn drain_per_s(&self) -> Option<f64> {
        let measured = self.drain.per_s(DRAIN_LEAST_MS);
        let now = self.drain_now.per_s(DRAIN_LEAST_MS);
        let capacity = self.charged_capacity();
        let shared = self.entry_part().zip(capacity);
        let expected = shared.map(|(part, capacity)| part * capacity * EXPECTED_PART);
        let known = [measured, now, expected].into_iter().flatten();
        known
            .reduce(f64::max)
            .or(capacity)
            .map(|rate| rate.max(1.0))
    }

    pub(crate) fn expire(&mut self, now_ms: u64, refused: &mut Vec<(CallerId, Refusal)>) {
        self.watch(now_ms);
        for index in 0..self.accounts.len() {
            for (name, waiting, code) in self.too_late(index, now_ms) {
                self.withdraw(waiting.caller, now_ms);
                let retry_after_ms = self.retry_after_ms(&name, waiting.cost_tokens, now_ms);
                refused.push((waiting.caller, Refusal::not_run(code, Some(retry_after_ms))));
            }
        }
    }

    /// Waiting requests of one account that cannot be served in time.
    fn too_late(&self, index: usize, now_ms: u64) -> Vec<(AccountId, Waiting, RefusalCode)> {
        let mut late = Vec::new();
        let Some((name, queue)) = self.accounts.get_index(index) else {
            return late;
        };
        if queue.waiting.is_empty() {
            return late;
        }
        let pace = self.pace(queue);
        let mut ahead_tokens = 0.0;
        for waiting in &queue.waiting {
            let wait_ms = pace.map_or(0.0, |pace| pace.wait_ms(ahead_tokens) / DOUBT);
            match waiting.reason_to_refuse(wait_ms, now_ms) {
                Some(code) => late.push((name.clone(), *waiting, code)),
                None => ahead_tokens += waiting.cost_tokens,
            }
        }
        late
    }

    /// When a refused request finds room: behind what waits and what was told to come back before.
    pub(crate) fn retry_after_ms(
        &mut self,
        account: &AccountId,
        cost_tokens: f64,
        now_ms: u64,
    ) -> u64 {
        let jitter = 0.75 + 0.5 * self.draw();
        self.account(account, now_ms);
        let Some(queue) = self.accounts.get(account) else {
            return RETRY_BLIND_MS as u64;
        };
        let Some(pace) = self.pace(queue) else {
            return (RETRY_BLIND_MS * jitter) as u64;
        };
        let cost_ms = cost_tokens * 1_000.0 / pace.share_per_s;
        let free_ms = now_ms as f64 + pace.wait_ms(queue.backlog_tokens);
        let promised_ms = queue.promised_ms.max(free_ms) + cost_ms;
        let limit_ms = now_ms as f64 + RETRY_LIMIT_MS;
        self.account(account, now_ms).promised_ms = promised_ms.min(limit_ms);
        let after_ms = promised_ms.min(limit_ms) - now_ms as f64;
        (after_ms.max(RETRY_FLOOR_MS) * jitter) as u64
    }

    /// A number from 0 to below 1, different at each call (splitmix64).
    pub(super) fn draw(&mut self) -> f64 {
        self.draws = self.draws.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.draws;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
