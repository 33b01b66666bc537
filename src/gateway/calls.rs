//! Calls of the platform and of engines that end with one reply, one task each.

use std::net::SocketAddr;
use std::rc::Rc;

use super::messages::Deliver;
use crate::clients::{self, EngineApi, EngineCallFailure, HttpEngines, HttpPeers, HttpTable};
use crate::ids::{EndpointId, StreamId};
use crate::instance::{CallId, EntryMessage, TableCall};
use crate::settings::Secret;

/// Longest wait for an engine's state or cache events.
const STATE_TIMEOUT_MS: u64 = 500;
/// Longest wait for an engine to confirm a cancellation, each time.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// Times a cancellation is sent at most: a lost one costs the engine the rest of an answer.
const CANCEL_TRIES: u32 = 2;

/// Connections to everything the entry calls.
pub(crate) struct Outside {
    /// Table service.
    pub(crate) table: HttpTable,
    /// Model engines.
    pub(crate) engines: HttpEngines,
    /// Application endpoints.
    pub(crate) applications: HttpPeers,
    /// Other entries.
    pub(crate) entries: HttpPeers,
    /// Key shared by the system's own processes.
    pub(crate) peer_key: Secret,
}

/// Cancels a stream at one stage; nobody waits for the outcome. After a failure the next try takes
/// a fresh connection.
pub(crate) async fn cancel_stream(
    outside: Rc<Outside>,
    address: SocketAddr,
    stream: StreamId,
    epoch: u32,
) {
    for _ in 0..CANCEL_TRIES {
        let cancel = outside
            .engines
            .cancel(address, stream, epoch, CANCEL_TIMEOUT_MS);
        if cancel.await.is_ok() {
            return;
        }
    }
}

/// Asks one stage how far it is.
pub(crate) async fn probe_stream(
    outside: Rc<Outside>,
    call: CallId,
    address: SocketAddr,
    stream: StreamId,
    timeout_ms: u64,
) -> Deliver {
    let answer = outside.engines.progress(address, stream, timeout_ms).await;
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

/// Asks an engine what it holds.
pub(crate) async fn read_engine_state(
    outside: Rc<Outside>,
    endpoint: EndpointId,
    address: SocketAddr,
) -> Deliver {
    let state = outside.engines.state(address, STATE_TIMEOUT_MS).await.ok();
    Deliver(EntryMessage::EngineStateRead { endpoint, state })
}

/// Asks an engine for cache events; without an answer there is nothing to tell.
pub(crate) async fn read_cache_events(
    outside: Rc<Outside>,
    endpoint: EndpointId,
    address: SocketAddr,
    after: u64,
) -> Option<Deliver> {
    let answer = outside
        .engines
        .cache_events(address, after, STATE_TIMEOUT_MS)
        .await;
    let events = answer.ok()?;
    Some(Deliver(EntryMessage::CacheEventsRead { endpoint, events }))
}

/// Calls the table service.
pub(crate) async fn call_table(
    outside: Rc<Outside>,
    call: CallId,
    ask: TableCall,
    timeout_ms: u64,
) -> Deliver {
    let result = clients::call_table(&outside.table, &ask, timeout_ms).await;
    Deliver(EntryMessage::TableAnswered { call, result })
}
