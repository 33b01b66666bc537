//! Connections to endpoints, with one request at a time on each; healthy connections are reused.
//!
//! The client library distinguishes the end of a response from the end of the connection only in
//! its codec, so the codec is used directly: a response whose connection ends before its announced
//! end is broken, and bytes after a complete response belong to no request.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::Message;
use actix_http::{RequestHead, RequestHeadType, ServiceConfig};
use bytes::Bytes;
use futures_util::{FutureExt, SinkExt, StreamExt};
use indexmap::IndexMap;
use thiserror::Error;

pub(crate) use self::body::ResponseBody;
pub(crate) use self::exchange::Exchange;
use super::endpoint_stream::EndpointStream;
use super::memory_budget::MemoryBudget;
use super::response_codec::ResponseCodec;
use crate::event_loop::timeout;
use crate::fleet::EndpointFailure;
use crate::relay::AttemptOutcome;

mod body;
mod exchange;

/// Maximum wait for a connection: links take a few milliseconds at most, and a lost first packet is
/// retransmitted after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is reused if the endpoint does not say: well below the usual server
/// timeouts.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 3_000;
/// Subtracted from the keep-alive time that an endpoint announces, because its close may already be
/// in progress.
const IDLE_MARGIN_MS: u64 = 600;
/// Size of the pieces in which a body is sent. The write buffer of a connection keeps its size.
const SEND_PIECE_BYTES: usize = 64 << 10;
/// Maximum number of idle connections kept per endpoint.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Why an exchange with an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum UpstreamFailure {
    /// No connection could be made; no byte of the request was sent.
    #[error("could not connect to the endpoint")]
    NoConnection,
    /// Nothing listens at the address; no byte of the request was sent.
    #[error("no process listens at the endpoint's address")]
    NoListener,
    /// The connection failed or ended before the response was complete.
    #[error("connection closed before the response was complete")]
    Broken,
    /// The data received is not a valid response.
    #[error("invalid response")]
    Garbled,
    /// The endpoint was no longer eligible when the connection was ready; no byte of the request
    /// was sent.
    #[error("endpoint is no longer eligible for requests")]
    Withdrawn,
}

impl UpstreamFailure {
    /// Whether no byte of the request was sent.
    pub(crate) fn sent_nothing(self) -> bool {
        let (end, _) = self.classify();
        end == AttemptOutcome::NotSent
    }

    /// What the failure means for the request and for the endpoint.
    pub(crate) fn classify(self) -> (AttemptOutcome, EndpointFailure) {
        match self {
            Self::NoConnection => (AttemptOutcome::NotSent, EndpointFailure::Unreachable),
            Self::NoListener => (AttemptOutcome::NotSent, EndpointFailure::Refused),
            Self::Broken => (AttemptOutcome::Lost, EndpointFailure::Broken),
            Self::Garbled => (AttemptOutcome::Lost, EndpointFailure::Garbled),
            Self::Withdrawn => (AttemptOutcome::NotSent, EndpointFailure::Withdrawn),
        }
    }
}

/// A request as it is sent.
pub(crate) struct OutgoingRequest<'a> {
    /// Its id, which endpoints repeat in their responses.
    pub(crate) id: &'a str,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
}

/// An idle connection.
struct IdleConnection {
    framed: Framed<EndpointStream, ResponseCodec>,
    until_ms: u64,
}

/// The connections of this process to endpoints.
pub(crate) struct UpstreamPool {
    config: ServiceConfig,
    idle: RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>,
    /// Memory of all responses.
    memory: MemoryBudget,
}

impl UpstreamPool {
    /// Creates a pool without connections. Responses that are held take their memory from `memory`.
    pub(crate) fn new(memory: MemoryBudget) -> Self {
        Self {
            config: ServiceConfig::default(),
            idle: RefCell::default(),
            memory,
        }
    }

    /// Sends a request if `may_send` returns `true` once there is a connection. After an error
    /// other than [`UpstreamFailure::NoConnection`], [`UpstreamFailure::NoListener`] and
    /// [`UpstreamFailure::Withdrawn`] the endpoint may have received it.
    pub(crate) async fn send<F>(
        &self,
        address: SocketAddr,
        request: OutgoingRequest<'_>,
        now_ms: u64,
        may_send: F,
    ) -> Result<Exchange, UpstreamFailure>
    where
        F: FnOnce() -> bool,
    {
        let OutgoingRequest { id, head, body } = request;
        let idle = self.take_idle(address, id, now_ms);
        let is_new = idle.is_none();
        let mut framed = match idle {
            Some(framed) => framed,
            None => self.connect(address).await?,
        };
        if !may_send() {
            return Err(UpstreamFailure::Withdrawn);
        }
        framed.io_mut().carried.record(id, &head.method);
        let size = if body.is_empty() {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        let head = Message::Item((RequestHeadType::Owned(head), size));
        let sent = async {
            framed.feed(head).await?;
            let mut unsent = body;
            while !unsent.is_empty() {
                let piece = unsent.split_to(unsent.len().min(SEND_PIECE_BYTES));
                framed.send(Message::Chunk(Some(piece))).await?;
            }
            framed.flush().await
        };
        sent.await.map_err(|_| UpstreamFailure::Broken)?;
        Ok(Exchange {
            address,
            id: id.to_owned(),
            is_new,
            framed,
            memory: self.memory.clone(),
        })
    }

    /// Keeps the connection of a complete response for the next request, if it can be reused.
    pub(crate) fn release(&self, body: ResponseBody, keep_alive_ms: Option<u64>, now_ms: u64) {
        let address = body.address();
        let Some(framed) = body.into_connection() else {
            return;
        };
        let may_carry_more = !framed.io_ref().carried.is_full();
        let is_clean = framed.is_read_buf_empty();
        let idle_ms = keep_alive_ms.map_or(DEFAULT_IDLE_TIMEOUT_MS, |ms| {
            ms.saturating_sub(IDLE_MARGIN_MS)
        });
        let is_kept_alive = framed.codec_ref().keep_alive();
        if !may_carry_more || !is_clean || !is_kept_alive || idle_ms == 0 {
            return;
        }
        let mut framed = framed.into_map_codec(ResponseCodec::after_body);
        framed.io_mut().end_turn();
        self.keep(address, framed, now_ms + idle_ms);
    }

    fn keep(
        &self,
        address: SocketAddr,
        framed: Framed<EndpointStream, ResponseCodec>,
        until_ms: u64,
    ) {
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.entry(address).or_default();
        if of_address.len() >= MAX_IDLE_PER_ADDRESS {
            of_address.remove(0);
        }
        of_address.push(IdleConnection { framed, until_ms });
    }

    /// Opens a connection to an endpoint and keeps it for the next request.
    pub(crate) async fn preconnect(
        &self,
        address: SocketAddr,
        now_ms: u64,
    ) -> Result<(), UpstreamFailure> {
        let framed = self.connect(address).await?;
        self.keep(address, framed, now_ms + DEFAULT_IDLE_TIMEOUT_MS);
        Ok(())
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    /// Closes all idle connections.
    pub(super) fn discard_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes idle connections that are too old to be reused.
    pub(crate) fn sweep(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|it| now_ms < it.until_ms);
            !idle.is_empty()
        });
    }

    /// Number of idle connections.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether an idle connection to an endpoint is kept.
    #[cfg(test)]
    pub(super) fn has_idle(&self, address: SocketAddr) -> bool {
        self.idle
            .borrow()
            .get(&address)
            .is_some_and(|idle| !idle.is_empty())
    }

    /// Takes a connection for a request out of the idle ones. A late copy of the response to an earlier request with
    /// the same id would pass for the response to this one.
    fn take_idle(
        &self,
        address: SocketAddr,
        id: &str,
        now_ms: u64,
    ) -> Option<Framed<EndpointStream, ResponseCodec>> {
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.get_mut(&address)?;
        let has_carried = |it: &IdleConnection| it.framed.io_ref().carried.contains(id);
        while let Some(at) = of_address.iter().rposition(|it| !has_carried(it)) {
            let mut last = of_address.remove(at);
            // Anything readable now is the end of the connection or bytes that belong to no request. The
            // beginning of a response head leaves the codec waiting for more of it.
            let has_ended = last.framed.next().now_or_never().is_some();
            let has_unread_bytes = !last.framed.is_read_buf_empty();
            if has_unread_bytes {
                log::info!(endpoint:% = address; "idle connection has bytes that belong to no request");
            }
            if now_ms < last.until_ms && !has_ended && !has_unread_bytes {
                return Some(last.framed);
            }
        }
        if !of_address.is_empty() {
            log::info!(request = id, endpoint:% = address; "idle connections have carried this id and are not used for it");
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Framed<EndpointStream, ResponseCodec>, UpstreamFailure> {
        let stream = timeout(CONNECT_TIMEOUT, EndpointStream::connect(address)).await;
        let stream =
            stream
                .map_err(|_| UpstreamFailure::NoConnection)?
                .map_err(|error| match error.kind() {
                    io::ErrorKind::ConnectionRefused => UpstreamFailure::NoListener,
                    _ => UpstreamFailure::NoConnection,
                })?;
        Ok(Framed::new(stream, ResponseCodec::new(self.config.clone())))
    }
}
