//! State machine of one attempt to run a non-idempotent call, from the first write to the recorded
//! answer.

use super::key::{check_key, row_key};
use super::message::{ClaimEffect, ClaimMessage, ClaimRequest};
use super::row::{ClaimRow, ClaimState};
use crate::clients::TableFailure;
use crate::invariant;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::platform::TransactReply;

/// How long to try to read back a claim after a lost reply before the attempt is refused.
pub(super) const LOST_REPLY_TIMEOUT_MS: u64 = 1_000;
/// How long to retry recording an answer, `unknown` or a release while the table service is down.
pub(super) const RECORD_TIMEOUT_MS: u64 = 30 * 60 * 1_000;
/// Maximum number of throttled writes before the attempt is refused.
pub(super) const MAX_THROTTLED_CALLS: u32 = 3;
/// Maximum number of write conflicts before an attempt gives up.
pub(super) const MAX_CONFLICTS: u32 = 8;
/// Initial delay before a call to the table service is retried; doubles up to
/// [`MAX_RETRY_INTERVAL_MS`].
pub(super) const MIN_RETRY_INTERVAL_MS: u64 = 25;
/// Longest retry delay while the caller waits.
pub(super) const MAX_RETRY_INTERVAL_MS: u64 = 200;
/// Longest retry delay when no caller waits.
pub(super) const MAX_BACKGROUND_RETRY_INTERVAL_MS: u64 = 5_000;
/// Retry-after hint while the holder works on the call.
pub(super) const HOLDER_BUSY_RETRY_AFTER_MS: u64 = 500;
/// Retry-after hint while the table service or the holder does not answer.
pub(super) const NO_REPLY_RETRY_AFTER_MS: u64 = 1_000;
/// Retry-after hint for a row that this release cannot read.
pub(super) const UNREADABLE_ROW_RETRY_AFTER_MS: u64 = 60_000;

/// One attempt. Dispatches at most once, and only after its own claim is confirmed in the table.
#[derive(Debug)]
pub struct Claim {
    pub(super) request: ClaimRequest,
    pub(super) row_key: String,
    pub(super) started_ms: u64,
    pub(super) step: Step,
    /// The outstanding external call; at most one at a time.
    pub(super) pending_call: Option<Call>,
    /// When the next call to the table service is due, if none is outstanding.
    pub(super) next_call_ms: Option<u64>,
    /// Failed calls since the current step started.
    pub(super) failed_calls: u32,
    /// Write conflicts of this attempt.
    pub(super) conflicts: u32,
    /// Whether `Dispatch` was returned. Never true before this attempt's claim is in the table.
    pub(super) dispatched: bool,
    /// Whether the caller has its final response. No dispatch happens afterwards.
    pub(super) caller_answered: bool,
}

/// Current step of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The claim is being written. `reply_lost_ms` is when the first reply was lost.
    Claiming {
        prior: PriorRow,
        reply_lost_ms: Option<u64>,
    },
    /// Another attempt's open row was found, and its holder is being queried.
    QueryingHolder { version: u64, row: Box<ClaimRow> },
    /// Another attempt's row is being marked `unknown`: its holder is gone.
    MarkingUnknown,
    /// This attempt owns the claim and has dispatched the call.
    Dispatched { prior: PriorRow, version: u64 },
    /// The result of the call is being recorded. The caller already has its response.
    Recording {
        version: u64,
        state: Box<ClaimState>,
        since_ms: u64,
    },
    /// The claim may be in the table but nothing was dispatched: it is being released.
    Releasing {
        prior: PriorRow,
        version: Option<u64>,
        since_ms: u64,
    },
    /// Terminal state.
    Closed,
}

/// The row under the key before this attempt's claim, with its version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PriorRow {
    /// No row.
    Absent,
    /// A released row: nothing ran under the key.
    Released(u64),
    /// A row whose call may have run; the endpoint deduplicates.
    MayHaveRun(u64),
}

/// An external call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    Claim,
    ReadBack,
    Ask,
    Mark,
    Record,
    Release,
}

impl Claim {
    /// Starts an attempt. The first effect is the write of the claim, or a refusal.
    pub fn begin(request: ClaimRequest, now_ms: u64) -> (Self, Vec<ClaimEffect>) {
        let row_key = row_key(&request.service, &request.account, &request.key);
        let mut claim = Self {
            request,
            row_key,
            started_ms: now_ms,
            step: Step::Claiming {
                prior: PriorRow::Absent,
                reply_lost_ms: None,
            },
            pending_call: None,
            next_call_ms: None,
            failed_calls: 0,
            conflicts: 0,
            dispatched: false,
            caller_answered: false,
        };
        let effects = match check_key(claim.request.key.as_str(), claim.request.at_unix_ms) {
            Ok(()) if claim.is_past_deadline(now_ms) => claim.refuse(RefusalCode::DeadlineTooShort),
            Ok(()) => claim.write_claim(),
            Err(code) => claim.close(Refusal::not_run(code, None)),
        };
        (claim, effects)
    }

    /// Key of the claim's row.
    pub fn row_key(&self) -> &str {
        &self.row_key
    }

    /// When the next [`ClaimMessage::Wake`] is due, if any.
    pub fn wake_at_ms(&self) -> Option<u64> {
        [self.next_call_ms, self.timeout_at_ms()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether this attempt holds the row or may hold it. This is the holder's answer to
    /// [`ClaimEffect::AskHolder`].
    ///
    /// False for an attempt that found another attempt's row, and for one that has ended.
    pub fn may_hold_row(&self) -> bool {
        match self.step {
            Step::Claiming { .. }
            | Step::Dispatched { .. }
            | Step::Recording { .. }
            | Step::Releasing { .. } => true,
            Step::QueryingHolder { .. } | Step::MarkingUnknown | Step::Closed => false,
        }
    }

    /// Whether the caller still waits for a response from this attempt or its endpoint.
    pub fn is_caller_waiting(&self) -> bool {
        !self.caller_answered
    }

    /// Processes a message and returns the resulting effects.
    pub fn handle(&mut self, message: ClaimMessage, now_ms: u64) -> Vec<ClaimEffect> {
        match message {
            ClaimMessage::Transacted(result) => self.transacted(result, now_ms),
            ClaimMessage::ReadBack(result) => self.read_back(result, now_ms),
            ClaimMessage::HolderAnswered(working) => self.holder_answered(working),
            ClaimMessage::Answered(reply) => self.answered(&reply, now_ms),
            ClaimMessage::ResultUnknown => self.result_unknown(now_ms),
            ClaimMessage::NotDispatched => self.not_dispatched(now_ms),
            ClaimMessage::Wake => self.wake(now_ms),
        }
    }

    fn transacted(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match self.pending_call {
            Some(Call::Claim) => {
                self.pending_call = None;
                self.claim_written(result, now_ms)
            }
            Some(Call::Mark) => {
                self.pending_call = None;
                self.marked(result, now_ms)
            }
            Some(Call::Record) => {
                self.pending_call = None;
                self.recorded(result, now_ms)
            }
            Some(Call::Release) => {
                self.pending_call = None;
                self.released(result, now_ms)
            }
            Some(Call::ReadBack | Call::Ask) | None => Vec::new(),
        }
    }

    /// Handles timeouts and retries that are due.
    fn wake(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        if self.timeout_at_ms().is_some_and(|at_ms| at_ms <= now_ms) {
            return self.on_timeout(now_ms);
        }
        if self.pending_call.is_some()
            || self
                .next_call_ms
                .is_none_or(|next_call_ms| next_call_ms > now_ms)
        {
            return Vec::new();
        }
        self.next_call_ms = None;
        match self.step {
            Step::Claiming {
                reply_lost_ms: None,
                ..
            } => self.write_claim(),
            Step::Claiming { .. } => self.read_row(),
            Step::Recording { .. } => self.record(),
            Step::Releasing { .. } => self.release(),
            Step::QueryingHolder { .. } | Step::MarkingUnknown => Vec::new(),
            Step::Dispatched { .. } | Step::Closed => Vec::new(),
        }
    }

    /// When the current step times out, regardless of an outstanding call; `None` while the endpoint
    /// may be running the call, and after the end.
    fn timeout_at_ms(&self) -> Option<u64> {
        let deadline_ms = self.request.deadline.map(|deadline| deadline.at_ms);
        let lost_reply_timeout_ms = match self.step {
            Step::Claiming { reply_lost_ms, .. } => {
                reply_lost_ms.map(|at_ms| at_ms + LOST_REPLY_TIMEOUT_MS)
            }
            Step::QueryingHolder { .. } | Step::MarkingUnknown => None,
            Step::Recording { since_ms, .. } | Step::Releasing { since_ms, .. } => {
                return Some(since_ms + RECORD_TIMEOUT_MS);
            }
            Step::Dispatched { .. } | Step::Closed => return None,
        };
        [deadline_ms, lost_reply_timeout_ms]
            .into_iter()
            .flatten()
            .min()
    }

    fn on_timeout(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        match self.step {
            Step::Claiming { reply_lost_ms, .. } => {
                let code = match self.is_past_deadline(now_ms) {
                    true => RefusalCode::DeadlineTooShort,
                    false => RefusalCode::StoreUnavailable,
                };
                if reply_lost_ms.is_none() && self.pending_call.is_none() {
                    return self.refuse(code);
                }
                self.give_up(code, now_ms)
            }
            Step::QueryingHolder { .. } | Step::MarkingUnknown => {
                self.close_unknown(Some(self.jittered(HOLDER_BUSY_RETRY_AFTER_MS)))
            }
            Step::Recording { .. } | Step::Releasing { .. } => self.finish(),
            Step::Dispatched { .. } | Step::Closed => Vec::new(),
        }
    }

    /// Whether the caller's deadline has passed.
    pub(super) fn is_past_deadline(&self, now_ms: u64) -> bool {
        let deadline = self.request.deadline;
        deadline.is_some_and(|deadline| deadline.at_ms <= now_ms)
    }

    /// Records `call` as outstanding and returns the effect that starts it.
    pub(super) fn start(&mut self, call: Call, effect: ClaimEffect) -> Vec<ClaimEffect> {
        invariant::check(
            self.pending_call.is_none(),
            "claim_one_call_at_a_time",
            || format!("{} {call:?}", self.row_key),
        );
        self.next_call_ms = None;
        self.pending_call = Some(call);
        vec![effect]
    }

    /// Schedules the next retry with exponential backoff up to `limit_ms`.
    pub(super) fn schedule_retry(&mut self, limit_ms: u64, now_ms: u64) -> Vec<ClaimEffect> {
        let doubled_ms = MIN_RETRY_INTERVAL_MS << self.failed_calls.min(10);
        self.failed_calls += 1;
        self.next_call_ms = Some(now_ms + self.jittered(doubled_ms.min(limit_ms)));
        Vec::new()
    }

    /// Returns between one and two times `base_ms`; the jitter is derived from the attempt ID.
    pub(super) fn jittered(&self, base_ms: u64) -> u64 {
        let part = u64::from(self.request.attempt.as_bytes()[15]);
        base_ms + base_ms * part / 256
    }

    /// Ends an attempt that has nothing in the table with a refusal.
    pub(super) fn refuse(&mut self, code: RefusalCode) -> Vec<ClaimEffect> {
        let refusal = self.refusal(code);
        self.close(refusal)
    }

    /// Ends the attempt with a refusal.
    pub(super) fn close(&mut self, refusal: Refusal) -> Vec<ClaimEffect> {
        self.caller_answered = true;
        let mut effects = vec![ClaimEffect::Refuse(refusal)];
        effects.extend(self.finish());
        effects
    }

    /// Ends the attempt with outcome `unknown`: another attempt under the key ran or may have run.
    pub(super) fn close_unknown(&mut self, retry_after_ms: Option<u64>) -> Vec<ClaimEffect> {
        self.close(Refusal::unknown(RefusalCode::ResultUnknown, retry_after_ms))
    }

    /// Ends the attempt without a response.
    pub(super) fn finish(&mut self) -> Vec<ClaimEffect> {
        self.step = Step::Closed;
        self.next_call_ms = None;
        vec![ClaimEffect::Settled]
    }
}
