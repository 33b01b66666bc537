//! Client for model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;

use super::EngineCallFailure;
use super::http::{HttpCall, HttpPeer, HttpPeers, HttpReply, HttpStream};
use crate::event_loop;
use crate::ids::StreamId;
use crate::wire::engine::{
    CacheEvents, CancelStream, EngineError, EngineOrder, EngineState, OpenStream, StreamProgress,
};

const MAX_REPLY_BYTES: usize = 4 << 20;
/// Largest body of an error response that is read.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Time to wait for the body of an error response after its head.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Unary calls to a model engine: one request, one reply.
pub trait EngineApi {
    /// Fetches the engine's state.
    fn state(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EngineState, EngineCallFailure>>;

    /// Fetches the cache events that follow sequence number `after`.
    fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<CacheEvents, EngineCallFailure>>;

    /// Fetches the progress of a stream over a new connection, so that a stale pooled connection
    /// cannot be mistaken for a dead engine. `None` if the engine does not know the stream.
    fn progress(
        &self,
        address: SocketAddr,
        stream: StreamId,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<Option<StreamProgress>, EngineCallFailure>>;

    /// Cancels a stream for all epochs up to and including `epoch`.
    fn cancel(
        &self,
        address: SocketAddr,
        stream: StreamId,
        epoch: u32,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<(), EngineCallFailure>>;

    /// Sends an order and returns the engine's resulting state.
    fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout_ms: u64,
    ) -> impl Future<Output = Result<EngineState, EngineCallFailure>>;
}

/// [`EngineApi`] over HTTP.
#[derive(Default)]
pub struct HttpEngines {
    peers: HttpPeers,
}

impl HttpEngines {
    /// Creates a client without connections; they are opened on the first call to an engine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops the connection pools of engines for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: FnMut(SocketAddr) -> bool,
    {
        self.peers.retain(keep);
    }

    /// Opens a stream and waits for the response head. Has no timeout: the caller watches for
    /// progress. `fresh_connection` discards the pooled connections first.
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
        let body = stream.body().limit(MAX_ERROR_BYTES);
        let body = event_loop::timeout(ERROR_BODY_TIMEOUT, body).await;
        match body {
            Ok(Ok(body)) => Err(parse_error(&body)),
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
        let reply = peer.call(call, timeout_ms, MAX_REPLY_BYTES).await?;
        parse_reply(&reply)
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
        let reply = peer.call(call, timeout_ms, MAX_REPLY_BYTES).await?;
        parse_reply(&reply)
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
        let reply = peer.call(call, timeout_ms, MAX_REPLY_BYTES).await?;
        if reply.status == 404 {
            return Ok(None);
        }
        parse_reply(&reply).map(Some)
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
        peer.call(call, timeout_ms, MAX_REPLY_BYTES).await?;
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
        let reply = peer.call(call, timeout_ms, MAX_REPLY_BYTES).await?;
        parse_reply(&reply)
    }
}

fn parse_reply<T>(reply: &HttpReply) -> Result<T, EngineCallFailure>
where
    T: DeserializeOwned,
{
    match reply.status {
        200..=299 => serde_json::from_slice(&reply.body).map_err(|_| EngineCallFailure::ReplyLost),
        _ => Err(parse_error(&reply.body)),
    }
}

/// Parses an engine's error response. An unreadable one does not tell whether the call took
/// effect, so it counts as a lost reply.
fn parse_error(body: &[u8]) -> EngineCallFailure {
    match serde_json::from_slice::<EngineError>(body) {
        Ok(error) => EngineCallFailure::Refused { error },
        Err(_) => EngineCallFailure::ReplyLost,
    }
}
