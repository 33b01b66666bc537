//! One attempt to run a non-idempotent call, from the first write to the recorded answer.

use super::key::{check_key, row_key};
use super::message::{ClaimEffect, ClaimMessage, ClaimRequest};
use super::row::{ClaimRow, ClaimState};
use crate::clients::TableFailure;
use crate::invariant;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::platform::TransactReply;

/// How long a claim whose write had a lost reply is read back before the attempt is refused.
pub(super) const SETTLE_LIMIT_MS: u64 = 1_000;
/// How long the answer, `unknown` or a release is offered to a table service that is down.
pub(super) const RECORD_LIMIT_MS: u64 = 30 * 60 * 1_000;
/// Writes refused by the rate limit before the attempt is refused.
pub(super) const THROTTLED_TRIES: u32 = 3;
/// Times a row may change under an attempt before it gives up.
pub(super) const CONFLICT_TRIES: u32 = 8;
/// First pause between two calls to the table service; doubles up to [`PAUSE_LIMIT_MS`].
pub(super) const PAUSE_MS: u64 = 25;
/// Longest pause while the caller waits.
pub(super) const PAUSE_LIMIT_MS: u64 = 200;
/// Longest pause of work that nobody waits for.
pub(super) const IDLE_PAUSE_LIMIT_MS: u64 = 5_000;
/// When to come back while the holder works on the call.
pub(super) const WORKING_RETRY_MS: u64 = 500;
/// When to come back while the table service or the holder gives no answer.
pub(super) const SILENT_RETRY_MS: u64 = 1_000;
/// When to come back after a row that this release cannot read.
pub(super) const UNREADABLE_RETRY_MS: u64 = 60_000;

/// One attempt. Dispatches at most once, and only after its own claim is surely in the table.
#[derive(Debug)]
pub struct Claim {
    pub(super) ask: ClaimRequest,
    pub(super) row_key: String,
    pub(super) begun_ms: u64,
    pub(super) step: Step,
    /// The call to the outside that has no answer yet; at most one.
    pub(super) under_way: Option<Call>,
    /// When the next call to the table service is due, if none is under way.
    pub(super) due_ms: Option<u64>,
    /// Calls without success since the step began.
    pub(super) tries: u32,
    /// Rows that changed under this attempt.
    pub(super) conflicts: u32,
    /// `Dispatch` was returned. Never true before this attempt's claim is in the table.
    pub(super) dispatched: bool,
    /// The caller has its final word. Never dispatches afterwards.
    pub(super) told: bool,
}

/// Where an attempt stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Its claim is being written. `lost_ms` is when the first reply was lost.
    Claiming { basis: Basis, lost_ms: Option<u64> },
    /// Another attempt's open row was found, and its holder is being asked.
    Asking { version: u64, row: Box<ClaimRow> },
    /// Another attempt's row is being marked `unknown`: its holder is gone.
    Marking,
    /// The claim is this attempt's, and the call is out.
    Dispatched { basis: Basis, version: u64 },
    /// What became of the call is being written. The caller has its word.
    Recording {
        version: u64,
        state: Box<ClaimState>,
        since_ms: u64,
    },
    /// The claim may be in the table and nothing was dispatched: it is being taken back.
    Releasing {
        basis: Basis,
        version: Option<u64>,
        since_ms: u64,
    },
    /// Nothing is left to do.
    Closed,
}

/// What the table held before this attempt's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Basis {
    /// No row.
    Absent,
    /// A row that was released, at this version: nothing ran under the key.
    Released(u64),
    /// A row whose call may have run, at this version; the endpoint deduplicates.
    MayHaveRun(u64),
}

/// A call to the outside.
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
    /// Begins an attempt. The first effect is the write of the claim, or a refusal.
    pub fn begin(ask: ClaimRequest, now_ms: u64) -> (Self, Vec<ClaimEffect>) {
        let row_key = row_key(&ask.service, &ask.account, &ask.key);
        let mut claim = Self {
            ask,
            row_key,
            begun_ms: now_ms,
            step: Step::Claiming {
                basis: Basis::Absent,
                lost_ms: None,
            },
            under_way: None,
            due_ms: None,
            tries: 0,
            conflicts: 0,
            dispatched: false,
            told: false,
        };
        let effects = match check_key(claim.ask.key.as_str(), claim.ask.at_unix_ms) {
            Ok(()) if claim.is_late(now_ms) => claim.refuse(RefusalCode::DeadlineTooShort),
            Ok(()) => claim.write_claim(),
            Err(code) => claim.close(Refusal::not_run(code, None)),
        };
        (claim, effects)
    }

    /// Key of the row.
    pub fn row_key(&self) -> &str {
        &self.row_key
    }

    /// When a [`ClaimMessage::Wake`] is wanted; `None` for never.
    pub fn wake_at_ms(&self) -> Option<u64> {
        [self.due_ms, self.give_up_ms()].into_iter().flatten().min()
    }

    /// Whether this attempt holds the row or may hold it: what the holder answers when asked.
    ///
    /// False for an attempt that found another's row, and for one that is done.
    pub fn may_hold_row(&self) -> bool {
        match self.step {
            Step::Claiming { .. }
            | Step::Dispatched { .. }
            | Step::Recording { .. }
            | Step::Releasing { .. } => true,
            Step::Asking { .. } | Step::Marking | Step::Closed => false,
        }
    }

    /// Whether the caller still waits for a word from this attempt or its endpoint.
    pub fn is_caller_waiting(&self) -> bool {
        !self.told
    }

    /// Takes one message.
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
        match self.under_way {
            Some(Call::Claim) => {
                self.under_way = None;
                self.claim_written(result, now_ms)
            }
            Some(Call::Mark) => {
                self.under_way = None;
                self.marked(result, now_ms)
            }
            Some(Call::Record) => {
                self.under_way = None;
                self.recorded(result, now_ms)
            }
            Some(Call::Release) => {
                self.under_way = None;
                self.released(result, now_ms)
            }
            Some(Call::ReadBack | Call::Ask) | None => Vec::new(),
        }
    }

    /// Does what is due.
    fn wake(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        if self.give_up_ms().is_some_and(|at_ms| at_ms <= now_ms) {
            return self.time_is_up(now_ms);
        }
        if self.under_way.is_some() || self.due_ms.is_none_or(|due_ms| due_ms > now_ms) {
            return Vec::new();
        }
        self.due_ms = None;
        match self.step {
            Step::Claiming { lost_ms: None, .. } => self.write_claim(),
            Step::Claiming { .. } => self.read(),
            Step::Recording { .. } => self.record(),
            Step::Releasing { .. } => self.release(),
            Step::Asking { .. } | Step::Marking => Vec::new(),
            Step::Dispatched { .. } | Step::Closed => Vec::new(),
        }
    }

    /// When the attempt gives up, whatever is under way; `None` once it may have dispatched.
    fn give_up_ms(&self) -> Option<u64> {
        let deadline_ms = self.ask.deadline.map(|deadline| deadline.at_ms);
        let settled_by_ms = match self.step {
            Step::Claiming { lost_ms, .. } => lost_ms.map(|at_ms| at_ms + SETTLE_LIMIT_MS),
            Step::Asking { .. } | Step::Marking => None,
            Step::Recording { since_ms, .. } | Step::Releasing { since_ms, .. } => {
                return Some(since_ms + RECORD_LIMIT_MS);
            }
            Step::Dispatched { .. } | Step::Closed => return None,
        };
        [deadline_ms, settled_by_ms].into_iter().flatten().min()
    }

    fn time_is_up(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        match self.step {
            Step::Claiming { lost_ms, .. } => {
                let code = match self.is_late(now_ms) {
                    true => RefusalCode::DeadlineTooShort,
                    false => RefusalCode::StoreUnavailable,
                };
                if lost_ms.is_none() && self.under_way.is_none() {
                    return self.refuse(code);
                }
                self.give_up(code, now_ms)
            }
            Step::Asking { .. } | Step::Marking => {
                self.close_unknown(Some(self.spread(WORKING_RETRY_MS)))
            }
            Step::Recording { .. } | Step::Releasing { .. } => self.settle(),
            Step::Dispatched { .. } | Step::Closed => Vec::new(),
        }
    }

    /// Whether the caller's deadline has passed.
    pub(super) fn is_late(&self, now_ms: u64) -> bool {
        let deadline = self.ask.deadline;
        deadline.is_some_and(|deadline| deadline.at_ms <= now_ms)
    }

    /// Marks the call that the returned effect starts.
    pub(super) fn start(&mut self, call: Call, effect: ClaimEffect) -> Vec<ClaimEffect> {
        invariant::check(self.under_way.is_none(), "claim_one_call_at_a_time", || {
            format!("{} {call:?}", self.row_key)
        });
        self.due_ms = None;
        self.under_way = Some(call);
        vec![effect]
    }

    /// Sets the time of the next try: pauses double up to `limit_ms`.
    pub(super) fn pause(&mut self, limit_ms: u64, now_ms: u64) -> Vec<ClaimEffect> {
        let doubled_ms = PAUSE_MS << self.tries.min(10);
        self.tries += 1;
        self.due_ms = Some(now_ms + self.spread(doubled_ms.min(limit_ms)));
        Vec::new()
    }

    /// Between one and two times `base_ms`, differently for each attempt.
    pub(super) fn spread(&self, base_ms: u64) -> u64 {
        let part = u64::from(self.ask.attempt.as_bytes()[15]);
        base_ms + base_ms * part / 256
    }

    /// Ends with a refusal of an attempt of which nothing is in the table.
    pub(super) fn refuse(&mut self, code: RefusalCode) -> Vec<ClaimEffect> {
        let refusal = self.refusal(code);
        self.close(refusal)
    }

    /// Ends with a refusal.
    pub(super) fn close(&mut self, refusal: Refusal) -> Vec<ClaimEffect> {
        self.told = true;
        let mut effects = vec![ClaimEffect::Refuse(refusal)];
        effects.extend(self.settle());
        effects
    }

    /// Ends with `unknown`: another attempt of the key ran, or may have.
    pub(super) fn close_unknown(&mut self, retry_after_ms: Option<u64>) -> Vec<ClaimEffect> {
        self.close(Refusal::unknown(RefusalCode::ResultUnknown, retry_after_ms))
    }

    /// Ends without a word.
    pub(super) fn settle(&mut self) -> Vec<ClaimEffect> {
        self.step = Step::Closed;
        self.due_ms = None;
        vec![ClaimEffect::Settled]
    }
}
