//! The exchange of one request and its whole response with an endpoint.

use std::rc::Rc;

use actix_http::{ResponseHead, StatusCode};

use super::{AttemptResult, CompleteResponse, MAX_RESPONSE_BYTES};
use crate::clock::boot_ms;
use crate::fleet::EndpointFailure;
use crate::ids::EndpointId;
use crate::relay::AttemptOutcome;
use crate::relay_server::adapter::{Adapter, ResponseMetadata};
use crate::relay_server::exits::replica_may_have_exited;
use crate::relay_server::headers;
use crate::relay_server::node::Node;
use crate::relay_server::request::RelayedRequest;
use crate::relay_server::traffic::TrafficKind;
use crate::relay_server::upstream::{OutgoingRequest, UpstreamFailure};

/// Sends a request to an endpoint, which may take `timeout_ms`, and reads its response to the end.
pub(super) async fn exchange<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
    timeout_ms: u64,
) -> AttemptResult
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let Some(address) = node.address_of(endpoint) else {
        return AttemptResult::Failed(AttemptOutcome::NotSent, EndpointFailure::Unreachable);
    };
    let head = request.head_for(node, endpoint, timeout_ms, None, None);
    let outgoing = OutgoingRequest {
        id: &request.ask.id,
        head,
        body: request.body.clone(),
    };
    let sent = node
        .send_with_permit(endpoint, address, outgoing, || {
            request.may_send(node) && request.may_start(node) && node.accepts_requests(endpoint)
        })
        .await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(failure) => return failed(failure),
    };
    let id_of = |head: &ResponseHead| node.adapter.parse_response_metadata(head).id;
    let (head, mut body) = match exchange.own_head(id_of).await {
        Ok(response) => response,
        Err(failure) => return failed(failure),
    };
    node.record_heard(endpoint);
    let facts = node.adapter.parse_response_metadata(&head);
    node.apply_pacing(endpoint, facts.pacing);
    let content = match body.read_to_end(MAX_RESPONSE_BYTES).await {
        Ok(content) => content,
        Err(failure) => return failed(failure),
    };
    let scope = node.scope_of_endpoint(endpoint);
    node.count_traffic(TrafficKind::EndpointResponses, scope, content.len());
    if body.ends_with_connection()
        && replica_may_have_exited(node, request, endpoint, address).await
    {
        return failed(UpstreamFailure::Broken);
    }
    let now_ms = boot_ms();
    let keep_alive_ms = headers::keep_alive_ms(&head);
    node.upstreams.release(body, keep_alive_ms, now_ms);
    if let Some(failed) = unusable_response(&facts, head.status) {
        return failed;
    }
    if let Some(known) = node.fleet.borrow_mut().get_mut(endpoint)
        && !head.status.is_server_error()
    {
        known
            .health
            .record_answer(now_ms.saturating_sub(started_ms));
    }
    AttemptResult::Response(CompleteResponse {
        status: head.status,
        headers: headers::end_to_end_headers(&head.headers),
        body: content,
        limit: None,
    })
}

/// Classifies a response that cannot be forwarded.
fn unusable_response(facts: &ResponseMetadata, status: StatusCode) -> Option<AttemptResult> {
    if facts.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(AttemptResult::Failed(
            AttemptOutcome::TurnedAway,
            EndpointFailure::Full,
        ));
    }
    // These statuses promise that nothing ran, but the endpoint does not confirm it.
    let promises_not_run = matches!(status.as_u16(), 408 | 429 | 503);
    let is_unsealed = status.is_success() && !facts.is_sealed;
    (promises_not_run || is_unsealed).then_some(AttemptResult::Failed(
        AttemptOutcome::Abandoned,
        EndpointFailure::Failed,
    ))
}

fn failed(failure: UpstreamFailure) -> AttemptResult {
    let (outcome, failure) = failure.classify();
    AttemptResult::Failed(outcome, failure)
}

/// Counts a request as in flight at an endpoint until dropped.
pub(super) struct InFlightGuard<'a, A> {
    node: &'a Node<A>,
    endpoint: EndpointId,
}

impl<'a, A> InFlightGuard<'a, A> {
    pub(super) fn begin(node: &'a Node<A>, endpoint: &EndpointId) -> Self {
        if let Some(known) = node.fleet.borrow_mut().get_mut(endpoint) {
            known.in_flight += 1;
        }
        Self {
            node,
            endpoint: endpoint.clone(),
        }
    }
}

impl<A> Drop for InFlightGuard<'_, A> {
    fn drop(&mut self) {
        if let Some(known) = self.node.fleet.borrow_mut().get_mut(&self.endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}
