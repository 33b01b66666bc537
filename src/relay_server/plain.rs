//! Requests of services whose endpoints hold no layers, answered whole.

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
use super::request::{RelayedRequest, error_response, finish, instant_at};
use super::send_context::SendView;
use super::upstream::UpstreamFailure;
use crate::clock::boot_ms;
use crate::fleet::{EndpointFailure, pick_replica};
use crate::ids::EndpointId;
use crate::quarantine::QuarantineStatus;
use crate::relay::{
    AttemptEnd, AttemptLimit, Attempts, FinalError, GivenUp, NextStep, RefusalCause, RetryPurpose,
};

/// Longest answer that is held until it is whole.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// How long an endpoint may take, in objectives, before an idempotent request is tried elsewhere:
/// one answer in a hundred takes five times the mean, which is a fifth of the objective.
const TRY_OBJECTIVES: u64 = 2;

/// A whole answer of an endpoint.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
    /// What kept the request from another try, for a failure that is passed on.
    limit: Option<AttemptLimit>,
}

/// How one try ended.
enum TryEnd {
    Answer(WholeAnswer),
    /// No answer to pass on; what it says of the endpoint.
    Failed(AttemptEnd, EndpointFailure),
}

/// Relays a request until it has its final word.
pub(crate) async fn relay_plain<A>(node: &Rc<Node<A>>, request: RelayedRequest) -> Response<BoxBody>
where
    A: Adapter,
{
    let mut attempts = Attempts::new(request.route.repeat, request.route.max_endpoints);
    let mut sent = SendView::default();
    let until = instant_at(request.deadline_ms, boot_ms());
    let answer = answer(node, &request, &mut attempts, &mut sent);
    let result = timeout_at(until, answer).await;
    let GivenUp { word, limit } = match result {
        Ok(Ok(answer)) => return pass_on(node, &request, &attempts, &sent, answer),
        Ok(Err(end)) => end,
        Err(_) => attempts.give_up(RefusalCause::TooLate),
    };
    node.count_given_up(limit);
    log::info!(
        request = request.ask.id.as_str(),
        digest = request.shown_digest().as_str(),
        route = request.route.name.as_str(),
        word = word.name(),
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
    error_response(node, word, request.retry_conditions(node))
}

async fn answer<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    attempts: &mut Attempts,
    sent: &mut SendView,
) -> Result<WholeAnswer, GivenUp>
where
    A: Adapter,
{
    let mut cause = RefusalCause::NoEndpoint;
    let mut held: Option<WholeAnswer> = None;
    loop {
        if node.quarantine_status(request.digest) == QuarantineStatus::Withheld {
            return answer_or(held, attempts.give_up(RefusalCause::Withheld));
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
            return answer_or(held, attempts.give_up(cause));
        };
        attempts.sending(&endpoint);
        *sent = SendView::new(node, [&endpoint]);
        let (end, trouble) = match try_once(node, request, &endpoint, attempts).await {
            TryEnd::Answer(answer) if is_failure(&answer) => {
                held = Some(answer);
                (AttemptEnd::Failed, EndpointFailure::Failed)
            }
            TryEnd::Answer(answer) => {
                node.clear_request(request.digest);
                return Ok(answer);
            }
            TryEnd::Failed(end, trouble) => (end, trouble),
        };
        log::info!(
            request = request.ask.id.as_str(),
            digest = request.shown_digest().as_str(),
            endpoint = endpoint.as_str(),
            end:? = end,
            cause = trouble.name(),
            known_at_send = sent.endpoints.as_str(),
            list_at_send = sent.list.as_str();
            "attempt failed"
        );
        attempts.exclude(&endpoint);
        node.record_failure(&endpoint, trouble);
        if trouble == EndpointFailure::Broken {
            node.record_broken_run(request.digest, &endpoint, None);
            find_out_beside(node, &endpoint);
        }
        if end == AttemptEnd::TurnedAway {
            cause = RefusalCause::Full;
        }
        if attempts.gives_back(end) {
            node.cancel_retry(&request.service);
        }
        match attempts.ended(end, || {
            node.take_retry(&request.service, RetryPurpose::Start)
        }) {
            NextStep::TryAgain => {}
            NextStep::PassOn(limit) => {
                let word = FinalError::Unknown;
                return answer_or(held, GivenUp { word, limit });
            }
            // No part of an answer goes out here before it is whole.
            NextStep::GoOn => return answer_or(held, attempts.give_up(cause)),
            NextStep::GiveUp(end) => return answer_or(held, end),
        }
    }
}

/// Finds out whether a replica has ended, beside whatever else goes on. Otherwise only the next request
/// sent there would show it, or the list seconds later.
fn find_out_beside<A>(node: &Rc<Node<A>>, endpoint: &EndpointId)
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
                if let Some(known) = node.fleet.borrow().get(&endpoint) {
                    known.last_heard.record(boot_ms());
                }
            }
            Err(UpstreamFailure::NoListener) => {
                node.record_failure(&endpoint, EndpointFailure::Ended)
            }
            Err(failure) => {
                log::debug!(endpoint = endpoint.as_str(), failure:% = failure; "whether a replica has ended is not known");
            }
        }
        node.update_quarantine();
    });
}

/// A failure that an endpoint answered with says more than a word of our own.
fn answer_or(held: Option<WholeAnswer>, end: GivenUp) -> Result<WholeAnswer, GivenUp> {
    let limit = Some(end.limit);
    held.map(|answer| WholeAnswer { limit, ..answer })
        .ok_or(end)
}

fn is_failure(answer: &WholeAnswer) -> bool {
    answer.status.is_server_error()
}

async fn try_once<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    endpoint: &EndpointId,
    attempts: &Attempts,
) -> TryEnd
where
    A: Adapter,
{
    let begun_ms = boot_ms();
    let _load = InFlight::begin(node, endpoint);
    let exchange = exchange(node, request, endpoint);
    if !attempts.may_try_another() {
        return exchange.await;
    }
    let limit_ms = request.route.objective_ms * TRY_OBJECTIVES;
    let limit = Duration::from_millis(limit_ms.min(request.left_ms(begun_ms) / 2));
    let end = timeout(limit, exchange).await;
    end.unwrap_or(TryEnd::Failed(
        AttemptEnd::Abandoned,
        EndpointFailure::Silent,
    ))
}

async fn exchange<A>(node: &Rc<Node<A>>, request: &RelayedRequest, endpoint: &EndpointId) -> TryEnd
where
    A: Adapter,
{
    let begun_ms = boot_ms();
    let Some(address) = address_of(node, endpoint) else {
        return TryEnd::Failed(AttemptEnd::NotSent, EndpointFailure::Unreachable);
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
        Ok(answer) => answer,
        Err(failure) => return failed(failure),
    };
    let facts = node.adapter.parse_response_metadata(&head);
    if facts.id.as_deref() != Some(request.ask.id.as_str()) {
        return failed(UpstreamFailure::Garbled);
    }
    node.apply_pacing(endpoint, facts.pacing);
    let mut whole = BytesMut::new();
    loop {
        match body.next().await {
            Ok(Some(bytes)) if whole.len() + bytes.len() <= ANSWER_LIMIT_BYTES => {
                whole.extend_from_slice(&bytes);
            }
            Ok(Some(_)) => return failed(UpstreamFailure::Garbled),
            Ok(None) => break,
            Err(failure) => return failed(failure),
        }
    }
    let now_ms = boot_ms();
    let keep_alive_ms = headers::keep_alive_ms(&head);
    node.upstreams.release(body, keep_alive_ms, now_ms);
    if let Some(failed) = unusable(&facts, head.status) {
        return failed;
    }
    if let Some(known) = node.fleet.borrow_mut().get_mut(endpoint)
        && !head.status.is_server_error()
    {
        known.health.record_answer(now_ms.saturating_sub(begun_ms));
    }
    TryEnd::Answer(WholeAnswer {
        status: head.status,
        headers: headers::end_to_end_headers(&head.headers),
        body: whole.freeze(),
        limit: None,
    })
}

/// What an answer that cannot be passed on says.
fn unusable(facts: &ResponseMetadata, status: StatusCode) -> Option<TryEnd> {
    if facts.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(TryEnd::Failed(
            AttemptEnd::TurnedAway,
            EndpointFailure::Full,
        ));
    }
    // These statuses promise a caller that nothing ran, and here the endpoint does not say so.
    let promises_unrun = matches!(status.as_u16(), 408 | 429 | 503);
    let is_unsealed = status.is_success() && !facts.is_sealed;
    (promises_unrun || is_unsealed).then_some(TryEnd::Failed(
        AttemptEnd::Abandoned,
        EndpointFailure::Failed,
    ))
}

fn failed(failure: UpstreamFailure) -> TryEnd {
    let (end, trouble) = failure.meaning();
    TryEnd::Failed(end, trouble)
}

fn pass_on<A>(
    node: &Rc<Node<A>>,
    request: &RelayedRequest,
    attempts: &Attempts,
    sent: &SendView,
    answer: WholeAnswer,
) -> Response<BoxBody>
where
    A: Adapter,
{
    let took_ms = boot_ms().saturating_sub(request.arrived_ms);
    node.counters.time_ms("relay.plain", took_ms);
    if let Some(limit) = answer.limit {
        node.count_given_up(limit);
    }
    log::info!(
        request = request.ask.id.as_str(),
        digest = request.shown_digest().as_str(),
        route = request.route.name.as_str(),
        status = answer.status.as_u16(),
        limit = answer.limit.map(AttemptLimit::name),
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
    let mut response = Response::with_body(answer.status, BoxBody::new(answer.body));
    *response.headers_mut() = answer.headers;
    finish(node, response)
}

pub(super) fn address_of<A>(node: &Node<A>, endpoint: &EndpointId) -> Option<std::net::SocketAddr>
where
    A: Adapter,
{
    let fleet = node.fleet.borrow();
    fleet.get(endpoint).map(|known| known.listed.address)
}

/// Counts a request at an endpoint while it is there.
struct InFlight<'a, A> {
    node: &'a Node<A>,
    endpoint: EndpointId,
}

impl<'a, A> InFlight<'a, A> {
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

impl<A> Drop for InFlight<'_, A> {
    fn drop(&mut self) {
        if let Some(known) = self.node.fleet.borrow_mut().get_mut(&self.endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }
}
