//! After the claim is granted: recording the result of the call, or releasing the claim.

use super::machine::{
    Call, Claim, MAX_BACKGROUND_RETRY_INTERVAL_MS, MAX_RETRY_INTERVAL_MS, NO_REPLY_RETRY_AFTER_MS,
    PriorRow, Step,
};
use super::message::ClaimEffect;
use super::row::{ClaimRow, ClaimState};
use crate::clients::TableFailure;
use crate::instance::ApplicationReply;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::platform::{Row, TransactReply};

impl Claim {
    /// Records the endpoint's answer, which the entry has already forwarded.
    pub(super) fn answered(&mut self, reply: &ApplicationReply, now_ms: u64) -> Vec<ClaimEffect> {
        self.begin_recording(ClaimState::from_reply(reply), now_ms)
    }

    /// Handles a lost answer: the endpoint may have run the call.
    pub(super) fn result_unknown(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        if !matches!(self.step, Step::Dispatched { .. }) {
            return Vec::new();
        }
        let retry_after_ms = Some(self.jittered(NO_REPLY_RETRY_AFTER_MS));
        let refusal = Refusal::unknown(RefusalCode::ResultUnknown, retry_after_ms);
        let mut effects = vec![ClaimEffect::Refuse(refusal)];
        effects.extend(self.begin_recording(ClaimState::Unknown, now_ms));
        effects
    }

    /// Handles a dispatch that failed before any byte of the call was sent.
    pub(super) fn not_dispatched(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        match self.step {
            Step::Dispatched { .. } => self.give_up(RefusalCode::EndpointFailed, now_ms),
            _ => Vec::new(),
        }
    }

    fn begin_recording(&mut self, state: ClaimState, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Dispatched { version, .. } = self.step else {
            return Vec::new();
        };
        self.caller_answered = true;
        self.failed_calls = 0;
        self.step = Step::Recording {
            version,
            state: Box::new(state),
            since_ms: now_ms,
        };
        self.record()
    }

    /// Writes the result of the call.
    pub(super) fn record(&mut self) -> Vec<ClaimEffect> {
        let Step::Recording {
            version, ref state, ..
        } = self.step
        else {
            return Vec::new();
        };
        let row = self.row(state.as_ref().clone());
        let write = self.put(row, self.at_version(version));
        self.start(Call::Record, write)
    }

    /// Handles the reply to the record's write. A lost reply needs no read: repeating the write
    /// either succeeds or returns the row that was written.
    pub(super) fn recorded(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { .. }) => self.finish(),
            Ok(TransactReply::Conflict { rows }) => self.record_conflicted(&rows),
            Err(_) => self.schedule_retry(MAX_BACKGROUND_RETRY_INTERVAL_MS, now_ms),
        }
    }

    /// Handles a conflict on the record's write. An `unknown` mark written by another attempt is
    /// overwritten; a newer claim of another attempt is kept.
    fn record_conflicted(&mut self, rows: &[Row]) -> Vec<ClaimEffect> {
        let found = self.own_row(rows);
        let Step::Recording {
            ref mut version,
            ref state,
            ..
        } = self.step
        else {
            return Vec::new();
        };
        match found {
            Some((found_version, found)) if found.state != **state => {
                *version = found_version;
                self.record()
            }
            _ => self.finish(),
        }
    }

    /// Refuses immediately, before any dispatch, and releases a claim that may be in the table.
    pub(super) fn give_up(&mut self, code: RefusalCode, now_ms: u64) -> Vec<ClaimEffect> {
        let Some(prior) = self.step.prior() else {
            return Vec::new();
        };
        let refusal = self.refusal(code);
        self.caller_answered = true;
        self.failed_calls = 0;
        self.next_call_ms = None;
        self.step = Step::Releasing {
            prior,
            version: self.step.granted_version(),
            since_ms: now_ms,
        };
        let mut effects = vec![ClaimEffect::Refuse(refusal)];
        if self.pending_call.is_none() {
            effects.extend(self.release());
        }
        effects
    }

    /// Handles a reply to the claim's write that arrives after the attempt has given up.
    pub(super) fn claim_written_after_give_up(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { version }) => self.release_at(version),
            Ok(TransactReply::Conflict { rows }) => self.continue_release(&rows, now_ms),
            Err(_) => self.schedule_retry(MAX_BACKGROUND_RETRY_INTERVAL_MS, now_ms),
        }
    }

    /// Writes a row stating that this attempt never dispatched. The row is written even if the table
    /// has none, so that a claim write still in transit fails.
    pub(super) fn release(&mut self) -> Vec<ClaimEffect> {
        let Step::Releasing { prior, version, .. } = self.step else {
            return Vec::new();
        };
        let condition = match version {
            Some(version) => self.at_version(version),
            None => self.condition(prior),
        };
        let write = self.put(self.row(prior.state_without_dispatch()), condition);
        self.start(Call::Release, write)
    }

    /// Handles the reply to the release.
    pub(super) fn released(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { .. }) => self.finish(),
            Ok(TransactReply::Conflict { rows }) => self.continue_release(&rows, now_ms),
            Err(_) => self.schedule_retry(MAX_BACKGROUND_RETRY_INTERVAL_MS, now_ms),
        }
    }

    fn release_at(&mut self, at_version: u64) -> Vec<ClaimEffect> {
        if let Step::Releasing {
            ref mut version, ..
        } = self.step
        {
            *version = Some(at_version);
        }
        self.release()
    }

    /// Continues the release from the current rows: this attempt's open row is released, and a claim
    /// write that may still be in transit is blocked. Any other row means that nothing is left to
    /// release.
    pub(super) fn continue_release(&mut self, rows: &[Row], now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Releasing { prior, version, .. } = self.step else {
            return Vec::new();
        };
        let found_version = rows
            .iter()
            .find(|row| row.key == self.row_key)
            .map(|row| row.version);
        match self.own_row(rows) {
            Some((version, found)) if found.state == ClaimState::Open => self.release_at(version),
            None if version.is_none() && found_version == prior.version() => {
                self.schedule_retry(MAX_RETRY_INTERVAL_MS, now_ms)
            }
            _ => self.finish(),
        }
    }

    /// Returns the row and its version if it belongs to this attempt.
    fn own_row(&self, rows: &[Row]) -> Option<(u64, ClaimRow)> {
        let row = rows.iter().find(|row| row.key == self.row_key)?;
        let found = ClaimRow::try_from(row.value.as_str()).ok()?;
        (found.attempt == self.request.attempt).then_some((row.version, found))
    }
}

impl PriorRow {
    /// Version of the row, if there was one.
    pub(super) fn version(self) -> Option<u64> {
        match self {
            Self::Absent => None,
            Self::Released(version) | Self::MayHaveRun(version) => Some(version),
        }
    }

    /// State of the key after an attempt that replaced this row without dispatching.
    fn state_without_dispatch(self) -> ClaimState {
        match self {
            Self::Absent | Self::Released(_) => ClaimState::Released,
            Self::MayHaveRun(_) => ClaimState::Unknown,
        }
    }
}

impl Step {
    /// The row that this attempt's claim replaces, while known.
    pub(super) fn prior(&self) -> Option<PriorRow> {
        match *self {
            Self::Claiming { prior, .. }
            | Self::Dispatched { prior, .. }
            | Self::Releasing { prior, .. } => Some(prior),
            _ => None,
        }
    }

    /// Version of this attempt's claim, once granted.
    fn granted_version(&self) -> Option<u64> {
        match *self {
            Self::Dispatched { version, .. } => Some(version),
            _ => None,
        }
    }
}
