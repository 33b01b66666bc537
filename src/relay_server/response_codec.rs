//! Codec of a connection to an endpoint: accepts a response head only if it is a single one.

use std::io;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHeadType, ResponseHead, ServiceConfig};
use bytes::BytesMut;

/// Maximum size of a response head, several times that of the largest usual ones. An endpoint may send bytes
/// without end.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Beginning of a status line, which is followed by the minor version, a space and the status.
const STATUS_LINE_START: &[u8] = b"HTTP/1.";
/// Length of the part of a status line that identifies it.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200".len();

/// Encodes requests and decodes response heads.
///
/// Invariant: a decoded head contains no second status line. A faulty endpoint may send the beginning of a head
/// that belongs to no request. Another head behind it would complete its last line, and a request that has run
/// would pass for rejected by the status and headers of the first one.
pub(super) struct ResponseCodec(ClientCodec);

impl ResponseCodec {
    pub(super) fn new(config: ServiceConfig) -> Self {
        Self(ClientCodec::new(config))
    }

    /// The codec for the head of the next response, after a body has been decoded.
    pub(super) fn after_body(codec: ClientPayloadCodec) -> Self {
        Self(codec.into_message_codec())
    }

    /// The codec for the body of the response whose head was decoded last.
    pub(super) fn into_body_codec(self) -> ClientPayloadCodec {
        self.0.into_payload_codec()
    }

    /// Kind of the body of the response whose head was decoded last.
    pub(super) fn message_type(&self) -> MessageType {
        self.0.message_type()
    }
}

impl Decoder for ResponseCodec {
    type Item = ResponseHead;
    type Error = ParseError;

    fn decode(&mut self, received: &mut BytesMut) -> Result<Option<ResponseHead>, ParseError> {
        // The parser would skip empty lines, and the head would be sought in them.
        if received.starts_with(b"\r") || received.starts_with(b"\n") {
            return Err(ParseError::Header);
        }
        let head = head_of(received);
        if head.len() > MAX_HEAD_BYTES {
            return Err(ParseError::TooLarge);
        }
        if has_second_status_line(head) {
            return Err(ParseError::Header);
        }
        self.0.decode(received)
    }
}

impl Encoder<Message<(RequestHeadType, BodySize)>> for ResponseCodec {
    type Error = io::Error;

    fn encode(
        &mut self,
        message: Message<(RequestHeadType, BodySize)>,
        sent: &mut BytesMut,
    ) -> Result<(), io::Error> {
        self.0.encode(message, sent)
    }
}

/// The part of the received bytes that belongs to the head: all of them as long as it is incomplete.
fn head_of(received: &[u8]) -> &[u8] {
    let mut line_starts = received
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == b'\n')
        .map(|(at, _)| at + 1);
    let is_empty_line = |at: &usize| {
        let rest = &received[*at..];
        rest.starts_with(b"\n") || rest.starts_with(b"\r\n")
    };
    let end = line_starts.find(is_empty_line);
    &received[..end.unwrap_or(received.len())]
}

fn has_second_status_line(head: &[u8]) -> bool {
    has_status_line(head.get(1..).unwrap_or_default())
}

/// Whether a status line begins anywhere in these bytes.
pub(super) fn has_status_line(bytes: &[u8]) -> bool {
    bytes.windows(STATUS_LINE_BYTES).any(is_status_line)
}

fn is_status_line(bytes: &[u8]) -> bool {
    let rest = bytes.strip_prefix(STATUS_LINE_START);
    rest.is_some_and(|rest| {
        matches!(rest, [minor, b' ', status @ ..]
            if minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit))
    })
}
