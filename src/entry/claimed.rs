//! Non-idempotent calls: carries the effects of their claims out.

use std::collections::VecDeque;

use rand::RngExt;
use uuid::Uuid;

use super::attempt::{Attempt, AttemptId, Repeat, Work};
use super::machine::{Call, Entry, Flow};
use crate::claims::{Claim, ClaimEffect, ClaimHolder, ClaimMessage, ClaimRequest};
use crate::clients::TableFailure;
use crate::ids::Incarnation;
use crate::instance::{
    ApplicationFailure, ApplicationReply, CallId, EntryEffect, TableCall, TableReply,
};
use crate::outcome::RefusalCode;
use crate::routing::Policy;

/// How long the table service has to answer.
const TABLE_TIMEOUT_MS: u64 = 1_000;
/// How long the holder of a claim has to answer.
const HOLDER_TIMEOUT_MS: u64 = 500;

/// A claim that is not settled yet.
#[derive(Debug)]
pub(super) struct OpenClaim {
    claim: Claim,
    /// Whether `Dispatch` was carried out; it never is twice.
    dispatched: bool,
}

impl<P> Entry<P>
where
    P: Policy,
{
    /// Begins the claim of a call whose replica is picked.
    pub(super) fn begin_claim(&mut self, attempt: &mut Attempt, now_ms: u64) -> Flow {
        let Work::Application(work) = &attempt.work else {
            return Flow::GoesOn;
        };
        let Some(key) = work.idempotency_key.clone() else {
            self.refuse(attempt, RefusalCode::MissingHeader, now_ms);
            return Flow::Ended;
        };
        let ask = ClaimRequest {
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
            endpoint_deduplicates: work.repeat == Repeat::Deduplicated,
            deadline: attempt.deadline,
        };
        let (claim, effects) = Claim::begin(ask, now_ms);
        let open = OpenClaim {
            claim,
            dispatched: false,
        };
        self.claims.insert(attempt.id, open);
        self.carry_claim(attempt.id, Some(attempt), effects, now_ms)
    }

    /// Tells the claim of an attempt that the endpoint answered.
    pub(super) fn claim_answered(
        &mut self,
        attempt: &mut Attempt,
        reply: &ApplicationReply,
        now_ms: u64,
    ) {
        self.tell_own_claim(attempt, ClaimMessage::Answered(reply.clone()), now_ms);
    }

    /// Tells the claim of an attempt that its call has no answer and is not sent again.
    pub(super) fn claim_failed(
        &mut self,
        attempt: &mut Attempt,
        failure: ApplicationFailure,
        now_ms: u64,
    ) {
        let surely_not = attempt.evidence.outcome() == crate::outcome::Outcome::NotRun;
        let message = match failure {
            ApplicationFailure::NotSent if surely_not => ClaimMessage::NotDispatched,
            _ => ClaimMessage::ResultUnknown,
        };
        self.tell_own_claim(attempt, message, now_ms);
    }

    /// Hands a message to the claim of an attempt that gets its final word from the entry.
    fn tell_own_claim(&mut self, attempt: &Attempt, message: ClaimMessage, now_ms: u64) {
        if let Some(open) = self.claims.get_mut(&attempt.id) {
            let effects = open.claim.handle(message, now_ms);
            self.carry_claim(attempt.id, None, effects, now_ms);
        }
    }

    /// Hands a message to a claim whose attempt may have ended.
    fn tell_claim(&mut self, id: AttemptId, message: ClaimMessage, now_ms: u64) {
        let Some(open) = self.claims.get_mut(&id) else {
            return;
        };
        let effects = open.claim.handle(message, now_ms);
        if self.attempts.contains_key(&id) {
            self.with_attempt(id, |entry, attempt| {
                entry.carry_claim(id, Some(attempt), effects, now_ms)
            });
        } else {
            self.carry_claim(id, None, effects, now_ms);
        }
    }

    fn carry_claim(
        &mut self,
        id: AttemptId,
        mut attempt: Option<&mut Attempt>,
        effects: Vec<ClaimEffect>,
        now_ms: u64,
    ) -> Flow {
        let mut flow = Flow::GoesOn;
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
                        let working = Some(self.holds(incarnation, &claim));
                        let message = ClaimMessage::HolderAnswered(working);
                        effects.extend(self.step_claim(id, message, now_ms));
                    } else {
                        let call = self.open_call(Call::Holder { attempt: id });
                        self.out.push(EntryEffect::AskHolder {
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
                    None => self.step_claim(id, ClaimMessage::NotDispatched, now_ms),
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

    /// Hands a message to a claim; its effects are the caller's to carry out.
    fn step_claim(
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

    /// Sends a claimed call. The replica is picked anew: the one picked before the claim was
    /// written may have left since.
    fn dispatch_claimed(&mut self, attempt: &mut Attempt, now_ms: u64) -> Vec<ClaimEffect> {
        let Some(open) = self.claims.get_mut(&attempt.id) else {
            return Vec::new();
        };
        if open.dispatched {
            crate::invariant::report_violation("claim.dispatched_once", attempt.id.0.0);
            return Vec::new();
        }
        if !self.take_replica(attempt, now_ms) {
            return self.step_claim(attempt.id, ClaimMessage::NotDispatched, now_ms);
        }
        if let Some(open) = self.claims.get_mut(&attempt.id) {
            open.dispatched = true;
        }
        self.send_call(attempt, now_ms);
        Vec::new()
    }

    fn call_table(&mut self, id: AttemptId, table: TableCall) {
        let call = self.open_call(Call::Table {
            attempt: id,
            reads: matches!(table, TableCall::Read(_)),
        });
        self.out.push(EntryEffect::CallTable {
            call,
            table,
            timeout_ms: TABLE_TIMEOUT_MS,
        });
    }

    /// Takes the table service's answer.
    pub(super) fn on_table_answered(
        &mut self,
        call: CallId,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) {
        let Some(Call::Table { attempt, reads }) = self.calls.swap_remove(&call) else {
            return;
        };
        let message = match result {
            Ok(TableReply::Transacted(reply)) => ClaimMessage::Transacted(Ok(reply)),
            Ok(TableReply::Read(rows)) => ClaimMessage::ReadBack(Ok(rows)),
            Err(failure) if reads => ClaimMessage::ReadBack(Err(failure)),
            Err(failure) => ClaimMessage::Transacted(Err(failure)),
        };
        self.tell_claim(attempt, message, now_ms);
    }

    /// Takes the answer of a claim's holder.
    pub(super) fn on_holder_answered(&mut self, call: CallId, working: Option<bool>, now_ms: u64) {
        let Some(Call::Holder { attempt }) = self.calls.swap_remove(&call) else {
            return;
        };
        self.tell_claim(attempt, ClaimMessage::HolderAnswered(working), now_ms);
    }

    /// Answers another entry that asks about a claim.
    pub(super) fn on_holder_asked(&mut self, call: CallId, incarnation: Incarnation, claim: &str) {
        let working = self.holds(incarnation, claim);
        self.out.push(EntryEffect::AnswerHolder { call, working });
    }

    /// Whether this process is that incarnation and works on a claim.
    pub(super) fn holds(&self, incarnation: Incarnation, row_key: &str) -> bool {
        let mut open = self.claims.values();
        incarnation == self.config.incarnation
            && open.any(|open| open.claim.row_key() == row_key && open.claim.may_hold_row())
    }

    /// Wakes the claims whose time has come.
    pub(super) fn wake_claims(&mut self, now_ms: u64) {
        let is_due = |open: &OpenClaim| {
            let wake_at_ms = open.claim.wake_at_ms();
            wake_at_ms.is_some_and(|at_ms| at_ms <= now_ms)
        };
        let claims = self.claims.iter().filter(|(_, open)| is_due(open));
        let due: Vec<AttemptId> = claims.map(|(id, _)| *id).collect();
        for id in due {
            self.tell_claim(id, ClaimMessage::Wake, now_ms);
        }
    }
}
