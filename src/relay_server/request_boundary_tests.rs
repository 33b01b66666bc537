use actix_codec::Decoder;
use actix_http::ServiceConfig;
use actix_http::h1::{Codec, Message};
use bytes::BytesMut;
use proptest::prelude::*;

use super::request_boundary::{BodyFraming, RequestBoundary};

/// A request as it is sent, and the framing of its body.
type SentRequest = (String, BodyFraming);

fn head() -> impl Strategy<Value = String> {
    let blank_lines = prop::sample::select(vec!["", "\r\n", "\n", "\r\n\r\n"]);
    let line_end = prop::sample::select(vec!["\r\n", "\n"]);
    let fields = prop::collection::vec("[a-z]{1,8}: [ -9;-~]{0,20}", 0..4);
    (blank_lines, line_end, fields).prop_map(|(blank_lines, line_end, fields)| {
        let fields: Vec<String> = fields
            .iter()
            .map(|it| format!("x-{it}{line_end}"))
            .collect();
        let fields = fields.concat();
        format!("{blank_lines}POST /a HTTP/1.1{line_end}host: a{line_end}{fields}")
    })
}

fn sized_body() -> impl Strategy<Value = SentRequest> {
    "[ -~\r\n]{0,60}".prop_map(|body| {
        let length = body.len();
        let text = format!("content-length: {length}\r\n\r\n{body}");
        (text, BodyFraming::Length(length as u64))
    })
}

fn chunked_body() -> impl Strategy<Value = SentRequest> {
    let chunk = ("[ -~\r\n]{1,40}", "(;[a-z=]{0,5})?", "0{0,2}");
    let trailer =
        "(content-length: [0-9]{1,9}|x{0,3}transfer-encoding: chunked|[a-z]{1,9}: [a-z]{0,9})";
    let trailers = prop::collection::vec(trailer, 0..3);
    let chunks = prop::collection::vec(chunk, 0..5);
    (chunks, trailers).prop_map(|(chunks, trailers)| {
        let chunks = chunks.iter().map(|(data, extension, zeros)| {
            format!("{zeros}{:X}{extension}\r\n{data}\r\n", data.len())
        });
        let chunks: String = chunks.collect();
        let trailers: String = trailers.iter().map(|it| format!("{it}\r\n")).collect();
        let text = format!("transfer-encoding: chunked\r\n\r\n{chunks}0\r\n{trailers}\r\n");
        (text, BodyFraming::Chunked)
    })
}

fn request() -> impl Strategy<Value = SentRequest> {
    let no_body = Just(("\r\n".to_owned(), BodyFraming::None));
    let rest = prop_oneof![no_body, sized_body(), chunked_body()];
    (head(), rest).prop_map(|(head, (rest, framing))| (head + &rest, framing))
}

/// Advances by bytes that arrive in pieces of this size. Returns how many belong to the request.
fn advance_in_pieces(framing: BodyFraming, bytes: &[u8], piece: usize) -> usize {
    let mut boundary = RequestBoundary::START;
    let mut taken = 0;
    while taken < bytes.len() && boundary != RequestBoundary::End {
        let end = bytes.len().min(taken + piece);
        taken += boundary.advance(&bytes[taken..end]);
        if boundary == RequestBoundary::AfterHead {
            boundary = RequestBoundary::after_head(framing);
        }
    }
    taken
}

/// How many bytes the HTTP service takes for the first request.
fn taken_by_service(bytes: &[u8]) -> usize {
    // The codec keeps the date in a task.
    actix_rt::System::new().block_on(async { taken_by_codec(bytes) })
}

fn taken_by_codec(bytes: &[u8]) -> usize {
    let mut codec = Codec::new(ServiceConfig::default());
    let mut received = BytesMut::from(bytes);
    let item = codec.decode(&mut received).expect("the request is sound");
    assert!(
        matches!(item, Some(Message::Item(_))),
        "the head is complete"
    );
    while codec.message_type() != actix_http::h1::MessageType::None {
        let chunk = codec.decode(&mut received).expect("the body is sound");
        match chunk {
            Some(Message::Chunk(Some(_))) => {}
            Some(Message::Chunk(None)) => break,
            _ => panic!("the body is complete"),
        }
    }
    bytes.len() - received.len()
}

proptest! {
    /// Guards against requests that the HTTP service gets although the one before is not answered, and against a
    /// request of which it does not get the end.
    #[test]
    fn a_request_ends_where_the_http_service_takes_it_to_end(
        (first, framing) in request(),
        (second, _) in request(),
        piece in 1_usize..200,
    ) {
        let bytes = [first.as_bytes(), second.as_bytes()].concat();
        let taken = advance_in_pieces(framing, &bytes, piece);
        prop_assert_eq!(taken, first.len());
        prop_assert_eq!(taken_by_service(&bytes), first.len());
    }

    /// Guards against input that makes the scan panic.
    #[test]
    fn a_scan_of_any_bytes_takes_at_most_all_of_them(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        size in any::<u64>(),
    ) {
        let framings = [BodyFraming::Chunked, BodyFraming::Length(size), BodyFraming::UntilClose];
        for framing in framings {
            let mut boundary = RequestBoundary::after_head(framing);
            prop_assert!(boundary.advance(&bytes) <= bytes.len());
        }
        prop_assert!(advance_in_pieces(BodyFraming::Chunked, &bytes, 3) <= bytes.len());
    }
}

/// Guards against chunk sizes that overflow.
#[test]
fn a_chunk_of_any_size_has_no_end_within_a_few_bytes() {
    let mut boundary = RequestBoundary::after_head(BodyFraming::Chunked);
    let chunk = b"ffffffffffffffffffff\r\nbody\r\n0\r\n\r\n";
    assert_eq!(boundary.advance(chunk), chunk.len());
    assert_ne!(boundary, RequestBoundary::End);
}
