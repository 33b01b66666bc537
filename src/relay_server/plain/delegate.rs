//! Requests without streaming that another instance serves.

use bytes::BytesMut;

use super::{CompleteResponse, MAX_RESPONSE_BYTES};
use crate::clock::boot_ms;
use crate::relay::{AttemptOutcome, Attempts};
use crate::relay_server::adapter::Adapter;
use crate::relay_server::delegates::Delegate;
use crate::relay_server::delegation::{failed, forwarded_headers};
use crate::relay_server::headers;
use crate::relay_server::node::Node;
use crate::relay_server::request::RelayedRequest;
use crate::relay_server::upstream::ResponseBody;

/// Has another instance serve a request, and returns its response once it is complete.
pub(super) async fn delegate_once<A>(
    node: &Node<A>,
    request: &RelayedRequest,
    delegate: &Delegate,
    attempts: &Attempts,
) -> Result<CompleteResponse, AttemptOutcome>
where
    A: Adapter,
{
    let max_endpoints = attempts.endpoints_left();
    let (head, mut body) = node
        .delegate_request(request, delegate, max_endpoints, None)
        .await?;
    let facts = node.adapter.parse_response_metadata(&head);
    let is_own = facts.id.as_deref() == Some(request.ask.id.as_str());
    if head.status.is_success() && !(is_own && facts.is_sealed) {
        return Err(AttemptOutcome::Lost);
    }
    let buffer = tokio::select! {
        biased;
        buffer = read_body(&mut body) => buffer?,
        () = node.until_unheard(&delegate.instance) => return Err(AttemptOutcome::Lost),
    };
    let keep_alive_ms = headers::keep_alive_ms(&head);
    node.delegates.release(body, keep_alive_ms, boot_ms());
    Ok(CompleteResponse {
        status: head.status,
        headers: forwarded_headers(&head),
        body: buffer.freeze(),
        limit: None,
    })
}

async fn read_body(body: &mut ResponseBody) -> Result<BytesMut, AttemptOutcome> {
    let mut buffer = BytesMut::new();
    while let Some(bytes) = body.next().await.map_err(failed)? {
        if buffer.len() + bytes.len() > MAX_RESPONSE_BYTES {
            return Err(AttemptOutcome::Lost);
        }
        buffer.extend_from_slice(&bytes);
    }
    Ok(buffer)
}
