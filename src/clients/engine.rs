//! Model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use super::EngineCallFailure;
use super::http::{HttpCall, HttpPeer, HttpPeers, HttpReply, HttpStream};
use crate::ids::StreamId;
use crate::wire::engine::{
    CacheEvents, CancelStream, EngineError, EngineOrder, EngineState, OpenStream, StreamProgress,
};

const REPLY_LIMIT_BYTES: usize = 4 << 20;
/// Longest body of an error, and how long to wait for it behind its head.
const ERROR_LIMIT_BYTES: usize = 64 << 10;
const ERROR_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls of a model engine that end with one reply.
pub trait EngineApi {
    /// Asks what the engine holds.
    fn state(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EngineState, EngineCallFailure>>;

    /// Asks for cache events after a number.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineCallFailure>>;

    /// Asks how far a stream is, on a fresh connection; `None` if the engine does not know it.
    fn progress(
        &self,
        address: SocketAddr,
        stream: StreamId,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Option<StreamProgress>, EngineCallFailure>>;

    /// Cancels a stream up to and including an epoch.
    fn cancel(
        &self,
        address: SocketAddr,
        stream: StreamId,
        epoch: u32,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), EngineCallFailure>>;

    /// Sends an order; returns what the engine holds then.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EngineState, EngineCallFailure>>;
}

/// Engines over HTTP.
#[derive(Default)]
pub struct HttpEngines {
    peers: HttpPeers,
}

impl HttpEngines {
    /// No engine is known until it is called.
    pub fn new() -> Self {
        Self::default()
    }

    /// Forgets the connections to engines for which `keep` is false.
    pub fn retain<F>(&self, keep: F)
    where
        F: FnMut(SocketAddr) -> bool,
    {
        self.peers.retain(keep);
    }

    /// Opens a stream and waits for the head of the reply, without timeout.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        open: &OpenStream,
        fresh_connection: bool,
    ) -> Result<HttpStream, EngineCallFailure> {
        let peer = self.peers.at(address);
        if fresh_connection {
            peer.discard_connections();
        }
        let call = HttpCall::post_json("/v1/streams", open)?;
        let mut stream = peer.open(call).await?;
        if stream.status().is_success() {
            return Ok(stream);
        }
        let body = stream.body().limit(ERROR_LIMIT_BYTES);
        let body = tokio::time::timeout(ERROR_TIMEOUT, body).await;
        match body {
            Ok(Ok(body)) => Err(read_refusal(&body)),
            _ => Err(EngineCallFailure::ReplyLost),
        }
    }
}

impl EngineApi for HttpEngines {
    async fn state(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<EngineState, EngineCallFailure> {
        let call = HttpCall::get("/v1/state");
        let peer = self.peers.at(address);
        let reply = peer.call(call, timeout_ms, REPLY_LIMIT_BYTES).await?;
        read_reply(&reply)
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        timeout_ms: u64,
    ) -> Result<CacheEvents, EngineCallFailure> {
        let path = format!("/v1/cache-events?after={after}");
        let call = HttpCall::get(&path);
        let peer = self.peers.at(address);
        let reply = peer.call(call, timeout_ms, REPLY_LIMIT_BYTES).await?;
        read_reply(&reply)
    }

    async fn progress(
        &self,
        address: SocketAddr,
        stream: StreamId,
        timeout_ms: u64,
    ) -> Result<Option<StreamProgress>, EngineCallFailure> {
        let path = format!("/v1/streams/{stream}");
        let call = HttpCall::get(&path);
        let peer = HttpPeer::new(&format!("http://{address}"));
        let reply = peer.call(call, timeout_ms, REPLY_LIMIT_BYTES).await?;
        if reply.status == 404 {
            return Ok(None);
        }
        read_reply(&reply).map(Some)
    }

    async fn cancel(
        &self,
        address: SocketAddr,
        stream: StreamId,
        epoch: u32,
        timeout_ms: u64,
    ) -> Result<(), EngineCallFailure> {
        let path = format!("/v1/streams/{stream}/cancel");
        let call = HttpCall::post_json(&path, &CancelStream { epoch })?;
        let peer = self.peers.at(address);
        peer.call(call, timeout_ms, REPLY_LIMIT_BYTES).await?;
        Ok(())
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout_ms: u64,
    ) -> Result<EngineState, EngineCallFailure> {
        let call = HttpCall::post_json("/v1/orders", order)?;
        let peer = self.peers.at(address);
        let reply = peer.call(call, timeout_ms, REPLY_LIMIT_BYTES).await?;
        read_reply(&reply)
    }
}

fn read_reply<T>(reply: &HttpReply) -> Result<T, EngineCallFailure>
where
    T: DeserializeOwned,
{
    match reply.status {
        200..=299 => serde_json::from_slice(&reply.body).map_err(|_| EngineCallFailure::ReplyLost),
        _ => Err(read_refusal(&reply.body)),
    }
}

/// Reads an engine's error reply. One that cannot be read proves nothing about what the engine did.
fn read_refusal(body: &[u8]) -> EngineCallFailure {
    match serde_json::from_slice::<EngineError>(body) {
        Ok(error) => EngineCallFailure::Refused { error },
        Err(_) => EngineCallFailure::ReplyLost,
    }
}
