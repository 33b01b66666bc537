//! Hop-by-hop headers, and the heads of forwarded requests and responses.

use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{RequestHead, ResponseHead};

/// Headers that are never forwarded: they belong to a connection or to the framing of a body.
const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::DATE,
];

fn is_end_to_end(name: &HeaderName, named: &[String]) -> bool {
    !HOP_BY_HOP.contains(name)
        && name.as_str() != "keep-alive"
        && name.as_str() != "proxy-connection"
        && !named.iter().any(|it| it == name.as_str())
}

/// Names of the headers that the `Connection` header lists.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// The headers of a message that are forwarded.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if is_end_to_end(name, &named) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// The head of a request as it is forwarded; the adapter adds its own headers to it.
pub(crate) fn forwarded_request_head(head: &RequestHead) -> RequestHead {
    let mut sent = RequestHead::default();
    sent.method = head.method.clone();
    sent.uri = head.uri.clone();
    sent.headers = end_to_end_headers(&head.headers);
    sent
}

/// Approximate size of a request's head on the wire.
pub(crate) fn head_bytes(head: &RequestHead) -> usize {
    let line = head.uri.to_string().len() + head.method.as_str().len() + 12;
    let lines = head.headers.iter();
    line + lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>()
}

/// The timeout in a `Keep-Alive` header, in milliseconds.
pub(crate) fn keep_alive_ms(head: &ResponseHead) -> Option<u64> {
    let value = head.headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = seconds.trim().parse::<u64>().ok()?;
    Some(seconds.saturating_mul(1_000))
}
