//! Documents: from the store, from peers, from operators.

use indexmap::IndexMap;

use super::Control;
use super::calls::Purpose;
use crate::clients::TableFailure;
use crate::ids::{InstanceId, ServiceName};
use crate::instance::{
    CallId, ControlEffect, OperatorAnswer, PeerCall, PresentedKey, TableCall, TableReply,
};
use crate::invariant;
use crate::membership::rank;
use crate::revision::{AcceptStep, Acceptance, Offer, WatchStep};
use crate::wire::operator::{AcceptRequest, DocumentReply, OperatorFault};
use crate::wire::peer::{FetchDocuments, FetchedDocuments};

/// Instances of a cell that poll the store often.
const WATCHERS: usize = 3;
/// Pause between two polls of a watcher, and of every instance before its first whole poll.
const WATCH_MS: u64 = 1_000;
/// Pause between two polls of any other instance; it hears of documents from its peers.
const POLL_MS: u64 = 3_000;
/// Subject of the choice of watchers.
const WATCH_SUBJECT: &str = "watch documents";
/// How long a fetch may take.
const FETCH_TIMEOUT_MS: u64 = 1_500;

impl Control {
    /// Takes a document if it is newer. Says whether it is.
    pub(super) fn offer(&mut self, document: &DocumentReply) -> bool {
        match self.documents.offer(document) {
            Offer::Taken => {
                self.gossip.set_revisions(self.documents.revisions());
                self.snapshots.documents_changed();
                true
            }
            Offer::Forked => {
                invariant::report_violation("one_text_per_revision", &document.entry.service);
                false
            }
            Offer::NotNewer | Offer::Unreadable => false,
        }
    }

    pub(super) fn offer_all(&mut self, documents: &[DocumentReply]) {
        for document in documents {
            self.offer(document);
        }
    }

    pub(super) fn poll_store(&mut self, now_ms: u64) {
        let own = &self.config.instance;
        let live = self.gossip.live(now_ms);
        let watches = rank(WATCH_SUBJECT, own, live) < WATCHERS;
        let period_ms = if watches || !self.watch.has_read() {
            WATCH_MS
        } else {
            POLL_MS
        };
        if let Some(call) = self.watch.poll(period_ms, now_ms) {
            self.call_table(Purpose::Watch, call);
        }
    }

    pub(super) fn watch_answered(&mut self, result: Result<TableReply, TableFailure>) {
        match self.watch.answered(result, &self.documents) {
            WatchStep::Call(call) => self.call_table(Purpose::Watch, call),
            WatchStep::Read(documents) => self.offer_all(&documents),
            WatchStep::ReadAndCall(documents, call) => {
                self.offer_all(&documents);
                self.call_table(Purpose::Watch, call);
            }
            WatchStep::Failed => {}
        }
        if self.watch.has_read() {
            self.readiness.store_read();
        }
    }

    /// Asks peers that name a higher revision; before readiness, asks every peer once.
    pub(super) fn fetch_documents(&mut self, now_ms: u64) {
        let mut asks = Vec::new();
        for (peer, member) in self.gossip.members() {
            let (Some(address), false) = (
                member.control_address(),
                self.calls.is_pending(&Purpose::Fetch(peer.clone())),
            ) else {
                continue;
            };
            let services = self.higher_at(peer);
            let unheard = !self.readiness.is_ready() && !self.readiness.has_told(peer);
            if unheard && !member.asked || (!services.is_empty() && member.is_live(now_ms)) {
                let services = if unheard { Vec::new() } else { services };
                asks.push((peer.clone(), address, services));
            }
        }
        for (peer, address, services) in asks {
            let call = self.calls.start(Purpose::Fetch(peer));
            self.emit(ControlEffect::CallPeer {
                call,
                address,
                ask: PeerCall::Fetch(FetchDocuments { services }),
                timeout_ms: FETCH_TIMEOUT_MS,
                fresh_connection: false,
            });
        }
    }

    /// Services of which a peer names a higher revision than the one in force here.
    fn higher_at(&self, peer: &InstanceId) -> Vec<ServiceName> {
        let state = self.gossip.members().get(peer);
        let Some(state) = state.and_then(|member| member.state.as_ref()) else {
            return Vec::new();
        };
        let higher = |service: &ServiceName, revision: u64| -> bool {
            revision > self.documents.revision(service)
        };
        let revisions = state.revisions.iter();
        revisions
            .filter(|(service, revision)| higher(service, **revision))
            .map(|(service, _)| service.clone())
            .collect()
    }

    pub(super) fn fetch_answered(
        &mut self,
        peer: InstanceId,
        fetched: Option<FetchedDocuments>,
        now_ms: u64,
    ) {
        let Some(fetched) = fetched else {
            return;
        };
        self.offer_all(&fetched.documents);
        self.readiness.peer_told(peer, fetched.ready, now_ms);
    }

    pub(super) fn fetched(&self, ask: &FetchDocuments) -> FetchedDocuments {
        let wanted = |service: &ServiceName| -> bool {
            ask.services.is_empty() || ask.services.contains(service)
        };
        FetchedDocuments {
            ready: self.readiness.is_ready(),
            documents: self
                .documents
                .iter()
                .filter(|(service, _)| wanted(service))
                .map(|(_, held)| held.accepted.clone())
                .collect(),
        }
    }

    pub(super) fn settle_readiness(&mut self, now_ms: u64) {
        if self.readiness.is_ready() {
            return;
        }
        // Peers that may still answer, heard of or only listed: the first one to answer may lag.
        let members = self.gossip.members().iter();
        let awaited = members.filter(|(_, member)| !member.failed);
        let awaited: IndexMap<&InstanceId, bool> = awaited
            .map(|(peer, _)| (peer, !self.higher_at(peer).is_empty()))
            .collect();
        let behind = awaited.values().any(|higher| *higher);
        let peers = awaited.keys().copied();
        self.readiness.settle(peers, behind, now_ms);
    }

    pub(super) fn accept(
        &mut self,
        operator: CallId,
        key: PresentedKey,
        request: AcceptRequest,
        now_ms: u64,
    ) {
        if self.stopping.has_begun() {
            self.answer_operator(operator, Err(OperatorFault::Stopping));
            return;
        }
        if !self.watch.has_read() {
            self.answer_operator(operator, Err(OperatorFault::StoreUnavailable));
            return;
        }
        let is_peers_key = self.config.is_peers_key(&key);
        let (acceptance, step) = Acceptance::begin(
            request,
            key,
            is_peers_key,
            self.config.instance.clone(),
            self.config.unix_ms(now_ms),
            now_ms,
        );
        self.acceptances.insert(operator, acceptance);
        self.accept_step(operator, step, now_ms);
    }

    pub(super) fn accept_answered(
        &mut self,
        operator: CallId,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) {
        let Some(acceptance) = self.acceptances.get_mut(&operator) else {
            return;
        };
        let step = acceptance.answered(result, &self.documents, now_ms);
        self.accept_step(operator, step, now_ms);
    }

    pub(super) fn wake_acceptances(&mut self, now_ms: u64) {
        let woken: Vec<(CallId, AcceptStep)> = self
            .acceptances
            .iter_mut()
            .map(|(operator, acceptance)| (*operator, acceptance.wake(now_ms)))
            .collect();
        for (operator, step) in woken {
            self.accept_step(operator, step, now_ms);
        }
    }

    fn accept_step(&mut self, operator: CallId, step: AcceptStep, now_ms: u64) {
        match step {
            AcceptStep::Call(call) => self.call_table(Purpose::Accept(operator), call),
            AcceptStep::Wait => {}
            AcceptStep::Finish { result, accepted } => {
                self.acceptances.swap_remove(&operator);
                if let Some(document) = accepted {
                    self.spread(document, now_ms);
                }
                self.answer_operator(operator, result.map(OperatorAnswer::Accept));
            }
        }
    }

    /// Puts an accepted document in force here and sends it to every peer.
    fn spread(&mut self, document: DocumentReply, now_ms: u64) {
        self.offer(&document);
        for message in self.gossip.push(vec![document], now_ms) {
            self.call_gossip(message);
        }
    }

    pub(super) fn table_answered(
        &mut self,
        call: CallId,
        result: Result<TableReply, TableFailure>,
        now_ms: u64,
    ) {
        match self.calls.finish(call) {
            Some(Purpose::Watch) => self.watch_answered(result),
            Some(Purpose::Accept(operator)) => self.accept_answered(operator, result, now_ms),
            Some(Purpose::Lease(service)) => self.lease_answered(&service, result, now_ms),
            Some(Purpose::WriteAudit) => self.audit.answered(result.is_ok()),
            Some(Purpose::ReadAudit(operator, scan)) => self.audit_read(operator, &scan, result),
            Some(Purpose::ReadDocument(operator)) => self.document_read(operator, result),
            Some(Purpose::ReadHistory(operator, service)) => {
                self.history_read(operator, &service, result);
            }
            _ => {}
        }
    }

    pub(super) fn write_audit(&mut self, now_ms: u64) {
        if let Some(transaction) = self.audit.due(now_ms) {
            self.call_table(Purpose::WriteAudit, TableCall::Transact(transaction));
        }
    }
}
