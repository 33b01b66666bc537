//! Connections to endpoints: one request at a time on each, kept while they are sound.
//!
//! The client library tells an answer's end from a connection's end only in its codec, so the
//! codec is used directly: an answer that ends with its connection before its announced end is
//! broken, and bytes behind a whole answer belong to no request.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, header};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt, StreamExt};
use indexmap::IndexMap;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::EndpointFailure;
use crate::relay::AttemptEnd;

/// Longest wait for a connection: links take a few milliseconds at most, and a first lost packet
/// is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is used again where the endpoint says nothing: well under the usual
/// limits of servers.
const IDLE_MS: u64 = 3_000;
/// Taken off the time for which the endpoint says that it keeps an idle connection: its close may
/// be under way.
const IDLE_MARGIN_MS: u64 = 600;
/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 32;

/// Why an exchange with an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum UpstreamFailure {
    /// No connection; no byte of the request left.
    #[error("no connection")]
    NoConnection,
    /// The same: nothing listens at the address.
    #[error("no process listens there")]
    NoListener,
    /// The connection broke or ended before the answer was whole.
    #[error("the connection ended before the answer was whole")]
    Broken,
    /// What came is no answer in the protocol.
    #[error("what came is no answer")]
    Garbled,
    /// The choice of the endpoint did not hold any more when there was a connection; no byte of the
    /// request left.
    #[error("the endpoint is not to be sent requests any more")]
    Withdrawn,
}

impl UpstreamFailure {
    /// Whether no byte of the request has left.
    pub(crate) fn sent_nothing(self) -> bool {
        let (end, _) = self.meaning();
        end == AttemptEnd::NotSent
    }

    /// What the failure says of the request, and of the endpoint.
    pub(crate) fn meaning(self) -> (AttemptEnd, EndpointFailure) {
        match self {
            Self::NoConnection => (AttemptEnd::NotSent, EndpointFailure::Unreachable),
            Self::NoListener => (AttemptEnd::NotSent, EndpointFailure::Ended),
            Self::Broken => (AttemptEnd::Lost, EndpointFailure::Broken),
            Self::Garbled => (AttemptEnd::Lost, EndpointFailure::Garbled),
            Self::Withdrawn => (AttemptEnd::NotSent, EndpointFailure::Withdrawn),
        }
    }
}

/// An idle connection.
struct Idle {
    framed: Framed<TcpStream, ClientCodec>,
    until_ms: u64,
}

/// The connections of this process to endpoints.
pub(crate) struct UpstreamPool {
    config: ServiceConfig,
    idle: RefCell<IndexMap<SocketAddr, Vec<Idle>>>,
}

/// A connection whose request was sent.
pub(crate) struct Exchange {
    address: SocketAddr,
    framed: Framed<TcpStream, ClientCodec>,
}

/// The body of an answer.
pub(crate) struct AnswerBody {
    address: SocketAddr,
    state: BodyState,
}

enum BodyState {
    /// Its end is announced by a length or by chunks.
    Announced(Framed<TcpStream, ClientPayloadCodec>),
    /// It ends with the connection.
    UntilClose(TcpStream, BytesMut),
    /// It has come whole; the connection, if it is still open.
    Whole(Option<Framed<TcpStream, ClientPayloadCodec>>),
}

impl UpstreamPool {
    /// No connection yet.
    pub(crate) fn new() -> Self {
        Self {
            config: ServiceConfig::default(),
            idle: RefCell::default(),
        }
    }

    /// Sends a request, if `may_send` holds once there is a connection. After an error other than
    /// [`UpstreamFailure::NoConnection`] and [`UpstreamFailure::Withdrawn`] the endpoint may have got
    /// it.
    pub(crate) async fn send<F>(
        &self,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
        now_ms: u64,
        may_send: F,
    ) -> Result<Exchange, UpstreamFailure>
    where
        F: FnOnce() -> bool,
    {
        let mut framed = match self.take_idle(address, now_ms) {
            Some(framed) => framed,
            None => self.connect(address).await?,
        };
        if !may_send() {
            return Err(UpstreamFailure::Withdrawn);
        }
        let size = if body.is_empty() {
            BodySize::None
        } else {
            BodySize::Sized(body.len() as u64)
        };
        let head = Message::Item((RequestHeadType::Owned(head), size));
        let sent = async {
            framed.feed(head).await?;
            if !body.is_empty() {
                framed.feed(Message::Chunk(Some(body))).await?;
            }
            framed.flush().await
        };
        sent.await.map_err(|_| UpstreamFailure::Broken)?;
        Ok(Exchange { address, framed })
    }

    /// Keeps the connection of a whole answer for the next request, if it can be.
    pub(crate) fn release(&self, body: AnswerBody, keep_alive_ms: Option<u64>, now_ms: u64) {
        let BodyState::Whole(Some(framed)) = body.state else {
            return;
        };
        let is_clean = framed.is_read_buf_empty();
        let idle_ms = keep_alive_ms.map_or(IDLE_MS, |ms| ms.saturating_sub(IDLE_MARGIN_MS));
        if !is_clean || !framed.codec_ref().keep_alive() || idle_ms == 0 {
            return;
        }
        let framed = framed.into_map_codec(ClientPayloadCodec::into_message_codec);
        self.keep(body.address, framed, now_ms + idle_ms);
    }

    fn keep(&self, address: SocketAddr, framed: Framed<TcpStream, ClientCodec>, until_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.entry(address).or_default();
        if of_address.len() >= MOST_IDLE {
            of_address.remove(0);
        }
        of_address.push(Idle { framed, until_ms });
    }

    /// Opens a connection to an endpoint and keeps it for the next request.
    pub(crate) async fn preconnect(
        &self,
        address: SocketAddr,
        now_ms: u64,
    ) -> Result<(), UpstreamFailure> {
        let framed = self.connect(address).await?;
        self.keep(address, framed, now_ms + IDLE_MS);
        Ok(())
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().swap_remove(&address);
    }

    /// Closes idle connections that are too old to be used.
    pub(crate) fn sweep(&self, now_ms: u64) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|it| now_ms < it.until_ms);
            !idle.is_empty()
        });
    }

    /// Whether a connection to an endpoint is kept.
    #[cfg(test)]
    pub(super) fn has_idle(&self, address: SocketAddr) -> bool {
        self.idle
            .borrow()
            .get(&address)
            .is_some_and(|idle| !idle.is_empty())
    }

    fn take_idle(
        &self,
        address: SocketAddr,
        now_ms: u64,
    ) -> Option<Framed<TcpStream, ClientCodec>> {
        let mut idle = self.idle.borrow_mut();
        let of_address = idle.get_mut(&address)?;
        while let Some(mut last) = of_address.pop() {
            // Whatever can be read now is the end of the connection or bytes of no request.
            let is_quiet = last.framed.next().now_or_never().is_none();
            if now_ms < last.until_ms && is_quiet {
                return Some(last.framed);
            }
        }
        None
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<Framed<TcpStream, ClientCodec>, UpstreamFailure> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream =
            stream
                .map_err(|_| UpstreamFailure::NoConnection)?
                .map_err(|error| match error.kind() {
                    io::ErrorKind::ConnectionRefused => UpstreamFailure::NoListener,
                    _ => UpstreamFailure::NoConnection,
                })?;
        // Without it a body behind its head waits for an acknowledgement. A refusal costs time only.
        let _ = stream.set_nodelay(true);
        Ok(Framed::new(stream, ClientCodec::new(self.config.clone())))
    }
}

impl Exchange {
    /// Waits for the head of the answer.
    pub(crate) async fn head(mut self) -> Result<(ResponseHead, AnswerBody), UpstreamFailure> {
        let head = loop {
            match self.framed.next().await {
                // Interim answers announce the real one.
                Some(Ok(head)) if head.status.is_informational() => {}
                Some(Ok(head)) => break head,
                Some(Err(actix_http::error::ParseError::Io(_))) | None => {
                    return Err(UpstreamFailure::Broken);
                }
                Some(Err(_)) => return Err(UpstreamFailure::Garbled),
            }
        };
        let body = AnswerBody {
            address: self.address,
            state: body_state(&head, self.framed),
        };
        Ok((head, body))
    }
}

/// Where the body of an answer ends. The codec takes an answer without announced length for one
/// without body; in the protocol it ends with its connection.
fn body_state(head: &ResponseHead, framed: Framed<TcpStream, ClientCodec>) -> BodyState {
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let is_announced = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    match framed.codec_ref().message_type() {
        MessageType::None if !has_no_body && !is_announced => {
            let parts = framed.into_parts();
            BodyState::UntilClose(parts.io, parts.read_buf)
        }
        MessageType::None => BodyState::Whole(Some(payload_framed(framed))),
        _ => BodyState::Announced(payload_framed(framed)),
    }
}

fn payload_framed(framed: Framed<TcpStream, ClientCodec>) -> Framed<TcpStream, ClientPayloadCodec> {
    framed.into_map_codec(ClientCodec::into_payload_codec)
}

impl AnswerBody {
    /// The next bytes; `None` once the body is whole.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, UpstreamFailure> {
        match &mut self.state {
            BodyState::Announced(framed) => match framed.next().await {
                Some(Ok(Some(bytes))) => Ok(Some(bytes)),
                Some(Ok(None)) => {
                    self.become_whole();
                    Ok(None)
                }
                None | Some(Err(PayloadError::Io(_) | PayloadError::Incomplete(_))) => {
                    Err(UpstreamFailure::Broken)
                }
                Some(Err(_)) => Err(UpstreamFailure::Garbled),
            },
            BodyState::UntilClose(stream, buffer) => {
                if buffer.is_empty() {
                    let read = stream.read_buf(buffer).await;
                    read.map_err(|_| UpstreamFailure::Broken)?;
                }
                if buffer.is_empty() {
                    self.state = BodyState::Whole(None);
                    return Ok(None);
                }
                Ok(Some(buffer.split().freeze()))
            }
            BodyState::Whole(_) => Ok(None),
        }
    }

    fn become_whole(&mut self) {
        let state = std::mem::replace(&mut self.state, BodyState::Whole(None));
        if let BodyState::Announced(framed) = state {
            self.state = BodyState::Whole(Some(framed));
        }
    }
}
