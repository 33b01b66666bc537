//! Relays requests to services whose endpoints hold no layers; responses are buffered completely.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{Response, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::time::{timeout, timeout_at};

use super::adapter::{Adapter, ResponseMetadata};
use super::headers;
use super::node::Node;
use super::request::{RelayedRequest, close_if_stopping, error_response, instant_at};
use super::send_context::SendContext;
use super::upstream::UpstreamFailure;
use crate::clock::boot_ms;
use crate::fleet::{EndpointFailure, pick_replica};
use crate::ids::EndpointId;
use crate::quarantine::QuarantineStatus;
use crate::relay::{
    AttemptLimit, AttemptOutcome, Attempts, FinalError, NextStep, RefusalCause, RelayFailure,
    RetryPurpose,
};

/// Maximum size of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long an endpoint may take, in objectives, before an idempotent request is tried elsewhere.
/// One response in a hundred takes five times the mean, and the mean is a fifth of the objective.
const ATTEMPT_OBJECTIVES: u64 = 2;

/// A complete response of an endpoint.
struct CompleteResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// Why there was no further attempt, for a failure that is forwarded.
    limit: Option<AttemptLimit>,
}

/// The result of one attempt.
enum AttemptResult {
    Response(CompleteResponse),
    /// There is no response to forward; the outcome and what it means for the endpoint.
    Failed(AttemptOutcome, EndpointFailure),
}

/// Relays a request until it has a response or a final error.
pub(crate) async fn relay_plain<A>(node: &Rc<Node<A>>, request: RelayedRequest) -> Response<BoxBody>
where
    A: Adapter,
{
    let mut attempts = Attempts::new(request.route.retry_policy, request.route.max_endpoints);
    let mut sent = SendContext::default();
    let until = instant_at(request.deadline_ms, boot_ms());
    let serving = serve(node, &request, &mut attempts, &mut sent);
    let result = timeout_at(until, serving).await;
    let RelayFailure { error, limit } = match result {
        Ok(Ok(response)) => return forward_response(node, &request, &attempts, &sent, response),
        Ok(Err(failure)) => failure,
        Err(_) => attempts.give_up(RefusalCause::TooLate),
    };
    node.count_given_up(limit);
    log::info!(
        request = request.ask.id.as_str(),
        digest = request.digest_label().as_str(),
        route = request.route.name.as_str(),
        word = error.name(),
        limit = limit.name(),
        repeats_left = node.retries_left(&request.service),
        sends = attempts.sends(),
        turned_away = attempts.turned_away(),
        known_at_send = sent.endpoints.as_str(),
        list_at_send = sent.list.as_str(),
        took_ms = boot_ms().saturating_sub(request.arrived_ms),
        table = request.table.version,
        list_age_ms = node.fleet.borrow().age_ms(boot_ms());
        "request has no answer"
    );
    error_response(node, error, request.retry_conditions(node))
}

async fn serve<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    attempts: &mut Attempts,
    sent: &mut SendContext,
) -> Result<CompleteResponse, RelayFailure>
where
    A: Adapter,
{
    let mut cause = RefusalCause::NoEndpoint;
    let mut held: Option<CompleteResponse> = None;
    loop {
        if node.quarantine_status(request.digest) == QuarantineStatus::Withheld {
            return response_or(held, attempts.give_up(RefusalCause::Withheld));
        }
        let picked = pick_replica(
            &node.fleet.borrow(),
            &request.service,
            &node.settings.zone,
            attempts.excluded(),
            boot_ms(),
        );
        let Some(endpoint) = picked else {
            let cause = node.rate_limit_refusal(&request.service).unwrap_or(cause);
            return response_or(held, attempts.give_up(cause));
        };
        attempts.send_started(&endpoint);
        *sent = SendContext::new(node, [&endpoint]);
        let (outcome, failure) = match attempt_once(node, request, &endpoint, attempts).await {
            AttemptResult::Response(response) if is_failure(&response) => {
                held = Some(response);
                (AttemptOutcome::Failed, EndpointFailure::Failed)
            }
            AttemptResult::Response(response) => {
                node.clear_request(request.digest);
                return Ok(response);
            }
            AttemptResult::Failed(outcome, failure) => (outcome, failure),
        };
        log::info!(
            request = request.ask.id.as_str(),
            digest = request.digest_label().as_str(),
            endpoint = endpoint.as_str(),
            end:? = outcome,
            cause = failure.name(),
            known_at_send = sent.endpoints.as_str(),
            list_at_send = sent.list.as_str();
            "attempt failed"
        );
        attempts.exclude(&endpoint);
        node.record_failure(&endpoint, failure);
        if failure == EndpointFailure::Broken {
            node.record_broken_run(request.digest, &endpoint, None);
            probe_replica_in_background(node, &endpoint);
        }
        if outcome == AttemptOutcome::TurnedAway {
            cause = RefusalCause::Full;
        }
        if attempts.take_refund(outcome) {
            node.cancel_retry(&request.service);
        }
        match attempts.attempt_ended(outcome, || {
            node.take_retry(&request.service, RetryPurpose::Start)
        }) {
            NextStep::Retry => {}
            NextStep::ForwardFailure(limit) => {
                let error = FinalError::Unknown;
                return response_or(held, RelayFailure { error, limit });
            }
            // Responses are forwarded only when complete, so there is none to resume.
            NextStep::Resume => return response_or(held, attempts.give_up(cause)),
            NextStep::GiveUp(failure) => return response_or(held, failure),
        }
    }
}

/// Checks in the background whether a replica has exited. Otherwise only the next request sent to
/// it, or the endpoint list some seconds later, would show it.
fn probe_replica_in_background<A>(node: &Rc<Node<A>>, endpoint: &EndpointId)
where
    A: Adapter,
{
    let Some(address) = address_of(node, endpoint) else {
        return;
    };
    let node = Rc::clone(node);
    let endpoint = endpoint.clone();
    actix_rt::spawn(async move {
        match node.upstreams.preconnect(address, boot_ms()).await {
            Ok(()) => {
                node.note_connections();
                if let Some(known) = node.fleet.borrow().get(&endpoint) {
                    known.last_heard.record(boot_ms());
                }
            }
            Err(UpstreamFailure::NoListener) => {
                node.note_unreachable_endpoint();
                node.record_failure(&endpoint, EndpointFailure::Refused);
            }
            Err(failure) => {
                log::debug!(endpoint = endpoint.as_str(), failure:% = failure; "could not determine whether a replica has exited");
            }
        }
        node.update_quarantine();
    });
}

/// A failure response from an endpoint is more informative than an error of the relay itself.
fn response_or(
    held: Option<CompleteResponse>,
    failure: RelayFailure,
) -> Result<CompleteResponse, RelayFailure> {
    let limit = Some(failure.limit);
    held.map(|response| CompleteResponse { limit, ..response })
        .ok_or(failure)
}

fn is_failure(response: &CompleteResponse) -> bool {
    response.status.is_server_error()
}

async fn attempt_once<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
    attempts: &Attempts,
) -> AttemptResult
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let _load = InFlightGuard::begin(node, endpoint);
    let exchange = exchange(node, request, endpoint);
    if !attempts.may_try_another() {
        return exchange.await;
    }
    let limit_ms = request.route.objective_ms * ATTEMPT_OBJECTIVES;
    let limit = Duration::from_millis(limit_ms.min(request.remaining_ms(started_ms) / 2));
    let result = timeout(limit, exchange).await;
    result.unwrap_or(AttemptResult::Failed(
        AttemptOutcome::Abandoned,
        EndpointFailure::Silent,
    ))
}

async fn exchange<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
) -> AttemptResult
where
    A: Adapter,
{
    let started_ms = boot_ms();
    let Some(address) = address_of(node, endpoint) else {
        return AttemptResult::Failed(AttemptOutcome::NotSent, EndpointFailure::Unreachable);
    };
    let head = request.head_for(node, endpoint, None, None);
    let sent = node
        .send_with_permit(endpoint, address, head, request.body.clone(), || {
            node.accepts_requests(endpoint)
        })
        .await;
    let exchange = match sent {
        Ok(exchange) => exchange,
        Err(failure) => return failed(failure),
    };
    let (head, mut body) = match exchange.head().await {
        Ok(response) => response,
        Err(failure) => return failed(failure),
    };
    let facts = node.adapter.parse_response_metadata(&head);
    if facts.id.as_deref() != Some(request.ask.id.as_str()) {
        return failed(UpstreamFailure::Garbled);
    }
    node.apply_pacing(endpoint, facts.pacing);
    let mut buffer = BytesMut::new();
    loop {
        match body.next().await {
            Ok(Some(bytes)) if buffer.len() + bytes.len() <= MAX_RESPONSE_BYTES => {
                buffer.extend_from_slice(&bytes);
            }
            Ok(Some(_)) => return failed(UpstreamFailure::Garbled),
            Ok(None) => break,
            Err(failure) => return failed(failure),
        }
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
        body: buffer.freeze(),
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

fn forward_response<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    attempts: &Attempts,
    sent: &SendContext,
    complete: CompleteResponse,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let took_ms = boot_ms().saturating_sub(request.arrived_ms);
    node.counters.time_ms("relay.plain", took_ms);
    if let Some(limit) = complete.limit {
        node.count_given_up(limit);
    }
    log::info!(
        request = request.ask.id.as_str(),
        digest = request.digest_label().as_str(),
        route = request.route.name.as_str(),
        status = complete.status.as_u16(),
        limit = complete.limit.map(AttemptLimit::name),
        sends = attempts.sends(),
        turned_away = attempts.turned_away(),
        known_at_send = sent.endpoints.as_str(),
        list_at_send = sent.list.as_str(),
        took_ms,
        objective_ms = request.route.objective_ms,
        table = request.table.version,
        list_age_ms = node.fleet.borrow().age_ms(boot_ms());
        "request answered"
    );
    let mut response = Response::with_body(complete.status, BoxBody::new(complete.body));
    *response.headers_mut() = complete.headers;
    close_if_stopping(node, response)
}

pub(super) fn address_of<A>(node: &Node<A>, endpoint: &EndpointId) -> Option<std::net::SocketAddr>
where
    A: Adapter,
{
    let fleet = node.fleet.borrow();
    fleet.get(endpoint).map(|known| known.listed.address)
}

/// Counts a request as in flight at an endpoint until dropped.
struct InFlightGuard<'a, A> {
    node: &'a Node<A>,
    endpoint: EndpointId,
}

impl<'a, A> InFlightGuard<'a, A> {
    fn begin(node: &'a Node<A>, endpoint: &EndpointId) -> Self {
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
