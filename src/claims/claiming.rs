//! Acquiring the permission to dispatch: writing the claim and handling rows of other attempts.

use super::key::is_key_retained;
use super::machine::{
    Call, Claim, HOLDER_BUSY_RETRY_AFTER_MS, MAX_CONFLICTS, MAX_RETRY_INTERVAL_MS,
    MAX_THROTTLED_CALLS, NO_REPLY_RETRY_AFTER_MS, PriorRow, Step, UNREADABLE_ROW_RETRY_AFTER_MS,
};
use super::message::ClaimEffect;
use super::row::{ClaimRow, ClaimState, ROW_VERSION, RecordedReply};
use crate::clients::TableFailure;
use crate::instance::ApplicationReply;
use crate::invariant;
use crate::outcome::{Refusal, RefusalCode};
use crate::wire::platform::{Condition, ReadRows, Row, Rows, TransactReply, Transaction, Write};

impl Claim {
    /// Writes the claim, on the condition that the table still holds the prior row.
    pub(super) fn write_claim(&mut self) -> Vec<ClaimEffect> {
        let Step::Claiming { prior, .. } = self.step else {
            return Vec::new();
        };
        let write = self.put(self.row(ClaimState::Open), self.condition(prior));
        self.start(Call::Claim, write)
    }

    /// Reads the row back after a lost reply.
    pub(super) fn read_row(&mut self) -> Vec<ClaimEffect> {
        let keys = vec![self.row_key.clone()];
        self.start(Call::ReadBack, ClaimEffect::Read(ReadRows { keys }))
    }

    /// Handles the reply to the claim's write.
    pub(super) fn claim_written(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        if matches!(self.step, Step::Releasing { .. }) {
            return self.claim_written_after_give_up(result, now_ms);
        }
        match result {
            Ok(TransactReply::Committed { version }) => self.granted(version, now_ms),
            Ok(TransactReply::Conflict { rows }) => self.conflicted(rows, now_ms),
            Err(failure) => self.claim_failed(failure, now_ms),
        }
    }

    fn claim_failed(&mut self, failure: TableFailure, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Claiming {
            prior,
            reply_lost_ms,
        } = self.step
        else {
            return Vec::new();
        };
        if failure.may_have_applied() {
            let reply_lost_ms = reply_lost_ms.or(Some(now_ms));
            self.step = Step::Claiming {
                prior,
                reply_lost_ms,
            };
        } else if reply_lost_ms.is_none() {
            return self.claim_not_applied(failure, now_ms);
        }
        // The write may have been applied: dispatch only after a read shows which attempt owns the
        // row.
        self.schedule_retry(MAX_RETRY_INTERVAL_MS, now_ms)
    }

    /// Handles a failure after which no write of this attempt has been or will be applied.
    fn claim_not_applied(&mut self, failure: TableFailure, now_ms: u64) -> Vec<ClaimEffect> {
        if failure == TableFailure::Throttled && self.failed_calls < MAX_THROTTLED_CALLS {
            return self.schedule_retry(MAX_RETRY_INTERVAL_MS, now_ms);
        }
        self.refuse(RefusalCode::StoreUnavailable)
    }

    /// Handles the result of reading the row back after a lost reply.
    pub(super) fn read_back(
        &mut self,
        result: Result<Rows, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        if self.pending_call != Some(Call::ReadBack) {
            return Vec::new();
        }
        self.pending_call = None;
        match (result, &self.step) {
            (Ok(rows), Step::Releasing { .. }) => self.continue_release(&rows.rows, now_ms),
            (Err(_), Step::Releasing { .. }) => self.release(),
            (Ok(rows), _) => self.resolve_lost_reply(rows.rows, now_ms),
            (Err(_), _) => self.schedule_retry(MAX_RETRY_INTERVAL_MS, now_ms),
        }
    }

    /// Resolves a lost reply from the current contents of the table.
    fn resolve_lost_reply(&mut self, rows: Vec<Row>, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Claiming { prior, .. } = self.step else {
            return Vec::new();
        };
        let row = rows.into_iter().find(|row| row.key == self.row_key);
        match row {
            // The lost write may still be in transit. Writing again is safe: both writes are
            // identical and conditional, so at most one of them is applied.
            None => self.write_claim(),
            Some(row) if prior.version() == Some(row.version) => self.write_claim(),
            Some(row) => self.handle_existing_row(row, now_ms),
        }
    }

    /// Handles a claim confirmed to be in the table. This is the only place that permits a dispatch.
    fn granted(&mut self, version: u64, now_ms: u64) -> Vec<ClaimEffect> {
        let Step::Claiming { prior, .. } = self.step else {
            return Vec::new();
        };
        let may_dispatch = !self.dispatched && !self.caller_answered;
        invariant::check(may_dispatch, "claim_dispatches_once", || {
            self.row_key.clone()
        });
        if !may_dispatch {
            return Vec::new();
        }
        self.step = Step::Dispatched { prior, version };
        if self.is_past_deadline(now_ms) {
            return self.give_up(RefusalCode::DeadlineTooShort, now_ms);
        }
        let waited_ms = now_ms.saturating_sub(self.started_ms);
        if !is_key_retained(
            self.request.key.as_str(),
            self.request.at_unix_ms,
            waited_ms,
        ) {
            return self.give_up(RefusalCode::KeyTooOld, now_ms);
        }
        self.next_call_ms = None;
        self.dispatched = true;
        vec![ClaimEffect::Dispatch]
    }

    fn conflicted(&mut self, rows: Vec<Row>, now_ms: u64) -> Vec<ClaimEffect> {
        self.conflicts += 1;
        if self.conflicts > MAX_CONFLICTS {
            return self.close_unknown(Some(self.jittered(HOLDER_BUSY_RETRY_AFTER_MS)));
        }
        match rows.into_iter().find(|row| row.key == self.row_key) {
            Some(row) => self.handle_existing_row(row, now_ms),
            None => self.replace_prior(PriorRow::Absent),
        }
    }

    /// Decides how to proceed from the row found under the key.
    fn handle_existing_row(&mut self, row: Row, now_ms: u64) -> Vec<ClaimEffect> {
        let Ok(found) = ClaimRow::try_from(row.value.as_str()) else {
            return self.close_unknown(Some(self.jittered(UNREADABLE_ROW_RETRY_AFTER_MS)));
        };
        if found.attempt == self.request.attempt && found.state == ClaimState::Open {
            return self.granted(row.version, now_ms);
        }
        if found.state == ClaimState::Released {
            return self.replace_prior(PriorRow::Released(row.version));
        }
        if found.body_digest != hex::encode(self.request.body_digest) {
            return self.close(Refusal::not_run(RefusalCode::KeyReused, None));
        }
        let may_send_again = self.request.endpoint_deduplicates;
        match found.state {
            ClaimState::Open => self.query_holder(row.version, found),
            ClaimState::Answered { reply } => self.replay(reply),
            ClaimState::Unknown | ClaimState::AnswerTooLong { .. } if may_send_again => {
                self.replace_prior(PriorRow::MayHaveRun(row.version))
            }
            ClaimState::Unknown | ClaimState::AnswerTooLong { .. } => self.close_unknown(None),
            ClaimState::Released | ClaimState::Unrecognised => {
                self.close_unknown(Some(self.jittered(UNREADABLE_ROW_RETRY_AFTER_MS)))
            }
        }
    }

    /// Writes the claim in place of the row that was found.
    fn replace_prior(&mut self, prior: PriorRow) -> Vec<ClaimEffect> {
        self.failed_calls = 0;
        self.step = Step::Claiming {
            prior,
            reply_lost_ms: None,
        };
        self.write_claim()
    }

    fn replay(&mut self, reply: RecordedReply) -> Vec<ClaimEffect> {
        match ApplicationReply::try_from(reply) {
            Ok(reply) => {
                self.caller_answered = true;
                let mut effects = vec![ClaimEffect::Replay(reply)];
                effects.extend(self.finish());
                effects
            }
            Err(_) => self.close_unknown(None),
        }
    }

    fn query_holder(&mut self, version: u64, found: ClaimRow) -> Vec<ClaimEffect> {
        let holder = found.holder.clone();
        let row = Box::new(found);
        self.step = Step::QueryingHolder { version, row };
        let query = ClaimEffect::AskHolder {
            instance: holder.instance,
            address: holder.address,
            incarnation: holder.incarnation,
            claim: self.row_key.clone(),
        };
        self.start(Call::Ask, query)
    }

    /// Handles the reply of the holder of another attempt's open row.
    pub(super) fn holder_answered(&mut self, working: Option<bool>) -> Vec<ClaimEffect> {
        if self.pending_call != Some(Call::Ask) {
            return Vec::new();
        }
        self.pending_call = None;
        let Step::QueryingHolder { version, ref row } = self.step else {
            return Vec::new();
        };
        match working {
            Some(true) => self.close_unknown(Some(self.jittered(HOLDER_BUSY_RETRY_AFTER_MS))),
            _ if self.request.endpoint_deduplicates => {
                self.replace_prior(PriorRow::MayHaveRun(version))
            }
            // The holder may be suspended, and may dispatch once it resumes.
            None => self.close_unknown(Some(self.jittered(NO_REPLY_RETRY_AFTER_MS))),
            Some(false) => {
                let row = row.clone();
                self.mark_unknown(version, *row)
            }
        }
    }

    /// Marks the row as `unknown` permanently, unless the holder has written to it in the meantime.
    fn mark_unknown(&mut self, version: u64, found: ClaimRow) -> Vec<ClaimEffect> {
        self.step = Step::MarkingUnknown;
        let row = ClaimRow {
            wire_version: ROW_VERSION,
            state: ClaimState::Unknown,
            ..found
        };
        let write = self.put(row, self.at_version(version));
        self.start(Call::Mark, write)
    }

    /// Handles the reply to the `unknown` mark.
    pub(super) fn marked(
        &mut self,
        result: Result<TransactReply, TableFailure>,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match result {
            Ok(TransactReply::Committed { .. }) => self.close_unknown(None),
            Ok(TransactReply::Conflict { rows }) => self.conflicted(rows, now_ms),
            Err(_) => self.close_unknown(Some(self.jittered(NO_REPLY_RETRY_AFTER_MS))),
        }
    }

    /// Builds the refusal for an attempt that has not dispatched. It must hold for the key as a
    /// whole: a call that may have run under an earlier attempt is never reported as `not-run`.
    pub(super) fn refusal(&self, code: RefusalCode) -> Refusal {
        let retry_after_ms = match code {
            RefusalCode::KeyTooOld => None,
            _ => Some(self.jittered(NO_REPLY_RETRY_AFTER_MS)),
        };
        match self.step.prior() {
            Some(PriorRow::MayHaveRun(_)) => Refusal::unknown(code, retry_after_ms),
            _ => Refusal::not_run(code, retry_after_ms),
        }
    }

    /// Builds this attempt's row.
    pub(super) fn row(&self, state: ClaimState) -> ClaimRow {
        ClaimRow {
            wire_version: ROW_VERSION,
            attempt: self.request.attempt,
            holder: self.request.holder.clone(),
            body_digest: hex::encode(self.request.body_digest),
            at_unix_ms: self.request.at_unix_ms,
            state,
        }
    }

    pub(super) fn condition(&self, prior: PriorRow) -> Condition {
        match prior.version() {
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
