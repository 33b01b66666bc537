//! Non-idempotent calls: starts claims and executes their effects.

use std::collections::VecDeque;

use rand::RngExt;
use uuid::Uuid;

use super::attempt::{Attempt, AttemptId, RetrySafety, Work};
use super::machine::{Call, Entry, Flow};
use crate::claims::{Claim, ClaimEffect, ClaimHolder, ClaimMessage, ClaimRequest};
use crate::clients::TableFailure;
use crate::ids::Incarnation;
use crate::instance::{
    ApplicationFailure, ApplicationReply, CallId, EntryEffect, TableCall, TableReply,
};
use crate::outcome::RefusalCode;
use crate::routing::Policy;

/// Time limit of a call to the table service.
const TABLE_TIMEOUT_MS: u64 = 1_000;
/// Time limit of a request to the holder of a claim.
const HOLDER_TIMEOUT_MS: u64 = 500;

/// A claim that is not settled yet.
#[derive(Debug)]
pub(super) struct OpenClaim {
    claim: Claim,
    /// Whether `Dispatch` was executed; it must not be executed twice.
    dispatched: bool,
}

impl<P> Entry<P>
where
    P: Policy,
{
    /// Begins the claim of a call that holds a replica slot.
    pub(super) fn begin_claim(&mut self, attempt: &mut Attempt, now_ms: u64) -> Flow {
        let Work::Application(work) = &attempt.work else {
            return Flow::Continue;
        };
        let Some(key) = work.idempotency_key.clone() else {
            self.refuse(attempt, RefusalCode::MissingHeader, now_ms);
            return Flow::Ended;
        };
        let request = ClaimRequest {
            account: attempt.key.account.clone(),
            service: attempt.service.clone(),
            key,
            body_digest: attempt.digest,
            attempt: Uuid::from_u128(self.rng.random()),
            holder: ClaimHolder {
                instance: self.config.instance.clone(),
                address: self.config.advertise,
                incarnation: self.config.incarnation,
            },
            at_unix_ms: self.unix_ms(now_ms),
            endpoint_deduplicates: work.retry_safety == RetrySafety::Deduplicated,
            deadline: attempt.deadline,
        };
        let (claim, effects) = Claim::begin(request, now_ms);
        let open = OpenClaim {
            claim,
            dispatched: false,
        };
        self.claims.insert(attempt.id, open);
        self.apply_claim_effects(attempt.id, Some(attempt), effects, now_ms)
    }

    /// Passes the endpoint's reply to the claim of an attempt.
    pub(super) fn record_claim_reply(
        &mut self,
        attempt: &mut Attempt,
        reply: &ApplicationReply,
        now_ms: u64,
    ) {
        self.update_own_claim(attempt, ClaimMessage::Answered(reply.clone()), now_ms);
    }

    /// Reports to the claim of an attempt that its call failed and will not be retried.
    pub(super) fn record_claim_failure(
        &mut self,
        attempt: &mut Attempt,
        failure: ApplicationFailure,
        now_ms: u64,
    ) {
        let known_not_run = attempt.evidence.outcome() == crate::outcome::Outcome::NotRun;
        let message = match failure {
            ApplicationFailure::NotSent if known_not_run => ClaimMessage::NotDispatched,
            _ => ClaimMessage::ResultUnknown,
        };
        self.update_own_claim(attempt, message, now_ms);
    }

    /// Passes a message to the claim of an attempt whose final response the entry itself sends.
    fn update_own_claim(&mut self, attempt: &Attempt, message: ClaimMessage, now_ms: u64) {
        if let Some(open) = self.claims.get_mut(&attempt.id) {
            let effects = open.claim.handle(message, now_ms);
            self.apply_claim_effects(attempt.id, None, effects, now_ms);
        }
    }

    /// Passes a message to a claim whose attempt may have ended.
    fn handle_claim_message(&mut self, id: AttemptId, message: ClaimMessage, now_ms: u64) {
        let Some(open) = self.claims.get_mut(&id) else {
            return;
        };
        let effects = open.claim.handle(message, now_ms);
        if self.attempts.contains_key(&id) {
            self.with_attempt(id, |entry, attempt| {
                entry.apply_claim_effects(id, Some(attempt), effects, now_ms)
            });
        } else {
            self.apply_claim_effects(id, None, effects, now_ms);
        }
    }

    fn apply_claim_effects(
        &mut self,
        id: AttemptId,
        mut attempt: Option<&mut Attempt>,
        effects: Vec<ClaimEffect>,
        now_ms: u64,
    ) -> Flow {
        let mut flow = Flow::Continue;
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                ClaimEffect::Transact(transaction) => {
                    self.call_table(id, TableCall::Transact(transaction));
                }
                ClaimEffect::Read(read) => self.call_table(id, TableCall::Read(read)),
                ClaimEffect::AskHolder {
                    instance,
                    address,
                    incarnation,
                    claim,
                } => {
                    if instance == self.config.instance {
                        let working = Some(self.holds_claim(incarnation, &claim));
                        let message = ClaimMessage::HolderAnswered(working);
                        effects.extend(self.advance_claim(id, message, now_ms));
                    } else {
                        let call = self.register_call(Call::Holder { attempt: id });
                        self.effects.push(EntryEffect::AskHolder {
                            call,
                            instance,
                            address,
                            incarnation,
                            claim,
                            timeout_ms: HOLDER_TIMEOUT_MS,
                        });
                    }
                }
                ClaimEffect::Dispatch => effects.extend(match attempt.as_deref_mut() {
                    Some(attempt) => self.dispatch_claimed(attempt, now_ms),
                    // The attempt ended before its claim was granted: the claim is released.
                    None => self.advance_claim(id, ClaimMessage::NotDispatched, now_ms),
                }),
                ClaimEffect::Replay(reply) => {
                    if let Some(attempt) = attempt.take() {
                        flow = self.send_reply(attempt, reply, true, now_ms);
                    }
                }
                ClaimEffect::Refuse(refusal) => {
                    if let Some(attempt) = attempt.take() {
                        self.refuse_with(attempt, refusal, now_ms);
                        flow = Flow::Ended;
                    }
                }
                ClaimEffect::Settled => {
                    self.claims.swap_remove(&id);
                }
            }
        }
        flow
    }

    /// Passes a message to a claim and returns its effects for the caller to execute.
    fn advance_claim(
        &mut self,
        id: AttemptId,
        message: ClaimMessage,
        now_ms: u64,
    ) -> Vec<ClaimEffect> {
        match self.claims.get_mut(&id) {
            Some(open) => open.claim.handle(message, now_ms),
            None => Vec::new(),
        }
    }

    /// Sends a claimed call. Selects a replica again, since the one selected before the claim was
    /// written may have left in the meantime.
    fn dispatch_claimed(&mut self, attempt: &mut Attempt, now_ms: u64) -> Vec<ClaimEffect> {
        let Some(open) = self.claims.get_mut(&attempt.id) else {
            return Vec::new();
        };
        if open.dispatched {
            crate::invariant::report_violation("claim.dispatched_once", attempt.id.0.0);
            return Vec::new();
        }
        if !self.reserve_replica(attempt, now_ms) {
            return self.advance_claim(attempt.id, ClaimMessage::NotDispatched, now_ms);
        }
        if let Some(open) = self.claims.get_mut(&attempt.id) {
            open.dispatched = true;
        }
        self.send_call(attempt, now_ms);
        Vec::new()
    }

    fn call_table(&mut self, id: AttemptId, table: TableCall) {
        let call = self.register_call(Call::Table {
            attempt: id,
            is_read: matches!(table, TableCall::Read(_)),
        });
        self.effects.push(EntryEffect::CallTable {
            call,
            table,
            timeout_ms: TABLE_TIMEOUT_MS,
        });
    }

    /// Handles a reply of the table service.
    pub(super) fn on_table_answered(
        &mut self,
        call: CallId,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) {
        let Some(Call::Table { attempt, is_read }) = self.calls.swap_remove(&call) else {
            return;
        };
        let message = match result {
            Ok(TableReply::Transacted(reply)) => ClaimMessage::Transacted(Ok(reply)),
            Ok(TableReply::Read(rows)) => ClaimMessage::ReadBack(Ok(rows)),
            Err(failure) if is_read => ClaimMessage::ReadBack(Err(failure)),
            Err(failure) => ClaimMessage::Transacted(Err(failure)),
        };
        self.handle_claim_message(attempt, message, now_ms);
    }

    /// Handles the reply of a claim's holder.
    pub(super) fn on_holder_answered(&mut self, call: CallId, working: Option<bool>, now_ms: u64) {
        let Some(Call::Holder { attempt }) = self.calls.swap_remove(&call) else {
            return;
        };
        self.handle_claim_message(attempt, ClaimMessage::HolderAnswered(working), now_ms);
    }

    /// Answers another entry's query whether this process works on a claim.
    pub(super) fn on_holder_asked(&mut self, call: CallId, incarnation: Incarnation, claim: &str) {
        let working = self.holds_claim(incarnation, claim);
        self.effects
            .push(EntryEffect::AnswerHolder { call, working });
    }

    /// Whether this process has that incarnation and works on the claim.
    pub(super) fn holds_claim(&self, incarnation: Incarnation, row_key: &str) -> bool {
        let mut open = self.claims.values();
        incarnation == self.config.incarnation
            && open.any(|open| open.claim.row_key() == row_key && open.claim.may_hold_row())
    }

    /// Wakes the claims whose timers are due.
    pub(super) fn wake_claims(&mut self, now_ms: u64) {
        let is_due = |open: &OpenClaim| {
            let wake_at_ms = open.claim.wake_at_ms();
            wake_at_ms.is_some_and(|at_ms| at_ms <= now_ms)
        };
        let claims = self.claims.iter().filter(|(_, open)| is_due(open));
        let due: Vec<AttemptId> = claims.map(|(id, _)| *id).collect();
        for id in due {
            self.handle_claim_message(id, ClaimMessage::Wake, now_ms);
        }
    }
}
