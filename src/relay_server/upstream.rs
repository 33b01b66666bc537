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
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, header};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, SinkExt, StreamExt};
use indexmap::IndexMap;
use thiserror::Error;
use tokio::io::AsyncReadExt;

use super::endpoint_stream::{EndpointStream, is_invalid};
use super::held_body::HeldBody;
use super::memory_budget::MemoryBudget;
use super::response_codec::{ResponseCodec, has_status_line};
use crate::event_loop::timeout;
use crate::fleet::EndpointFailure;
use crate::relay::AttemptOutcome;

/// Maximum wait for a connection: links take a few milliseconds at most, and a lost first packet is
/// retransmitted after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is reused if the endpoint does not say: well below the usual server
/// timeouts.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 3_000;
/// Subtracted from the keep-alive time that an endpoint announces, because its close may already be
/// in progress.
const IDLE_MARGIN_MS: u64 = 600;
/// Maximum number of interim heads before the final one of a response.
const MAX_INTERIM_HEADS: u64 = 16;
/// Maximum number of responses to earlier requests of a connection before the one that is due.
const MAX_SURPLUS_RESPONSES: usize = 8;
/// Maximum size of the body of such a response.
const MAX_SURPLUS_BODY_BYTES: usize = 64 << 10;
/// Characters of an unknown id that are logged.
const MAX_LOGGED_ID_CHARS: usize = 64;
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

/// A connection on which a request was sent.
pub(crate) struct Exchange {
    address: SocketAddr,
    /// Id of the request.
    id: String,
    /// Whether the connection was opened for this request.
    pub(super) is_new: bool,
    framed: Framed<EndpointStream, ResponseCodec>,
    memory: MemoryBudget,
}

/// The body of a response.
pub(crate) struct ResponseBody {
    address: SocketAddr,
    /// Whether only the end of the connection marks its end. An endpoint that exits in the middle of it may
    /// leave the same trace.
    ends_with_connection: bool,
    /// Its length as announced, if it is.
    announced_bytes: Option<u64>,
    state: BodyState,
    memory: MemoryBudget,
}

enum BodyState {
    /// Its end is marked by a length or by chunked encoding.
    Delimited(Framed<EndpointStream, ClientPayloadCodec>),
    /// It ends with the connection.
    UntilClose(EndpointStream, BytesMut),
    /// It has been received completely; the connection if it is still open.
    Complete(Option<Framed<EndpointStream, ClientPayloadCodec>>),
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
        let BodyState::Complete(Some(framed)) = body.state else {
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
        self.keep(body.address, framed, now_ms + idle_ms);
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

impl Exchange {
    /// Waits for the head of the response that bears the id of the request. `id_of` returns the id of a head. An
    /// endpoint may respond to an earlier request of the connection once more: that response is passed over if
    /// its end is known.
    pub(crate) async fn own_head<F>(
        mut self,
        id_of: F,
    ) -> Result<(ResponseHead, ResponseBody), UpstreamFailure>
    where
        F: Fn(&ResponseHead) -> Option<String>,
    {
        for _ in 0..=MAX_SURPLUS_RESPONSES {
            let head = self.next_head().await?;
            let response_id = id_of(&head);
            if response_id.as_deref() == Some(self.id.as_str()) {
                return Ok(self.into_response(head));
            }
            let carried = &self.framed.io_ref().carried;
            let may_pass_over = response_id
                .as_deref()
                .is_some_and(|id| carried.delimits_response_to(id));
            self.log_foreign_response(&head, response_id.as_deref(), may_pass_over);
            if !may_pass_over {
                return Err(UpstreamFailure::Garbled);
            }
            self = self.pass_over(head).await?;
        }
        Err(UpstreamFailure::Garbled)
    }

    /// Logs a response that does not bear the id of the request.
    fn log_foreign_response(
        &self,
        head: &ResponseHead,
        response_id: Option<&str>,
        is_passed_over: bool,
    ) {
        log::info!(
            request = self.id.as_str(),
            endpoint:% = self.address,
            response_id = response_id.map(shortened),
            status = head.status.as_u16(),
            is_passed_over,
            is_new_connection = self.is_new;
            "response does not bear the id of the request"
        );
    }

    /// Reads the response with this head to its end, which must not be that of the connection.
    async fn pass_over(self, head: ResponseHead) -> Result<Self, UpstreamFailure> {
        let (address, id, is_new) = (self.address, self.id.clone(), self.is_new);
        let (_, mut body) = self.into_response(head);
        if body.ends_with_connection {
            return Err(UpstreamFailure::Garbled);
        }
        body.discard_to_end(MAX_SURPLUS_BODY_BYTES).await?;
        let BodyState::Complete(Some(framed)) = body.state else {
            return Err(UpstreamFailure::Broken);
        };
        Ok(Self {
            address,
            id,
            is_new,
            framed: framed.into_map_codec(ResponseCodec::after_body),
            memory: body.memory,
        })
    }

    /// Waits for the response head.
    pub(crate) async fn head(mut self) -> Result<(ResponseHead, ResponseBody), UpstreamFailure> {
        let head = self.next_head().await?;
        Ok(self.into_response(head))
    }

    /// Reads the next head that is not an interim one.
    async fn next_head(&mut self) -> Result<ResponseHead, UpstreamFailure> {
        let mut interim_heads = 0;
        loop {
            match self.framed.next().await {
                Some(Ok(head)) if !head.status.is_informational() => {
                    self.framed.io_mut().record_decoded();
                    return Ok(head);
                }
                Some(Ok(_)) if interim_heads < MAX_INTERIM_HEADS => {
                    interim_heads += 1;
                    self.framed.io_mut().record_decoded();
                }
                Some(Ok(_)) => {
                    log::warn!(endpoint:% = self.address, interim_heads; "response has too many interim heads");
                    return Err(UpstreamFailure::Garbled);
                }
                Some(Err(ParseError::Io(error))) if !is_invalid(&error) => {
                    return Err(UpstreamFailure::Broken);
                }
                None => return Err(UpstreamFailure::Broken),
                Some(Err(_)) => return Err(UpstreamFailure::Garbled),
            }
        }
    }

    fn into_response(self, head: ResponseHead) -> (ResponseHead, ResponseBody) {
        let state = body_state(&head, self.framed);
        let body = ResponseBody {
            address: self.address,
            ends_with_connection: matches!(state, BodyState::UntilClose(..)),
            announced_bytes: announced_bytes(&head),
            state,
            memory: self.memory,
        };
        (head, body)
    }
}

/// The beginning of an id, which may have any length.
fn shortened(id: &str) -> &str {
    let end = id.char_indices().nth(MAX_LOGGED_ID_CHARS);
    &id[..end.map_or(id.len(), |(at, _)| at)]
}

/// The length of a response's body as its head announces it.
fn announced_bytes(head: &ResponseHead) -> Option<u64> {
    let length = head.headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

/// Determines where the body of a response ends. The codec treats a response without an announced
/// length as having no body; by the protocol it ends with the connection.
fn body_state(head: &ResponseHead, framed: Framed<EndpointStream, ResponseCodec>) -> BodyState {
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
        MessageType::None => BodyState::Complete(Some(payload_framed(framed))),
        _ => BodyState::Delimited(payload_framed(framed)),
    }
}

fn payload_framed(
    framed: Framed<EndpointStream, ResponseCodec>,
) -> Framed<EndpointStream, ClientPayloadCodec> {
    framed.into_map_codec(ResponseCodec::into_body_codec)
}

impl ResponseBody {
    /// Whether only the end of the connection marks its end.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Reads the rest of the body. One of more than `max_bytes` counts as garbled, and so does one that is larger than
    /// the memory that all responses leave.
    pub(crate) async fn read_to_end(
        &mut self,
        max_bytes: usize,
    ) -> Result<HeldBody, UpstreamFailure> {
        let mut held = HeldBody::new(self.memory.begin());
        let is_announced_too_long = self
            .announced_bytes
            .is_some_and(|length| length > max_bytes as u64);
        if is_announced_too_long {
            return Err(self.too_large(&held, max_bytes));
        }
        while let Some(bytes) = self.next().await? {
            if held.len() + bytes.len() > max_bytes || !held.push(&bytes) {
                return Err(self.too_large(&held, max_bytes));
            }
        }
        Ok(held)
    }

    /// Reads the rest of a body of at most `max_bytes`. One in which another response begins counts as garbled: its
    /// own last bytes are missing.
    async fn discard_to_end(&mut self, max_bytes: usize) -> Result<(), UpstreamFailure> {
        let mut content = BytesMut::new();
        while let Some(bytes) = self.next().await? {
            content.extend_from_slice(&bytes);
            if content.len() > max_bytes || has_status_line(&content) {
                return Err(UpstreamFailure::Garbled);
            }
        }
        Ok(())
    }

    fn too_large(&self, held: &HeldBody, max_bytes: usize) -> UpstreamFailure {
        log::warn!(
            endpoint:% = self.address,
            read_bytes = held.len(),
            announced_bytes = self.announced_bytes,
            max_bytes,
            all_responses_bytes = self.memory.used_bytes();
            "response is too large and not read to its end"
        );
        UpstreamFailure::Garbled
    }

    /// The next bytes; `None` once the body is complete.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, UpstreamFailure> {
        match &mut self.state {
            BodyState::Delimited(framed) => match framed.next().await {
                Some(Ok(Some(bytes))) => {
                    framed.io_mut().record_decoded();
                    Ok(Some(bytes))
                }
                Some(Ok(None)) => {
                    self.mark_complete();
                    Ok(None)
                }
                Some(Err(PayloadError::Io(error) | PayloadError::Incomplete(Some(error))))
                    if !is_invalid(&error) =>
                {
                    Err(UpstreamFailure::Broken)
                }
                None | Some(Err(PayloadError::Incomplete(None))) => Err(UpstreamFailure::Broken),
                Some(Err(_)) => Err(UpstreamFailure::Garbled),
            },
            BodyState::UntilClose(stream, buffer) => {
                if buffer.is_empty() {
                    let read = stream.read_buf(buffer).await;
                    read.map_err(|_| UpstreamFailure::Broken)?;
                    stream.record_decoded();
                }
                if buffer.is_empty() {
                    self.state = BodyState::Complete(None);
                    return Ok(None);
                }
                Ok(Some(buffer.split().freeze()))
            }
            BodyState::Complete(_) => Ok(None),
        }
    }

    fn mark_complete(&mut self) {
        let state = std::mem::replace(&mut self.state, BodyState::Complete(None));
        if let BodyState::Delimited(framed) = state {
            self.state = BodyState::Complete(Some(framed));
        }
    }
}
