//! Requests without streaming that another instance serves.

use super::{CompleteResponse, MAX_RESPONSE_BYTES};
use crate::clock::boot_ms;
use crate::relay::AttemptOutcome;
use crate::relay_server::adapter::Adapter;
use crate::relay_server::delegation::{DelegatedRun, failed};
use crate::relay_server::headers;
use crate::relay_server::node::Node;
use crate::relay_server::traffic::TrafficKind;

/// Has another instance serve a request, and returns its response once it is complete.
pub(super) async fn delegate_once<A>(
    node: &Node<A>,
    run: DelegatedRun<'_>,
) -> Result<CompleteResponse, AttemptOutcome>
where
    A: Adapter,
{
    let DelegatedRun {
        request, delegate, ..
    } = run;
    let (head, mut body) = node.delegate_request(run).await?;
    let facts = node.adapter.parse_response_metadata(&head);
    let is_own = facts.id.as_deref() == Some(request.ask.id.as_str());
    if head.status.is_success() && !(is_own && facts.is_sealed) {
        return Err(AttemptOutcome::Lost);
    }
    let content = tokio::select! {
        biased;
        content = body.read_to_end(MAX_RESPONSE_BYTES) => content.map_err(failed)?,
        () = node.until_unheard(&delegate.instance) => return Err(AttemptOutcome::Lost),
    };
    let scope = node.scope_of_instance(&delegate.instance);
    node.count_traffic(TrafficKind::DelegatedResponses, scope, content.len());
    let keep_alive_ms = headers::keep_alive_ms(&head);
    node.delegates.release(body, keep_alive_ms, boot_ms());
    Ok(CompleteResponse {
        status: head.status,
        headers: headers::end_to_end_headers(&head.headers),
        body: content,
        limit: None,
    })
}
