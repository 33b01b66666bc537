//! Accepts one document: reads what is current, writes on that condition, settles lost replies.

use crate::audit::accept_write;
use crate::clients::TableFailure;
use crate::document::{Document, OperatorRole, digest};
use crate::ids::InstanceId;
use crate::instance::{PresentedKey, TableCall, TableReply};
use crate::wire::local::DocumentInForce;
use crate::wire::operator::{
    AcceptReply, AcceptRequest, DocumentReply, HistoryEntry, OperatorFault,
};
use crate::wire::platform::{ReadRows, Row, ScanRows, TransactReply, Transaction};

use super::authority::Authority;
use super::check::check_text;
use super::held::Documents;
use super::rows::{
    ChangeRow, accept_transaction, change_key, document_key, find_row, history_key, history_prefix,
    read_row,
};

/// How long an acceptance is tried before the operator is told that it is not settled.
pub(crate) const ACCEPT_LIMIT_MS: u64 = 4_000;
/// Pause before a call that failed is repeated.
const RETRY_MS: u64 = 150;
/// Changes shown in a conflict.
const CHANGES_SHOWN: u32 = 50;

/// What an acceptance wants next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AcceptStep {
    /// A call to the table service.
    Call(TableCall),
    /// Nothing before [`Acceptance::wake`].
    Wait,
    /// It is over.
    Finish {
        /// The word to the operator.
        result: Result<AcceptReply, OperatorFault>,
        /// The document, if it was accepted by this call.
        accepted: Option<DocumentReply>,
    },
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Reads the current document, before the write or after an unmet condition.
    Reading,
    /// Writes.
    Writing,
    /// Reads what was accepted since the base.
    ReadingChanges { current: Box<DocumentReply> },
}

/// A write that is ready, or was sent at least once.
#[derive(Clone, Debug)]
struct Prepared {
    transaction: Transaction,
    accepted: DocumentReply,
    /// Whether a reply was lost, so that it may have taken effect.
    may_have_applied: bool,
}

/// One acceptance. The same transaction is sent until it has a reply, which is safe: its
/// conditions hold at most once.
#[derive(Clone, Debug)]
pub(crate) struct Acceptance {
    request: AcceptRequest,
    key: PresentedKey,
    is_peers_key: bool,
    instance: InstanceId,
    unix_ms: u64,
    give_up_ms: u64,
    step: Step,
    prepared: Option<Prepared>,
    retry_at_ms: Option<u64>,
}

impl Acceptance {
    /// Checks the text and asks for what is current.
    pub(crate) fn begin(
        request: AcceptRequest,
        key: PresentedKey,
        is_peers_key: bool,
        instance: InstanceId,
        unix_ms: u64,
        now_ms: u64,
    ) -> (Self, AcceptStep) {
        let acceptance = Self {
            request,
            key,
            is_peers_key,
            instance,
            unix_ms,
            give_up_ms: now_ms + ACCEPT_LIMIT_MS,
            step: Step::Reading,
            prepared: None,
            retry_at_ms: None,
        };
        let first = acceptance.call();
        (acceptance, first)
    }

    /// Repeats a call whose pause is over, or gives up.
    pub(crate) fn wake(&mut self, now_ms: u64) -> AcceptStep {
        match self.retry_at_ms {
            Some(at_ms) if now_ms >= at_ms => {
                self.retry_at_ms = None;
                self.call()
            }
            _ => AcceptStep::Wait,
        }
    }

    /// Takes the answer to the last call.
    pub(crate) fn answered(
        &mut self,
        result: Result<TableReply, TableFailure>,
        documents: &Documents,
        now_ms: u64,
    ) -> AcceptStep {
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => return self.failed(failure, now_ms),
        };
        match (self.step.clone(), reply) {
            (Step::Reading, TableReply::Read(rows)) => self.current_read(&rows.rows, documents),
            (Step::Writing, TableReply::Transacted(reply)) => self.written(&reply),
            (Step::ReadingChanges { current }, TableReply::Read(rows)) => {
                conflict(*current, &rows.rows)
            }
            _ => self.failed(TableFailure::ReplyLost, now_ms),
        }
    }

    fn call(&self) -> AcceptStep {
        let service = &self.request.service;
        let call = match &self.step {
            Step::Reading => TableCall::Read(ReadRows {
                keys: vec![document_key(service), change_key(self.request.change_id)],
            }),
            Step::Writing => match &self.prepared {
                Some(prepared) => TableCall::Transact(prepared.transaction.clone()),
                None => return fault(OperatorFault::Unsettled),
            },
            Step::ReadingChanges { .. } => TableCall::Scan(ScanRows {
                prefix: history_prefix(service),
                after: Some(history_key(service, self.request.base_revision)),
                limit: CHANGES_SHOWN,
            }),
        };
        AcceptStep::Call(call)
    }

    fn failed(&mut self, failure: TableFailure, now_ms: u64) -> AcceptStep {
        if let (Step::Writing, Some(prepared)) = (&self.step, &mut self.prepared) {
            prepared.may_have_applied |= failure.may_have_applied();
        }
        if now_ms >= self.give_up_ms {
            return self.give_up();
        }
        self.retry_at_ms = Some(now_ms + RETRY_MS);
        AcceptStep::Wait
    }

    fn give_up(&self) -> AcceptStep {
        match &self.prepared {
            Some(prepared) if prepared.may_have_applied => fault(OperatorFault::Unsettled),
            _ => fault(OperatorFault::StoreUnavailable),
        }
    }

    fn current_read(&mut self, rows: &[Row], documents: &Documents) -> AcceptStep {
        let row = find_row(rows, &document_key(&self.request.service));
        let current: Option<DocumentReply> = row.and_then(read_row);
        if row.is_some() && current.is_none() {
            return fault(OperatorFault::NotAllowed);
        }
        let parsed = match check_text(&self.request, documents) {
            Ok(parsed) => parsed,
            Err(faults) => return finish(AcceptReply::Faulty { faults }),
        };
        let operator = match self.authorise(current.as_ref(), &parsed, documents) {
            Ok(operator) => operator,
            Err(reason) => return fault(reason),
        };
        let change = find_row(rows, &change_key(self.request.change_id));
        if let Some(change) = change.and_then(read_row::<ChangeRow>) {
            return self.already_accepted(&change, current);
        }
        let known = current.as_ref().map_or(0, |reply| reply.entry.revision);
        match current {
            Some(current) if known != self.request.base_revision => self.read_changes(current),
            None if self.request.base_revision != 0 => fault(OperatorFault::NotFound),
            _ => self.write(operator, row.map(|row| row.version)),
        }
    }

    fn authorise(
        &self,
        current: Option<&DocumentReply>,
        proposed: &Document,
        documents: &Documents,
    ) -> Result<String, OperatorFault> {
        let authority = Authority::new(documents, &self.key, self.is_peers_key);
        let Some(current) = current else {
            return authority.may_create(proposed);
        };
        let stored = Document::parse(&current.text).ok();
        let held = documents.get(&self.request.service);
        let document = stored.as_ref().or(held.map(|held| &held.document));
        document
            .ok_or(OperatorFault::NotAllowed)
            .and_then(|document| authority.on(document, OperatorRole::Editor))
    }

    /// The change id is known: this call's own write, or one under the same id before.
    fn already_accepted(&self, change: &ChangeRow, current: Option<DocumentReply>) -> AcceptStep {
        if change.service != self.request.service {
            return fault(OperatorFault::NotAllowed);
        }
        let own = self.prepared.as_ref().map(|prepared| &prepared.accepted);
        AcceptStep::Finish {
            result: Ok(AcceptReply::Accepted {
                revision: change.revision,
                repeated: own.is_none(),
            }),
            accepted: own.cloned().or(current),
        }
    }

    fn read_changes(&mut self, current: DocumentReply) -> AcceptStep {
        self.step = Step::ReadingChanges {
            current: Box::new(current),
        };
        self.call()
    }

    fn write(&mut self, operator: String, current_version: Option<u64>) -> AcceptStep {
        let request = &self.request;
        let accepted = DocumentReply {
            entry: HistoryEntry {
                service: request.service.clone(),
                revision: request.base_revision + 1,
                base_revision: request.base_revision,
                operator,
                at_unix_ms: self.unix_ms,
                change_id: request.change_id,
                digest: digest(&request.text).to_string(),
                note: request.note.clone(),
            },
            text: request.text.clone(),
        };
        let transaction = accept_write(&self.instance, &accepted.entry)
            .and_then(|audit| accept_transaction(&accepted, current_version, audit));
        let Ok(transaction) = transaction else {
            return fault(OperatorFault::Unsettled);
        };
        self.prepared = Some(Prepared {
            transaction,
            accepted,
            may_have_applied: self.may_have_applied(),
        });
        self.step = Step::Writing;
        self.call()
    }

    fn may_have_applied(&self) -> bool {
        self.prepared
            .as_ref()
            .is_some_and(|prepared| prepared.may_have_applied)
    }

    fn written(&mut self, reply: &TransactReply) -> AcceptStep {
        match (reply, &self.prepared) {
            (TransactReply::Committed { .. }, Some(prepared)) => AcceptStep::Finish {
                result: Ok(AcceptReply::Accepted {
                    revision: prepared.accepted.entry.revision,
                    repeated: false,
                }),
                accepted: Some(prepared.accepted.clone()),
            },
            _ => {
                self.step = Step::Reading;
                self.call()
            }
        }
    }
}

fn conflict(current: DocumentReply, rows: &[Row]) -> AcceptStep {
    let mut changes: Vec<HistoryEntry> = rows
        .iter()
        .filter_map(read_row::<DocumentReply>)
        .map(|reply| reply.entry)
        .collect();
    changes.reverse();
    finish(AcceptReply::Conflict {
        current: DocumentInForce {
            service: current.entry.service,
            revision: current.entry.revision,
            text: current.text,
        },
        changes,
    })
}

fn finish(reply: AcceptReply) -> AcceptStep {
    AcceptStep::Finish {
        result: Ok(reply),
        accepted: None,
    }
}

fn fault(fault: OperatorFault) -> AcceptStep {
    AcceptStep::Finish {
        result: Err(fault),
        accepted: None,
    }
}
