//! JSON-RPC methods: each carries a call to the actor and its answer back.

use actix::Addr;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;

use super::actor::{AskEntry, AskOperator, AskPeer, ControlActor};
use crate::ids::ServiceName;
use crate::instance::{OperatorAnswer, OperatorCall, PeerAnswer, PeerCall, PresentedKey};
use crate::keys::{self, Secret};
use crate::rpc::{LocalApiServer, OperatorApiServer, PeerApiServer, into_error_object};
use crate::telemetry::Counters;
use crate::wire::local::{EntryReport, ExchangeReply};
use crate::wire::operator::{
    AcceptReply, AcceptRequest, AuditPage, DocumentReply, ExplainReply, ExplainSubject,
    HistoryEntry, OperatorFault, StatusReply,
};
use crate::wire::peer::{FetchDocuments, FetchedDocuments, PeerMessage, PeerReply};

/// The methods of all three interfaces.
#[derive(Clone)]
pub(super) struct Handlers {
    actor: Addr<ControlActor>,
    peers_key: Secret,
    counters: Counters,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

impl Handlers {
    /// Methods that reach the actor.
    pub(super) fn new(actor: Addr<ControlActor>, peers_key: Secret, counters: Counters) -> Self {
        Self {
            actor,
            peers_key,
            counters,
        }
    }

    fn check_key(&self, key: &str) -> Answer<()> {
        let known = [keys::digest(self.peers_key.expose())];
        if keys::matches(&known, key) {
            return Ok(());
        }
        self.counters.count("control.calls.unauthenticated");
        Err(into_error_object(&OperatorFault::Unauthenticated))
    }

    async fn ask_peer(&self, key: &str, ask: PeerCall) -> Answer<PeerAnswer> {
        self.check_key(key)?;
        let answer = self.actor.send(AskPeer(ask)).await.ok().flatten();
        answer.ok_or_else(stopping)
    }

    async fn ask(&self, key: String, ask: OperatorCall) -> Answer<OperatorAnswer> {
        self.counters.count("control.calls.operator");
        let ask = AskOperator {
            key: PresentedKey::from(key),
            ask,
        };
        let result = self.actor.send(ask).await.ok().flatten();
        result
            .ok_or_else(stopping)?
            .map_err(|fault| into_error_object(&fault))
    }
}

/// The process ends, or an answer of another kind came, which no call gets.
fn stopping() -> ErrorObjectOwned {
    into_error_object(&OperatorFault::Stopping)
}

#[async_trait]
impl LocalApiServer for Handlers {
    async fn exchange(&self, key: String, report: EntryReport) -> Answer<ExchangeReply> {
        self.check_key(&key)?;
        let answer = self.actor.send(AskEntry(report)).await.ok().flatten();
        answer.ok_or_else(stopping)
    }
}

#[async_trait]
impl PeerApiServer for Handlers {
    async fn gossip(&self, key: String, message: PeerMessage) -> Answer<PeerReply> {
        match self.ask_peer(&key, PeerCall::Gossip(message)).await? {
            PeerAnswer::Gossip(reply) => Ok(reply),
            _ => Err(stopping()),
        }
    }

    async fn fetch(&self, key: String, fetch: FetchDocuments) -> Answer<FetchedDocuments> {
        match self.ask_peer(&key, PeerCall::Fetch(fetch)).await? {
            PeerAnswer::Fetch(fetched) => Ok(fetched),
            _ => Err(stopping()),
        }
    }

    async fn explain(&self, key: String, subject: ExplainSubject) -> Answer<ExplainReply> {
        match self.ask_peer(&key, PeerCall::Explain(subject)).await? {
            PeerAnswer::Explain(reply) => Ok(reply),
            _ => Err(stopping()),
        }
    }
}

#[async_trait]
impl OperatorApiServer for Handlers {
    async fn accept(&self, key: String, request: AcceptRequest) -> Answer<AcceptReply> {
        match self.ask(key, OperatorCall::Accept(request)).await? {
            OperatorAnswer::Accept(reply) => Ok(reply),
            _ => Err(stopping()),
        }
    }

    async fn documents(&self, key: String) -> Answer<Vec<HistoryEntry>> {
        match self.ask(key, OperatorCall::Documents).await? {
            OperatorAnswer::Documents(entries) => Ok(entries),
            _ => Err(stopping()),
        }
    }

    async fn document(
        &self,
        key: String,
        service: ServiceName,
        revision: Option<u64>,
    ) -> Answer<DocumentReply> {
        let ask = OperatorCall::Document { service, revision };
        match self.ask(key, ask).await? {
            OperatorAnswer::Document(document) => Ok(document),
            _ => Err(stopping()),
        }
    }

    async fn history(
        &self,
        key: String,
        service: ServiceName,
        limit: u32,
    ) -> Answer<Vec<HistoryEntry>> {
        let ask = OperatorCall::History { service, limit };
        match self.ask(key, ask).await? {
            OperatorAnswer::History(entries) => Ok(entries),
            _ => Err(stopping()),
        }
    }

    async fn status(&self, key: String) -> Answer<StatusReply> {
        match self.ask(key, OperatorCall::Status).await? {
            OperatorAnswer::Status(status) => Ok(status),
            _ => Err(stopping()),
        }
    }

    async fn audit(&self, key: String, after: Option<String>, limit: u32) -> Answer<AuditPage> {
        match self.ask(key, OperatorCall::Audit { after, limit }).await? {
            OperatorAnswer::Audit(page) => Ok(page),
            _ => Err(stopping()),
        }
    }

    async fn explain(&self, key: String, subject: ExplainSubject) -> Answer<ExplainReply> {
        match self.ask(key, OperatorCall::Explain(subject)).await? {
            OperatorAnswer::Explain(reply) => Ok(reply),
            _ => Err(stopping()),
        }
    }

    async fn metrics(&self, key: String) -> Answer<String> {
        match self.ask(key, OperatorCall::Metrics).await? {
            OperatorAnswer::Metrics => Ok(self.counters.render_prometheus()),
            _ => Err(stopping()),
        }
    }
}
