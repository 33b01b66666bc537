//! After the permission: recording what became of the call, or taking the claim back.

use super::machine::{
    Basis, Call, Claim, IDLE_PAUSE_LIMIT_MS, PAUSE_LIMIT_MS, SILENT_RETRY_MS, Step,
};
use super::message::ClaimEffect;
use super::row::{ClaimRow, ClaimState};
use crate::clients::TableFailure;
use crate::instance::ApplicationReply;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::platform::{Row, TransactReply};

impl Claim {
    /// The endpoint answered; the entry has sent the answer on.
    pub(super) fn answered(&mut self, reply: &ApplicationReply, now_ms: u64) -> Vec<ClaimEffect> {
        self.begin_recording(ClaimState::recording(reply), now_ms)
    }

    /// The endpoint may have run the call, and its answer is lost.
    pub(super) fn result_unknown(&mut self, now_ms: u64) -> Vec<ClaimEffect> {
        if !matches!(self.step, Step::Dispatched { .. }) {
            return Vec::new();
        }
        let retry_after_ms = Some(self.spread(SILENT_RETRY_MS));
        let refusal = Refusal::unknown(RefusalCode::ResultUnknown, retry_after_ms);
        let mut effects = vec![ClaimEffect::Refuse(refusal)];
        effects.extend(self.begin_recording(ClaimState::Unknown, now_ms));
        effects
    }

    /// The call surely never left, and never will.
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
        self.told = true;
        self.tries = 0;
        self.step = Step::Recording {
            version,
            state: Box::new(state),
            since_ms: now_ms,
        };
        self.record()
    }

    /// Writes what became of the call.
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

    /// The record has an answer. A lost reply needs no read: the same write again either takes
    /// effect or shows what did.
    pub(super) fn recorded(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { .. }) => self.settle(),
            Ok(TransactReply::Conflict { rows }) => self.record_over(&rows),
            Err(_) => self.pause(IDLE_PAUSE_LIMIT_MS, now_ms),
        }
    }

    /// The row changed under the record. An `unknown` that another attempt wrote is written over;
    /// a claim that another attempt has since made is left alone.
    fn record_over(&mut self, rows: &[Row]) -> Vec<ClaimEffect> {
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
            _ => self.settle(),
        }
    }

    /// Refuses before any dispatch, at once, and takes back what may be in the table.
    pub(super) fn give_up(&mut self, code: RefusalCode, now_ms: u64) -> Vec<ClaimEffect> {
        let Some(basis) = self.step.basis() else {
            return Vec::new();
        };
        let refusal = self.refusal(code);
        self.told = true;
        self.tries = 0;
        self.due_ms = None;
        self.step = Step::Releasing {
            basis,
            version: self.step.granted_version(),
            since_ms: now_ms,
        };
        let mut effects = vec![ClaimEffect::Refuse(refusal)];
        if self.under_way.is_none() {
            effects.extend(self.release());
        }
        effects
    }

    /// The claim's write has an answer after the attempt was given up.
    pub(super) fn claim_written_too_late(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { version }) => self.release_at(version),
            Ok(TransactReply::Conflict { rows }) => self.release_by(&rows, now_ms),
            Err(_) => self.pause(IDLE_PAUSE_LIMIT_MS, now_ms),
        }
    }

    /// Writes a row that says that this attempt never dispatched. With no row in the table it is
    /// written all the same: it bars a claim that is still on its way there.
    pub(super) fn release(&mut self) -> Vec<ClaimEffect> {
        let Step::Releasing { basis, version, .. } = self.step else {
            return Vec::new();
        };
        let condition = match version {
            Some(version) => self.at_version(version),
            None => self.condition(basis),
        };
        let write = self.put(self.row(basis.state_without_dispatch()), condition);
        self.start(Call::Release, write)
    }

    /// The release has an answer.
    pub(super) fn released(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { .. }) => self.settle(),
            Ok(TransactReply::Conflict { rows }) => self.release_by(&rows, now_ms),
            Err(_) => self.pause(IDLE_PAUSE_LIMIT_MS, now_ms),
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

    /// Goes on by what the table holds: this attempt's open row is released, and a claim that may
    /// still be on its way is barred. With any other row there is nothing to take back.
    pub(super) fn release_by(&mut self, rows: &[Row], now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Releasing { basis, version, .. } = self.step else {
            return Vec::new();
        };
        let found_version = rows
            .iter()
            .find(|row| row.key == self.row_key)
            .map(|row| row.version);
        match self.own_row(rows) {
            Some((version, found)) if found.state == ClaimState::Open => self.release_at(version),
            None if version.is_none() && found_version == basis.version() => {
                self.pause(PAUSE_LIMIT_MS, now_ms)
            }
            _ => self.settle(),
        }
    }

    /// The row, if it is this attempt's, with its version.
    fn own_row(&self, rows: &[Row]) -> Option<(u64, ClaimRow)> {
        let row = rows.iter().find(|row| row.key == self.row_key)?;
        let found = ClaimRow::try_from(row.value.as_str()).ok()?;
        (found.attempt == self.ask.attempt).then_some((row.version, found))
    }
}

impl Basis {
    /// Version of the row that was there.
    pub(super) fn version(self) -> Option<u64> {
        match self {
            Self::Absent => None,
            Self::Released(version) | Self::MayHaveRun(version) => Some(version),
        }
    }

    /// What is true of the key when an attempt on this basis did not dispatch.
    fn state_without_dispatch(self) -> ClaimState {
        match self {
            Self::Absent | Self::Released(_) => ClaimState::Released,
            Self::MayHaveRun(_) => ClaimState::Unknown,
        }
    }
}

impl Step {
    /// What this attempt's claim is based on, before it dispatched.
    pub(super) fn basis(&self) -> Option<Basis> {
        match *self {
            Self::Claiming { basis, .. }
            | Self::Dispatched { basis, .. }
            | Self::Releasing { basis, .. } => Some(basis),
            _ => None,
        }
    }

    /// Version of this attempt's claim, once known.
    fn granted_version(&self) -> Option<u64> {
        match *self {
            Self::Dispatched { version, .. } => Some(version),
            _ => None,
        }
    }
}
