//! A stub control process with configurable behavior.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use uuid::Uuid;

use crate::ids::{Incarnation, InstanceId, ServiceName, ZoneName};
use crate::rpc::{OperatorApiServer, into_error_object};
use crate::wire::local::DocumentInForce;
use crate::wire::operator::{
    AcceptReply, AcceptRequest, AuditPage, DocumentReply, ExplainReply, ExplainSubject,
    HistoryEntry, InstanceState, InstanceStatus, OperatorFault, StatusReply,
};

pub(super) const KEY: &str = "demo-operator-amira";
const SERVICE: &str = "ledger-api";

/// In-memory document store, shared by all stubs of a test.
#[derive(Clone, Default)]
pub(super) struct Store(Arc<Mutex<Vec<(AcceptRequest, u64)>>>);

impl Store {
    pub(super) fn revision(&self) -> u64 {
        self.0.lock().unwrap().len() as u64
    }

    fn document(&self, revision: u64) -> Option<DocumentReply> {
        let accepted = self.0.lock().unwrap();
        let (request, revision) = accepted.iter().find(|(_, it)| *it == revision)?;
        let entry = history_entry(request, *revision);
        let text = request.text.clone();
        Some(DocumentReply { entry, text })
    }

    pub(super) fn accept(&self, request: AcceptRequest) -> AcceptReply {
        let mut accepted = self.0.lock().unwrap();
        let earlier = accepted
            .iter()
            .find(|(known, _)| known.change_id == request.change_id);
        if let Some(&(_, revision)) = earlier {
            return AcceptReply::Accepted {
                revision,
                repeated: true,
            };
        }
        let revision = accepted.len() as u64;
        if request.base_revision != revision {
            return conflict(&accepted, &request);
        }
        accepted.push((request, revision + 1));
        AcceptReply::Accepted {
            revision: revision + 1,
            repeated: false,
        }
    }
}

fn conflict(accepted: &[(AcceptRequest, u64)], request: &AcceptRequest) -> AcceptReply {
    let (newest, revision) = accepted.last().unwrap();
    let since = accepted
        .iter()
        .filter(|(_, revision)| *revision > request.base_revision);
    AcceptReply::Conflict {
        current: DocumentInForce {
            service: newest.service.clone(),
            revision: *revision,
            text: newest.text.clone(),
        },
        changes: since
            .map(|(request, revision)| history_entry(request, *revision))
            .collect(),
    }
}

pub(super) fn history_entry(request: &AcceptRequest, revision: u64) -> HistoryEntry {
    HistoryEntry {
        service: request.service.clone(),
        revision,
        base_revision: request.base_revision,
        operator: "amira".to_owned(),
        at_unix_ms: 1_796_233_800_000 + revision,
        change_id: request.change_id,
        digest: "4da13a35c7443f624b56".to_owned(),
        note: request.note.clone(),
    }
}

/// How the stub handles an accept call.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Behavior {
    /// Replies normally.
    Healthy,
    /// Dies after the write, before the reply.
    DiesAfterWrite,
    /// Reports that the result of the write is unknown.
    Unsettled,
    /// Reports that the store is unavailable.
    StoreDown,
}

pub(super) struct Stub {
    store: Store,
    behavior: Behavior,
    /// Other instances of the cell, with their states. They never have a revision in force.
    pub(super) others: Vec<(&'static str, InstanceState)>,
    death: Arc<Notify>,
}

impl Stub {
    pub(super) fn new(store: &Store, behavior: Behavior) -> Self {
        Self {
            store: store.clone(),
            behavior,
            others: Vec::new(),
            death: Arc::default(),
        }
    }

    pub(super) async fn start(self) -> SocketAddr {
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let address = server.local_addr().unwrap();
        let death = self.death.clone();
        tokio::spawn(server.start(self.into_rpc()).stopped());
        proxy_until(death, address).await
    }
}

/// Status of an instance with one revision of one document in force.
pub(super) fn instance_status(
    name: &str,
    state: InstanceState,
    service: &str,
    revision: u64,
) -> InstanceStatus {
    let service = ServiceName::from(service);
    InstanceStatus {
        instance: InstanceId::from(name),
        zone: ZoneName::from("Lac"),
        address: "127.0.0.1:7001".parse().unwrap(),
        control_address: "127.0.0.1:7002".parse().unwrap(),
        state,
        silent_ms: (state != InstanceState::Suspected).then_some(0),
        revisions: [(service, revision)].into_iter().collect(),
    }
}

/// Proxies connections to a server, one at a time. On `death`, cuts the connection and stops
/// accepting others.
async fn proxy_until(death: Arc<Notify>, server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let mut server = TcpStream::connect(server).await.unwrap();
            tokio::select! {
                _ = copy_bidirectional(&mut caller, &mut server) => {}
                () = death.notified() => return,
            }
        }
    });
    address
}

fn check(key: &str) -> Result<(), ErrorObjectOwned> {
    match key {
        KEY => Ok(()),
        _ => Err(into_error_object(&OperatorFault::Unauthenticated)),
    }
}

#[async_trait]
impl OperatorApiServer for Stub {
    async fn accept(
        &self,
        key: String,
        request: AcceptRequest,
    ) -> Result<AcceptReply, ErrorObjectOwned> {
        check(&key)?;
        match self.behavior {
            Behavior::Healthy => Ok(self.store.accept(request)),
            Behavior::DiesAfterWrite => {
                self.store.accept(request);
                self.death.notify_one();
                std::future::pending().await
            }
            Behavior::Unsettled => Err(into_error_object(&OperatorFault::Unsettled)),
            Behavior::StoreDown => Err(into_error_object(&OperatorFault::StoreUnavailable)),
        }
    }

    async fn documents(&self, key: String) -> Result<Vec<HistoryEntry>, ErrorObjectOwned> {
        self.history(key, ServiceName::from(SERVICE), 1).await
    }

    async fn document(
        &self,
        key: String,
        _: ServiceName,
        revision: Option<u64>,
    ) -> Result<DocumentReply, ErrorObjectOwned> {
        check(&key)?;
        let revision = revision.unwrap_or(self.store.revision());
        let found = self.store.document(revision);
        found.ok_or_else(|| into_error_object(&OperatorFault::NotFound))
    }

    async fn history(
        &self,
        key: String,
        _: ServiceName,
        limit: u32,
    ) -> Result<Vec<HistoryEntry>, ErrorObjectOwned> {
        check(&key)?;
        let newest_first = (1..=self.store.revision()).rev();
        let entries = newest_first.filter_map(|revision| self.store.document(revision));
        Ok(entries
            .map(|reply| reply.entry)
            .take(limit as usize)
            .collect())
    }

    async fn status(&self, key: String) -> Result<StatusReply, ErrorObjectOwned> {
        check(&key)?;
        let own = instance_status(
            "entry-lac-1",
            InstanceState::Serving,
            SERVICE,
            self.store.revision(),
        );
        let others = self.others.iter();
        let others = others.map(|(name, state)| instance_status(name, *state, SERVICE, 0));
        Ok(StatusReply {
            instance: InstanceId::from("entry-lac-1"),
            incarnation: serde_json::from_value::<Incarnation>(Uuid::nil().to_string().into())
                .unwrap(),
            ready: true,
            table_reachable: true,
            instance_list_age_ms: Some(120),
            instances: std::iter::once(own).chain(others).collect(),
            endpoints: Vec::new(),
            leases: Vec::new(),
        })
    }

    async fn audit(
        &self,
        key: String,
        _: Option<String>,
        _: u32,
    ) -> Result<AuditPage, ErrorObjectOwned> {
        check(&key)?;
        let entries = Vec::new();
        Ok(AuditPage {
            entries,
            next: None,
        })
    }

    async fn explain(
        &self,
        key: String,
        _: ExplainSubject,
    ) -> Result<ExplainReply, ErrorObjectOwned> {
        check(&key)?;
        Ok(ExplainReply::default())
    }

    async fn metrics(&self, key: String) -> Result<String, ErrorObjectOwned> {
        check(&key)?;
        Ok(String::new())
    }
}

/// A temporary file, removed on drop.
pub(super) struct TempFile(PathBuf);

impl TempFile {
    pub(super) fn new(text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("fescuectl-{}", Uuid::new_v4()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    pub(super) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
