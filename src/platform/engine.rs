//! Model engines.

use std::future::Future;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use super::EngineCallFailure;
use super::http::{HttpCall, HttpPeer, HttpPeers, HttpReply, HttpStream};
use crate::ids::StreamId;
use crate::wire::engine::{
    CacheEvents, CancelStream, EngineError, EngineErrorCode, EngineOrder, EngineState, OpenStream,
    StreamProgress,
};

const REPLY_LIMIT_BYTES: usize = 4 << 20;

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

    #[allow(dead_code)]
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
        Ok(peer.open(call).await?)
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
        status => Err(EngineCallFailure::Refused {
            error: read_error(status, &reply.body),
        }),
    }
}

/// Reads an engine's error reply; one that cannot be read is judged by its status.
pub(crate) fn read_error(status: u16, body: &[u8]) -> EngineError {
    serde_json::from_slice(body).unwrap_or(EngineError {
        code: match status {
            400..=499 => EngineErrorCode::Malformed,
            _ => EngineErrorCode::Overloaded,
        },
        stage: None,
    })
}
