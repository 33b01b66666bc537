//! Calls to the table service and to engines with a single reply. Each call runs in its own task.

use std::net::SocketAddr;
use std::rc::Rc;

use super::messages::Deliver;
use crate::clients::{self, EngineApi, EngineCallFailure, HttpEngines, HttpPeers, HttpTable};
use crate::ids::{EndpointId, StreamId};
use crate::instance::{CallId, EntryMessage, TableCall};
use crate::settings::Secret;

/// Time limit for reading an engine's state or cache events.
const STATE_TIMEOUT_MS: u64 = 500;
/// Time limit for each attempt to cancel a stream.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of attempts to cancel a stream. If the cancellation is lost, the engine generates
/// the rest of an answer that nobody reads.
const MAX_CANCEL_ATTEMPTS: u32 = 2;

/// Clients for all services that the entry calls.
pub(crate) struct OutboundClients {
    /// Table service.
    pub(crate) table: HttpTable,
    /// Model engines.
    pub(crate) engines: HttpEngines,
    /// Application endpoints.
    pub(crate) applications: HttpPeers,
    /// Other entries.
    pub(crate) entries: HttpPeers,
    /// Shared key that authenticates the system's own processes to each other.
    pub(crate) peer_key: Secret,
}

/// Cancels a stream at one stage without reporting the outcome. After a failure the next attempt
/// uses a new connection.
pub(crate) async fn cancel_stream(
    outbound: Rc<OutboundClients>,
    address: SocketAddr,
    stream: StreamId,
    epoch: u32,
) {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let cancel = outbound
            .engines
            .cancel(address, stream, epoch, CANCEL_TIMEOUT_MS);
        if cancel.await.is_ok() {
            return;
        }
    }
}

/// Probes the progress of a stream at one stage.
pub(crate) async fn probe_stream(
    outbound: Rc<OutboundClients>,
    call: CallId,
    address: SocketAddr,
    stream: StreamId,
    timeout_ms: u64,
) -> Deliver {
    let answer = outbound.engines.progress(address, stream, timeout_ms).await;
    let (progress, reachable) = match answer {
        Ok(progress) => (progress, true),
        Err(EngineCallFailure::Refused { .. }) => (None, true),
        Err(_) => (None, false),
    };
    Deliver(EntryMessage::StreamProbed {
        call,
        progress,
        reachable,
    })
}

/// Reads the state of an engine.
pub(crate) async fn read_engine_state(
    outbound: Rc<OutboundClients>,
    endpoint: EndpointId,
    address: SocketAddr,
) -> Deliver {
    let state = outbound.engines.state(address, STATE_TIMEOUT_MS).await.ok();
    Deliver(EntryMessage::EngineStateRead { endpoint, state })
}

/// Reads cache events from an engine. Returns `None` if the call fails.
pub(crate) async fn read_cache_events(
    outbound: Rc<OutboundClients>,
    endpoint: EndpointId,
    address: SocketAddr,
    after: u64,
) -> Option<Deliver> {
    let answer = outbound
        .engines
        .cache_events(address, after, STATE_TIMEOUT_MS)
        .await;
    let events = answer.ok()?;
    Some(Deliver(EntryMessage::CacheEventsRead { endpoint, events }))
}

/// Calls the table service.
pub(crate) async fn call_table(
    outbound: Rc<OutboundClients>,
    call: CallId,
    request: TableCall,
    timeout_ms: u64,
) -> Deliver {
    let result = clients::call_table(&outbound.table, &request, timeout_ms).await;
    Deliver(EntryMessage::TableAnswered { call, result })
}
