//! Overload handling: immediate refusals and retry delays.

use super::account::{AccountQueue, QueuedRequest};
use super::service::ServiceQueue;
use crate::ids::AccountId;
use crate::instance::CallerId;
use crate::outcome::{Refusal, RefusalCode};

/// Maximum number of queued requests of one account.
pub(crate) const MAX_ACCOUNT_QUEUE: usize = 512;
/// Maximum number of queued requests of a service.
pub(crate) const MAX_SERVICE_QUEUE: usize = 4_096;
/// A request without a deadline is queued only if its expected wait is below this.
const MAX_EXPECTED_WAIT_MS: f64 = 10_000.0;
/// A queued request without a deadline is kept until its total wait would reach this. Higher than
/// the limit for queueing, so that a falling rate does not expire it early.
pub(crate) const MAX_QUEUE_TIME_MS: u64 = 30_000;
/// A queued request is refused only if it would be late even at this multiple of the estimated rate.
const LATE_RATE_MARGIN: f64 = 1.25;
/// Minimum observed time with a backlog before the drain rate is used.
const MIN_DRAIN_OBSERVATION_MS: f64 = 300.0;
/// Fraction of this entry's shares that is assumed as a lower bound of its drain rate.
const EXPECTED_SHARE_FRACTION: f64 = 0.5;
/// Bounds of the retry delay, before jitter.
const MIN_RETRY_AFTER_MS: f64 = 300.0;
const MAX_RETRY_AFTER_MS: f64 = 15_000.0;
/// Retry delay while no rate is known, before jitter.
const DEFAULT_RETRY_AFTER_MS: f64 = 1_000.0;

/// Rates that determine how long requests of one account wait.
#[derive(Clone, Copy, Debug)]
struct ServiceRate {
    /// Tokens per second that the service drains.
    drain_per_s: f64,
    /// The account's share of that rate while all other backlogged accounts stay backlogged.
    share_per_s: f64,
    /// Backlog of all other accounts.
    others_tokens: f64,
}

impl ServiceRate {
    /// Expected wait of a request with `ahead_tokens` of its own account queued before it.
    fn wait_ms(self, ahead_tokens: f64) -> f64 {
        let by_share_s = ahead_tokens / self.share_per_s;
        // Never longer than draining the entire backlog takes.
        let by_backlog_s = (ahead_tokens + self.others_tokens) / self.drain_per_s;
        by_share_s.min(by_backlog_s) * 1_000.0
    }
}

impl ServiceQueue {
    /// The refusal code if an arriving request must not be queued.
    pub(super) fn refusal_code(
        &self,
        account: &AccountId,
        waiting: &QueuedRequest,
        now_ms: u64,
    ) -> Option<RefusalCode> {
        let queue = self.accounts.get(account)?;
        if queue.waiting.len() >= MAX_ACCOUNT_QUEUE {
            return Some(RefusalCode::AccountOverloaded);
        }
        if self.queued >= MAX_SERVICE_QUEUE {
            return Some(RefusalCode::Overloaded);
        }
        let wait_ms = self
            .service_rate(queue)
            .map_or(0.0, |rate| rate.wait_ms(queue.backlog_tokens));
        if !waiting.has_deadline && wait_ms >= MAX_EXPECTED_WAIT_MS {
            return Some(RefusalCode::AccountOverloaded);
        }
        waiting.refusal_code(wait_ms, now_ms)
    }

    /// The rates of an account; `None` while no drain rate is known.
    fn service_rate(&self, queue: &AccountQueue) -> Option<ServiceRate> {
        let drain_per_s = self.drain_per_s()?;
        let backlog: f64 = self
            .accounts
            .values()
            .map(|other| other.backlog_tokens)
            .sum();
        Some(ServiceRate {
            drain_per_s,
            share_per_s: drain_per_s * queue.local_weight() / self.waiting_weight(queue),
            others_tokens: (backlog - queue.backlog_tokens).max(0.0),
        })
    }

    /// Sum of the weights of the backlogged accounts and of `queue`.
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

    /// Estimated tokens per second that the service drains for this entry, if known. The highest
    /// of the measurements and the shares is used: an estimate that is too low would refuse
    /// requests that could be served.
    fn drain_per_s(&self) -> Option<f64> {
        let measured = self.drain.per_s(MIN_DRAIN_OBSERVATION_MS);
        let now = self.recent_drain.per_s(MIN_DRAIN_OBSERVATION_MS);
        let capacity = self.charged_capacity();
        let shared = self.entry_fraction().zip(capacity);
        let expected =
            shared.map(|(fraction, capacity)| fraction * capacity * EXPECTED_SHARE_FRACTION);
        let known = [measured, now, expected].into_iter().flatten();
        known
            .reduce(f64::max)
            .or(capacity)
            .map(|rate| rate.max(1.0))
    }

    pub(crate) fn expire(&mut self, now_ms: u64, refused: &mut Vec<(CallerId, Refusal)>) {
        self.update_drain_meters(now_ms);
        for index in 0..self.accounts.len() {
            for (name, waiting, code) in self.late_requests(index, now_ms) {
                self.remove(waiting.caller, now_ms);
                let retry_after_ms = self.retry_after_ms(&name, waiting.cost_tokens, now_ms);
                refused.push((waiting.caller, Refusal::not_run(code, Some(retry_after_ms))));
            }
        }
    }

    /// Queued requests of one account that cannot be served in time.
    fn late_requests(
        &self,
        index: usize,
        now_ms: u64,
    ) -> Vec<(AccountId, QueuedRequest, RefusalCode)> {
        let mut late = Vec::new();
        let Some((name, queue)) = self.accounts.get_index(index) else {
            return late;
        };
        if queue.waiting.is_empty() {
            return late;
        }
        let rate = self.service_rate(queue);
        let mut ahead_tokens = 0.0;
        for waiting in &queue.waiting {
            let wait_ms = rate.map_or(0.0, |rate| rate.wait_ms(ahead_tokens) / LATE_RATE_MARGIN);
            match waiting.refusal_code(wait_ms, now_ms) {
                Some(code) => late.push((name.clone(), *waiting, code)),
                None => ahead_tokens += waiting.cost_tokens,
            }
        }
        late
    }

    /// Retry delay of a refused request: the expected time until the queued requests and those
    /// already told to retry have been served.
    pub(crate) fn retry_after_ms(
        &mut self,
        account: &AccountId,
        cost_tokens: f64,
        now_ms: u64,
    ) -> u64 {
        let jitter = 0.75 + 0.5 * self.next_random();
        self.account(account, now_ms);
        let Some(queue) = self.accounts.get(account) else {
            return DEFAULT_RETRY_AFTER_MS as u64;
        };
        let Some(rate) = self.service_rate(queue) else {
            return (DEFAULT_RETRY_AFTER_MS * jitter) as u64;
        };
        let cost_ms = cost_tokens * 1_000.0 / rate.share_per_s;
        let free_ms = now_ms as f64 + rate.wait_ms(queue.backlog_tokens);
        let last_retry_at_ms = queue.last_retry_at_ms.max(free_ms) + cost_ms;
        let limit_ms = now_ms as f64 + MAX_RETRY_AFTER_MS;
        self.account(account, now_ms).last_retry_at_ms = last_retry_at_ms.min(limit_ms);
        let after_ms = last_retry_at_ms.min(limit_ms) - now_ms as f64;
        (after_ms.max(MIN_RETRY_AFTER_MS) * jitter) as u64
    }

    /// Returns the next pseudorandom number in [0, 1), using splitmix64.
    pub(super) fn next_random(&mut self) -> f64 {
        self.rng_state = self.rng_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}
