//! Calls of operators, each checked against the documents in force.

use indexmap::IndexMap;

use super::Control;
use super::calls::Purpose;
use crate::audit::{audit_page, audit_scan};
use crate::clients::TableFailure;
use crate::document::{Document, OperatorRole};
use crate::ids::ServiceName;
use crate::instance::{
    CallId, ControlEffect, OperatorAnswer, OperatorCall, PresentedKey, TableCall, TableReply,
};
use crate::revision::{Authority, Held, history_key, history_prefix, read_row};
use crate::wire::operator::{
    DocumentReply, HistoryEntry, InstanceState, InstanceStatus, OperatorFault, StatusReply,
};
use crate::wire::peer::PeerPhase;
use crate::wire::platform::{ReadRows, ScanRows};

/// Most entries of a history in one answer.
const HISTORY_LIMIT: u32 = 500;

impl Control {
    pub(super) fn operator_asked(
        &mut self,
        call: CallId,
        key: PresentedKey,
        ask: OperatorCall,
        now_ms: u64,
    ) {
        if let OperatorCall::Accept(request) = ask {
            self.accept(call, key, request, now_ms);
            return;
        }
        if let Err(fault) = self.may_ask(&key, &ask) {
            self.answer_operator(call, Err(fault));
            return;
        }
        match ask {
            OperatorCall::Accept(_) => {}
            OperatorCall::Documents => {
                let entries = self.readable(&key).map(|held| held.accepted.entry.clone());
                let entries = entries.collect();
                self.answer_operator(call, Ok(OperatorAnswer::Documents(entries)));
            }
            OperatorCall::Document { service, revision } => {
                self.show_document(call, &service, revision);
            }
            OperatorCall::History { service, limit } => self.show_history(call, service, limit),
            OperatorCall::Status => {
                let status = self.status(&key, now_ms);
                self.answer_operator(call, Ok(OperatorAnswer::Status(status)));
            }
            OperatorCall::Audit { after, limit } => {
                let scan = audit_scan(after, limit);
                let purpose = Purpose::ReadAudit(call, scan.clone());
                self.call_table(purpose, TableCall::Scan(scan));
            }
            OperatorCall::Explain(subject) => self.explain(call, subject, now_ms),
            OperatorCall::Metrics => self.answer_operator(call, Ok(OperatorAnswer::Metrics)),
        }
    }

    pub(super) fn answer_operator(
        &mut self,
        call: CallId,
        result: Result<OperatorAnswer, OperatorFault>,
    ) {
        self.emit(ControlEffect::AnswerOperator { call, result });
    }

    fn may_ask(&self, key: &PresentedKey, ask: &OperatorCall) -> Result<(), OperatorFault> {
        let authority = self.authority(key);
        if !self.is_ready() && self.documents.is_empty() && !self.config.is_peers_key(key) {
            return Err(OperatorFault::NotReady);
        }
        if !authority.is_known() {
            return Err(OperatorFault::Unauthenticated);
        }
        match ask {
            OperatorCall::Document { service, .. } | OperatorCall::History { service, .. } => {
                let held = self.documents.get(service).ok_or(OperatorFault::NotFound)?;
                authority
                    .on(&held.document, OperatorRole::Viewer)
                    .map(|_| ())
            }
            _ => Ok(()),
        }
    }

    fn authority<'a>(&'a self, key: &'a PresentedKey) -> Authority<'a> {
        Authority::new(&self.documents, key, self.config.is_peers_key(key))
    }

    /// Documents that the key may read.
    fn readable<'a>(&'a self, key: &'a PresentedKey) -> impl Iterator<Item = &'a Held> {
        let authority = self.authority(key);
        let may_read =
            move |document: &Document| authority.on(document, OperatorRole::Viewer).is_ok();
        let documents = self.documents.iter().map(|(_, held)| held);
        documents.filter(move |held| may_read(&held.document))
    }

    fn show_document(&mut self, call: CallId, service: &ServiceName, revision: Option<u64>) {
        let Some(held) = self.documents.get(service) else {
            self.answer_operator(call, Err(OperatorFault::NotFound));
            return;
        };
        let current = held.accepted.entry.revision;
        match revision {
            Some(revision) if revision != current => {
                let keys = vec![history_key(service, revision)];
                let read = TableCall::Read(ReadRows { keys });
                self.call_table(Purpose::ReadDocument(call), read);
            }
            _ => {
                let answer = OperatorAnswer::Document(held.accepted.clone());
                self.answer_operator(call, Ok(answer));
            }
        }
    }

    pub(super) fn document_read(&mut self, call: CallId, result: Result<TableReply, TableFailure>) {
        let answer = match result {
            Ok(TableReply::Read(rows)) => rows
                .rows
                .first()
                .and_then(read_row::<DocumentReply>)
                .map(OperatorAnswer::Document)
                .ok_or(OperatorFault::NotFound),
            _ => Err(OperatorFault::StoreUnavailable),
        };
        self.answer_operator(call, answer);
    }

    fn show_history(&mut self, call: CallId, service: ServiceName, limit: u32) {
        let limit = limit.clamp(1, HISTORY_LIMIT);
        let newest = self.documents.revision(&service);
        let oldest = newest.saturating_sub(u64::from(limit));
        let scan = TableCall::Scan(ScanRows {
            prefix: history_prefix(&service),
            after: Some(history_key(&service, oldest)),
            limit,
        });
        self.call_table(Purpose::ReadHistory(call, service), scan);
    }

    pub(super) fn history_read(
        &mut self,
        call: CallId,
        service: &ServiceName,
        result: Result<TableReply, TableFailure>,
    ) {
        let Ok(TableReply::Read(rows)) = result else {
            self.answer_operator(call, Err(OperatorFault::StoreUnavailable));
            return;
        };
        let read = rows.rows.iter().filter_map(read_row::<DocumentReply>);
        let mut entries: Vec<HistoryEntry> = read
            .map(|reply| reply.entry)
            .filter(|entry| entry.service == *service)
            .collect();
        entries.reverse();
        self.answer_operator(call, Ok(OperatorAnswer::History(entries)));
    }

    pub(super) fn audit_read(
        &mut self,
        call: CallId,
        scan: &ScanRows,
        result: Result<TableReply, TableFailure>,
    ) {
        let answer = match result {
            Ok(TableReply::Read(rows)) => Ok(OperatorAnswer::Audit(audit_page(&rows.rows, scan))),
            _ => Err(OperatorFault::StoreUnavailable),
        };
        self.answer_operator(call, answer);
    }

    fn status(&self, key: &PresentedKey, now_ms: u64) -> StatusReply {
        let authority = self.authority(key);
        let may_read = |document: &Document| authority.on(document, OperatorRole::Viewer).is_ok();
        let readable: Vec<&ServiceName> = self
            .readable(key)
            .map(|held| &held.document.service)
            .collect();
        let endpoints = self.endpoint_records().into_iter();
        StatusReply {
            instance: self.config.instance.clone(),
            incarnation: self.config.incarnation,
            ready: self.is_ready(),
            table_reachable: self.watch.reachable(),
            instance_list_age_ms: self.listing.age_ms(now_ms),
            instances: self.instance_statuses(now_ms),
            endpoints: endpoints
                .filter(|record| readable.contains(&&record.service))
                .collect(),
            leases: self.lease_statuses(may_read, now_ms),
        }
    }

    fn instance_statuses(&self, now_ms: u64) -> Vec<InstanceStatus> {
        let own = self.gossip.own();
        let own_status = InstanceStatus {
            instance: own.instance.clone(),
            zone: own.zone.clone(),
            address: own.address,
            control_address: own.control_address,
            state: state_of(own.phase),
            silent_ms: Some(0),
            revisions: own.revisions.clone(),
        };
        let peers = self.gossip.members().iter().filter_map(|(peer, member)| {
            let state = match member.is_live(now_ms) {
                true => state_of(member.phase()),
                false => InstanceState::Suspected,
            };
            let revisions = member.state.as_ref().map(|state| state.revisions.clone());
            Some(InstanceStatus {
                instance: peer.clone(),
                zone: member.zone()?.clone(),
                address: member.address()?,
                control_address: member.control_address()?,
                state,
                silent_ms: member.silent_ms(now_ms),
                revisions: revisions.unwrap_or_else(IndexMap::new),
            })
        });
        let mut statuses: Vec<InstanceStatus> = std::iter::once(own_status).chain(peers).collect();
        statuses.sort_by(|a, b| a.instance.cmp(&b.instance));
        statuses
    }
}

fn state_of(phase: PeerPhase) -> InstanceState {
    match phase {
        PeerPhase::NotReady => InstanceState::NotReady,
        PeerPhase::Serving => InstanceState::Serving,
        PeerPhase::Stopping => InstanceState::Stopping,
    }
}
