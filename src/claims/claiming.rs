//! Getting the permission to dispatch: writing the claim, and what to do about another's.

use super::key::still_remembered;
use super::machine::{
    Basis, CONFLICT_TRIES, Call, Claim, PAUSE_LIMIT_MS, SILENT_RETRY_MS, Step, THROTTLED_TRIES,
    UNREADABLE_RETRY_MS, WORKING_RETRY_MS,
};
use super::message::ClaimEffect;
use super::row::{ClaimRow, ClaimState, ROW_VERSION, RecordedReply};
use crate::clients::TableFailure;
use crate::instance::ApplicationReply;
use crate::invariant;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::platform::{Condition, ReadRows, Row, Rows, TransactReply, Transaction, Write};

impl Claim {
    /// Writes the claim, on the condition that the table holds what it is based on.
    pub(super) fn write_claim(&mut self) -> Vec<ClaimEffect> {
        let Step::Claiming { basis, .. } = self.step else {
            return Vec::new();
        };
        let write = self.put(self.row(ClaimState::Open), self.condition(basis));
        self.start(Call::Claim, write)
    }

    /// Reads the row back after a lost reply.
    pub(super) fn read(&mut self) -> Vec<ClaimEffect> {
        let keys = vec![self.row_key.clone()];
        self.start(Call::ReadBack, ClaimEffect::Read(ReadRows { keys }))
    }

    /// The claim's write has an answer.
    pub(super) fn claim_written(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        if matches!(self.step, Step::Releasing { .. }) {
            return self.claim_written_too_late(result, now_ms);
        }
        match result {
            Ok(TransactReply::Committed { version }) => self.granted(version, now_ms),
            Ok(TransactReply::Conflict { rows }) => self.conflicted(rows, now_ms),
            Err(failure) => self.claim_failed(failure, now_ms),
        }
    }

    fn claim_failed(&mut self, failure: TableFailure, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Claiming { basis, lost_ms } = self.step else {
            return Vec::new();
        };
        if failure.may_have_applied() {
            let lost_ms = lost_ms.or(Some(now_ms));
            self.step = Step::Claiming { basis, lost_ms };
        } else if lost_ms.is_none() {
            return self.claim_not_applied(failure, now_ms);
        }
        // Nothing is dispatched until a read shows whose the row is.
        self.pause(PAUSE_LIMIT_MS, now_ms)
    }

    /// No write of this attempt took effect, nor will one.
    fn claim_not_applied(&mut self, failure: TableFailure, now_ms: u64) -> Vec<ClaimEffect> {
        if failure == TableFailure::Throttled && self.tries < THROTTLED_TRIES {
            return self.pause(PAUSE_LIMIT_MS, now_ms);
        }
        self.refuse(RefusalCode::StoreUnavailable)
    }

    /// The row was read after a lost reply.
    pub(super) fn read_back(
        &mut self,
        result: Result<Rows, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        if self.under_way != Some(Call::ReadBack) {
            return Vec::new();
        }
        self.under_way = None;
        match (result, &self.step) {
            (Ok(rows), Step::Releasing { .. }) => self.release_by(&rows.rows, now_ms),
            (Err(_), Step::Releasing { .. }) => self.release(),
            (Ok(rows), _) => self.settled_by(rows.rows, now_ms),
            (Err(_), _) => self.pause(PAUSE_LIMIT_MS, now_ms),
        }
    }

    /// Settles a lost reply by what the table holds.
    fn settled_by(&mut self, rows: Vec<Row>, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Claiming { basis, .. } = self.step else {
            return Vec::new();
        };
        let row = rows.into_iter().find(|row| row.key == self.row_key);
        match row {
            // The lost write may still be on its way. The same write again has the same effect, and
            // only one of the two can take effect.
            None => self.write_claim(),
            Some(row) if basis.version() == Some(row.version) => self.write_claim(),
            Some(row) => self.judge(row, now_ms),
        }
    }

    /// The claim is in the table: the one place that permits a dispatch.
    fn granted(&mut self, version: u64, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Claiming { basis, .. } = self.step else {
            return Vec::new();
        };
        let may_dispatch = !self.dispatched && !self.told;
        invariant::check(may_dispatch, "claim_dispatches_once", || {
            self.row_key.clone()
        });
        if !may_dispatch {
            return Vec::new();
        }
        self.step = Step::Dispatched { basis, version };
        if self.is_late(now_ms) {
            return self.give_up(RefusalCode::DeadlineTooShort, now_ms);
        }
        let waited_ms = now_ms.saturating_sub(self.begun_ms);
        if !still_remembered(self.ask.key.as_str(), self.ask.at_unix_ms, waited_ms) {
            return self.give_up(RefusalCode::KeyTooOld, now_ms);
        }
        self.due_ms = None;
        self.dispatched = true;
        vec![ClaimEffect::Dispatch]
    }

    fn conflicted(&mut self, rows: Vec<Row>, now_ms: u64) -> Vec<ClaimEffect> {
        self.conflicts += 1;
        if self.conflicts > CONFLICT_TRIES {
            return self.close_unknown(Some(self.spread(WORKING_RETRY_MS)));
        }
        match rows.into_iter().find(|row| row.key == self.row_key) {
            Some(row) => self.judge(row, now_ms),
            None => self.claim_over(Basis::Absent),
        }
    }

    /// Decides by what the table holds under the key.
    fn judge(&mut self, row: Row, now_ms: u64) -> Vec<ClaimEffect> {
        let Ok(found) = ClaimRow::try_from(row.value.as_str()) else {
            return self.close_unknown(Some(self.spread(UNREADABLE_RETRY_MS)));
        };
        if found.attempt == self.ask.attempt && found.state == ClaimState::Open {
            return self.granted(row.version, now_ms);
        }
        if found.state == ClaimState::Released {
            return self.claim_over(Basis::Released(row.version));
        }
        if found.body_digest != hex::encode(self.ask.body_digest) {
            return self.close(Refusal::not_run(RefusalCode::KeyReused, None));
        }
        let may_send_again = self.ask.endpoint_deduplicates;
        match found.state {
            ClaimState::Open => self.ask_holder(row.version, found),
            ClaimState::Answered { reply } => self.replay(reply),
            ClaimState::Unknown | ClaimState::AnswerTooLong { .. } if may_send_again => {
                self.claim_over(Basis::MayHaveRun(row.version))
            }
            ClaimState::Unknown | ClaimState::AnswerTooLong { .. } => self.close_unknown(None),
            ClaimState::Released | ClaimState::Unrecognised => {
                self.close_unknown(Some(self.spread(UNREADABLE_RETRY_MS)))
            }
        }
    }

    /// Writes the claim anew, in the place of what was found.
    fn claim_over(&mut self, basis: Basis) -> Vec<ClaimEffect> {
        self.tries = 0;
        self.step = Step::Claiming {
            basis,
            lost_ms: None,
        };
        self.write_claim()
    }

    fn replay(&mut self, reply: RecordedReply) -> Vec<ClaimEffect> {
        match ApplicationReply::try_from(reply) {
            Ok(reply) => {
                self.told = true;
                let mut effects = vec![ClaimEffect::Replay(reply)];
                effects.extend(self.settle());
                effects
            }
            Err(_) => self.close_unknown(None),
        }
    }

    fn ask_holder(&mut self, version: u64, found: ClaimRow) -> Vec<ClaimEffect> {
        let holder = found.holder.clone();
        let row = Box::new(found);
        self.step = Step::Asking { version, row };
        let ask = ClaimEffect::AskHolder {
            instance: holder.instance,
            address: holder.address,
            incarnation: holder.incarnation,
            claim: self.row_key.clone(),
        };
        self.start(Call::Ask, ask)
    }

    /// The holder of another attempt's open row was asked.
    pub(super) fn holder_answered(&mut self, working: Option<bool>) -> Vec<ClaimEffect> {
        if self.under_way != Some(Call::Ask) {
            return Vec::new();
        }
        self.under_way = None;
        let Step::Asking { version, ref row } = self.step else {
            return Vec::new();
        };
        match working {
            Some(true) => self.close_unknown(Some(self.spread(WORKING_RETRY_MS))),
            _ if self.ask.endpoint_deduplicates => self.claim_over(Basis::MayHaveRun(version)),
            // Its holder may be paused, and may dispatch when it wakes.
            None => self.close_unknown(Some(self.spread(SILENT_RETRY_MS))),
            Some(false) => {
                let row = row.clone();
                self.mark_unknown(version, *row)
            }
        }
    }

    /// Makes `unknown` final, unless the holder's last write came first.
    fn mark_unknown(&mut self, version: u64, found: ClaimRow) -> Vec<ClaimEffect> {
        self.step = Step::Marking;
        let row = ClaimRow {
            wire_version: ROW_VERSION,
            state: ClaimState::Unknown,
            ..found
        };
        let write = self.put(row, self.at_version(version));
        self.start(Call::Mark, write)
    }

    /// The mark has an answer.
    pub(super) fn marked(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { .. }) => self.close_unknown(None),
            Ok(TransactReply::Conflict { rows }) => self.conflicted(rows, now_ms),
            Err(_) => self.close_unknown(Some(self.spread(SILENT_RETRY_MS))),
        }
    }

    /// A refusal of this attempt before it dispatched, true of the key as a whole: a call that may
    /// have run under an earlier attempt is never called `not-run`.
    pub(super) fn refusal(&self, code: RefusalCode) -> Refusal {
        let retry_after_ms = match code {
            RefusalCode::KeyTooOld => None,
            _ => Some(self.spread(SILENT_RETRY_MS)),
        };
        match self.step.basis() {
            Some(Basis::MayHaveRun(_)) => Refusal::unknown(code, retry_after_ms),
            _ => Refusal::not_run(code, retry_after_ms),
        }
    }

    /// This attempt's row.
    pub(super) fn row(&self, state: ClaimState) -> ClaimRow {
        ClaimRow {
            wire_version: ROW_VERSION,
            attempt: self.ask.attempt,
            holder: self.ask.holder.clone(),
            body_digest: hex::encode(self.ask.body_digest),
            at_unix_ms: self.ask.at_unix_ms,
            state,
        }
    }

    pub(super) fn condition(&self, basis: Basis) -> Condition {
        match basis.version() {
            Some(version) => self.at_version(version),
            None => Condition::BeAbsent {
                key: self.row_key.clone(),
            },
        }
    }

    pub(super) fn at_version(&self, version: u64) -> Condition {
        Condition::BeAtVersion {
            key: self.row_key.clone(),
            version,
        }
    }

    pub(super) fn put(&self, row: ClaimRow, condition: Condition) -> ClaimEffect {
        ClaimEffect::Transact(Transaction {
            conditions: vec![condition],
            writes: vec![Write::Put {
                key: self.row_key.clone(),
                value: String::from(&row),
            }],
        })
    }
}
