//! The body of a response, and where it ends.

use std::net::SocketAddr;

use actix_codec::Framed;
use actix_http::error::PayloadError;
use actix_http::h1::{ClientPayloadCodec, MessageType};
use actix_http::{ResponseHead, StatusCode, header};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;

use super::UpstreamFailure;
use crate::relay_server::endpoint_stream::{EndpointStream, is_invalid};
use crate::relay_server::held_body::HeldBody;
use crate::relay_server::memory_budget::MemoryBudget;
use crate::relay_server::response_codec::{ResponseCodec, has_status_line};

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
    /// The body of the response with this head, of which nothing has been read.
    pub(super) fn new(
        address: SocketAddr,
        head: &ResponseHead,
        framed: Framed<EndpointStream, ResponseCodec>,
        memory: MemoryBudget,
    ) -> Self {
        let state = body_state(head, framed);
        Self {
            address,
            ends_with_connection: matches!(state, BodyState::UntilClose(..)),
            announced_bytes: announced_bytes(head),
            state,
            memory,
        }
    }

    /// The endpoint's address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connection of a body that has been received completely, if it is still open.
    pub(super) fn into_connection(self) -> Option<Framed<EndpointStream, ClientPayloadCodec>> {
        match self.state {
            BodyState::Complete(framed) => framed,
            BodyState::Delimited(_) | BodyState::UntilClose(..) => None,
        }
    }

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
    pub(super) async fn discard_to_end(&mut self, max_bytes: usize) -> Result<(), UpstreamFailure> {
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
